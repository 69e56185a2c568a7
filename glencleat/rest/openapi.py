"""The OpenAPI 3.1 document, made from the routes and the schemas that check the input. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from glencleat import VERSION
from glencleat.rest import schema as s
from glencleat.rest.routes import Route

REF = "#/components/schemas/{name}"
MERGE = "application/merge-patch+json"


def document(routes: Iterable[Route], classes: Iterable[str]) -> dict[str, Any]:
    """The whole document as plain values; `classes`: those of this allocator's configuration."""
    models = [*s.TYPES_BY_KIND.values(), s.JobList, s.TaskList, s.MachineList, s.ServiceList]
    models += [s.NewJob, s.LabelPatch, s.WatchEvent, s.Problem, s.Query]
    _, schemas = msgspec.json.schema_components(models, ref_template=REF)
    query = schemas.pop("Query")
    schemas["JobSpec"]["properties"]["class"]["enum"] = sorted(classes)
    paths: dict[str, dict[str, Any]] = {}
    for route in routes:
        paths.setdefault(route.path, {})[route.method.lower()] = _operation(route, query)
    return {
        "openapi": "3.1.0",
        "info": {
            "title": "glencleat",
            "version": VERSION,
            "description": "One allocator's jobs, tasks, machines and services. Each allocator has its own.",
        },
        "paths": paths,
        "components": {"schemas": schemas},
    }


def _operation(route: Route, query: dict[str, Any]) -> dict[str, Any]:
    name = route.handler if route.handler not in ("list", "get") else route.handler + route.kind.capitalize()
    if route.handler == "list" and "{tenant}" in route.path:
        name += "OfTenant"
    told: dict[str, Any] = {
        "operationId": name,
        "summary": route.summary,
        "parameters": _parameters(route, query),
    }
    if route.body is not None:
        kind = MERGE if route.method == "PATCH" else "application/json"
        told["requestBody"] = {"required": True, "content": {kind: _schema(route.body)}}
    answers: dict[str, Any] = {}
    for status, model, text in route.responses:
        answers[str(status)] = {"description": text}
        if model is not None:
            answers[str(status)]["content"] = {"application/json": _schema(model)}
        elif status == 200:
            answers[str(status)]["content"] = {"application/json": {"schema": {"type": "object"}}}
        if model is not None and route.handler == "list":
            answers[str(status)]["content"]["application/x-ndjson"] = _schema(s.WatchEvent)
    for status in sorted({*route.error_statuses, 429, 503}):
        answers[str(status)] = {
            "description": "Not now; Retry-After says when." if status in (429, 503) else "A problem.",
            "content": {"application/problem+json": _schema(s.Problem)},
        }
    told["responses"] = answers
    return told


def _schema(model: type[Any]) -> dict[str, Any]:
    return {"schema": {"$ref": REF.format(name=model.__name__)}}


def _parameters(route: Route, query: dict[str, Any]) -> list[dict[str, Any]]:
    made: list[dict[str, Any]] = [
        {"name": name, "in": "path", "required": True, "schema": {"type": "string", "minLength": 1}}
        for name in route.parameters()
    ]
    if route.handler == "list":
        for name, told in query["properties"].items():
            schema = dict(told)
            text = schema.pop("description", "")
            made.append({"name": name, "in": "query", "description": text, "schema": schema})
    if route.handler == "get":
        made.append(_header("If-None-Match", "An ETag; 304 if it is still the state."))
    if route.method in ("DELETE", "PATCH"):
        made.append(_header("If-Match", "An ETag; 412 if it is no longer the state."))
    if route.handler == "createJob":
        text = "Names this creation within the tenant: a repeat with the same body makes no second job."
        made.append(_header("Idempotency-Key", text, minLength=1, maxLength=128))
    return made


def _header(name: str, text: str, **more: int) -> dict[str, Any]:
    return {"name": name, "in": "header", "description": text, "schema": {"type": "string", **more}}
