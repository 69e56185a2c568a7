"""Client commands of the REST interface: get, watch, submit, cancel, why.

They speak HTTP to `--server` (or GLENCLEAT_SERVER) and import nothing of the allocator. Exit codes:
0 success; 1 the server rejects the request (a task is rejected, a resource does not exist); 2 wrong usage;
3 the server can't be reached.
"""

from __future__ import annotations

import functools
import json
import sys
import time
import uuid
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, ParamSpec, TextIO, TypeVar, Unpack, cast

import click

from glencleat.cli.exit_codes import ExitCode, fail
from glencleat.cli.parameter_types import LabelType, OutputFormat, QuantityType, ServerType
from glencleat.cli.rest_client import (
    CONNECTION_ERRORS,
    RECONNECT_WAIT_S,
    MissingTenantError,
    ProblemError,
    ResourceKind,
    RestClient,
    collection_path,
    resource_path,
)
from glencleat.config.schema import MB_BY_UNIT, MS_BY_UNIT

if TYPE_CHECKING:
    from glencleat.cli.rest_resources import (
        Job,
        JobOptions,
        JobRequest,
        JobSpec,
        Resource,
        Task,
        WaitCause,
        WaitExplanation,
    )

CommandParameters = ParamSpec("CommandParameters")
CommandResult = TypeVar("CommandResult")
CommandFunction = TypeVar("CommandFunction", bound=Callable[..., Any])

DEFAULT_SERVER = "127.0.0.1:5053"
MAX_WATCH_S = 86_400
RETRIED_STATUSES = (429, 503)  # the server is overloaded, starting or shutting down
DEFAULT_RETRY_WAIT_S = 1.0  # if the server sends no Retry-After
MAX_RETRY_WAIT_S = 5.0
MS_PER_S = 1_000.0
CAUSES_WIDTH = 140  # columns, if the output is not a terminal
CAUSE_TITLES = ("cause", "details", "count", "last machine", "at")


def connection_options(command: CommandFunction) -> CommandFunction:
    """Add the options that all these commands share: server, tenant and output format."""
    add_output = click.option(
        "-o", "output", type=click.Choice([output.value for output in OutputFormat]), default="table"
    )
    add_server = click.option(
        "--server",
        type=ServerType(),
        default=DEFAULT_SERVER,
        envvar="GLENCLEAT_SERVER",
        help="REST address of the server.",
    )
    add_tenant = click.option(
        "-t", "--tenant", envvar="GLENCLEAT_TENANT", help="Tenant of the resources; all tenants if absent."
    )
    return add_server(add_tenant(add_output(command)))


def exit_on_errors(
    command: Callable[CommandParameters, CommandResult],
) -> Callable[CommandParameters, CommandResult]:
    """Report errors of the client as one line on standard error and an exit code."""

    @functools.wraps(command)
    def run(*args: CommandParameters.args, **kwargs: CommandParameters.kwargs) -> CommandResult:
        try:
            return command(*args, **kwargs)
        except MissingTenantError as error:
            fail(error, ExitCode.WRONG_USE)
        except ProblemError as error:
            fail(error, ExitCode.FAILED)
        except CONNECTION_ERRORS as error:
            fail(f"the server can't be reached: {error}", ExitCode.UNAVAILABLE)

    return run


@click.command("get")
@click.argument("kind", type=click.Choice([kind.value for kind in ResourceKind]))
@click.argument("name", required=False)
@click.option("-l", "--selector", default="", help="Label selector, as in app=web,.state in (TASK_RUNNING).")
@connection_options
@exit_on_errors
def get_resources(
    kind: str, name: str | None, selector: str, server: RestClient, tenant: str | None, output: str
) -> None:
    """List the resources of KIND, or show the one named NAME."""
    from glencleat.cli import tables

    resource_kind = ResourceKind(kind)
    if name is not None:
        resources = [server.get_resource(resource_kind, tenant, name)]
    else:
        query = {"labelSelector": selector} if selector else {}
        resources = list(server.list_resources(resource_kind, tenant, query))
    tables.print_resources(resource_kind, resources, OutputFormat(output))


