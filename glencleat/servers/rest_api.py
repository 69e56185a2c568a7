"""The REST front at /v1: jobs, tasks, machines, services; lists, watches, creations; errors as RFC 9457.

Parses, asks the plane, writes JSON; the routes of `ROUTES` are also what the OpenAPI document is made from
(`rest.openapi`). A watch is a stream of lines that the plane's channels fill at the reader's pace."""

from __future__ import annotations

import base64
import math
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, quote, unquote, urlsplit

import msgspec

from glencleat.event_loop import StreamClosedError
from glencleat.event_loop.loop import Coroutine, LoopTask
from glencleat.mesos.http import HttpError, Request, Response
from glencleat.rest import openapi, overload, watches
from glencleat.rest import schema as s
from glencleat.rest.jobs import TokenBucket
from glencleat.rest.routes import ROUTES, Route
from glencleat.rest.selector import Selector, SelectorError, parse_selector
from glencleat.rest.service import ConflictError, OverloadError, RestService
from glencleat.rest.version_store import Key, ResourceRecord, VersionEvent, VersionGoneError
from glencleat.servers.http_server import Sink, StreamResponse

JSON, PROBLEM, LINES = "application/json", "application/problem+json", "application/x-ndjson"
MAX_TARGET_CHARACTERS = 4_096  # characters
MAX_KEY_CHARACTERS = 128  # of an Idempotency-Key
INITIAL_PAGE_SIZE = 100  # resources in a piece of a watch that begins without a version
BOOKMARK_MS = 5_000.0
FINAL_SEND_TIMEOUT_MS = 2_000.0  # for a watcher that is cut off to read why
QUERY_FIELDS = {field.encode_name for field in msgspec.structs.fields(s.Query)}
TITLES = {
    400: "Bad request",
    404: "Not found",
    405: "Method not allowed",
    409: "Conflict",
    410: "Gone",
    412: "Precondition failed",
    413: "Body too large",
    414: "Target too long",
    415: "Media type not supported",
    422: "Not acceptable as it stands",
    429: "Too many requests",
    503: "Not now",
}


def problem_response(error: HttpError) -> Response:
    """An error as RFC 9457 has it."""
    told = s.Problem(title=TITLES.get(error.status, "Error"), status=error.status, detail=error.text)
    return Response(error.status, s.encode(told), PROBLEM, error.headers)


def rejection_response(told: overload.OverloadRejection) -> Response:
    body = s.Problem(
        title=TITLES[told.status],
        status=told.status,
        detail=told.text,
        retry_after_ms=round(told.retry_after_ms),
    )
    seconds = max(1, math.ceil(told.retry_after_ms / 1_000.0))
    return Response(told.status, s.encode(body), PROBLEM, {"retry-after": str(seconds)})


@dataclass(slots=True, eq=False)
class ConnectionState:
    """What is kept of one connection."""

    bucket: TokenBucket
    rejections_in_row: int = 0  # in a row


@dataclass(slots=True)
class RestRequest:
    """A request, matched to its route."""

    route: Route
    request: Request
    path_parameters: dict[str, str]
    query: str


