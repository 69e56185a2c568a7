"""Lists and watches of the REST service in random histories: a stateful test."""

import json

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from glencleat import interface as api
from glencleat.rest import overload, service
from glencleat.rest import schema as s
from glencleat.rest.jobs import JobStep
from glencleat.rest.selector import parse_selector
from glencleat.rest.version_store import VersionGoneError
from glencleat.rest.watches import WatchLimits as WatchLimits
from tests.support.core_world import Owner
from tests.support.rest_world import RestApiFixture

# ---- random histories ----

SELECTORS = [
    "",
    "app=a",
    "app!=a,.state in (TASK_STAGING,TASK_RUNNING)",
    ".machine",
    ".class=unsafe",
    ".answer=served",
]
STATES = ["TASK_STARTING", "TASK_RUNNING", "TASK_FINISHED", "TASK_FAILED", "TASK_DROPPED", "TASK_KILLED"]


class WatchingClient:
    """A client that lists, watches, stops and resumes, and keeps the state that it received."""

    def __init__(self, fixture, kind, tenant, selector):
        self.fixture, self.kind, self.tenant, self.selector = fixture, kind, tenant, selector
        self.state, self.version, self.watcher = {}, "", None

    def begin(self):
        query = s.Query(resource_version=self.version)
        try:
            self.watcher = self.fixture.api.open_watch(
                self.kind, self.tenant, parse_selector(self.selector), query
            )
        except VersionGoneError:
            self.version, self.state = "", {}
            self.watcher = self.fixture.api.open_watch(
                self.kind, self.tenant, parse_selector(self.selector), s.Query()
            )
        if not self.version:
            self.state = {}

    def take(self):
        while data := self.fixture.service.channels.take_chunk(self.watcher, self.fixture.core.now()):
            for event in map(json.loads, data.splitlines()):
                resource = event["object"]
                self.version = resource["resourceVersion"]
                key = resource.get("tenant"), resource.get("framework"), resource.get("name")
                if event["type"] == "DELETED":
                    del self.state[key]
                elif event["type"] != "BOOKMARK":
                    assert (key in self.state) is (event["type"] == "MODIFIED"), (event, self.kind)
                    self.state[key] = resource
        assert self.watcher.close_reason is None

    def stop(self):
        self.fixture.service.channels.remove_watcher(self.watcher)
        self.watcher = None

    def listed(self):
        path = f"/v1/tenants/{self.tenant}/{self.kind}" if self.tenant else f"/v1/{self.kind}"
        from urllib.parse import quote

        items, query = {}, f"limit=2&labelSelector={quote(self.selector)}"
        while True:
            page = self.fixture.request("GET", f"{path}?{query}")[1]
            for resource in page["items"]:
                items[resource.get("tenant"), resource.get("framework"), resource.get("name")] = resource
            if "continue" not in page:
                return items
            query = f"limit=2&labelSelector={quote(self.selector)}&continue={page['continue']}"


