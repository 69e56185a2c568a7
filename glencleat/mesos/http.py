"""HTTP/1.1 of both ends by h11, as objects fed bytes that give events; limits on heads and bodies.

No sockets: the servers and emulators carry the bytes. Errors are the peer's (`HttpError`, with the status
that a server answers) or ours (h11.LocalProtocolError at the client's end, a bug).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from http import HTTPStatus

import h11

from glencleat.mesos.errors import MesosProtocolError

MAX_HEAD_BYTES = 16_384  # of request line and headers
MAX_BODY_BYTES = 1 << 20
STATUS_ACCEPTED = int(HTTPStatus.ACCEPTED)
# Most responses are this one; building an event checks its headers anew each time.
ACCEPTED_RESPONSE = h11.Response(status_code=STATUS_ACCEPTED, headers=[("content-length", "0")])
END_OF_MESSAGE = h11.EndOfMessage()


class HttpError(MesosProtocolError):
    """A request that can't be served, or a peer that broke HTTP.

    `status` and `text` are those of the response that says so, `headers` what it carries besides.
    """

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status
        self.text = text
        self.headers = dict[str, str]()


@dataclass(slots=True)
class Request:
    """A complete request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    closes_connection: bool = False  # the connection ends after the response
    origin: object = None  # the connection, for limits that are its own