class RestApi:
    def __init__(self, plane: RestService) -> None:
        self.rest_service, self.core = plane, plane.core
        self.states_by_connection: dict[object, ConnectionState] = {}
        self.sinks_by_watcher: dict[watches.Watcher, Sink] = {}
        self.counts_by_status: dict[int, int] = {}  # by status
        self.document: bytes | None = None
        plane.close_watcher = self._cut
        plane.channels.is_blocked = self._blocked
        self.handlers: dict[str, Callable[[RestRequest], Response | StreamResponse]] = {
            "openapi": self._openapi,
            "list": self._list,
            "get": self._get,
            "createJob": self._create,
            "deleteJob": self._delete_job,
            "patchJob": self._patch_job,
            "deleteTask": self._delete_task,
        }

    # ---- requests ----

    def handle(self, request: Request) -> Response | StreamResponse:
        peer = self._peer(request)
        told: Response | StreamResponse
        try:
            told = self._admitted(request, peer)
        except HttpError as error:
            told = problem_response(error)
        except ConflictError as error:
            told = problem_response(HttpError(error.status, error.text))
        except VersionGoneError as error:
            told = problem_response(HttpError(410, str(error)))
        except OverloadError as error:
            told = rejection_response(error.rejection)
        if isinstance(told, Response):
            self._count(told, peer)
        return told

    def _count(self, told: Response, peer: ConnectionState) -> None:
        self.counts_by_status[told.status] = self.counts_by_status.get(told.status, 0) + 1
        if told.status not in (429, 503):
            peer.rejections_in_row = 0
            return
        peer.rejections_in_row += 1
        told.read_pause_ms = self.rest_service.gate.pause_ms(
            peer.rejections_in_row, 1_000.0 * float(told.headers["retry-after"])
        )

    def _peer(self, request: Request) -> ConnectionState:
        origin: Any = request.connection
        peer = self.states_by_connection.get(origin)
        if peer is None:
            peer = ConnectionState(self.rest_service.gate.connection_bucket(self.core.now()))
            if origin is not None:
                self.states_by_connection[origin] = peer
                origin.close_callbacks.append(lambda _: self.states_by_connection.pop(origin, None))
        return peer

    def _admitted(self, request: Request, peer: ConnectionState) -> Response | StreamResponse:
        refusal = self.rest_service.gate.admit_request(peer.bucket, 1.0, self.core.now())
        if refusal is not None:
            return rejection_response(refusal)
        asked = self._route(request)
        told = self.handlers[asked.route.handler](asked)
        if isinstance(told, Response) and asked.route.handler == "list":
            peer.bucket.consume(len(told.body) / 50_000.0)  # a long list costs more than a short one
        return told

    def _route(self, request: Request) -> RestRequest:
        if len(request.target) > MAX_TARGET_CHARACTERS:
            raise HttpError(
                414, f"a target of {len(request.target)} characters; expected at most {MAX_TARGET_CHARACTERS}"
            )
        try:
            parts = urlsplit(request.target)
            path = [unquote(part, errors="strict") for part in parts.path.split("/")[1:]]
        except ValueError as error:
            raise HttpError(400, f"target: {error}") from None
        method = "GET" if request.method == "HEAD" else request.method
        allowed = list[str]()
        for route in ROUTES:
            found = route.match(path)
            if found is not None and route.method == method:
                return RestRequest(route, request, found, parts.query)
            if found is not None:
                allowed.append(route.method)
        if allowed:
            wrong = HttpError(405, f"{request.method[:20]}: expected {', '.join(sorted(allowed))}")
            wrong.headers["allow"] = ", ".join(sorted(allowed))
            raise wrong
        raise HttpError(404, f"{request.target[:80]}: no such resource; /openapi.json tells what there is")

    @staticmethod
    def _query(asked: RestRequest) -> s.Query:
        try:
            pairs = parse_qsl(asked.query, keep_blank_values=True, errors="strict", max_num_fields=16)
            told = dict(pairs)
            if len(told) != len(pairs):
                raise ValueError("a parameter is there twice")
            unknown = sorted(set(told) - QUERY_FIELDS)
            if unknown:
                raise ValueError(
                    f"no parameter {unknown[0][:40]!r}; expected {', '.join(sorted(QUERY_FIELDS))}"
                )
            return msgspec.convert(told, s.Query, strict=False)
        except (ValueError, msgspec.ValidationError) as error:
            raise HttpError(400, f"query: {error}") from None

    @staticmethod
    def _body(asked: RestRequest, kind: type[Any], content_type: str) -> Any:
        request = asked.request
        told = request.headers.get("content-type", "").split(";")[0].strip().lower()
        if told != content_type:
            raise HttpError(415, f"Content-Type is {told[:40]!r}; expected {content_type}")
        try:
            return s.BODY_DECODERS[kind].decode(request.body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            # What is no JSON is 400; what is, and does not fit the schema, is 422.
            status = 422 if isinstance(error, msgspec.ValidationError) else 400
            raise HttpError(status, f"body: {str(error)[:300]}") from None

    # ---- reading ----

    def _openapi(self, asked: RestRequest) -> Response:
        if self.document is None:
            self.document = s.encode(openapi.document(ROUTES, self.core.classes_by_name))
        return Response(200, self.document, JSON)

    def _one(self, record: ResourceRecord, status: int = 200) -> Response:
        return Response(status, self._bytes(record), JSON, {"etag": self._tag(record)})

    def _tag(self, record: ResourceRecord) -> str:
        return f'"{self.rest_service.versions.format_version(record.version)}"'

    def _bytes(self, record: ResourceRecord) -> bytes:
        if record.encoded is None:
            record.encoded = s.encode_at_version(
                record.value, self.rest_service.versions.format_version(record.version)
            )
        return record.encoded

    def _record(self, kind: str, key: Key) -> ResourceRecord:
        record = self.rest_service.versions.get(kind, key)
        if record is None:
            raise HttpError(404, f"{kind[:-1]} {'/'.join(key)[:200]} is not known here")
        return record

    def _get(self, asked: RestRequest) -> Response:
        self._query(asked)
        key = tuple(asked.path_parameters[name] for name in asked.route.key_parameters)
        record = self._record(asked.route.kind, key)
        told = self._one(record)
        if matches_tag(asked.request.headers.get("if-none-match"), told.headers["etag"]):
            return Response(304, headers=told.headers)
        return told

    def _list(self, asked: RestRequest) -> Response | StreamResponse:
        query, kind, tenant = self._query(asked), asked.route.kind, asked.path_parameters.get("tenant")
        try:
            selector = parse_selector(query.label_selector)
        except SelectorError as error:
            raise HttpError(400, str(error)) from None
        if query.watch in ("1", "true"):
            return self._watch(kind, tenant, selector, query)
        versions, after = self.rest_service.versions, None
        version = versions.current_version
        if query.next:
            version, after = self._continued(query.next, kind, tenant, query.label_selector)
        records, last = versions.read_page(kind, version, selector, query.limit, after, tenant)
        token = None
        if last is not None:
            token = self._token(version, last, kind, tenant, query.label_selector)
        head = b'{"resourceVersion":"%b","items":[' % versions.format_version(version).encode()
        tail = b'],"continue":"%b"}' % token.encode() if token is not None else b"]}"
        body = head + b",".join(map(self._bytes, records)) + tail
        return Response(200, body, JSON)

    def _token(self, version: int, after: Key, kind: str, tenant: str | None, selector: str) -> str:
        told = [self.rest_service.versions.format_version(version), list(after), kind, tenant, selector]
        return base64.urlsafe_b64encode(s.encode(told)).decode()

    def _continued(self, token: str, kind: str, tenant: str | None, selector: str) -> tuple[int, Key]:
        try:
            raw = base64.b64decode(token.encode(), altchars=b"-_", validate=True)
            told = msgspec.json.decode(raw, type=tuple[str, tuple[str, ...], str, str | None, str])
            version = self.rest_service.versions.parse_version(told[0])
        except (ValueError, msgspec.DecodeError) as error:
            raise HttpError(400, f"continue: {error}; expected the token of a page") from None
        if told[2:] != (kind, tenant, selector):
            raise HttpError(400, "continue: expected the same list and labelSelector as for the page before")
        return version, told[1]

    # ---- watching ----

    def _watch(self, kind: str, tenant: str | None, selector: Selector, query: s.Query) -> StreamResponse:
        watcher = self.open_watch(kind, tenant, selector, query)
        timeout_ms = 1_000.0 * query.timeout_seconds
        return StreamResponse(
            LINES,
            lambda sink: self._fill(sink, watcher, timeout_ms),
            lambda: self.rest_service.channels.remove_watcher(watcher),
        )

    def open_watch(
        self, kind: str, tenant: str | None, selector: Selector, query: s.Query
    ) -> watches.Watcher:
        """A watcher that has all from the query's version on before it; raises HttpError, Gone or TooMuch."""
        if query.next:
            raise HttpError(400, "a watch has no pages: expected no continue")
        plane = self.rest_service
        try:
            plane.channels.check_limits(tenant)
        except watches.WatchLimitError as error:
            raise OverloadError(overload.OverloadRejection(503, str(error), 5_000.0)) from None
        if query.resource_version:
            try:
                version = plane.versions.parse_version(query.resource_version)
            except ValueError as error:
                raise HttpError(400, str(error)) from None
            early = self._missed(plane.versions.events_since(kind, version), tenant, selector)
        else:
            early = self._all(kind, tenant, selector, plane.versions.current_version)
        return plane.channels.add_watcher((kind, tenant, selector), early, self.core.now())

    def _missed(self, events: list[VersionEvent], tenant: str | None, selector: Selector) -> Iterator[bytes]:
        """What happened since the version that a watch resumes at, in pieces."""
        lines, size = list[bytes](), 0
        for event in events:
            change = event.type_for(selector)
            if change is None or tenant not in (None, event.record.key[0]):
                continue
            lines.append(watches.event_line(event, change, self.rest_service.versions.format_version))
            size += len(lines[-1])
            if size > self.rest_service.limits.watch.max_chunk_bytes:
                yield b"".join(lines)
                lines, size = [], 0
        if lines:
            yield b"".join(lines)

    def _all(self, kind: str, tenant: str | None, selector: Selector, version: int) -> Iterator[bytes]:
        """What is there at the version, as ADDED; then a BOOKMARK that says that this was all.

        Each piece is read when the reader has room for it, at the one version: beginning a watch costs a
        decision no more than a page."""
        versions, after = self.rest_service.versions, None
        while True:
            records, after = versions.read_page(kind, version, selector, INITIAL_PAGE_SIZE, after, tenant)
            lines = [watches.watch_line("ADDED", self._bytes(record)) for record in records]
            if after is None:
                lines.append(watches.bookmark_line(versions.format_version(version)))
            if lines:
                yield b"".join(lines)
            if after is None:
                return

    def _fill(self, sink: Sink, watcher: watches.Watcher, timeout_ms: float) -> Coroutine:
        """The watch's coroutine: takes pieces as the socket does, waits for news, and tells why it ends."""
        plane, core = self.rest_service, self.core
        self.sinks_by_watcher[watcher] = sink
        sink.on_close(lambda: watcher.wake())
        until = core.now() + timeout_ms
        try:
            while watcher.close_reason is None and core.now() < until:
                began = core.timing.now()
                data = plane.channels.take_chunk(watcher, began)
                if data:
                    sending = sink.send(data)
                    plane.wake_budget.record_cost(core.timing.now() - began)
                    yield from sending
                    if plane.channels.requeue_if_behind(watcher):
                        # The next piece waits for its turn too: a quick reader with much to read would
                        # otherwise have the loop for itself until its socket is full.
                        plane.schedule_wake()
                        yield from self._news(sink, watcher, until - core.now())
                elif watcher.close_reason is None and began - watcher.last_sent_at_ms >= BOOKMARK_MS:
                    watcher.last_sent_at_ms = began
                    sending = sink.send(watches.bookmark_line(plane.versions.format_version()))
                    plane.wake_budget.record_cost(core.timing.now() - began)
                    yield from sending
                elif watcher.close_reason is None:
                    quiet = watcher.last_sent_at_ms + BOOKMARK_MS - began
                    yield from self._news(sink, watcher, min(quiet, until - began))
            if watcher.close_reason is not None:
                last = watches.problem_line(410, "Gone", watcher.close_reason)
            else:
                last = watches.bookmark_line(plane.versions.format_version())
            yield from sink.send_last(last, watcher.close_reason or "watch timeout", FINAL_SEND_TIMEOUT_MS)
        except StreamClosedError:
            pass
        finally:
            if watcher.close_reason is not None:
                core.log("watch cut off", why=watcher.close_reason)
                core.counters.counts_by_event["watch cut off"] += 1
            self.sinks_by_watcher.pop(watcher, None)
            plane.channels.remove_watcher(watcher)

    def _news(self, sink: Sink, watcher: watches.Watcher, wait_ms: float) -> Coroutine:
        """Waits for news, or for the time to be over; raises StreamClosed at the connection's end.

        When the time is over the watcher queues for its turn like one with news: a thousand that began
        together would else be due for their bookmarks in one turn of the loop."""
        loop, plane = sink.stream.loop, self.rest_service

        def late() -> None:
            plane.channels.queue_wake(watcher)
            plane.schedule_wake()

        def arm(task: LoopTask) -> Callable[[], None]:
            timer = loop.call_in(max(0.0, wait_ms), late)

            def disarm() -> None:
                timer.cancel()
                watcher.wake = lambda: None

            def told() -> None:
                disarm()
                loop.wake(task)

            watcher.wake = told
            return disarm

        yield arm
        if sink.is_closed:
            raise StreamClosedError(sink.stream.close_reason or "")

    def _blocked(self, watcher: watches.Watcher) -> bool:
        """Whether it is the reader that does not take what lies ready, and not we that have not told it."""
        sink = self.sinks_by_watcher.get(watcher)
        return sink is not None and bool(sink.stream.send_buffer)

    def _cut(self, watcher: watches.Watcher) -> None:
        """The watcher stands still and is marked as cut: its coroutine waits in a send. If the reader takes
        that in a last while, the coroutine goes on and tells it why; else the connection ends."""
        sink = self.sinks_by_watcher.get(watcher)
        if sink is not None:
            sink.stream.loop.call_in(
                FINAL_SEND_TIMEOUT_MS, lambda: sink.stream.close(watcher.close_reason or "")
            )

    # ---- changing ----

    def _create(self, asked: RestRequest) -> Response:
        tenant, key = asked.path_parameters["tenant"], asked.request.headers.get("idempotency-key")
        self._no_query(asked)
        if not re.fullmatch(s.TENANT_PATTERN, tenant) or len(tenant) > 128:
            raise HttpError(422, f"tenant is {tenant[:80]!r}; expected letters, digits, _ . - and /")
        if key is not None and not 1 <= len(key) <= MAX_KEY_CHARACTERS:
            raise HttpError(
                400, f"Idempotency-Key has {len(key)} characters; expected 1 to {MAX_KEY_CHARACTERS}"
            )
        new = self._body(asked, s.NewJob, JSON)
        job, made = self.rest_service.create_job(tenant, new, key, asked.request.body)
        record = self.rest_service.versions.get("jobs", (job.tenant, job.name))
        if record is None:
            raise HttpError(410, f"the job {job.name} that this key made is gone")
        told = self._one(record, 201 if made else 200)
        told.headers["location"] = f"/v1/tenants/{quote(tenant, safe='')}/jobs/{quote(job.name, safe='')}"
        return told

    @staticmethod
    def _no_query(asked: RestRequest) -> None:
        if asked.query:
            raise HttpError(400, f"query is {asked.query[:40]!r}; expected none")

    def _matched(self, asked: RestRequest, kind: str, key: Key) -> ResourceRecord:
        """The resource, if If-Match lets it be changed."""
        record = self._record(kind, key)
        tag = self._tag(record)
        wanted = asked.request.headers.get("if-match")
        if wanted is not None and not matches_tag(wanted, tag):
            raise HttpError(412, f"the {kind[:-1]} is at {tag}; If-Match wants {wanted[:120]}")
        return record

    def _delete_job(self, asked: RestRequest) -> Response:
        self._no_query(asked)
        key = asked.path_parameters["tenant"], asked.path_parameters["name"]
        self._matched(asked, "jobs", key)
        self.rest_service.cancel_job(self.rest_service.jobs_by_name[key])
        record = self.rest_service.versions.get("jobs", key)
        return Response(204) if record is None else self._one(record, 202)

    def _patch_job(self, asked: RestRequest) -> Response:
        self._no_query(asked)
        key = asked.path_parameters["tenant"], asked.path_parameters["name"]
        patch = self._body(asked, s.LabelPatch, "application/merge-patch+json")
        self._matched(asked, "jobs", key)
        self.rest_service.patch_job(self.rest_service.jobs_by_name[key], patch.labels)
        return self._one(self._record("jobs", key))

    def _delete_task(self, asked: RestRequest) -> Response:
        self._no_query(asked)
        key = (
            asked.path_parameters["tenant"],
            asked.path_parameters["framework"],
            asked.path_parameters["name"],
        )
        self._matched(asked, "tasks", key)
        self.rest_service.cancel_task(self.rest_service.mirror.views_by_key[key])
        record = self.rest_service.versions.get("tasks", key)
        return Response(204) if record is None else self._one(record, 202)


def matches_tag(header: str | None, tag: str) -> bool:
    """Whether an If-Match or If-None-Match names the tag (RFC 9110, 13.1); weak ones compare by their
    text."""
    if header is None:
        return False
    return header.strip() == "*" or tag in (part.strip().removeprefix("W/") for part in header.split(","))