class History(RuleBasedStateMachine):
    """Jobs and framework tasks, any agent reports, machines that come and go, and watches at any point."""

    @initialize()
    def begin(self):
        limits = service.RestLimits(
            max_events_per_kind=40,
            max_ended_tasks=3,
            job_retention_ms=3_000.0,
            watch=WatchLimits(max_chunk_bytes=2_000, stall_timeout_ms=1e9),
        )
        self.fixture = RestApiFixture(2, limits)
        self.fixture.service.gate.limits = overload.OverloadLimits(connection_rate=1e9, connection_burst=1e9)
        self.owner = Owner(self.fixture.cluster).subscribe()
        self.watches, self.made = [], 0

    @rule(
        tenant=st.sampled_from(["t", "tenant"]),
        app=st.sampled_from(["a", "b"]),
        tasks=st.integers(1, 3),
        cls=st.sampled_from(["safe", "keyed", "unsafe"]),
        lost=st.sampled_from(["leave", "again"]),
    )
    def create(self, tenant, app, tasks, cls, lost):
        self.made += 1
        more = {"class": cls, "whenLost": lost, "waitMs": 12_000}
        assert (
            self.fixture.create(f"j{self.made}", {"app": app}, tenant, f"k{self.made}", tasks=tasks, **more)[
                0
            ]
            == 201
        )

    @rule(data=st.data())
    def launch(self, data):
        self.made += 1
        self.owner.launch(f"m{self.made}", data.draw(st.sampled_from(["safe", "unsafe"])), app="a")

    @rule(data=st.data(), state=st.sampled_from(STATES))
    def report(self, data, state):
        launches = [(a, x) for a in self.fixture.agents.values() for x in a.launches()[-6:]]
        if launches:
            agent, launch = data.draw(st.sampled_from(launches))
            if agent.link.why is None:
                agent.say(launch.task_id.value, state, cause="cores" if state == "TASK_DROPPED" else None)

    @rule(ms=st.sampled_from([2.0, 30.0, 700.0, 4_000.0]))
    def wait(self, ms):
        self.fixture.run(ms)

    @rule(data=st.data(), keep=st.booleans())
    def change_job(self, data, keep):
        if self.fixture.service.jobs_by_name:
            tenant, name = data.draw(st.sampled_from(sorted(self.fixture.service.jobs_by_name)))
            target = f"/v1/tenants/{tenant}/jobs/{name}"
            if keep:
                patch = {"labels": {"app": data.draw(st.sampled_from(["a", "b", None]))}}
                assert (
                    self.fixture.request("PATCH", target, patch, content_type="application/merge-patch+json")[
                        0
                    ]
                    == 200
                )
            else:
                assert self.fixture.request("DELETE", target)[0] in (202, 204)

    @rule(data=st.data())
    def machines(self, data):
        names = data.draw(st.sampled_from([["h0"], ["h0", "h1"], ["h1"]]))
        self.fixture.cluster.list(
            names, phase=data.draw(st.sampled_from([api.MachinePhase.SERVING, api.MachinePhase.DRAINING]))
        )

    @rule(data=st.data())
    def disconnect_or_connect_agent(self, data):
        agent = data.draw(st.sampled_from(list(self.fixture.agents.values())))
        if agent.link.why is None:
            agent.link.close("cut")
        else:
            agent.subscribe()

    @rule(data=st.data())
    def watch(self, data):
        if len(self.watches) < 4:
            kind = data.draw(st.sampled_from(["jobs", "tasks", "machines", "services"]))
            tenant = data.draw(st.sampled_from([None, "t"])) if kind != "machines" else None
            made = WatchingClient(self.fixture, kind, tenant, data.draw(st.sampled_from(SELECTORS)))
            made.begin()
            self.watches.append(made)

    @precondition(lambda self: self.watches)
    @rule(data=st.data())
    def stop_or_resume(self, data):
        watch = data.draw(st.sampled_from(self.watches))
        if watch.watcher is None:
            watch.begin()
        else:
            if data.draw(st.booleans()):
                watch.take()
            watch.stop()

    @precondition(lambda self: self.watches)
    @rule()
    def compare(self):
        for watch in self.watches:
            if watch.watcher is not None:
                watch.take()
                assert watch.state == watch.listed()

    @invariant()
    def counts_agree(self):
        if not hasattr(self, "fixture"):
            return
        self.fixture.cluster.check()
        waiting_tasks = [
            job_task
            for job in self.fixture.service.jobs_by_name.values()
            for job_task in job.tasks
            if job_task.step in service.WAITING_STEPS
        ]
        assert len(waiting_tasks) == self.fixture.service.waiting_by_tenant.total()
        for job in self.fixture.service.jobs_by_name.values():
            for job_task in job.tasks:
                if job_task.step is JobStep.IN_ROUND:
                    assert job_task.call is not None and job_task.call.final_answer is None
                if job_task.step is JobStep.PLACED:
                    assert job_task.final_answer is not None

    def teardown(self):
        """At the end, the counts of each service equal those of its tasks."""
        if not hasattr(self, "fixture"):
            return
        self.fixture.run(20.0)
        counted = {}
        for task in self.fixture.request("GET", "/v1/tasks?limit=1000")[1]["items"]:
            kind = "waiting" if task["state"] == "TASK_STAGING" else "placed" if "machine" in task else None
            if kind and task["state"] in ("TASK_STAGING", "TASK_STARTING", "TASK_RUNNING"):
                sums = counted.setdefault((task["tenant"], task["service"]), {"waiting": 0, "placed": 0})
                sums[kind] += 1
        services = self.fixture.request("GET", "/v1/services")[1]["items"]
        listed = {(x["tenant"], x["name"]): {k: x.get(k, 0) for k in ("waiting", "placed")} for x in services}
        assert listed == counted


TestHistory = History.TestCase
TestHistory.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.filter_too_much],
)
