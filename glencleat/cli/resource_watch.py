"""Watches of resources that survive broken connections and expired resource versions."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, cast

import click

from glencleat.cli.rest_client import (
    CONNECTION_ERRORS,
    RECONNECT_WAIT_S,
    ProblemError,
    ResourceKind,
    RestClient,
)

if TYPE_CHECKING:
    from glencleat.cli.rest_resources import Job, WatchEvent

MAX_BROKEN_CONNECTIONS = 20  # in a row, after which a watch fails
MAX_WATCH_TIMEOUT_S = 3_600.0  # requested of the server for one connection


@dataclass
class ResourceWatch:
    """A watch of one kind of resource, which reconnects when a connection ends.

    The next connection resumes after `resource_version`; if that is empty, it starts with all existing
    resources. `on_change` is called for each event except bookmarks and errors.
    """

    client: RestClient
    kind: ResourceKind
    tenant: str | None
    selector: str
    resource_version: str
    on_change: Callable[[WatchEvent], None]
    broken_connections: int = 0

    def run_connection(self, remaining_s: float) -> None:
        """Follow events on one connection, for `remaining_s` seconds at most.

        Returns if the caller can connect again; raises ProblemError or one of CONNECTION_ERRORS if it should
        not.
        """
        try:
            for event in self.client.watch(self.kind, self.tenant, self._build_query(remaining_s)):
                self._handle_event(event)
        except ProblemError as error:
            if error.status != HTTPStatus.GONE or not self.resource_version:
                raise
            click.echo(f"# {error}; the watch restarts with all existing resources", err=True)
            self.resource_version = ""
        except CONNECTION_ERRORS:
            self.broken_connections += 1
            if not self.resource_version or self.broken_connections > MAX_BROKEN_CONNECTIONS:
                raise
            time.sleep(RECONNECT_WAIT_S)

    def _build_query(self, remaining_s: float) -> dict[str, str]:
        timeout_s = max(1, round(min(remaining_s, MAX_WATCH_TIMEOUT_S)))
        query = {
            "watch": "1",
            "labelSelector": self.selector,
            "resourceVersion": self.resource_version,
            "timeoutSeconds": str(timeout_s),
        }
        return {name: value for name, value in query.items() if value}

    def _handle_event(self, event: WatchEvent) -> None:
        if event["type"] == "ERROR":
            raise ProblemError.from_body(HTTPStatus.GONE, json.dumps(event["object"]).encode())
        self.resource_version = event["object"]["resourceVersion"]
        self.broken_connections = 0
        if event["type"] != "BOOKMARK":
            self.on_change(event)


def wait_for_job(client: RestClient, tenant: str, job: Job) -> Job:
    """Watch a job until none of its tasks waits or the job is deleted, and return its last state.

    Raises ProblemError or one of CONNECTION_ERRORS when the watch fails.
    """
    resource_version = job["resourceVersion"]
    while job["status"].get("waiting", 0):
        query = {"watch": "1", "resourceVersion": resource_version}
        for event in client.watch(ResourceKind.JOBS, tenant, query):
            if event["type"] == "ERROR":
                job = cast("Job", client.get_resource(ResourceKind.JOBS, tenant, job["name"]))
                resource_version = job["resourceVersion"]
                break
            resource_version = event["object"]["resourceVersion"]
            if event["object"].get("name") == job["name"]:
                job = cast("Job", event["object"])
                if event["type"] == "DELETED" or not job["status"].get("waiting", 0):
                    return job
    return job
