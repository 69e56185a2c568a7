"""The REST front on a core without sockets: jobs' lives, reasons, and a model of any list+watch history."""

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


class Front:
    """A cluster with a REST front, and a client of it."""

    def __init__(self, machines=2, limits=None, **options):
        self.cluster = Cluster(machines, **options)
        self.plane = service.RestService(self.cluster.core, limits or service.RestLimits(), 7)
        self.api = RestApi(self.plane)
        self.core, self.timing, self.agents = self.cluster.core, self.cluster.timing, self.cluster.agents
        for agent in self.agents.values():
            agent.subscribe()
        self.cluster.list(list(self.agents))

    def ask(self, method, target, body=None, **headers):
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        if body is not None:
            headers.setdefault("content-type", "application/json")
        told = self.api.handle(Request(method, target, headers, data))
        return told.status, json.loads(told.body) if told.body else None, told.headers

    def create(self, name="j", labels=None, tenant="t", key=None, **spec):
        headers = {} if key is None else {"idempotency_key": key}
        body = {"name": name, "labels": labels or {}, "spec": JOB | spec}
        return self.ask("POST", f"/v1/tenants/{tenant}/jobs", body, **headers)

    def run(self, ms=10.0):
        for _ in range(max(1, int(ms // 500))):
            for agent in self.agents.values():
                if agent.link.why is None:
                    agent.beat()
            self.timing.advance(min(ms, 500.0))

    def task(self, name="j.0", tenant="t"):
        return self.ask("GET", f"/v1/tenants/{tenant}/tasks/rest:{tenant}/{name}")[1]

    def job(self, name="j"):
        return self.ask("GET", f"/v1/tenants/t/jobs/{name}")[1]

    def out(self, name="j.0"):
        """The agent and attempt that the task's last call has out."""
        call = self.core.call_table.find_call("rest:t", name)
        attempt = call.active_attempt()
        return self.agents[attempt.machine], attempt.id

    def say(self, state, name="j.0", **more):
        agent, attempt = self.out(name)
        agent.say(attempt, state, **more)
        self.run()


# ---- a job's life ----


def test_a_job_is_placed_runs_and_is_over():
    front = Front()
    status, job, headers = front.create(tasks=2, labels={"app": "web"})
    assert status == 201 and headers["location"] == "/v1/tenants/t/jobs/j"
    assert (
        job["status"] == {"phase": "waiting", "waiting": 2}
        and headers["etag"] == f'"{job["resourceVersion"]}"'
    )
    front.run()
    for name in ("j.0", "j.1"):
        front.say("TASK_STARTING", name)
    assert front.job()["status"] == {"phase": "placed", "placed": 2}
    task = front.task()
    assert (task["state"], task["answer"], task["labels"]) == ("TASK_STARTING", "served", {"app": "web"})
    assert "why" not in task and task["machine"] in front.agents
    for name in ("j.0", "j.1"):
        front.say("TASK_FINISHED", name)
    assert front.job()["status"] == {"phase": "over", "finished": 2}
    front.cluster.check()


def test_a_refused_round_is_followed_by_another_and_the_answer_comes_once():
    front = Front(1)
    front.create(waitMs=30_000)
    front.run()
    first, _ = front.out()
    front.say("TASK_DROPPED", cause="cores")
    slot = front.plane.jobs_by_name["t", "j"].tasks[0]
    while slot.round_count < 2 or slot.call.active_attempt() is None:
        front.run(500.0)  # the module holds it, or asks again; the deadline of its class ends the round
        assert front.task()["state"] == "TASK_STAGING" and "answer" not in front.task()
        if slot.round_count < 2 and slot.call.active_attempt() is not None:
            front.say("TASK_DROPPED", cause="cores")
    front.say("TASK_STARTING")
    assert front.task()["answer"] == "served" and front.task()["attempts"] >= 1
    front.cluster.check()


def test_a_task_without_a_place_is_refused_before_its_owner_gives_up():
    front = Front(0)
    watcher = front.api.open_watch("tasks", "t", (), s.Query())
    front.create(waitMs=9_000)
    answered = []
    for ms in range(0, 9_000, 100):
        front.timing.advance(100.0)
        while data := front.plane.channels.take_chunk(watcher, 0.0):
            events = [json.loads(line) for line in data.splitlines()]
            answered += [ms for e in events if e["object"].get("answer") == "refused"]
    assert len(answered) == 1 and answered[0] < 9_000
    assert front.task()["state"] == "TASK_DROPPED" and front.task()["retry"] == "harmless"
    assert front.job()["status"] == {"phase": "over", "refused": 1}


def test_an_unsafe_task_that_may_have_run_gets_no_second_round():
    front = Front(2)
    front.create(waitMs=60_000, **{"class": "unsafe"})
    front.run()
    agent, attempt = front.out()
    front.run(9_000.0)  # no answer comes
    assert front.task()["state"] == "TASK_LOST" and front.task()["retry"] == "reconcile"
    front.run(30_000.0)
    assert sum(len(each.launches()) for each in front.agents.values()) == 1
    agent.say(attempt, "TASK_RUNNING")  # it did run: told, and the task is placed
    front.run()
    assert front.task()["state"] == "TASK_RUNNING" and front.job()["status"]["placed"] == 1
    front.cluster.check()


def test_a_lost_task_is_placed_again_where_the_job_says_so():
    front = Front(2)
    front.create(whenLost="again")
    front.run()
    front.say("TASK_RUNNING")
    front.say("TASK_FAILED")
    assert front.task()["state"] == "TASK_STAGING"
    front.run(2_000.0)
    front.say("TASK_RUNNING")
    assert front.task()["state"] == "TASK_RUNNING" and front.job()["status"]["placed"] == 1
    front.say("TASK_FINISHED")
    assert front.job()["status"] == {"phase": "over", "finished": 1}


def test_a_task_of_a_dead_machine_is_placed_elsewhere_and_stopped_if_it_comes_back():
    front = Front(2)
    front.create(whenLost="again")
    front.run()
    front.say("TASK_RUNNING")
    dead, attempt = front.out()
    (launch,) = dead.launches()
    dead.link.close("gone")
    front.run(5_000.0)  # past agents-return, and the pause
    front.run(1_000.0)
    assert front.out()[0] is not dead
    front.say("TASK_RUNNING")
    dead.subscribe(tasks=[launch])
    assert dead.kills() == [attempt] and front.job()["status"]["placed"] == 1
    front.cluster.check()


def test_a_machine_that_is_back_before_the_next_round_keeps_its_task():
    front = Front(1)
    front.create(whenLost="again")
    front.run()
    front.say("TASK_RUNNING")
    agent, _ = front.out()
    (launch,) = agent.launches()
    agent.link.close("gone")
    while front.task()["state"] != "TASK_STAGING":
        front.timing.advance(50.0)
    agent.subscribe(tasks=[launch])
    front.run(5_000.0)
    assert agent.launches() == [] and agent.kills() == [] and front.task()["state"] == "TASK_RUNNING"
    assert front.job()["status"]["placed"] == 1 and front.plane.waiting_by_tenant.total() == 0
    front.cluster.check()


@pytest.mark.parametrize("cls", ["safe", "unsafe"])
def test_a_job_whose_task_is_out_of_sight_can_be_cancelled(cls):
    front = Front(1)
    front.create(**{"class": cls})
    front.run()
    front.say("TASK_RUNNING")
    agent, attempt = front.out()
    (launch,) = agent.launches()
    agent.link.close("gone")
    front.run(6_000.0)
    assert front.task()["state"] == "TASK_UNREACHABLE" and front.job()["status"]["placed"] == 1
    assert front.ask("DELETE", "/v1/tenants/t/jobs/j")[0] == 204
    agent.subscribe(tasks=[launch])
    front.run()
    assert agent.kills() == [attempt], "it came back, and nobody wants it"


# ---- cancelling ----


def test_a_cancel_that_races_the_machines_yes_stops_the_task():
    front = Front(1)
    front.create()
    front.run()
    agent, attempt = front.out()
    status, job, _ = front.ask("DELETE", "/v1/tenants/t/jobs/j")
    assert status == 202 and job["status"]["phase"] == "cancelled"
    assert agent.kills() == [attempt]
    agent.say(attempt, "TASK_RUNNING")  # its yes was under way
    front.run()
    assert agent.kills()[-1] == attempt and front.task()["answer"] == "served"
    agent.say(attempt, "TASK_KILLED")
    front.run()
    assert front.ask("GET", "/v1/tenants/t/jobs/j")[0] == 404 and front.task()["status"] == 404
    assert not front.core.call_table.active_calls_by_number and front.plane.waiting_by_tenant.total() == 0
    front.cluster.check()


def test_cancelling_one_task_leaves_the_others():
    front = Front(1)
    front.create(tasks=2)
    front.run()
    target = "/v1/tenants/t/tasks/rest:t/j.0"
    assert front.ask("DELETE", target)[0] == 202
    agent, attempt = front.out("j.0")
    agent.say(attempt, "TASK_DROPPED", cause="cores")
    front.run()
    assert front.task()["state"] == "TASK_KILLED" and front.task()["answer"] == "refused"
    front.say("TASK_STARTING", "j.1")
    assert front.job()["status"] == {"phase": "placed", "placed": 1, "refused": 1}
    assert front.ask("DELETE", "/v1/tenants/t/tasks/rest:t/j.9")[0] == 404


def test_a_job_that_is_over_is_deleted_at_once_and_its_name_is_free():
    front = Front(1)
    front.create()
    front.run()
    front.say("TASK_FINISHED")
    assert front.ask("DELETE", "/v1/tenants/t/jobs/j")[0] == 204
    assert front.ask("GET", "/v1/tasks")[1]["items"] == []
    assert front.create()[0] == 201
    assert front.task()["state"] == "TASK_STAGING"


def test_shutdown_answers_what_waits_and_takes_no_more():
    front = Front(0)
    front.create(tasks=3)
    front.plane.shut_down()
    front.core.begin_shutdown()
    front.run()
    assert front.job()["status"] == {"phase": "over", "refused": 3}
    assert front.task()["message"] == "the allocator is shutting down"
    status, told, headers = front.create("k")
    assert status == 503 and "shutting down" in told["detail"] and headers["retry-after"] == "5"


# ---- made once ----


def test_a_repeated_creation_is_the_first_ones_job():
    front = Front()
    first = front.create(key="k1")
    again = front.create(key="k1")
    assert (first[0], again[0]) == (201, 200) and first[1]["uid"] == again[1]["uid"]
    assert front.create(key="k1", tasks=2)[0] == 422, "the same key with another body"
    assert front.create(key="k2")[0] == 409, "the name is taken"
    assert front.create(key="k1", tenant="u")[0] == 201, "a tenant's keys are its own"
    front.run()
    assert sum(len(agent.launches()) for agent in front.agents.values()) == 2
    front.ask("DELETE", "/v1/tenants/t/jobs/j")
    front.out()[0].say(front.out()[1], "TASK_DROPPED")
    front.run()
    assert front.create(key="k1")[0] == 410, "that job is gone, and a repeat makes no second"


def test_the_same_work_by_both_fronts_starts_once():
    """A tenant's key names the work; a class that must not start twice is not taken while it may have run."""
    front = Front(1)
    owner = Owner(front.cluster).subscribe()  # of the tenant "tenant"
    owner.launch("a", "unsafe", key="w.0")
    status, job, _ = front.create("j", tenant="tenant", key=None, **{"class": "unsafe"})
    body = {"name": "twin", "spec": JOB | {"class": "unsafe", "key": "w"}}
    assert front.ask("POST", "/v1/tenants/tenant/jobs", body)[0] == 201
    front.run()
    task = front.task("twin.0", "tenant")
    assert task["answer"] == "failed" and "same key" in task["message"] and task["retry"] == "never"
    assert front.task("j.0", "tenant")["state"] == "TASK_STAGING", "another work of the tenant"
    ((agent, launch), _) = front.cluster.offered()
    front.core.framework_sessions.kill(owner.framework, "a")
    agent.say(launch.task_id.value, "TASK_DROPPED", cause="cores")
    assert owner.states("a") == ["TASK_KILLED"], "now it is known not to have run"
    front.ask("DELETE", "/v1/tenants/tenant/jobs/twin")
    assert front.ask("POST", "/v1/tenants/tenant/jobs", body)[0] == 201
    front.run()
    assert front.task("twin.0", "tenant")["state"] == "TASK_STAGING"
    owner.launch("b", "unsafe", key="w.0")
    assert owner.states("b") == ["TASK_ERROR"], "and the other way round"


def test_a_job_made_again_after_a_restart_finds_its_tasks_running():
    first = Front(1)
    first.create(tasks=1, **{"class": "unsafe"})
    first.run()
    ((_, launch),) = first.cluster.offered()
    front = Front(0)
    front.cluster.agents["h0"] = agent = front.cluster.agents.get("h0") or type(first.agents["h0"])(
        front.cluster, "h0"
    )
    agent.subscribe(tasks=[launch])
    front.list = front.cluster.list(["h0"])
    front.run()
    assert front.task()["state"] in ("TASK_STARTING", "TASK_RUNNING")
    status, job, _ = front.create(tasks=1, **{"class": "unsafe"})
    assert status == 201 and job["status"] == {"phase": "placed", "placed": 1}
    front.run()
    assert agent.launches() == []
    agent.say(launch.task_id.value, "TASK_FINISHED")
    front.run()
    assert front.job()["status"] == {"phase": "over", "finished": 1}


def test_what_an_adopted_task_left_behind_is_no_answer_to_a_new_job():
    first = Front(1)
    first.create()
    first.run()
    ((_, launch),) = first.cluster.offered()
    front = Front(1)
    (agent,) = front.agents.values()
    agent.subscribe(tasks=[launch])
    agent.say(launch.task_id.value, "TASK_KILLED")
    front.run()
    assert front.task()["state"] == "TASK_KILLED"
    front.create()
    assert front.task()["state"] == "TASK_STAGING" and "answer" not in front.task()


def test_a_framework_cannot_subscribe_as_a_job():
    from glencleat.mesos import messages as m
    from glencleat.mesos.http import HttpError
    from glencleat.servers.scheduler_api import SchedulerApi

    front = Front()
    info = m.FrameworkInfo("u", "x", m.Value("rest:t"))
    call = m.SchedulerCall("SUBSCRIBE", m.Value("rest:t"), m.SubscribeFramework(info))
    headers = {"content-type": "application/json"}
    with pytest.raises(HttpError, match="expected none of the allocator's own") as caught:
        SchedulerApi(front.core).handle(Request("POST", "/api/v1/scheduler", headers, m.encode(call)))
    assert caught.value.status == 403


# ---- why work waits ----


def causes(front, name="j.0"):
    return {cause["kind"]: cause for cause in front.task(name)["why"]["causes"]}


def test_the_reason_follows_what_machines_say_also_when_they_say_it_wrongly():
    """A refusal by a machine that has room is told as it was said; it changes as machines recover."""
    front = Front(1)
    front.create(waitMs=60_000)
    front.run()
    assert causes(front)["out"]["machine"] == "h0"
    front.say("TASK_DROPPED", cause="memory")  # falsely: the list says that it has all its room
    said = causes(front)["refused-memory"]
    assert (
        said["count"] == 1
        and said["machine"] == "h0"
        and front.task()["why"]["summary"].startswith("refused (memory)")
    )
    assert front.ask("GET", "/v1/machines/h0")[1][
        "memoryLeft" if front.core.settings.list_has_free_capacity else "phase"
    ]
    front.cluster.list(["h0"], phase=api.MachinePhase.DRAINING)
    front.run(1_000.0)
    assert causes(front)["draining"]["count"] == 1 and "refused-memory" in causes(front)
    front.cluster.list(["h0"])
    front.run(1_000.0)
    assert "draining" not in causes(front)


def test_the_reason_says_that_no_machine_is_known_within_two_seconds():
    front = Front(1)
    front.create(cores=9_999, waitMs=60_000)
    front.run(1_000.0)
    assert "no-machine" in causes(front) and "9999 cores" in front.task()["why"]["summary"]
    front.create("k", waitMs=60_000)
    front.cluster.list([])
    front.run(1_500.0)
    assert "no-machine" in causes(front, "k.0")


def test_every_waiting_task_has_a_reason_at_any_time():
    front = Front(2)
    owner = Owner(front.cluster).subscribe()
    owner.launch("m")
    front.create(tasks=5, waitMs=30_000)
    for _ in range(40):
        front.run(250.0)
        for agent in front.agents.values():
            for launch in agent.launches()[-2:]:
                agent.say(launch.task_id.value, "TASK_DROPPED", cause="line")
        waiting = front.ask("GET", "/v1/tasks?labelSelector=.state%3DTASK_STAGING")[1]["items"]
        assert all(task["why"]["causes"] and task["why"]["summary"] for task in waiting)
    assert {task["framework"] for task in front.ask("GET", "/v1/tasks")[1]["items"]} == {
        owner.framework.id,
        "rest:t",
    }


def test_before_the_opening_a_task_waits_for_it():
    front = Front(0)
    front.core.startup_gate = StartupGate(front.core.now(), 0.0, 60_000.0)
    front.core.serving_machines = None
    front.create()
    front.run(500.0)
    assert "opening" in causes(front) and front.plane.round_queue.queued_count == 1


# ---- reading and changing ----


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
def test_what_is_wrong_is_told_and_changes_nothing(method, target, body, status, text):
    front = Front(1)
    before = front.plane.versions.current_version
    told = front.ask(method, target, body)
    assert told[0] == status == told[1]["status"] and text in told[1]["detail"]
    assert front.plane.versions.current_version == before and not front.plane.jobs_by_name


def test_tags_guard_changes():
    front = Front(1)
    _, job, headers = front.create(labels={"a": "1"})
    target, patch = "/v1/tenants/t/jobs/j", {"content_type": "application/merge-patch+json"}
    assert front.ask("GET", target, if_none_match=headers["etag"])[0] == 304
    status, patched, changed = front.ask(
        "PATCH", target, {"labels": {"a": None, "b": "2"}}, if_match=headers["etag"], **patch
    )
    assert status == 200 and patched["labels"] == {"b": "2"} and changed["etag"] != headers["etag"]
    assert front.ask("PATCH", target, {"labels": {"c": "3"}}, if_match=headers["etag"], **patch)[0] == 412
    assert front.ask("DELETE", target, if_match=headers["etag"])[0] == 412
    assert front.ask("PATCH", target, {"labels": {}})[0] == 415
    many = {f"l{i}": "x" for i in range(32)}
    assert front.ask("PATCH", target, {"labels": many}, **patch)[0] == 422
    front.run()
    assert front.task()["labels"] == {"b": "2"}
    assert front.ask("DELETE", target, if_match=f'"x", {changed["etag"]}')[0] == 202


def test_pages_and_their_tokens():
    front = Front(0)
    for i in range(7):
        front.create(f"j{i}")
    names, query = [], "limit=3"
    while True:
        page = front.ask("GET", f"/v1/tenants/t/jobs?{query}")[1]
        names += [job["name"] for job in page["items"]]
        front.create(f"j{len(names)}x")  # what comes meanwhile belongs to the next list
        if "continue" not in page:
            break
        query = f"limit=3&continue={page['continue']}"
        assert front.ask("GET", f"/v1/jobs?{query}")[0] == 400, "another list's token"
        assert front.ask("GET", f"/v1/tenants/t/jobs?{query}&labelSelector=a")[0] == 400
    assert names == [f"j{i}" for i in range(7)]


def test_bounds_of_creations_and_connections():
    limits = service.RestLimits(
        gate=overload.OverloadLimits(
            max_waiting_per_tenant=5, connection_rate=1.0, connection_burst=4.0, max_ignored_rejections=2
        )
    )
    front = Front(0, limits)
    status, told, headers = front.create(tasks=6)
    assert status == 429 and told["retryAfterMs"] >= 50 and int(headers["retry-after"]) >= 1
    assert front.create(tasks=5)[0] == 201 and front.create("k")[0] == 429
    assert front.create("k", tenant="u")[0] == 201

    class Origin:
        close_callbacks = []

    answers = [front.api.handle(Request("GET", "/v1/jobs", {}, b"", connection=Origin)) for _ in range(8)]
    assert [a.status for a in answers] == [200] * 3 + [429] * 5  # a list costs more than its request
    assert [a.read_pause_ms > 0.0 for a in answers] == [False] * 5 + [True] * 3
    for call in Origin.close_callbacks:
        call("gone")
    assert Origin not in front.api.states_by_connection


def test_other_bounds_count_from_the_reload_on():
    front = Front(0)
    for i in range(30):
        front.create(f"j{i}")
    before = front.ask("GET", "/v1/jobs")[1]["resourceVersion"]
    limits = service.RestLimits(
        overload.OverloadLimits(max_waiting_per_tenant=31), WatchLimits(max_watchers=0), 5, 1, 1.0, 1
    )
    front.plane.apply_limits(limits)
    assert front.create("k", key="k1")[0] == 201 and front.create("l", key="k2")[0] in (429, 503)
    assert front.ask("GET", f"/v1/jobs?watch=1&resourceVersion={before}")[0] == 503
    front.plane.apply_limits(service.RestLimits(max_events_per_kind=5))
    for i in range(3):
        patch = {"labels": {"a": str(i)}}
        for name in ("j0", "j1", "j2"):
            target = f"/v1/tenants/t/jobs/{name}"
            assert front.ask("PATCH", target, patch, content_type="application/merge-patch+json")[0] == 200
    assert front.ask("GET", f"/v1/jobs?watch=1&resourceVersion={before}")[0] == 410


def test_old_jobs_and_tasks_of_frameworks_go_in_time():
    front = Front(1, service.RestLimits(job_retention_ms=5_000.0, max_ended_tasks=2))
    front.create()
    front.run()
    front.say("TASK_FINISHED")
    owner = Owner(front.cluster).subscribe()
    for i in range(4):
        owner.launch(f"m{i}")
        agent, launch = front.cluster.offered()[-1]
        agent.say(launch.task_id.value, "TASK_FINISHED")
        front.run()
    items = front.ask("GET", "/v1/tasks")[1]["items"]
    assert [task["name"] for task in items] == ["j.0", "m2", "m3"]
    front.run(6_000.0)
    assert front.ask("GET", "/v1/jobs")[1]["items"] == [] and front.job()["status"] == 404
    assert (
        not front.plane.terminal_jobs
        and not front.plane.job_counts_by_tenant
        and not front.plane.waiting_by_tenant
    )


# ---- any history ----

SELECTORS = [
    "",
    "app=a",
    "app!=a,.state in (TASK_STAGING,TASK_RUNNING)",
    ".machine",
    ".class=unsafe",
    ".answer=served",
]
WORDS = ["TASK_STARTING", "TASK_RUNNING", "TASK_FINISHED", "TASK_FAILED", "TASK_DROPPED", "TASK_KILLED"]


class Watch:
    """A client that lists, watches, stops and resumes, and keeps what it was told."""

    def __init__(self, front, kind, tenant, selector):
        self.front, self.kind, self.tenant, self.selector = front, kind, tenant, selector
        self.state, self.version, self.watcher = {}, "", None

    def begin(self):
        query = s.Query(resource_version=self.version)
        try:
            self.watcher = self.front.api.open_watch(
                self.kind, self.tenant, parse_selector(self.selector), query
            )
        except VersionGoneError:
            self.version, self.state = "", {}
            self.watcher = self.front.api.open_watch(
                self.kind, self.tenant, parse_selector(self.selector), s.Query()
            )
        if not self.version:
            self.state = {}

    def take(self):
        while data := self.front.plane.channels.take_chunk(self.watcher, self.front.core.now()):
            for event in map(json.loads, data.splitlines()):
                told = event["object"]
                self.version = told["resourceVersion"]
                key = told.get("tenant"), told.get("framework"), told.get("name")
                if event["type"] == "DELETED":
                    del self.state[key]
                elif event["type"] != "BOOKMARK":
                    assert (key in self.state) is (event["type"] == "MODIFIED"), (event, self.kind)
                    self.state[key] = told
        assert self.watcher.close_reason is None

    def stop(self):
        self.front.plane.channels.remove_watcher(self.watcher)
        self.watcher = None

    def listed(self):
        place = f"/v1/tenants/{self.tenant}/{self.kind}" if self.tenant else f"/v1/{self.kind}"
        from urllib.parse import quote

        items, query = {}, f"limit=2&labelSelector={quote(self.selector)}"
        while True:
            page = self.front.ask("GET", f"{place}?{query}")[1]
            for told in page["items"]:
                items[told.get("tenant"), told.get("framework"), told.get("name")] = told
            if "continue" not in page:
                return items
            query = f"limit=2&labelSelector={quote(self.selector)}&continue={page['continue']}"


class History(RuleBasedStateMachine):
    """Jobs of both fronts, agents that say anything, machines that come and go; watches at any point."""

    @initialize()
    def begin(self):
        limits = service.RestLimits(
            max_events_per_kind=40,
            max_ended_tasks=3,
            job_retention_ms=3_000.0,
            watch=WatchLimits(max_chunk_bytes=2_000, stall_timeout_ms=1e9),
        )
        self.front = Front(2, limits)
        self.front.plane.gate.limits = overload.OverloadLimits(connection_rate=1e9, connection_burst=1e9)
        self.owner = Owner(self.front.cluster).subscribe()
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
            self.front.create(f"j{self.made}", {"app": app}, tenant, f"k{self.made}", tasks=tasks, **more)[0]
            == 201
        )

    @rule(data=st.data())
    def launch(self, data):
        self.made += 1
        self.owner.launch(f"m{self.made}", data.draw(st.sampled_from(["safe", "unsafe"])), app="a")

    @rule(data=st.data(), state=st.sampled_from(WORDS))
    def say(self, data, state):
        held = [(a, x) for a in self.front.agents.values() for x in a.launches()[-6:]]
        if held:
            agent, launch = data.draw(st.sampled_from(held))
            if agent.link.why is None:
                agent.say(launch.task_id.value, state, cause="cores" if state == "TASK_DROPPED" else None)

    @rule(ms=st.sampled_from([2.0, 30.0, 700.0, 4_000.0]))
    def wait(self, ms):
        self.front.run(ms)

    @rule(data=st.data(), keep=st.booleans())
    def change_job(self, data, keep):
        if self.front.plane.jobs_by_name:
            tenant, name = data.draw(st.sampled_from(sorted(self.front.plane.jobs_by_name)))
            target = f"/v1/tenants/{tenant}/jobs/{name}"
            if keep:
                patch = {"labels": {"app": data.draw(st.sampled_from(["a", "b", None]))}}
                assert (
                    self.front.ask("PATCH", target, patch, content_type="application/merge-patch+json")[0]
                    == 200
                )
            else:
                assert self.front.ask("DELETE", target)[0] in (202, 204)

    @rule(data=st.data())
    def machines(self, data):
        names = data.draw(st.sampled_from([["h0"], ["h0", "h1"], ["h1"]]))
        self.front.cluster.list(
            names, phase=data.draw(st.sampled_from([api.MachinePhase.SERVING, api.MachinePhase.DRAINING]))
        )

    @rule(data=st.data())
    def agent_goes_or_comes(self, data):
        agent = data.draw(st.sampled_from(list(self.front.agents.values())))
        if agent.link.why is None:
            agent.link.close("cut")
        else:
            agent.subscribe()

    @rule(data=st.data())
    def watch(self, data):
        if len(self.watches) < 4:
            kind = data.draw(st.sampled_from(["jobs", "tasks", "machines", "services"]))
            tenant = data.draw(st.sampled_from([None, "t"])) if kind != "machines" else None
            made = Watch(self.front, kind, tenant, data.draw(st.sampled_from(SELECTORS)))
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
    def sums(self):
        if not hasattr(self, "front"):
            return
        self.front.cluster.check()
        waits = [
            slot
            for job in self.front.plane.jobs_by_name.values()
            for slot in job.tasks
            if slot.step in service.WAITING_STEPS
        ]
        assert len(waits) == self.front.plane.waiting_by_tenant.total()
        for job in self.front.plane.jobs_by_name.values():
            for slot in job.tasks:
                if slot.step is JobStep.IN_ROUND:
                    assert slot.call is not None and slot.call.final_answer is None
                if slot.step is JobStep.PLACED:
                    assert slot.final_answer is not None

    def teardown(self):
        """In the end all services' sums are those of the tasks."""
        if not hasattr(self, "front"):
            return
        self.front.run(20.0)
        counted = {}
        for task in self.front.ask("GET", "/v1/tasks?limit=1000")[1]["items"]:
            kind = "waiting" if task["state"] == "TASK_STAGING" else "placed" if "machine" in task else None
            if kind and task["state"] in ("TASK_STAGING", "TASK_STARTING", "TASK_RUNNING"):
                sums = counted.setdefault((task["tenant"], task["service"]), {"waiting": 0, "placed": 0})
                sums[kind] += 1
        told = self.front.ask("GET", "/v1/services")[1]["items"]
        listed = {(x["tenant"], x["name"]): {k: x.get(k, 0) for k in ("waiting", "placed")} for x in told}
        assert listed == counted


TestHistory = History.TestCase
TestHistory.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.filter_too_much],
)
