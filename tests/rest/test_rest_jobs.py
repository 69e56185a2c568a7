"""Jobs of the REST service: placing, ends, cancelling, repeated creation, reasons for waiting."""

import json

import pytest

from glencleat import interface as api
from glencleat.allocator.startup_gate import StartupGate
from glencleat.mesos.http import Request
from glencleat.rest import schema as s
from glencleat.rest.watches import WatchLimits as WatchLimits
from tests.support.core_world import Owner
from tests.support.rest_world import JOB, RestApiFixture

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
