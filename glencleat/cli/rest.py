"""Commands of the REST front's clients: get, watch, submit, cancel, why. Tables by rich, or JSON by `-o
json`.

They speak HTTP to `--server` (or GLENCLEAT_SERVER) and import nothing of the allocator. Exit codes: 0 done;
1 the server says no (a task that is refused, a resource that is not there); 2 wrong use; 3 the server can't
be reached."""

from __future__ import annotations

import http.client
import json
import sys
import time
import uuid
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, NoReturn
from urllib.parse import quote, urlencode

import click
from rich.console import Console
from rich.table import Table

from glencleat.config.schema import SIZES, TIMES, parse_unit

BROKEN_MOST = 20  # connections in a row that a watch makes in vain
KINDS = ("jobs", "tasks", "machines", "services")
COLUMNS: dict[str, tuple[tuple[str, Callable[[Any], Any]], ...]] = {
    "jobs": (
        ("tenant", lambda x: x["tenant"]),
        ("name", lambda x: x["name"]),
        ("class", lambda x: x["spec"]["class"]),
        ("service", lambda x: x["spec"]["service"]),
        ("phase", lambda x: x["status"]["phase"]),
        *(
            (word, lambda x, word=word: x["status"].get(word, 0))
            for word in ("waiting", "placed", "finished")
        ),
        *((word, lambda x, word=word: x["status"].get(word, 0)) for word in ("ended", "refused", "failed")),
    ),
    "tasks": (
        ("tenant", lambda x: x["tenant"]),
        ("framework", lambda x: x["framework"]),
        ("name", lambda x: x["name"]),
        ("class", lambda x: x["class"]),
        ("service", lambda x: x["service"]),
        ("state", lambda x: x["state"]),
        ("machine", lambda x: x.get("machine", "")),
        ("why", lambda x: x.get("why", {}).get("summary") or x.get("message", "")),
    ),
    "machines": (
        *(
            (word, lambda x, word=word: x[word])
            for word in ("name", "kind", "zone", "cell", "phase", "agent")
        ),
        ("cores left", lambda x: x.get("coresLeft", "")),
        ("memory left", lambda x: x.get("memoryLeft", "")),
    ),
    "services": (
        ("tenant", lambda x: x["tenant"]),
        ("name", lambda x: x["name"]),
        ("waiting", lambda x: x.get("waiting", 0)),
        ("placed", lambda x: x.get("placed", 0)),
        ("halls", lambda x: ", ".join(f"{k} {v}" for k, v in sorted(x.get("zones", {}).items()))),
    ),
}


def stop(text: str, code: int) -> NoReturn:
    click.echo(f"glencleat: {text}", err=True)
    sys.exit(code)


class ProblemError(Exception):
    """The server's word on what it did not do."""

    def __init__(self, status: int, body: bytes, retry_after: float | None) -> None:
        try:
            told = json.loads(body)
            text = f"{told['title']}: {told.get('detail', '')}"
        except (ValueError, KeyError, TypeError):
            text = body.decode(errors="replace")[:300] or f"status {status}"
        super().__init__(text)
        self.status, self.retry_after = status, retry_after


@dataclass
class Client:
    """One server; each request on a connection of its own."""

    host: str
    port: int

    def open(self, method: str, target: str, body: Any = None, headers: dict[str, str] | None = None) -> Any:
        """The response, its body unread; raises Problem or OSError."""
        connection = http.client.HTTPConnection(self.host, self.port, timeout=30.0)
        told = dict(headers or {})
        data = None
        if body is not None:
            data = json.dumps(body).encode()
            told.setdefault("content-type", "application/json")
        connection.request(method, target, data, told)
        response = connection.getresponse()
        if response.status >= 400:
            wait = response.headers.get("retry-after")
            raise ProblemError(response.status, response.read(), float(wait) if wait else None)
        return response

    def ask(self, method: str, target: str, body: Any = None, headers: dict[str, str] | None = None) -> Any:
        data = self.open(method, target, body, headers).read()
        return json.loads(data) if data else None

    def pages(self, target: str, query: dict[str, str]) -> Iterator[dict[str, Any]]:
        while True:
            told = self.ask("GET", f"{target}?{urlencode(query)}")
            yield from told["items"]
            if "continue" not in told:
                return
            query = query | {"continue": told["continue"]}

    def lines(self, target: str) -> Iterator[dict[str, Any]]:
        with self.open("GET", target) as response:
            for line in response:
                yield json.loads(line)