@dataclass(slots=True)
class Response:
    """A complete response."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"
    headers: dict[str, str] = field(default_factory=dict)
    read_pause_ms: float = 0.0  # so long the connection is not read afterwards


class ServerConnection:
    """The server's end of one connection: feed it bytes, take requests, answer each before the next.

    Pipelined requests stay in the buffer until the one before is answered.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.max_body_bytes = max_body_bytes
        self.head: h11.Request | None = None  # of the request whose body is arriving
        self.body = bytearray()
        self.method = ""  # of the request that is being answered

    def feed(self, data: bytes) -> list[Request]:
        """Return the requests that are complete with `data`, b"" for the peer's end; raises HttpError."""
        try:
            self.h11.receive_data(data)
            return self._events()
        except h11.RemoteProtocolError as error:
            raise HttpError(error.error_status_hint, str(error)) from error

    def _events(self) -> list[Request]:
        requests = list[Request]()
        while True:
            event = self.h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return requests
            if isinstance(event, h11.Request):
                self.head = event
                self.body.clear()
                self._check_head(event)
            elif isinstance(event, h11.Data):
                self.body += event.data
                if len(self.body) > self.max_body_bytes:
                    raise HttpError(413, f"body over {self.max_body_bytes} bytes")
            elif isinstance(event, h11.EndOfMessage) and self.head is not None:
                requests.append(self._request(self.head))
                self.head = None

    def _check_head(self, head: h11.Request) -> None:
        if head.method == b"CONNECT":  # a success would turn the connection into a tunnel
            raise HttpError(501, "CONNECT: this is no proxy")
        if len(head.target) + sum(len(name) + len(value) for name, value in head.headers) > MAX_HEAD_BYTES:
            raise HttpError(
                431, f"a head of over {MAX_HEAD_BYTES} bytes"
            )  # h11 counts only what comes in pieces
        names = [name for name, _ in head.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            # Two readers that disagree on which one counts see two different requests (RFC 9112, 6.3).
            raise HttpError(400, "both Content-Length and Transfer-Encoding; expected one of them")
        for name, value in head.headers:
            if name == b"content-length" and int(value) > self.max_body_bytes:
                raise HttpError(413, f"a body of {int(value)} bytes; expected at most {self.max_body_bytes}")

    def _request(self, head: h11.Request) -> Request:
        headers = _decode_headers(head.headers)
        self.method = head.method.decode("latin-1")
        closes = headers.get("connection", "").lower() == "close" or head.http_version == b"1.0"
        target = head.target.decode("latin-1")
        return Request(self.method, target, headers, bytes(self.body), closes_connection=closes)

    def has_partial_request(self) -> bool:
        """Whether a request has begun to arrive and is not complete: what limits slow senders looks at it."""
        return self.head is not None or bool(self.h11.trailing_data[0])

    def answer(self, response: Response) -> bytes:
        """Return the bytes of a complete response to the request at hand."""
        if response.status == STATUS_ACCEPTED and not response.body and not response.headers:
            data = self._send(ACCEPTED_RESPONSE)
        else:
            headers = [("content-length", str(len(response.body))), *response.headers.items()]
            if response.body:
                headers.append(("content-type", response.content_type))
            data = self._send(h11.Response(status_code=response.status, headers=headers))
        if response.body and self.method != "HEAD":  # which gets the length and no body
            data += self._send(h11.Data(data=response.body))
        data += self._send(END_OF_MESSAGE)
        if self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE:
            self.h11.start_next_cycle()
        return data

    def next_requests(self) -> list[Request]:
        """Return pipelined requests behind the one just answered; raises HttpError."""
        try:
            return self._events()
        except h11.RemoteProtocolError as error:
            raise HttpError(error.error_status_hint, str(error)) from error

    def open_stream(self, headers: dict[str, str], content_type: str = "application/json") -> bytes:
        """Return the head of a chunked response that never ends by itself.

        Raises HttpError for a peer of HTTP/1.0, which knows no chunks.
        """
        if (self.h11.their_http_version or b"") < b"1.1":
            raise HttpError(505, "a stream of events needs HTTP/1.1")
        head = [("content-type", content_type), ("transfer-encoding", "chunked"), *headers.items()]
        return self._send(h11.Response(status_code=200, headers=head))

    @staticmethod
    def chunk(data: bytes) -> bytes:
        """Return one chunk of the stream (RFC 9112, 7.1).

        Framed here: h11 does the same at ten times the cost, and a session's state does not change by it.
        """
        return b"%x\r\n%b\r\n" % (len(data), data)

    def end_stream(self) -> bytes:
        """Return the end of a stream that `open_stream` began."""
        return self._send(h11.EndOfMessage())

    def respond_with_error(self, error: HttpError, response: Response | None = None) -> bytes:
        """Return a last response to a peer at fault, b"" if none can be sent; the connection closes then.

        `response` gives the body, otherwise the error's text.
        """
        if self.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return b""
        response = response or Response(error.status, (error.text + "\n").encode(), "text/plain")
        body = response.body
        head = [("content-length", str(len(body))), ("content-type", response.content_type)]
        head.append(("connection", "close"))
        try:
            data = self._send(h11.Response(status_code=error.status, headers=head))
            return data + self._send(h11.Data(data=body)) + self._send(h11.EndOfMessage())
        except HttpError:
            return b""

    def is_ended(self) -> bool:
        """Whether no further response can be sent."""
        return self.h11.our_state in (h11.MUST_CLOSE, h11.CLOSED, h11.ERROR)

    def _send(self, event: h11.Event) -> bytes:
        """Serialize an event; a fault of ours against HTTP costs this connection and not the process."""
        try:
            return self.h11.send(event) or b""
        except h11.LocalProtocolError as error:
            raise HttpError(500, f"our fault: {error}") from error


@dataclass(slots=True)
class ResponseHead:
    """Status and headers of a response, names in lower case."""

    status: int
    headers: dict[str, str]


class EndOfBody:
    """End of a response's body."""


class ClientConnection:
    """The client's end of one connection: one request after the other, bodies given as they come."""

    def __init__(self) -> None:
        self.h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)

    def request(self, method: str, target: str, host: str, headers: dict[str, str], body: bytes) -> bytes:
        """Return the bytes of a request; raises h11.LocalProtocolError where they would not be HTTP."""
        head = [("host", host), ("content-length", str(len(body))), *headers.items()]
        data = self.h11.send(h11.Request(method=method, target=target, headers=head)) or b""
        if body:
            data += self.h11.send(h11.Data(data=body)) or b""
        return data + (self.h11.send(h11.EndOfMessage()) or b"")

    def feed(self, data: bytes) -> list[ResponseHead | bytes | EndOfBody]:
        """Return the events of each response: head, pieces of the body, end; raises HttpError."""
        events: list[ResponseHead | bytes | EndOfBody] = []
        try:
            self.h11.receive_data(data)
            while True:
                event = self.h11.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    return events
                if isinstance(event, h11.Response):
                    events.append(ResponseHead(event.status_code, _decode_headers(event.headers)))
                elif isinstance(event, h11.Data):
                    events.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    events.append(EndOfBody())
                    if self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE:
                        self.h11.start_next_cycle()
        except h11.RemoteProtocolError as error:
            raise HttpError(error.error_status_hint, str(error)) from error


def _decode_headers(headers: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    return {name.decode("latin-1"): value.decode("latin-1") for name, value in headers}
