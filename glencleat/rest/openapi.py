"""Builds the OpenAPI 3.1 document from the routes and from the schemas that validate requests. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from glencleat import VERSION
from glencleat.rest import schema as s
from glencleat.rest.routes import Route

SCHEMA_REF = "#/components/schemas/{name}"
MERGE_PATCH_TYPE = "application/merge-patch+json"


def document(routes: Iterable[Route], classes: Iterable[str]) -> dict[str, Any]:
    """The whole document as plain values; `classes` are the classes of this allocator's configuration."""
    models = [*s.TYPES_BY_KIND.values(), s.JobList, s.TaskList, s.MachineList, s.ServiceList]
    models += [s.NewJob, s.LabelPatch, s.WatchEvent, s.Problem, s.Query]
    _, schemas = msgspec.json.schema_components(models, ref_template=SCHEMA_REF)
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
    operation: dict[str, Any] = {
        "operationId": name,
        "summary": route.summary,
        "parameters": _parameters(route, query),
    }
    if route.body is not None:
        content_type = MERGE_PATCH_TYPE if route.method == "PATCH" else "application/json"
        operation["requestBody"] = {"required": True, "content": {content_type: _schema(route.body)}}
    responses: dict[str, Any] = {}
    for status, model, text in route.responses:
        responses[str(status)] = {"description": text}
        if model is not None:
            responses[str(status)]["content"] = {"application/json": _schema(model)}
        elif status == 200:
            responses[str(status)]["content"] = {"application/json": {"schema": {"type": "object"}}}
        if model is not None and route.handler == "list":
            responses[str(status)]["content"]["application/x-ndjson"] = _schema(s.WatchEvent)
    for status in sorted({*route.error_statuses, 429, 503}):
        responses[str(status)] = {
            "description": "Not now; Retry-After says when." if status in (429, 503) else "A problem.",
            "content": {"application/problem+json": _schema(s.Problem)},
        }
    operation["responses"] = responses
    return operation


def _schema(model: type[Any]) -> dict[str, Any]:
    return {"schema": {"$ref": SCHEMA_REF.format(name=model.__name__)}}


def _parameters(route: Route, query: dict[str, Any]) -> list[dict[str, Any]]:
    parameters: list[dict[str, Any]] = [
        {"name": name, "in": "path", "required": True, "schema": {"type": "string", "minLength": 1}}
        for name in route.parameters()
    ]
    if route.handler == "list":
        for name, property_schema in query["properties"].items():
            schema = dict(property_schema)
            text = schema.pop("description", "")
            parameters.append({"name": name, "in": "query", "description": text, "schema": schema})
    if route.handler == "get":
        parameters.append(_header("If-None-Match", "An ETag; 304 if it is still the state."))
    if route.method in ("DELETE", "PATCH"):
        parameters.append(_header("If-Match", "An ETag; 412 if it is no longer the state."))
    if route.handler == "createJob":
        text = "Names this creation within the tenant: a repeat with the same body makes no second job."
        parameters.append(_header("Idempotency-Key", text, minLength=1, maxLength=128))
    return parameters


def _header(name: str, text: str, **more: int) -> dict[str, Any]:
    return {"name": name, "in": "header", "description": text, "schema": {"type": "string", **more}}