class Server(click.ParamType[Client]):
    name = "host:port"

    def convert(self, value: Any, param: Any, ctx: Any) -> Client:
        if isinstance(value, Client):
            return value
        host, _, port = str(value).rpartition(":")
        if not host or not port.isdigit() or int(port) > 65535:
            self.fail(f"{value!r} is no HOST:PORT")
        return Client(host, int(port))


class Amount(click.ParamType[float]):
    """A number with a unit, as in the configuration."""

    def __init__(self, units: dict[str, float], example: str) -> None:
        self.units, self.example, self.name = units, example, example

    def convert(self, value: Any, param: Any, ctx: Any) -> float:
        try:
            return float(parse_unit(value, self.units, self.example))
        except ValueError as error:
            self.fail(str(error))


class Label(click.ParamType[tuple[str, str]]):
    name = "key=value"

    def convert(self, value: Any, param: Any, ctx: Any) -> tuple[str, str]:
        if isinstance(value, tuple):
            return value
        key, equals, told = str(value).partition("=")
        if not equals or not key:
            self.fail(f"{value!r} is no KEY=VALUE")
        return key, told


def shared(command: Any) -> Any:
    """The options that all commands have."""
    form = click.option("-o", "form", type=click.Choice(["table", "json"]), default="table")
    server = click.option(
        "--server",
        type=Server(),
        default="127.0.0.1:5053",
        envvar="GLENCLEAT_SERVER",
        help="Its REST address.",
    )
    tenant = click.option("-t", "--tenant", envvar="GLENCLEAT_TENANT", help="Whose; all without it.")
    return server(tenant(form(command)))


def guarded(command: Callable[..., Any]) -> Callable[..., Any]:
    """Turns what can go wrong into a line and an exit code."""

    def run(*args: Any, **more: Any) -> Any:
        try:
            return command(*args, **more)
        except ProblemError as error:
            stop(str(error), 1)
        except (OSError, http.client.HTTPException) as error:
            stop(f"the server can't be reached: {error}", 3)

    run.__name__, run.__doc__ = command.__name__, command.__doc__
    run.__click_params__ = getattr(command, "__click_params__", [])  # type: ignore[attr-defined]
    return run


def place(kind: str, tenant: str | None) -> str:
    if tenant is None or kind == "machines":
        return f"/v1/{kind}"
    return f"/v1/tenants/{quote(tenant, safe='')}/{kind}"


def named(kind: str, tenant: str | None, name: str) -> str:
    """Where one resource is. A task is FRAMEWORK/TASK, or JOB.N for a job's."""
    if kind == "machines":
        return f"/v1/machines/{quote(name, safe='')}"
    if tenant is None:
        stop(f"one of the {kind}: expected --tenant", 2)
    if kind != "tasks":
        return f"{place(kind, tenant)}/{quote(name, safe='')}"
    framework, slash, task = name.partition("/")
    if not slash:
        framework, task = f"rest:{tenant}", name
    return f"{place(kind, tenant)}/{quote(framework, safe='')}/{quote(task, safe='')}"


def show(kind: str, items: list[dict[str, Any]], form: str) -> None:
    if form == "json":
        click.echo(json.dumps(items, indent=2))
        return
    table = Table()
    for word, _ in COLUMNS[kind]:
        table.add_column(word, overflow="fold")
    for item in items:
        table.add_row(*(str(read(item)) for _, read in COLUMNS[kind]))
    Console(width=None if sys.stdout.isatty() else 160).print(table)


