"""Requests to the REST service: what is rejected, etags, pages of lists, limits, what is removed."""

import pytest

from glencleat.mesos.http import Request
from glencleat.rest import overload, service
from glencleat.rest.watches import WatchLimits as WatchLimits
from tests.support.core_world import Owner
from tests.support.rest_world import JOB, RestApiFixture

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
