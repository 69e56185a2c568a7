"""The REST service on a core without sockets: jobs, reasons, and a stateful test of lists and watches."""

import json

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from glencleat import interface as api
from glencleat.allocator.startup_gate import StartupGate
from glencleat.mesos.http import Request
from glencleat.rest import overload, service
from glencleat.rest import schema as s
from glencleat.rest.jobs import JobStep
from glencleat.rest.selector import parse_selector
from glencleat.rest.version_store import VersionGoneError
from glencleat.rest.watches import WatchLimits as WatchLimits
from glencleat.servers.rest_api import RestApi
from tests.support.core_world import Cluster, Owner

JOB = {"class": "safe", "service": "svc", "cores": 1, "memory": 100}


class RestApiFixture:
    """A cluster with a REST API, and a client of it."""

    def __init__(self, machines=2, limits=None, **options):
        self.cluster = Cluster(machines, **options)
        self.service = service.RestService(self.cluster.core, limits or service.RestLimits(), 7)
        self.api = RestApi(self.service)
        self.core, self.timing, self.agents = self.cluster.core, self.cluster.timing, self.cluster.agents
        for agent in self.agents.values():
            agent.subscribe()
        self.cluster.list(list(self.agents))

    def request(self, method, target, body=None, **headers):
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        if body is not None:
            headers.setdefault("content-type", "application/json")
        response = self.api.handle(Request(method, target, headers, data))
        return response.status, json.loads(response.body) if response.body else None, response.headers

    def create(self, name="j", labels=None, tenant="t", key=None, **spec):
        headers = {} if key is None else {"idempotency_key": key}
        body = {"name": name, "labels": labels or {}, "spec": JOB | spec}
        return self.request("POST", f"/v1/tenants/{tenant}/jobs", body, **headers)

    def run(self, ms=10.0):
        for _ in range(max(1, int(ms // 500))):
            for agent in self.agents.values():
                if agent.link.why is None:
                    agent.beat()
            self.timing.advance(min(ms, 500.0))

    def task(self, name="j.0", tenant="t"):
        return self.request("GET", f"/v1/tenants/{tenant}/tasks/rest:{tenant}/{name}")[1]

    def job(self, name="j"):
        return self.request("GET", f"/v1/tenants/t/jobs/{name}")[1]

    def in_flight(self, name="j.0"):
        """The agent and the attempt in flight of the task's last call."""
        call = self.core.call_table.find_call("rest:t", name)
        attempt = call.active_attempt()
        return self.agents[attempt.machine], attempt.id

    def report(self, state, name="j.0", **more):
        agent, attempt = self.in_flight(name)
        agent.say(attempt, state, **more)
        self.run()


# ---- life of a job ----


def test_a_job_is_placed_and_finishes():
    fixture = RestApiFixture()
    status, job, headers = fixture.create(tasks=2, labels={"app": "web"})
    assert status == 201 and headers["location"] == "/v1/tenants/t/jobs/j"
    assert (
        job["status"] == {"phase": "waiting", "waiting": 2}
        and headers["etag"] == f'"{job["resourceVersion"]}"'
    )
    fixture.run()
    for name in ("j.0", "j.1"):
        fixture.report("TASK_STARTING", name)
    assert fixture.job()["status"] == {"phase": "placed", "placed": 2}
    task = fixture.task()
    assert (task["state"], task["answer"], task["labels"]) == ("TASK_STARTING", "served", {"app": "web"})
    assert "why" not in task and task["machine"] in fixture.agents
    for name in ("j.0", "j.1"):
        fixture.report("TASK_FINISHED", name)
    assert fixture.job()["status"] == {"phase": "over", "finished": 2}
    fixture.cluster.check()


def test_a_rejected_round_is_retried_and_the_final_answer_is_given_once():
    fixture = RestApiFixture(1)
    fixture.create(waitMs=30_000)
    fixture.run()
    first, _ = fixture.in_flight()
    fixture.report("TASK_DROPPED", cause="cores")
    job_task = fixture.service.jobs_by_name["t", "j"].tasks[0]
    while job_task.round_count < 2 or job_task.call.active_attempt() is None:
        fixture.run(500.0)  # the policy holds or retries the task; the deadline of its class ends the round
        assert fixture.task()["state"] == "TASK_STAGING" and "answer" not in fixture.task()
        if job_task.round_count < 2 and job_task.call.active_attempt() is not None:
            fixture.report("TASK_DROPPED", cause="cores")
    fixture.report("TASK_STARTING")
    assert fixture.task()["answer"] == "served" and fixture.task()["attempts"] >= 1
    fixture.cluster.check()


def test_a_task_without_a_place_is_rejected_before_the_client_stops_waiting():
    fixture = RestApiFixture(0)
    watcher = fixture.api.open_watch("tasks", "t", (), s.Query())
    fixture.create(waitMs=9_000)
    answered = []
    for ms in range(0, 9_000, 100):
        fixture.timing.advance(100.0)
        while data := fixture.service.channels.take_chunk(watcher, 0.0):
            events = [json.loads(line) for line in data.splitlines()]
            answered += [ms for e in events if e["object"].get("answer") == "refused"]
    assert len(answered) == 1 and answered[0] < 9_000
    assert fixture.task()["state"] == "TASK_DROPPED" and fixture.task()["retry"] == "harmless"
    assert fixture.job()["status"] == {"phase": "over", "refused": 1}


def test_a_non_idempotent_task_that_may_have_run_gets_no_second_round():
    fixture = RestApiFixture(2)
    fixture.create(waitMs=60_000, **{"class": "unsafe"})
    fixture.run()
    agent, attempt = fixture.in_flight()
    fixture.run(9_000.0)  # the machine doesn't answer
    assert fixture.task()["state"] == "TASK_LOST" and fixture.task()["retry"] == "reconcile"
    fixture.run(30_000.0)
    assert sum(len(each.launches()) for each in fixture.agents.values()) == 1
    agent.say(attempt, "TASK_RUNNING")  # it did run, so the task counts as placed
    fixture.run()
    assert fixture.task()["state"] == "TASK_RUNNING" and fixture.job()["status"]["placed"] == 1
    fixture.cluster.check()


def test_a_lost_task_is_placed_again_if_the_job_asks_for_it():
    fixture = RestApiFixture(2)
    fixture.create(whenLost="again")
    fixture.run()
    fixture.report("TASK_RUNNING")
    fixture.report("TASK_FAILED")
    assert fixture.task()["state"] == "TASK_STAGING"
    fixture.run(2_000.0)
    fixture.report("TASK_RUNNING")
    assert fixture.task()["state"] == "TASK_RUNNING" and fixture.job()["status"]["placed"] == 1
    fixture.report("TASK_FINISHED")
    assert fixture.job()["status"] == {"phase": "over", "finished": 1}


def test_a_task_of_a_lost_machine_is_placed_elsewhere_and_stopped_if_it_reappears():
    fixture = RestApiFixture(2)
    fixture.create(whenLost="again")
    fixture.run()
    fixture.report("TASK_RUNNING")
    lost_agent, attempt = fixture.in_flight()
    (launch,) = lost_agent.launches()
    lost_agent.link.close("gone")
    fixture.run(5_000.0)  # longer than agents-return and the pause
    fixture.run(1_000.0)
    assert fixture.in_flight()[0] is not lost_agent
    fixture.report("TASK_RUNNING")
    lost_agent.subscribe(tasks=[launch])
    assert lost_agent.kills() == [attempt] and fixture.job()["status"]["placed"] == 1
    fixture.cluster.check()


def test_a_machine_that_reconnects_before_the_next_round_keeps_its_task():
    fixture = RestApiFixture(1)
    fixture.create(whenLost="again")
    fixture.run()
    fixture.report("TASK_RUNNING")
    agent, _ = fixture.in_flight()
    (launch,) = agent.launches()
    agent.link.close("gone")
    while fixture.task()["state"] != "TASK_STAGING":
        fixture.timing.advance(50.0)
    agent.subscribe(tasks=[launch])
    fixture.run(5_000.0)
    assert agent.launches() == [] and agent.kills() == [] and fixture.task()["state"] == "TASK_RUNNING"
    assert fixture.job()["status"]["placed"] == 1 and fixture.service.waiting_by_tenant.total() == 0
    fixture.cluster.check()


@pytest.mark.parametrize("cls", ["safe", "unsafe"])
def test_a_job_with_an_unreachable_task_can_be_cancelled(cls):
    fixture = RestApiFixture(1)
    fixture.create(**{"class": cls})
    fixture.run()
    fixture.report("TASK_RUNNING")
    agent, attempt = fixture.in_flight()
    (launch,) = agent.launches()
    agent.link.close("gone")
    fixture.run(6_000.0)
    assert fixture.task()["state"] == "TASK_UNREACHABLE" and fixture.job()["status"]["placed"] == 1
    assert fixture.request("DELETE", "/v1/tenants/t/jobs/j")[0] == 204
    agent.subscribe(tasks=[launch])
    fixture.run()
    assert agent.kills() == [attempt], "a cancelled task is stopped when it reappears"


# ---- cancelling ----


def test_a_cancellation_that_crosses_the_machines_acceptance_stops_the_task():
    fixture = RestApiFixture(1)
    fixture.create()
    fixture.run()
    agent, attempt = fixture.in_flight()
    status, job, _ = fixture.request("DELETE", "/v1/tenants/t/jobs/j")
    assert status == 202 and job["status"]["phase"] == "cancelled"
    assert agent.kills() == [attempt]
    agent.say(attempt, "TASK_RUNNING")  # the acceptance was sent before the kill arrived
    fixture.run()
    assert agent.kills()[-1] == attempt and fixture.task()["answer"] == "served"
    agent.say(attempt, "TASK_KILLED")
    fixture.run()
    assert fixture.request("GET", "/v1/tenants/t/jobs/j")[0] == 404 and fixture.task()["status"] == 404
    assert (
        not fixture.core.call_table.active_calls_by_number and fixture.service.waiting_by_tenant.total() == 0
    )
    fixture.cluster.check()


def test_cancelling_one_task_leaves_the_others():
    fixture = RestApiFixture(1)
    fixture.create(tasks=2)
    fixture.run()
    target = "/v1/tenants/t/tasks/rest:t/j.0"
    assert fixture.request("DELETE", target)[0] == 202
    agent, attempt = fixture.in_flight("j.0")
    agent.say(attempt, "TASK_DROPPED", cause="cores")
    fixture.run()
    assert fixture.task()["state"] == "TASK_KILLED" and fixture.task()["answer"] == "refused"
    fixture.report("TASK_STARTING", "j.1")
    assert fixture.job()["status"] == {"phase": "placed", "placed": 1, "refused": 1}
    assert fixture.request("DELETE", "/v1/tenants/t/tasks/rest:t/j.9")[0] == 404


def test_an_ended_job_is_deleted_at_once_and_its_name_can_be_reused():
    fixture = RestApiFixture(1)
    fixture.create()
    fixture.run()
    fixture.report("TASK_FINISHED")
    assert fixture.request("DELETE", "/v1/tenants/t/jobs/j")[0] == 204
    assert fixture.request("GET", "/v1/tasks")[1]["items"] == []
    assert fixture.create()[0] == 201
    assert fixture.task()["state"] == "TASK_STAGING"


def test_shutdown_rejects_waiting_tasks_and_new_jobs():
    fixture = RestApiFixture(0)
    fixture.create(tasks=3)
    fixture.service.shut_down()
    fixture.core.begin_shutdown()
    fixture.run()
    assert fixture.job()["status"] == {"phase": "over", "refused": 3}
    assert fixture.task()["message"] == "the allocator is shutting down"
    status, problem, headers = fixture.create("k")
    assert status == 503 and "shutting down" in problem["detail"] and headers["retry-after"] == "5"


# ---- idempotent creation ----


def test_a_repeated_creation_returns_the_first_job():
    fixture = RestApiFixture()
    first = fixture.create(key="k1")
    again = fixture.create(key="k1")
    assert (first[0], again[0]) == (201, 200) and first[1]["uid"] == again[1]["uid"]
    assert fixture.create(key="k1", tasks=2)[0] == 422, "the same key with another body"
    assert fixture.create(key="k2")[0] == 409, "the name is taken"
    assert fixture.create(key="k1", tenant="u")[0] == 201, "a tenant's keys are its own"
    fixture.run()
    assert sum(len(agent.launches()) for agent in fixture.agents.values()) == 2
    fixture.request("DELETE", "/v1/tenants/t/jobs/j")
    fixture.in_flight()[0].say(fixture.in_flight()[1], "TASK_DROPPED")
    fixture.run()
    assert fixture.create(key="k1")[0] == 410, "the job was deleted, and a repeat doesn't create another"


def test_a_key_used_by_a_job_and_a_framework_starts_one_task():
    """A job and a framework share the tenant's keys: a non-idempotent task isn't accepted while an attempt with its key may have run."""
    fixture = RestApiFixture(1)
    owner = Owner(fixture.cluster).subscribe()  # of the tenant "tenant"
    owner.launch("a", "unsafe", key="w.0")
    status, job, _ = fixture.create("j", tenant="tenant", key=None, **{"class": "unsafe"})
    body = {"name": "twin", "spec": JOB | {"class": "unsafe", "key": "w"}}
    assert fixture.request("POST", "/v1/tenants/tenant/jobs", body)[0] == 201
    fixture.run()
    task = fixture.task("twin.0", "tenant")
    assert task["answer"] == "failed" and "same key" in task["message"] and task["retry"] == "never"
    assert fixture.task("j.0", "tenant")["state"] == "TASK_STAGING", "a task with another key"
    ((agent, launch), _) = fixture.cluster.offered()
    fixture.core.framework_sessions.kill(owner.framework, "a")
    agent.say(launch.task_id.value, "TASK_DROPPED", cause="cores")
    assert owner.states("a") == ["TASK_KILLED"], "the attempt is known not to have run"
    fixture.request("DELETE", "/v1/tenants/tenant/jobs/twin")
    assert fixture.request("POST", "/v1/tenants/tenant/jobs", body)[0] == 201
    fixture.run()
    assert fixture.task("twin.0", "tenant")["state"] == "TASK_STAGING"
    owner.launch("b", "unsafe", key="w.0")
    assert owner.states("b") == ["TASK_ERROR"], "a framework's task is rejected as well"


def test_a_job_created_again_after_a_restart_adopts_its_running_tasks():
    first = RestApiFixture(1)
    first.create(tasks=1, **{"class": "unsafe"})
    first.run()
    ((_, launch),) = first.cluster.offered()
    fixture = RestApiFixture(0)
    fixture.cluster.agents["h0"] = agent = fixture.cluster.agents.get("h0") or type(first.agents["h0"])(
        fixture.cluster, "h0"
    )
    agent.subscribe(tasks=[launch])
    fixture.list = fixture.cluster.list(["h0"])
    fixture.run()
    assert fixture.task()["state"] in ("TASK_STARTING", "TASK_RUNNING")
    status, job, _ = fixture.create(tasks=1, **{"class": "unsafe"})
    assert status == 201 and job["status"] == {"phase": "placed", "placed": 1}
    fixture.run()
    assert agent.launches() == []
    agent.say(launch.task_id.value, "TASK_FINISHED")
    fixture.run()
    assert fixture.job()["status"] == {"phase": "over", "finished": 1}


def test_the_end_of_an_adopted_task_is_not_the_answer_to_a_new_job():
    first = RestApiFixture(1)
    first.create()
    first.run()
    ((_, launch),) = first.cluster.offered()
    fixture = RestApiFixture(1)
    (agent,) = fixture.agents.values()
    agent.subscribe(tasks=[launch])
    agent.say(launch.task_id.value, "TASK_KILLED")
    fixture.run()
    assert fixture.task()["state"] == "TASK_KILLED"
    fixture.create()
    assert fixture.task()["state"] == "TASK_STAGING" and "answer" not in fixture.task()


def test_a_framework_cannot_subscribe_as_a_job():
    from glencleat.mesos import messages as m
    from glencleat.mesos.http import HttpError
    from glencleat.servers.scheduler_api import SchedulerApi

    fixture = RestApiFixture()
    info = m.FrameworkInfo("u", "x", m.Value("rest:t"))
    call = m.SchedulerCall("SUBSCRIBE", m.Value("rest:t"), m.SubscribeFramework(info))
    headers = {"content-type": "application/json"}
    with pytest.raises(HttpError, match="expected none of the allocator's own") as caught:
        SchedulerApi(fixture.core).handle(Request("POST", "/api/v1/scheduler", headers, m.encode(call)))
    assert caught.value.status == 403


# ---- reasons for waiting ----


def causes(fixture, name="j.0"):
    return {cause["kind"]: cause for cause in fixture.task(name)["why"]["causes"]}


def test_reasons_repeat_what_machines_report_even_if_wrong():
    """A rejection is shown as the machine reported it, even by one that has room; causes end as machines recover."""
    fixture = RestApiFixture(1)
    fixture.create(waitMs=60_000)
    fixture.run()
    assert causes(fixture)["out"]["machine"] == "h0"
    fixture.report("TASK_DROPPED", cause="memory")  # wrong: the machine list shows free memory
    cause = causes(fixture)["refused-memory"]
    assert (
        cause["count"] == 1
        and cause["machine"] == "h0"
        and fixture.task()["why"]["summary"].startswith("refused (memory)")
    )
    assert fixture.request("GET", "/v1/machines/h0")[1][
        "memoryLeft" if fixture.core.settings.list_has_free_capacity else "phase"
    ]
    fixture.cluster.list(["h0"], phase=api.MachinePhase.DRAINING)
    fixture.run(1_000.0)
    assert causes(fixture)["draining"]["count"] == 1 and "refused-memory" in causes(fixture)
    fixture.cluster.list(["h0"])
    fixture.run(1_000.0)
    assert "draining" not in causes(fixture)


def test_a_missing_machine_is_reported_within_two_seconds():
    fixture = RestApiFixture(1)
    fixture.create(cores=9_999, waitMs=60_000)
    fixture.run(1_000.0)
    assert "no-machine" in causes(fixture) and "9999 cores" in fixture.task()["why"]["summary"]
    fixture.create("k", waitMs=60_000)
    fixture.cluster.list([])
    fixture.run(1_500.0)
    assert "no-machine" in causes(fixture, "k.0")


def test_every_waiting_task_has_a_reason_at_any_time():
    fixture = RestApiFixture(2)
    owner = Owner(fixture.cluster).subscribe()
    owner.launch("m")
    fixture.create(tasks=5, waitMs=30_000)
    for _ in range(40):
        fixture.run(250.0)
        for agent in fixture.agents.values():
            for launch in agent.launches()[-2:]:
                agent.say(launch.task_id.value, "TASK_DROPPED", cause="line")
        waiting = fixture.request("GET", "/v1/tasks?labelSelector=.state%3DTASK_STAGING")[1]["items"]
        assert all(task["why"]["causes"] and task["why"]["summary"] for task in waiting)
    assert {task["framework"] for task in fixture.request("GET", "/v1/tasks")[1]["items"]} == {
        owner.framework.id,
        "rest:t",
    }


def test_a_task_waits_until_the_startup_gate_opens():
    fixture = RestApiFixture(0)
    fixture.core.startup_gate = StartupGate(fixture.core.now(), 0.0, 60_000.0)
    fixture.core.serving_machines = None
    fixture.create()
    fixture.run(500.0)
    assert "opening" in causes(fixture) and fixture.service.round_queue.queued_count == 1


# ---- requests ----


@pytest.mark.parametrize(
    ("method", "target", "body", "status", "text"),
    [
        ("GET", "/v1/nothing", None, 404, "openapi.json"),
        ("PUT", "/v1/jobs", None, 405, "expected GET"),
        ("GET", "/v1/tenants/t/jobs/x", None, 404, "job t/x is not known"),
        ("GET", "/v1/jobs?limit=0", None, 400, "limit"),
        ("GET", "/v1/jobs?odd=1", None, 400, "no parameter 'odd'"),
        ("GET", "/v1/jobs?limit=1&limit=2", None, 400, "twice"),
        ("GET", "/v1/jobs?labelSelector=a%3D(", None, 400, "labelSelector: at"),
        ("GET", "/v1/jobs?continue=xx", None, 400, "continue"),
        ("GET", "/v1/jobs?watch=1&resourceVersion=7", None, 400, "resourceVersion"),
        ("GET", "/v1/jobs?watch=1&resourceVersion=other-7", None, 410, "list again"),
        ("GET", "/v1/tenants/%ff/jobs", None, 400, "target"),
        ("GET", "/v1/" + "x" * 5_000, None, 414, "at most 4096"),
        ("POST", "/v1/tenants/t/jobs", b"{", 400, "body"),
        ("POST", "/v1/tenants/t/jobs", b"\xff", 400, "body"),
        ("POST", "/v1/tenants/t/jobs", b"[" * 100_000, 422, "body"),
        ("POST", "/v1/tenants/t/jobs", {"spec": JOB, "odd": 1}, 422, "odd"),
        ("POST", "/v1/tenants/t/jobs", {"spec": JOB | {"tasks": 0}}, 422, "$.spec.tasks"),
        ("POST", "/v1/tenants/t/jobs", {"spec": JOB | {"class": "odd"}}, 422, "expected one of safe"),
        ("POST", "/v1/tenants/t/jobs", {"spec": JOB | {"cores": "1"}}, 422, "$.spec.cores"),
        ("POST", "/v1/tenants/t/jobs", {"spec": JOB | {"waitMs": 20}}, 422, "waitMs"),
        ("POST", "/v1/tenants/t/jobs", {"name": "a b", "spec": JOB}, 422, "$.name"),
        ("POST", "/v1/tenants/t/jobs", {"labels": {".x": "y"}, "spec": JOB}, 422, "labels"),
        ("POST", "/v1/tenants/%00/jobs", {"spec": JOB}, 422, "tenant"),
        ("POST", "/v1/tenants/t/jobs?x=1", {"spec": JOB}, 400, "expected none"),
    ],
)
def test_an_invalid_request_is_rejected_without_a_change(method, target, body, status, text):
    fixture = RestApiFixture(1)
    before = fixture.service.versions.current_version
    response = fixture.request(method, target, body)
    assert response[0] == status == response[1]["status"] and text in response[1]["detail"]
    assert fixture.service.versions.current_version == before and not fixture.service.jobs_by_name


def test_etags_guard_changes():
    fixture = RestApiFixture(1)
    _, job, headers = fixture.create(labels={"a": "1"})
    target, patch = "/v1/tenants/t/jobs/j", {"content_type": "application/merge-patch+json"}
    assert fixture.request("GET", target, if_none_match=headers["etag"])[0] == 304
    status, patched, changed = fixture.request(
        "PATCH", target, {"labels": {"a": None, "b": "2"}}, if_match=headers["etag"], **patch
    )
    assert status == 200 and patched["labels"] == {"b": "2"} and changed["etag"] != headers["etag"]
    assert (
        fixture.request("PATCH", target, {"labels": {"c": "3"}}, if_match=headers["etag"], **patch)[0] == 412
    )
    assert fixture.request("DELETE", target, if_match=headers["etag"])[0] == 412
    assert fixture.request("PATCH", target, {"labels": {}})[0] == 415
    many = {f"l{i}": "x" for i in range(32)}
    assert fixture.request("PATCH", target, {"labels": many}, **patch)[0] == 422
    fixture.run()
    assert fixture.task()["labels"] == {"b": "2"}
    assert fixture.request("DELETE", target, if_match=f'"x", {changed["etag"]}')[0] == 202


def test_list_pages_and_continue_tokens():
    fixture = RestApiFixture(0)
    for i in range(7):
        fixture.create(f"j{i}")
    names, query = [], "limit=3"
    while True:
        page = fixture.request("GET", f"/v1/tenants/t/jobs?{query}")[1]
        names += [job["name"] for job in page["items"]]
        fixture.create(f"j{len(names)}x")  # created during the list, so it belongs to the next one
        if "continue" not in page:
            break
        query = f"limit=3&continue={page['continue']}"
        assert fixture.request("GET", f"/v1/jobs?{query}")[0] == 400, "the token belongs to another list"
        assert fixture.request("GET", f"/v1/tenants/t/jobs?{query}&labelSelector=a")[0] == 400
    assert names == [f"j{i}" for i in range(7)]


def test_limits_of_creations_and_connections():
    limits = service.RestLimits(
        gate=overload.OverloadLimits(
            max_waiting_per_tenant=5, connection_rate=1.0, connection_burst=4.0, max_ignored_rejections=2
        )
    )
    fixture = RestApiFixture(0, limits)
    status, problem, headers = fixture.create(tasks=6)
    assert status == 429 and problem["retryAfterMs"] >= 50 and int(headers["retry-after"]) >= 1
    assert fixture.create(tasks=5)[0] == 201 and fixture.create("k")[0] == 429
    assert fixture.create("k", tenant="u")[0] == 201

    class Origin:
        close_callbacks = []

    answers = [fixture.api.handle(Request("GET", "/v1/jobs", {}, b"", connection=Origin)) for _ in range(8)]
    assert [a.status for a in answers] == [200] * 3 + [429] * 5  # a list costs more than its request
    assert [a.read_pause_ms > 0.0 for a in answers] == [False] * 5 + [True] * 3
    for call in Origin.close_callbacks:
        call("gone")
    assert Origin not in fixture.api.states_by_connection


def test_reloaded_limits_apply_at_once():
    fixture = RestApiFixture(0)
    for i in range(30):
        fixture.create(f"j{i}")
    before = fixture.request("GET", "/v1/jobs")[1]["resourceVersion"]
    limits = service.RestLimits(
        overload.OverloadLimits(max_waiting_per_tenant=31), WatchLimits(max_watchers=0), 5, 1, 1.0, 1
    )
    fixture.service.apply_limits(limits)
    assert fixture.create("k", key="k1")[0] == 201 and fixture.create("l", key="k2")[0] in (429, 503)
    assert fixture.request("GET", f"/v1/jobs?watch=1&resourceVersion={before}")[0] == 503
    fixture.service.apply_limits(service.RestLimits(max_events_per_kind=5))
    for i in range(3):
        patch = {"labels": {"a": str(i)}}
        for name in ("j0", "j1", "j2"):
            target = f"/v1/tenants/t/jobs/{name}"
            assert (
                fixture.request("PATCH", target, patch, content_type="application/merge-patch+json")[0] == 200
            )
    assert fixture.request("GET", f"/v1/jobs?watch=1&resourceVersion={before}")[0] == 410


def test_ended_jobs_and_framework_tasks_are_removed_after_a_while():
    fixture = RestApiFixture(1, service.RestLimits(job_retention_ms=5_000.0, max_ended_tasks=2))
    fixture.create()
    fixture.run()
    fixture.report("TASK_FINISHED")
    owner = Owner(fixture.cluster).subscribe()
    for i in range(4):
        owner.launch(f"m{i}")
        agent, launch = fixture.cluster.offered()[-1]
        agent.say(launch.task_id.value, "TASK_FINISHED")
        fixture.run()
    items = fixture.request("GET", "/v1/tasks")[1]["items"]
    assert [task["name"] for task in items] == ["j.0", "m2", "m3"]
    fixture.run(6_000.0)
    assert fixture.request("GET", "/v1/jobs")[1]["items"] == [] and fixture.job()["status"] == 404
    assert (
        not fixture.service.terminal_jobs
        and not fixture.service.job_counts_by_tenant
        and not fixture.service.waiting_by_tenant
    )


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
