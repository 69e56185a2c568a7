"""The REST API at /v1: jobs, tasks, machines, services; lists, watches and changes; errors as in RFC 9457.

It parses a request, calls the REST service and encodes the result as JSON. The OpenAPI document is generated
from the same `ROUTES` (`rest.openapi`). A watch is a stream of lines that the watch channels of the REST
service fill at the reader's pace.
"""

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

JSON, PROBLEM, NDJSON = "application/json", "application/problem+json", "application/x-ndjson"
MAX_TARGET_CHARACTERS = 4_096
MAX_KEY_CHARACTERS = 128  # of an Idempotency-Key
INITIAL_PAGE_SIZE = 100  # resources in a chunk of a watch that begins without a version
BOOKMARK_INTERVAL_MS = 5_000.0
FINAL_SEND_TIMEOUT_MS = 2_000.0  # for the watcher to read why its watch was closed
QUERY_FIELDS = {field.encode_name for field in msgspec.structs.fields(s.Query)}
TITLES_BY_STATUS = {
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
    """Returns an error as a problem document (RFC 9457)."""
    problem = s.Problem(
        title=TITLES_BY_STATUS.get(error.status, "Error"), status=error.status, detail=error.text
    )
    return Response(error.status, s.encode(problem), PROBLEM, error.headers)


def rejection_response(rejection: overload.OverloadRejection) -> Response:
    """Returns a rejection under overload as a problem document with a Retry-After header."""
    problem = s.Problem(
        title=TITLES_BY_STATUS[rejection.status],
        status=rejection.status,
        detail=rejection.text,
        retry_after_ms=round(rejection.retry_after_ms),
    )
    seconds = max(1, math.ceil(rejection.retry_after_ms / 1_000.0))
    return Response(rejection.status, s.encode(problem), PROBLEM, {"retry-after": str(seconds)})


@dataclass(slots=True, eq=False)
class ConnectionState:
    """Rate limit and rejection history of one connection."""

    bucket: TokenBucket
    rejections_in_row: int = 0


@dataclass(slots=True)
class RestRequest:
    """A request that is matched to its route."""

    route: Route
    request: Request
    path_parameters: dict[str, str]
    query: str


class RestApi:
    """Request handler of the REST API."""

    def __init__(self, rest_service: RestService) -> None:
        self.rest_service, self.core = rest_service, rest_service.core
        self.states_by_connection: dict[object, ConnectionState] = {}
        self.sinks_by_watcher: dict[watches.Watcher, Sink] = {}
        self.counts_by_status: dict[int, int] = {}
        self.openapi_document: bytes | None = None
        rest_service.close_watcher = self._close_after_timeout
        rest_service.channels.is_blocked = self._is_reader_blocked
        self.handlers: dict[str, Callable[[RestRequest], Response | StreamResponse]] = {
            "openapi": self._openapi,
            "list": self._list,
            "get": self._get,
            "createJob": self._create_job,
            "deleteJob": self._delete_job,
            "patchJob": self._patch_job,
            "deleteTask": self._delete_task,
        }

    # ---- requests ----

    def handle(self, request: Request) -> Response | StreamResponse:
        """Executes a request and returns its response; errors become problem documents."""
        state = self._state_of_connection(request)
        response: Response | StreamResponse
        try:
            response = self._admit_and_dispatch(request, state)
        except HttpError as error:
            response = problem_response(error)
        except ConflictError as error:
            response = problem_response(HttpError(error.status, error.text))
        except VersionGoneError as error:
            response = problem_response(HttpError(410, str(error)))
        except OverloadError as error:
            response = rejection_response(error.rejection)
        if isinstance(response, Response):
            self._record_response(response, state)
        return response

    def _record_response(self, response: Response, state: ConnectionState) -> None:
        self.counts_by_status[response.status] = self.counts_by_status.get(response.status, 0) + 1
        if response.status not in (429, 503):
            state.rejections_in_row = 0
            return
        state.rejections_in_row += 1
        response.read_pause_ms = self.rest_service.gate.pause_ms(
            state.rejections_in_row, 1_000.0 * float(response.headers["retry-after"])
        )

    def _state_of_connection(self, request: Request) -> ConnectionState:
        connection: Any = request.connection
        state = self.states_by_connection.get(connection)
        if state is None:
            state = ConnectionState(self.rest_service.gate.connection_bucket(self.core.now()))
            if connection is not None:
                self.states_by_connection[connection] = state
                connection.close_callbacks.append(lambda _: self.states_by_connection.pop(connection, None))
        return state

    def _admit_and_dispatch(self, request: Request, state: ConnectionState) -> Response | StreamResponse:
        rejection = self.rest_service.gate.admit_request(state.bucket, 1.0, self.core.now())
        if rejection is not None:
            return rejection_response(rejection)
        rest_request = self._route(request)
        response = self.handlers[rest_request.route.handler](rest_request)
        if isinstance(response, Response) and rest_request.route.handler == "list":
            state.bucket.consume(len(response.body) / 50_000.0)  # a long list costs more than a short one
        return response

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
        allowed_methods = list[str]()
        for route in ROUTES:
            path_parameters = route.match(path)
            if path_parameters is not None and route.method == method:
                return RestRequest(route, request, path_parameters, parts.query)
            if path_parameters is not None:
                allowed_methods.append(route.method)
        if allowed_methods:
            method_error = HttpError(
                405, f"{request.method[:20]}: expected {', '.join(sorted(allowed_methods))}"
            )
            method_error.headers["allow"] = ", ".join(sorted(allowed_methods))
            raise method_error
        raise HttpError(404, f"{request.target[:80]}: no such resource; /openapi.json tells what there is")

    @staticmethod
    def _query(rest_request: RestRequest) -> s.Query:
        try:
            pairs = parse_qsl(rest_request.query, keep_blank_values=True, errors="strict", max_num_fields=16)
            parameters = dict(pairs)
            if len(parameters) != len(pairs):
                raise ValueError("a parameter is there twice")
            unknown = sorted(set(parameters) - QUERY_FIELDS)
            if unknown:
                raise ValueError(
                    f"no parameter {unknown[0][:40]!r}; expected {', '.join(sorted(QUERY_FIELDS))}"
                )
            return msgspec.convert(parameters, s.Query, strict=False)
        except (ValueError, msgspec.ValidationError) as error:
            raise HttpError(400, f"query: {error}") from None

    @staticmethod
    def _body(rest_request: RestRequest, kind: type[Any], content_type: str) -> Any:
        request = rest_request.request
        media_type = request.headers.get("content-type", "").split(";")[0].strip().lower()
        if media_type != content_type:
            raise HttpError(415, f"Content-Type is {media_type[:40]!r}; expected {content_type}")
        try:
            return s.BODY_DECODERS[kind].decode(request.body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            # Invalid JSON gets 400; valid JSON that violates the schema gets 422.
            status = 422 if isinstance(error, msgspec.ValidationError) else 400
            raise HttpError(status, f"body: {str(error)[:300]}") from None

    # ---- reading ----

    def _openapi(self, rest_request: RestRequest) -> Response:
        if self.openapi_document is None:
            self.openapi_document = s.encode(openapi.document(ROUTES, self.core.classes_by_name))
        return Response(200, self.openapi_document, JSON)

    def _resource_response(self, record: ResourceRecord, status: int = 200) -> Response:
        return Response(status, self._encode_record(record), JSON, {"etag": self._entity_tag(record)})

    def _entity_tag(self, record: ResourceRecord) -> str:
        return f'"{self.rest_service.versions.format_version(record.version)}"'

    def _encode_record(self, record: ResourceRecord) -> bytes:
        if record.encoded is None:
            record.encoded = s.encode_at_version(
                record.value, self.rest_service.versions.format_version(record.version)
            )
        return record.encoded

    def _find_record(self, kind: str, key: Key) -> ResourceRecord:
        record = self.rest_service.versions.get(kind, key)
        if record is None:
            raise HttpError(404, f"{kind[:-1]} {'/'.join(key)[:200]} is not known here")
        return record

    def _get(self, rest_request: RestRequest) -> Response:
        self._query(rest_request)
        key = tuple(rest_request.path_parameters[name] for name in rest_request.route.key_parameters)
        record = self._find_record(rest_request.route.kind, key)
        response = self._resource_response(record)
        if matches_tag(rest_request.request.headers.get("if-none-match"), response.headers["etag"]):
            return Response(304, headers=response.headers)
        return response

    def _list(self, rest_request: RestRequest) -> Response | StreamResponse:
        query, kind, tenant = (
            self._query(rest_request),
            rest_request.route.kind,
            rest_request.path_parameters.get("tenant"),
        )
        try:
            selector = parse_selector(query.label_selector)
        except SelectorError as error:
            raise HttpError(400, str(error)) from None
        if query.watch in ("1", "true"):
            return self._watch(kind, tenant, selector, query)
        versions, after = self.rest_service.versions, None
        version = versions.current_version
        if query.next:
            version, after = self._parse_continue_token(query.next, kind, tenant, query.label_selector)
        records, last = versions.read_page(kind, version, selector, query.limit, after, tenant)
        token = None
        if last is not None:
            token = self._continue_token(version, last, kind, tenant, query.label_selector)
        prefix = b'{"resourceVersion":"%b","items":[' % versions.format_version(version).encode()
        suffix = b'],"continue":"%b"}' % token.encode() if token is not None else b"]}"
        body = prefix + b",".join(map(self._encode_record, records)) + suffix
        return Response(200, body, JSON)

    def _continue_token(self, version: int, after: Key, kind: str, tenant: str | None, selector: str) -> str:
        fields = [self.rest_service.versions.format_version(version), list(after), kind, tenant, selector]
        return base64.urlsafe_b64encode(s.encode(fields)).decode()

    def _parse_continue_token(
        self, token: str, kind: str, tenant: str | None, selector: str
    ) -> tuple[int, Key]:
        try:
            raw = base64.b64decode(token.encode(), altchars=b"-_", validate=True)
            fields = msgspec.json.decode(raw, type=tuple[str, tuple[str, ...], str, str | None, str])
            version = self.rest_service.versions.parse_version(fields[0])
        except (ValueError, msgspec.DecodeError) as error:
            raise HttpError(400, f"continue: {error}; expected the token of a page") from None
        if fields[2:] != (kind, tenant, selector):
            raise HttpError(400, "continue: expected the same list and labelSelector as for the page before")
        return version, fields[1]

    # ---- watching ----

    def _watch(self, kind: str, tenant: str | None, selector: Selector, query: s.Query) -> StreamResponse:
        watcher = self.open_watch(kind, tenant, selector, query)
        timeout_ms = 1_000.0 * query.timeout_seconds
        return StreamResponse(
            NDJSON,
            lambda sink: self._write_watch(sink, watcher, timeout_ms),
            lambda: self.rest_service.channels.remove_watcher(watcher),
        )

    def open_watch(
        self, kind: str, tenant: str | None, selector: Selector, query: s.Query
    ) -> watches.Watcher:
        """Adds a watcher that starts at the version in the query, or with all current resources.

        Raises HttpError for an invalid query, VersionGoneError if the version was compacted away, and
        OverloadError if there are too many watches.
        """
        if query.next:
            raise HttpError(400, "a watch has no pages: expected no continue")
        rest_service = self.rest_service
        try:
            rest_service.channels.check_limits(tenant)
        except watches.WatchLimitError as error:
            raise OverloadError(overload.OverloadRejection(503, str(error), 5_000.0)) from None
        if query.resource_version:
            try:
                version = rest_service.versions.parse_version(query.resource_version)
            except ValueError as error:
                raise HttpError(400, str(error)) from None
            initial_chunks = self._replay_events(
                rest_service.versions.events_since(kind, version), tenant, selector
            )
        else:
            initial_chunks = self._initial_events(
                kind, tenant, selector, rest_service.versions.current_version
            )
        return rest_service.channels.add_watcher((kind, tenant, selector), initial_chunks, self.core.now())

    def _replay_events(
        self, events: list[VersionEvent], tenant: str | None, selector: Selector
    ) -> Iterator[bytes]:
        """Yields chunks of the events since the version at which a watch resumes."""
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

    def _initial_events(
        self, kind: str, tenant: str | None, selector: Selector, version: int
    ) -> Iterator[bytes]:
        """Yields chunks of ADDED events for all resources at the version, and a BOOKMARK that ends them.

        Each chunk is read only when the reader has capacity for it, and all at the same version. So the start
        of a watch delays a scheduling decision by no more than one page.
        """
        versions, after = self.rest_service.versions, None
        while True:
            records, after = versions.read_page(kind, version, selector, INITIAL_PAGE_SIZE, after, tenant)
            lines = [watches.watch_line("ADDED", self._encode_record(record)) for record in records]
            if after is None:
                lines.append(watches.bookmark_line(versions.format_version(version)))
            if lines:
                yield b"".join(lines)
            if after is None:
                return

    def _write_watch(self, sink: Sink, watcher: watches.Watcher, timeout_ms: float) -> Coroutine:
        """Coroutine of a watch: sends chunks as fast as the socket takes them, then waits for events.

        The last line states why the watch ended.
        """
        rest_service, core = self.rest_service, self.core
        self.sinks_by_watcher[watcher] = sink
        sink.on_close(lambda: watcher.wake())
        deadline_ms = core.now() + timeout_ms
        try:
            while watcher.close_reason is None and core.now() < deadline_ms:
                started_at_ms = core.timing.now()
                data = rest_service.channels.take_chunk(watcher, started_at_ms)
                if data:
                    flushed = sink.send(data)
                    rest_service.wake_budget.record_cost(core.timing.now() - started_at_ms)
                    yield from flushed
                    if rest_service.channels.requeue_if_behind(watcher):
                        # The next chunk waits for its turn too. Otherwise a fast reader with a long backlog
                        # would monopolize the loop until its socket is full.
                        rest_service.schedule_wake()
                        yield from self._wait_for_events(sink, watcher, deadline_ms - core.now())
                elif (
                    watcher.close_reason is None
                    and started_at_ms - watcher.last_sent_at_ms >= BOOKMARK_INTERVAL_MS
                ):
                    watcher.last_sent_at_ms = started_at_ms
                    flushed = sink.send(watches.bookmark_line(rest_service.versions.format_version()))
                    rest_service.wake_budget.record_cost(core.timing.now() - started_at_ms)
                    yield from flushed
                elif watcher.close_reason is None:
                    bookmark_in_ms = watcher.last_sent_at_ms + BOOKMARK_INTERVAL_MS - started_at_ms
                    yield from self._wait_for_events(
                        sink, watcher, min(bookmark_in_ms, deadline_ms - started_at_ms)
                    )
            if watcher.close_reason is not None:
                last = watches.problem_line(410, "Gone", watcher.close_reason)
            else:
                last = watches.bookmark_line(rest_service.versions.format_version())
            yield from sink.send_last(last, watcher.close_reason or "watch timeout", FINAL_SEND_TIMEOUT_MS)
        except StreamClosedError:
            pass
        finally:
            if watcher.close_reason is not None:
                core.log("watch cut off", why=watcher.close_reason)
                core.counters.counts_by_event["watch cut off"] += 1
            self.sinks_by_watcher.pop(watcher, None)
            rest_service.channels.remove_watcher(watcher)

    def _wait_for_events(self, sink: Sink, watcher: watches.Watcher, wait_ms: float) -> Coroutine:
        """Waits for events or the timeout; raises StreamClosedError when the connection is closed.

        At the timeout the watcher is queued like one with events. Otherwise the bookmarks of a thousand
        watchers that started together would all be due in the same iteration of the loop.
        """
        loop, rest_service = sink.stream.loop, self.rest_service

        def queue_watcher() -> None:
            rest_service.channels.queue_wake(watcher)
            rest_service.schedule_wake()

        def arm(task: LoopTask) -> Callable[[], None]:
            timer = loop.call_in(max(0.0, wait_ms), queue_watcher)

            def disarm() -> None:
                timer.cancel()
                watcher.wake = lambda: None

            def wake() -> None:
                disarm()
                loop.wake(task)

            watcher.wake = wake
            return disarm

        yield arm
        if sink.is_closed:
            raise StreamClosedError(sink.stream.close_reason or "")

    def _is_reader_blocked(self, watcher: watches.Watcher) -> bool:
        """Whether the reader has yet to take what was sent; False if its next chunk is not sent yet."""
        sink = self.sinks_by_watcher.get(watcher)
        return sink is not None and bool(sink.stream.send_buffer)

    def _close_after_timeout(self, watcher: watches.Watcher) -> None:
        """Closes the connection of a stalled watcher after `FINAL_SEND_TIMEOUT_MS`.

        Its coroutine is blocked in a send. If the reader takes that data within the timeout, the coroutine
        resumes and sends the reason for the close before the connection ends.
        """
        sink = self.sinks_by_watcher.get(watcher)
        if sink is not None:
            sink.stream.loop.call_in(
                FINAL_SEND_TIMEOUT_MS, lambda: sink.stream.close(watcher.close_reason or "")
            )

    # ---- changing ----

    def _create_job(self, rest_request: RestRequest) -> Response:
        tenant, key = (
            rest_request.path_parameters["tenant"],
            rest_request.request.headers.get("idempotency-key"),
        )
        self._reject_query(rest_request)
        if not re.fullmatch(s.TENANT_PATTERN, tenant) or len(tenant) > 128:
            raise HttpError(422, f"tenant is {tenant[:80]!r}; expected letters, digits, _ . - and /")
        if key is not None and not 1 <= len(key) <= MAX_KEY_CHARACTERS:
            raise HttpError(
                400, f"Idempotency-Key has {len(key)} characters; expected 1 to {MAX_KEY_CHARACTERS}"
            )
        new_job = self._body(rest_request, s.NewJob, JSON)
        job, is_new = self.rest_service.create_job(tenant, new_job, key, rest_request.request.body)
        record = self.rest_service.versions.get("jobs", (job.tenant, job.name))
        if record is None:
            raise HttpError(410, f"the job {job.name} that this key made is gone")
        response = self._resource_response(record, 201 if is_new else 200)
        response.headers["location"] = f"/v1/tenants/{quote(tenant, safe='')}/jobs/{quote(job.name, safe='')}"
        return response

    @staticmethod
    def _reject_query(rest_request: RestRequest) -> None:
        if rest_request.query:
            raise HttpError(400, f"query is {rest_request.query[:40]!r}; expected none")

    def _find_matching_record(self, rest_request: RestRequest, kind: str, key: Key) -> ResourceRecord:
        """Returns a resource that is to be changed.

        Raises HttpError if the resource does not exist or its tag does not match If-Match.
        """
        record = self._find_record(kind, key)
        tag = self._entity_tag(record)
        if_match = rest_request.request.headers.get("if-match")
        if if_match is not None and not matches_tag(if_match, tag):
            raise HttpError(412, f"the {kind[:-1]} is at {tag}; If-Match wants {if_match[:120]}")
        return record

    def _delete_job(self, rest_request: RestRequest) -> Response:
        self._reject_query(rest_request)
        key = rest_request.path_parameters["tenant"], rest_request.path_parameters["name"]
        self._find_matching_record(rest_request, "jobs", key)
        self.rest_service.cancel_job(self.rest_service.jobs_by_name[key])
        record = self.rest_service.versions.get("jobs", key)
        return Response(204) if record is None else self._resource_response(record, 202)

    def _patch_job(self, rest_request: RestRequest) -> Response:
        self._reject_query(rest_request)
        key = rest_request.path_parameters["tenant"], rest_request.path_parameters["name"]
        patch = self._body(rest_request, s.LabelPatch, "application/merge-patch+json")
        self._find_matching_record(rest_request, "jobs", key)
        self.rest_service.patch_job(self.rest_service.jobs_by_name[key], patch.labels)
        return self._resource_response(self._find_record("jobs", key))

    def _delete_task(self, rest_request: RestRequest) -> Response:
        self._reject_query(rest_request)
        key = (
            rest_request.path_parameters["tenant"],
            rest_request.path_parameters["framework"],
            rest_request.path_parameters["name"],
        )
        self._find_matching_record(rest_request, "tasks", key)
        self.rest_service.cancel_task(self.rest_service.mirror.views_by_key[key])
        record = self.rest_service.versions.get("tasks", key)
        return Response(204) if record is None else self._resource_response(record, 202)


def matches_tag(header: str | None, tag: str) -> bool:
    """Whether an If-Match or If-None-Match header contains the tag (RFC 9110, 13.1).

    A weak tag matches the strong tag of the same text.
    """
    if header is None:
        return False
    return header.strip() == "*" or tag in (part.strip().removeprefix("W/") for part in header.split(","))