@click.command()
@click.argument("kind", type=click.Choice(KINDS))
@click.argument("name", required=False)
@click.option("-l", "--selector", default="", help="As in app=web,.state in (TASK_RUNNING).")
@shared
@guarded
def get(kind: str, name: str | None, selector: str, server: Client, tenant: str | None, form: str) -> None:
    """List KIND, or show the one of that NAME."""
    if name is not None:
        show(kind, [server.ask("GET", named(kind, tenant, name))], form)
        return
    query = {"labelSelector": selector} if selector else {}
    show(kind, list(server.pages(place(kind, tenant), query)), form)


@click.command()
@click.argument("kind", type=click.Choice(KINDS))
@click.option("-l", "--selector", default="")
@click.option("--since", default="", help="A resourceVersion to go on from.")
@click.option("--for", "seconds", type=click.IntRange(1, 86_400), help="End after so many seconds.")
@shared
@guarded
def watch(
    kind: str, selector: str, since: str, seconds: int | None, server: Client, tenant: str | None, form: str
) -> None:
    """Follow KIND: what is there, then each change. A watch that breaks off goes on where it was."""
    until, broken = time.monotonic() + seconds if seconds is not None else float("inf"), 0
    while (left := until - time.monotonic()) > 0.0:
        query = {"watch": "1", "labelSelector": selector, "resourceVersion": since}
        query["timeoutSeconds"] = str(max(1, round(min(left, 3_600.0))))
        target = f"{place(kind, tenant)}?{urlencode({k: v for k, v in query.items() if v})}"
        try:
            for event in server.lines(target):
                if event["type"] == "ERROR":
                    raise ProblemError(410, json.dumps(event["object"]).encode(), None)
                since, broken = event["object"]["resourceVersion"], 0
                if event["type"] != "BOOKMARK":
                    _changed(kind, event, form)
        except ProblemError as error:
            if error.status != 410 or not since:
                raise
            click.echo(f"# {error}; all that is there follows anew", err=True)
            since = ""
        except (OSError, http.client.HTTPException):
            broken += 1
            if not since or broken > BROKEN_MOST:
                raise
            time.sleep(0.3)


def _changed(kind: str, event: dict[str, Any], form: str) -> None:
    if form == "json":
        click.echo(json.dumps(event))
        return
    told = [str(read(event["object"])) for _, read in COLUMNS[kind]]
    click.echo("  ".join([f"{event['type']:<8}", *told]))


@click.command()
@click.argument("file", type=click.File("r"), required=False)
@click.option("--class", "task_class", help="One of the allocator's classes.")
@click.option("--service")
@click.option("--name", help="Of the job; made if absent.")
@click.option("--tasks", type=click.IntRange(1), default=1, show_default=True)
@click.option("--cores", type=float)
@click.option("--memory", type=Amount(SIZES, "512MB"), help="With its unit, as 512MB.")
@click.option("--wait", type=Amount(TIMES, "10m"), help="How long a task may wait, as 10m.")
@click.option("--life", type=Amount(TIMES, "5m"), help="Expected life, as 5m.")
@click.option("--key", help="Names the work: what must not run twice is not taken twice.")
@click.option("--label", "labels", type=Label(), multiple=True)
@click.option("--again", is_flag=True, help="Place tasks anew that were placed and lost.")
@click.option("--follow", is_flag=True, help="Wait until every task has its answer; 1 if one was not placed.")
@click.option("--patience", type=float, default=30.0, show_default=True, help="Seconds to try to be taken.")
@shared
@guarded
def submit(
    file: Any, server: Client, tenant: str | None, form: str, follow: bool, patience: float, **told: Any
) -> None:
    """Create a job from FILE (JSON; - is standard input) or from options. It is made once, however often
    sent."""
    if tenant is None:
        stop("submit: expected --tenant", 2)
    body = _body(file, told)
    headers = {"idempotency-key": uuid.uuid4().hex}
    until = time.monotonic() + patience
    while True:
        try:
            job = server.ask("POST", place("jobs", tenant), body, headers)
            break
        except ProblemError as error:
            if error.status not in (429, 503) or time.monotonic() > until:
                raise
            time.sleep(min(5.0, error.retry_after or 1.0))
        except (OSError, http.client.HTTPException):
            if time.monotonic() > until:
                raise
            time.sleep(0.3)
    if follow:
        job = _followed(server, tenant, job)
    show("jobs", [job], form)
    status = job["status"]
    if follow and (status.get("refused", 0) or status.get("failed", 0)):
        sys.exit(1)


