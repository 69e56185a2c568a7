"""Prints resources as tables, with a column for each field that is shown, or as JSON."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Generic, Literal, TypeVar

import click
from rich.console import Console
from rich.table import Table

from glencleat.cli.parameter_types import OutputFormat
from glencleat.cli.rest_client import ResourceKind

if TYPE_CHECKING:
    from glencleat.cli.rest_resources import Job, Machine, Resource, Service, Task, WatchEvent

ResourceT = TypeVar("ResourceT")

LISTING_WIDTH = 160  # columns, if the output is not a terminal
EVENT_TYPE_WIDTH = 8


@dataclass(frozen=True)
class Column(Generic[ResourceT]):
    """The title of a column, and the function that reads its value from a resource."""

    title: str
    read: Callable[[ResourceT], object]


def _status_count(
    count: Literal["waiting", "placed", "finished", "ended", "refused", "failed"],
) -> Column[Job]:
    return Column(count, lambda job: job["status"].get(count, 0))


def _machine_field(field: Literal["name", "kind", "zone", "cell", "phase", "agent"]) -> Column[Machine]:
    return Column(field, lambda machine: machine[field])


def _explain_state(task: Task) -> str:
    explanation = task.get("why")
    summary = explanation.get("summary") if explanation is not None else None
    return summary or task.get("message", "")


def _format_zones(service: Service) -> str:
    counts = sorted(service.get("zones", {}).items())
    return ", ".join(f"{zone} {count}" for zone, count in counts)


JOB_COLUMNS: tuple[Column[Job], ...] = (
    Column("tenant", lambda job: job["tenant"]),
    Column("name", lambda job: job["name"]),
    Column("class", lambda job: job["spec"]["class"]),
    Column("service", lambda job: job["spec"]["service"]),
    Column("phase", lambda job: job["status"]["phase"]),
    _status_count("waiting"),
    _status_count("placed"),
    _status_count("finished"),
    _status_count("ended"),
    _status_count("refused"),
    _status_count("failed"),
)
TASK_COLUMNS: tuple[Column[Task], ...] = (
    Column("tenant", lambda task: task["tenant"]),
    Column("framework", lambda task: task["framework"]),
    Column("name", lambda task: task["name"]),
    Column("class", lambda task: task["class"]),
    Column("service", lambda task: task["service"]),
    Column("state", lambda task: task["state"]),
    Column("machine", lambda task: task.get("machine", "")),
    Column("why", _explain_state),
)
MACHINE_COLUMNS: tuple[Column[Machine], ...] = (
    _machine_field("name"),
    _machine_field("kind"),
    _machine_field("zone"),
    _machine_field("cell"),
    _machine_field("phase"),
    _machine_field("agent"),
    Column("cores left", lambda machine: machine.get("coresLeft", "")),
    Column("memory left", lambda machine: machine.get("memoryLeft", "")),
)
SERVICE_COLUMNS: tuple[Column[Service], ...] = (
    Column("tenant", lambda service: service["tenant"]),
    Column("name", lambda service: service["name"]),
    Column("waiting", lambda service: service.get("waiting", 0)),
    Column("placed", lambda service: service.get("placed", 0)),
    Column("halls", _format_zones),
)
COLUMNS_BY_KIND: dict[ResourceKind, Sequence[Column[Any]]] = {
    ResourceKind.JOBS: JOB_COLUMNS,
    ResourceKind.TASKS: TASK_COLUMNS,
    ResourceKind.MACHINES: MACHINE_COLUMNS,
    ResourceKind.SERVICES: SERVICE_COLUMNS,
}


def open_console(fallback_width: int) -> Console:
    """A console as wide as the terminal, or `fallback_width` columns if the output is not a terminal."""
    return Console(width=None if sys.stdout.isatty() else fallback_width)


def print_table(titles: Iterable[str], rows: Iterable[Sequence[str]], fallback_width: int) -> None:
    """Print a table with titles and rows; see `open_console` for its width."""
    table = Table()
    for title in titles:
        table.add_column(title, overflow="fold")
    for row in rows:
        table.add_row(*row)
    open_console(fallback_width).print(table)


def print_resources(kind: ResourceKind, resources: Sequence[Resource], output: OutputFormat) -> None:
    """Print resources of one kind as a table or a JSON array."""
    if output is OutputFormat.JSON:
        click.echo(json.dumps(resources, indent=2))
        return
    print_table(
        titles=(column.title for column in COLUMNS_BY_KIND[kind]),
        rows=(_read_cells(kind, resource) for resource in resources),
        fallback_width=LISTING_WIDTH,
    )


def print_event(kind: ResourceKind, event: WatchEvent, output: OutputFormat) -> None:
    """Print an event of a watch on one line."""
    if output is OutputFormat.JSON:
        click.echo(json.dumps(event))
        return
    cells = _read_cells(kind, event["object"])
    click.echo("  ".join([f"{event['type']:<{EVENT_TYPE_WIDTH}}", *cells]))


def _read_cells(kind: ResourceKind, resource: Resource) -> list[str]:
    return [str(column.read(resource)) for column in COLUMNS_BY_KIND[kind]]
