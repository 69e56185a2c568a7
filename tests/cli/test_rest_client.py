import json

import pytest

from glencleat.cli.resource_watch import MAX_BROKEN_CONNECTIONS, ResourceWatch
from glencleat.cli.rest_client import (
    MissingTenantError,
    ProblemError,
    ResourceKind,
    collection_path,
    resource_path,
)


@pytest.mark.parametrize(
    ("kind", "tenant", "path"),
    [
        pytest.param(ResourceKind.JOBS, None, "/v1/jobs", id="all tenants"),
        pytest.param(ResourceKind.JOBS, "a/b", "/v1/tenants/a%2Fb/jobs", id="quoted tenant"),
        pytest.param(ResourceKind.MACHINES, "shop", "/v1/machines", id="machines have no tenant"),
    ],
)
def test_collection_path(kind, tenant, path):
    assert collection_path(kind, tenant) == path


@pytest.mark.parametrize(
    ("kind", "name", "path"),
    [
        pytest.param(ResourceKind.JOBS, "j 1", "/v1/tenants/shop/jobs/j%201", id="job"),
        pytest.param(ResourceKind.TASKS, "j.0", "/v1/tenants/shop/tasks/rest%3Ashop/j.0", id="task of a job"),
        pytest.param(ResourceKind.TASKS, "f/t/1", "/v1/tenants/shop/tasks/f/t%2F1", id="task of a framework"),
        pytest.param(ResourceKind.MACHINES, "m", "/v1/machines/m", id="machine"),
    ],
)
def test_resource_path(kind, name, path):
    assert resource_path(kind, "shop", name) == path


def test_resource_path_without_tenant_is_rejected_by_kind():
    with pytest.raises(MissingTenantError, match="^one of the jobs: expected --tenant$") as caught:
        resource_path(ResourceKind.JOBS, None, "j")
    assert caught.value.subject == "one of the jobs"


@pytest.mark.parametrize(
    ("body", "message"),
    [
        pytest.param(b'{"title": "No", "detail": "why"}', "No: why", id="problem"),
        pytest.param(b'{"title": "No"}', "No: ", id="problem without detail"),
        pytest.param(b'{"other": 1}', '{"other": 1}', id="other document"),
        pytest.param(b"[]", "[]", id="not an object"),
        pytest.param(b"x" * 400, "x" * 300, id="long text is truncated"),
        pytest.param(b"", "status 503", id="empty"),
    ],
)
def test_problem_message_is_read_from_the_body(body, message):
    assert str(ProblemError.from_body(503, body)) == message


def test_rejected_request_carries_status_and_retry_after(client, scripted_server):
    scripted_server.responses = [(429, {"retry-after": "2.5"}, b"busy")]
    with pytest.raises(ProblemError, match="^busy$") as caught:
        client.request_json("POST", "/v1/jobs", {"spec": {}})
    assert (caught.value.status, caught.value.retry_after_s) == (429, 2.5)


def test_empty_response_is_none(client, scripted_server):
    scripted_server.responses = [(200, {}, b"")]
    assert client.request_json("DELETE", "/v1/jobs/j") is None


def test_list_follows_continue_tokens(client, scripted_server):
    pages = [{"items": [{"name": "a"}], "continue": "c 1"}, {"items": [{"name": "b"}]}]
    scripted_server.responses = [(200, {}, json.dumps(page).encode()) for page in pages]
    resources = list(client.list_resources(ResourceKind.JOBS, None, {"labelSelector": "x=y"}))
    assert [resource["name"] for resource in resources] == ["a", "b"]
    assert [target for _, target in scripted_server.requests] == [
        "/v1/jobs?labelSelector=x%3Dy",
        "/v1/jobs?labelSelector=x%3Dy&continue=c+1",
    ]


def encode_events(*events):
    return b"".join(json.dumps(event).encode() + b"\n" for event in events)


def make_event(event_type, version):
    return {"type": event_type, "object": {"name": "j", "resourceVersion": version}}


@pytest.fixture
def changes():
    return []


@pytest.fixture
def resource_watch(client, changes):
    return ResourceWatch(
        client=client,
        kind=ResourceKind.JOBS,
        tenant=None,
        selector="",
        resource_version="",
        on_change=changes.append,
    )


def test_watch_resumes_after_a_bookmark(resource_watch, scripted_server, changes):
    scripted_server.responses = [
        (200, {}, encode_events(make_event("ADDED", "4"), make_event("BOOKMARK", "9"))),
        (200, {}, b""),
    ]
    resource_watch.run_connection(7_200.0)
    resource_watch.run_connection(0.2)
    assert changes == [make_event("ADDED", "4")]
    assert [target for _, target in scripted_server.requests] == [
        "/v1/jobs?watch=1&timeoutSeconds=3600",
        "/v1/jobs?watch=1&resourceVersion=9&timeoutSeconds=1",
    ]


@pytest.mark.parametrize("is_event", [True, False], ids=["error event", "status 410"])
def test_expired_version_restarts_the_watch(resource_watch, scripted_server, capsys, is_event):
    problem = {"title": "Gone", "detail": "too old"}
    gone_event = (200, {}, encode_events({"type": "ERROR", "object": problem}))
    gone_status = (410, {}, json.dumps(problem).encode())
    scripted_server.responses = [gone_event if is_event else gone_status]
    resource_watch.resource_version = "4"
    resource_watch.run_connection(1.0)
    assert resource_watch.resource_version == ""
    assert capsys.readouterr().err == "# Gone: too old; the watch restarts with all existing resources\n"


def test_expired_version_of_a_new_watch_is_raised(resource_watch, scripted_server):
    scripted_server.responses = [(410, {}, b"gone")]
    with pytest.raises(ProblemError, match="^gone$"):
        resource_watch.run_connection(1.0)


def test_broken_connections_are_retried_up_to_the_limit(resource_watch, monkeypatch):
    waits = []
    monkeypatch.setattr("glencleat.cli.resource_watch.time.sleep", waits.append)
    monkeypatch.setattr(resource_watch.client, "port", 1)
    resource_watch.resource_version = "4"
    for _ in range(MAX_BROKEN_CONNECTIONS):
        resource_watch.run_connection(1.0)
    with pytest.raises(ConnectionRefusedError):
        resource_watch.run_connection(1.0)
    assert waits == [0.3] * MAX_BROKEN_CONNECTIONS