def _body(file: Any, told: dict[str, Any]) -> Any:
    if file is not None:
        try:
            return json.load(file)
        except ValueError as error:
            stop(f"{file.name}: {error}; expected JSON", 2)
    lacking = [name for name in ("task_class", "service", "cores", "memory") if told[name] is None]
    if lacking:
        words = ", ".join("--" + name.removeprefix("task_") for name in lacking)
        stop(f"submit: expected FILE, or {words}", 2)
    spec = {"class": told["task_class"], "service": told["service"], "tasks": told["tasks"]}
    spec |= {"cores": told["cores"], "memory": told["memory"], "waitMs": told["wait"], "lifeMs": told["life"]}
    spec |= {"key": told["key"], "whenLost": "again" if told["again"] else None}
    body = {"labels": dict(told["labels"]), "spec": {k: v for k, v in spec.items() if v is not None}}
    return body | ({"name": told["name"]} if told["name"] else {})


def _followed(server: Client, tenant: str, job: dict[str, Any]) -> dict[str, Any]:
    """Watches the job until none of its tasks waits."""
    since = job["resourceVersion"]
    while job["status"].get("waiting", 0):
        target = f"{place('jobs', tenant)}?{urlencode({'watch': '1', 'resourceVersion': since})}"
        for event in server.lines(target):
            if event["type"] == "ERROR":
                job = server.ask("GET", named("jobs", tenant, job["name"]))
                since = job["resourceVersion"]
                break
            since = event["object"]["resourceVersion"]
            if event["object"].get("name") == job["name"]:
                job = event["object"]
                if event["type"] == "DELETED" or not job["status"].get("waiting", 0):
                    return job
    return job


@click.command()
@click.argument("kind", type=click.Choice(["job", "task"]))
@click.argument("name")
@shared
@guarded
def cancel(kind: str, name: str, server: Client, tenant: str | None, form: str) -> None:
    """Stop the job or task NAME. A task that is being placed is stopped when its machine has answered."""
    told = server.ask("DELETE", named(f"{kind}s", tenant, name))
    if told is not None:
        show(f"{kind}s", [told], form)


@click.command()
@click.argument("task")
@shared
@guarded
def why(task: str, server: Client, tenant: str | None, form: str) -> None:
    """Say why TASK (JOB.N, or FRAMEWORK/TASK) waits, or what became of it."""
    told = server.ask("GET", named("tasks", tenant, task))
    if form == "json":
        click.echo(json.dumps(told.get("why") or {"summary": told.get("message", "")}, indent=2))
        return
    reason = told.get("why")
    click.echo(f"{told['name']}: {told['state']}" + (f" on {told['machine']}" if "machine" in told else ""))
    if reason is None:
        click.echo(told.get("message") or "it does not wait")
        return
    click.echo(reason["summary"])
    table = Table()
    for word in ("cause", "what is known", "count", "last by", "at"):
        table.add_column(word, overflow="fold")
    for cause in reason.get("causes", []):
        at = cause.get("atMs")
        when = time.strftime("%H:%M:%S", time.localtime(at / 1_000.0)) if at else ""
        count, machine = str(cause.get("count", "")), cause.get("machine", "")
        table.add_row(cause["kind"], cause["text"], count, machine, when)
    Console(width=None if sys.stdout.isatty() else 140).print(table)


COMMANDS = (get, watch, submit, cancel, why)
