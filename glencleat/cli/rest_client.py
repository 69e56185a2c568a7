"""HTTP client of the REST interface, the paths of its resources, and its errors."""

from __future__ import annotations

import http.client
import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus
from typing import TYPE_CHECKING, cast
from urllib.parse import quote, urlencode

if TYPE_CHECKING:
    from glencleat.cli.rest_resources import Resource, WatchEvent

CONNECTION_ERRORS = (OSError, http.client.HTTPException)  # raised by a connection that breaks or is refused
REQUEST_TIMEOUT_S = 30.0
RECONNECT_WAIT_S = 0.3  # between such an error and the caller's next connection
MAX_PLAIN_ERROR_CHARACTERS = 300  # of an error body that is not a problem document


class ResourceKind(StrEnum):
    """A collection of resources; the value is its name in paths and on the command line."""

    JOBS = "jobs"
    TASKS = "tasks"
    MACHINES = "machines"
    SERVICES = "services"


class RestClientError(Exception):
    """Base of the errors of this client."""


class MissingTenantError(RestClientError):
    """A request needs a tenant and none is given; `subject` is what was requested."""

    def __init__(self, subject: str) -> None:
        super().__init__(f"{subject}: expected --tenant")
        self.subject = subject


class ProblemError(RestClientError):
    """The server rejected a request.

    `status` is the HTTP status; `retry_after_s` is the wait that the server asks for, or None.
    """

    def __init__(self, message: str, status: int, retry_after_s: float | None = None) -> None:
        super().__init__(message)
        self.status = status
        self.retry_after_s = retry_after_s

    @classmethod
    def from_body(cls, status: int, body: bytes, retry_after_s: float | None = None) -> ProblemError:
        """The error of a response whose body is a problem document (RFC 9457), or any text."""
        try:
            problem = json.loads(body)
            message = f"{problem['title']}: {problem.get('detail', '')}"
        except (ValueError, KeyError, TypeError):
            plain_text = body.decode(errors="replace")[:MAX_PLAIN_ERROR_CHARACTERS]
            message = plain_text or f"status {status}"
        return cls(message, status, retry_after_s)


@dataclass
class RestClient:
    """Client of one server; each request opens a new connection."""

    host: str
    port: int

    def open(
        self,
        method: str,
        target: str,
        body: object = None,
        headers: Mapping[str, str] | None = None,
    ) -> http.client.HTTPResponse:
        """Send a request and return the response without reading its body.

        `body` is sent as JSON unless it is None. Raises ProblemError if the server rejects the request, and
        one of CONNECTION_ERRORS if the connection fails.
        """
        connection = http.client.HTTPConnection(self.host, self.port, timeout=REQUEST_TIMEOUT_S)
        sent_headers = dict(headers or {})
        data = None
        if body is not None:
            data = json.dumps(body).encode()
            sent_headers.setdefault("content-type", "application/json")
        connection.request(method, target, data, sent_headers)
        response = connection.getresponse()
        if response.status >= HTTPStatus.BAD_REQUEST:
            retry_after = response.headers.get("retry-after")
            retry_after_s = float(retry_after) if retry_after else None
            raise ProblemError.from_body(response.status, response.read(), retry_after_s)
        return response

    def request_json(
        self,
        method: str,
        target: str,
        body: object = None,
        headers: Mapping[str, str] | None = None,
    ) -> object:
        """The decoded body of the response, None if it is empty; raises as `open` does."""
        data = self.open(method, target, body, headers).read()
        return json.loads(data) if data else None

    def get_resource(self, kind: ResourceKind, tenant: str | None, name: str) -> Resource:
        """The resource of that name; raises as `resource_path` and `open` do."""
        return cast("Resource", self.request_json("GET", resource_path(kind, tenant, name)))

    def list_resources(
        self, kind: ResourceKind, tenant: str | None, query: dict[str, str]
    ) -> Iterator[Resource]:
        """All resources that match `query`, page by page; raises as `open` does."""
        path = collection_path(kind, tenant)
        while True:
            page = cast("dict[str, object]", self.request_json("GET", f"{path}?{urlencode(query)}"))
            yield from cast("list[Resource]", page["items"])
            if "continue" not in page:
                return
            query = query | {"continue": str(page["continue"])}

    def watch(self, kind: ResourceKind, tenant: str | None, query: dict[str, str]) -> Iterator[WatchEvent]:
        """The events of one watch connection until the server ends it; raises as `open` does."""
        with self.open("GET", f"{collection_path(kind, tenant)}?{urlencode(query)}") as response:
            for line in response:
                yield json.loads(line)


def collection_path(kind: ResourceKind, tenant: str | None) -> str:
    """The path of a tenant's resources of a kind; of those of all tenants if `tenant` is None."""
    if tenant is None or kind is ResourceKind.MACHINES:
        return f"/v1/{kind}"
    return f"/v1/tenants/{quote(tenant, safe='')}/{kind}"


def resource_path(kind: ResourceKind, tenant: str | None, name: str) -> str:
    """The path of one resource. The name of a task is FRAMEWORK/TASK, or JOB.N for a task of a job.

    Raises MissingTenantError for a kind that belongs to a tenant when `tenant` is None.
    """
    if kind is ResourceKind.MACHINES:
        return f"/v1/machines/{quote(name, safe='')}"
    if tenant is None:
        raise MissingTenantError(f"one of the {kind}")
    collection = collection_path(kind, tenant)
    if kind is not ResourceKind.TASKS:
        return f"{collection}/{quote(name, safe='')}"
    framework, slash, task = name.partition("/")
    if not slash:
        framework = f"rest:{tenant}"
        task = name
    return f"{collection}/{quote(framework, safe='')}/{quote(task, safe='')}"