@click.command("watch")
@click.argument("kind", type=click.Choice([kind.value for kind in ResourceKind]))
@click.option("-l", "--selector", default="")
@click.option("--since", default="", help="The resourceVersion to resume after.")
@click.option("--for", "seconds", type=click.IntRange(1, MAX_WATCH_S), help="Stop after this many seconds.")
@connection_options
@exit_on_errors
def watch_resources(
    kind: str,
    selector: str,
    since: str,
    seconds: int | None,
    server: RestClient,
    tenant: str | None,
    output: str,
) -> None:
    """Print the resources of KIND, then each change. A broken connection is resumed where it ended."""
    from glencleat.cli import tables
    from glencleat.cli.resource_watch import ResourceWatch

    resource_kind = ResourceKind(kind)
    resource_watch = ResourceWatch(
        client=server,
        kind=resource_kind,
        tenant=tenant,
        selector=selector,
        resource_version=since,
        on_change=lambda event: tables.print_event(resource_kind, event, OutputFormat(output)),
    )
    deadline_s = time.monotonic() + seconds if seconds is not None else float("inf")
    while (remaining_s := deadline_s - time.monotonic()) > 0.0:
        resource_watch.run_connection(remaining_s)


@click.command(
    "submit",
    help="Create a job from FILE (JSON; - is standard input) or from options. "
    "The job is created once, however often the request is sent.",
)
@click.argument("file", type=click.File("r"), required=False)
@click.option("--class", "task_class", help="One of the allocator's classes.")
@click.option("--service")
@click.option("--name", help="Name of the job; generated if absent.")
@click.option("--tasks", type=click.IntRange(1), default=1, show_default=True)
@click.option("--cores", type=float)
@click.option(
    "--memory",
    "memory_mb",
    type=QuantityType(MB_BY_UNIT, "512MB"),
    help="Memory of a task with its unit, as in 512MB.",
)
@click.option(
    "--wait", "wait_ms", type=QuantityType(MS_BY_UNIT, "10m"), help="How long a task may wait, as in 10m."
)
@click.option(
    "--life", "life_ms", type=QuantityType(MS_BY_UNIT, "5m"), help="Expected run time of a task, as in 5m."
)
@click.option("--key", help="Names the work: a non-idempotent class accepts no second task with this key.")
@click.option("--label", "labels", type=LabelType(), multiple=True)
@click.option("--again", is_flag=True, help="Place a task again if it is lost after it was placed.")
@click.option(
    "--follow",
    is_flag=True,
    help="Wait until every task has its final answer; exits with 1 if one was not placed.",
)
@click.option(
    "--patience",
    type=float,
    default=30.0,
    show_default=True,
    help="Seconds for which to retry until the server accepts the job.",
)
@connection_options
@exit_on_errors
def submit_job(
    file: TextIO | None,
    server: RestClient,
    tenant: str | None,
    output: str,
    follow: bool,
    patience: float,
    **options: Unpack[JobOptions],
) -> None:
    """Create a job and print it; with `follow`, after each of its tasks has a final answer."""
    from glencleat.cli import tables
    from glencleat.cli.resource_watch import wait_for_job

    if tenant is None:
        raise MissingTenantError("submit")
    request = _build_job_request(options) if file is None else _read_job_request(file)
    job = _create_job(server, tenant, request, deadline_s=time.monotonic() + patience)
    if follow:
        job = wait_for_job(server, tenant, job)
    tables.print_resources(ResourceKind.JOBS, [job], OutputFormat(output))
    status = job["status"]
    if follow and (status.get("refused", 0) or status.get("failed", 0)):
        sys.exit(ExitCode.FAILED)


def _read_job_request(file: TextIO) -> object:
    """The request body that the file holds; the server validates it."""
    try:
        return json.load(file)
    except ValueError as error:
        fail(f"{file.name}: {error}; expected JSON", ExitCode.WRONG_USE)


