"""The routes of the REST API: one table for the dispatcher and for the OpenAPI document. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from glencleat.rest import schema as s


@dataclass(frozen=True, slots=True)
class Route:
    """One method and path of the API.

    `path` has `{name}` for each path parameter; `key_parameters` are those that make up the resource's key.
    """

    method: str
    path: str
    handler: str
    summary: str
    kind: str = ""
    key_parameters: tuple[str, ...] = ()
    body: type[Any] | None = None
    responses: tuple[tuple[int, type[Any] | None, str], ...] = ()
    error_statuses: tuple[int, ...] = ()

    def match(self, path: list[str]) -> dict[str, str] | None:
        """The decoded values of the path parameters; None if the path doesn't match."""
        parts = self.path.split("/")[1:]
        if len(parts) != len(path):
            return None
        values = dict[str, str]()
        for part, given in zip(parts, path, strict=True):
            if part.startswith("{") and given:
                values[part[1:-1]] = given
            elif part != given:
                return None
        return values

    def parameters(self) -> list[str]:
        """The names of the path parameters."""
        return [part[1:-1] for part in self.path.split("/") if part.startswith("{")]


LIST_TYPES_BY_KIND = {
    "jobs": s.JobList,
    "tasks": s.TaskList,
    "machines": s.MachineList,
    "services": s.ServiceList,
}


def _list_routes() -> list[Route]:
    routes = []
    for kind, list_type in LIST_TYPES_BY_KIND.items():
        responses = ((200, list_type, "A page, or with `watch=1` a stream of WatchEvent lines."),)
        paths = [f"/v1/{kind}"] + ([f"/v1/tenants/{{tenant}}/{kind}"] if kind != "machines" else [])
        for path in paths:
            scope = " of a tenant" if "{" in path else ""
            routes.append(
                Route(
                    "GET", path, "list", f"List or watch {kind}{scope}", kind, (), None, responses, (400, 410)
                )
            )
    return routes


def _get_routes() -> list[Route]:
    routes = []
    for kind, path in (
        ("jobs", "/v1/tenants/{tenant}/jobs/{name}"),
        ("tasks", "/v1/tenants/{tenant}/tasks/{framework}/{name}"),
        ("services", "/v1/tenants/{tenant}/services/{name}"),
        ("machines", "/v1/machines/{name}"),
    ):
        route = Route("GET", path, "get", f"Get one of the {kind}", kind)
        responses = ((200, s.TYPES_BY_KIND[kind], "The resource."), (304, None, "As If-None-Match has it."))
        routes.append(
            Route(
                "GET",
                path,
                "get",
                route.summary,
                kind,
                tuple(route.parameters()),
                None,
                responses,
                (400, 404),
            )
        )
    return routes


JOB_PATH, TASK_PATH = "/v1/tenants/{tenant}/jobs/{name}", "/v1/tenants/{tenant}/tasks/{framework}/{name}"
ROUTES: tuple[Route, ...] = (
    Route("GET", "/openapi.json", "openapi", "This document", responses=((200, None, "OpenAPI 3.1."),)),
    *_list_routes(),
    *_get_routes(),
    Route(
        "POST",
        "/v1/tenants/{tenant}/jobs",
        "createJob",
        "Create a job; with an Idempotency-Key, a repeat gives the first one's job",
        "jobs",
        (),
        s.NewJob,
        ((201, s.Job, "The new job."), (200, s.Job, "The job that this key made before.")),
        (400, 409, 410, 413, 415, 422, 503),
    ),
    Route(
        "DELETE",
        JOB_PATH,
        "deleteJob",
        "Cancel a job: its tasks are stopped, and it is gone once they are over",
        "jobs",
        ("tenant", "name"),
        None,
        ((202, s.Job, "Its tasks are being stopped."), (204, None, "It was over, and is gone.")),
        (400, 404, 412),
    ),
    Route(
        "PATCH",
        JOB_PATH,
        "patchJob",
        "Change a job's labels by a merge patch",
        "jobs",
        ("tenant", "name"),
        s.LabelPatch,
        ((200, s.Job, "The job with its new labels."),),
        (400, 404, 412, 413, 415, 422),
    ),
    Route(
        "DELETE",
        TASK_PATH,
        "deleteTask",
        "Cancel one task, of a job or of a framework",
        "tasks",
        ("tenant", "framework", "name"),
        None,
        ((202, s.Task, "As it stands; its end follows."), (204, None, "It is gone.")),
        (400, 404, 412),
    ),
)