def _build_job_request(options: JobOptions) -> JobRequest:
    required_options = {
        "--class": options["task_class"],
        "--service": options["service"],
        "--cores": options["cores"],
        "--memory": options["memory_mb"],
    }
    missing_options = [option for option, value in required_options.items() if value is None]
    if missing_options:
        fail(f"submit: expected FILE, or {', '.join(missing_options)}", ExitCode.WRONG_USE)
    spec: JobSpec = {
        "class": options["task_class"],
        "service": options["service"],
        "tasks": options["tasks"],
        "cores": options["cores"],
        "memory": options["memory_mb"],
        "waitMs": options["wait_ms"],
        "lifeMs": options["life_ms"],
        "key": options["key"],
        "whenLost": "again" if options["again"] else None,
    }
    given_fields = {field: value for field, value in spec.items() if value is not None}
    request: JobRequest = {"labels": dict(options["labels"]), "spec": cast("JobSpec", given_fields)}
    if options["name"]:
        request["name"] = options["name"]
    return request


def _create_job(server: RestClient, tenant: str, request: object, deadline_s: float) -> Job:
    """Create the job; while the server can't accept it, retry until `deadline_s` of the monotonic clock.

    All attempts carry one idempotency key, so that the job is created once.
    """
    headers = {"idempotency-key": uuid.uuid4().hex}
    path = collection_path(ResourceKind.JOBS, tenant)
    while True:
        try:
            return cast("Job", server.request_json("POST", path, request, headers))
        except ProblemError as error:
            if error.status not in RETRIED_STATUSES or time.monotonic() > deadline_s:
                raise
            wait_s = min(MAX_RETRY_WAIT_S, error.retry_after_s or DEFAULT_RETRY_WAIT_S)
        except CONNECTION_ERRORS:
            if time.monotonic() > deadline_s:
                raise
            wait_s = RECONNECT_WAIT_S
        time.sleep(wait_s)


@click.command("cancel")
@click.argument("kind", type=click.Choice(["job", "task"]))
@click.argument("name")
@connection_options
@exit_on_errors
def cancel_resource(kind: str, name: str, server: RestClient, tenant: str | None, output: str) -> None:
    """Stop the job or task NAME. A task that is being placed is stopped once its machine has answered."""
    from glencleat.cli import tables

    resource_kind = ResourceKind(f"{kind}s")
    resource = server.request_json("DELETE", resource_path(resource_kind, tenant, name))
    if resource is not None:
        tables.print_resources(resource_kind, [cast("Resource", resource)], OutputFormat(output))


@click.command("why")
@click.argument("task")
@connection_options
@exit_on_errors
def explain_task(task: str, server: RestClient, tenant: str | None, output: str) -> None:
    """Print why TASK (JOB.N, or FRAMEWORK/TASK) waits, or its outcome."""
    resource = cast("Task", server.get_resource(ResourceKind.TASKS, tenant, task))
    explanation = resource.get("why")
    if OutputFormat(output) is OutputFormat.JSON:
        click.echo(json.dumps(explanation or {"summary": resource.get("message", "")}, indent=2))
        return
    place = f" on {resource['machine']}" if "machine" in resource else ""
    click.echo(f"{resource['name']}: {resource['state']}{place}")
    if explanation is None:
        click.echo(resource.get("message") or "the task does not wait")
        return
    _print_explanation(explanation)


def _print_explanation(explanation: WaitExplanation) -> None:
    from glencleat.cli import tables

    click.echo(explanation["summary"])
    tables.print_table(
        titles=CAUSE_TITLES,
        rows=(_format_cause(cause) for cause in explanation.get("causes", [])),
        fallback_width=CAUSES_WIDTH,
    )


def _format_cause(cause: WaitCause) -> tuple[str, ...]:
    at_ms = cause.get("atMs")
    time_of_day = time.strftime("%H:%M:%S", time.localtime(at_ms / MS_PER_S)) if at_ms else ""
    return cause["kind"], cause["text"], str(cause.get("count", "")), cause.get("machine", ""), time_of_day


COMMANDS = (get_resources, watch_resources, submit_job, cancel_resource, explain_task)
