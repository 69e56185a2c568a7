"""HTTP/1.1 for servers and clients with h11: turns bytes into events; limits the size of heads and bodies.

There are no sockets here: `servers` and `emulators` transfer the bytes. Errors of the peer raise `HttpError`
with the status of a server's response. A protocol violation on this side is a bug: h11 raises
LocalProtocolError, which a server connection turns into HttpError 500.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import h11

MAX_HEAD_BYTES = 16_384  # request line and headers
MAX_BODY_BYTES = 1 << 20
# The most frequent response, built once because h11 validates the headers of each new event.
ACCEPTED_RESPONSE = h11.Response(status_code=202, headers=[("content-length", "0")])
END_OF_MESSAGE = h11.EndOfMessage()


class HttpError(Exception):
    """Input that can't be processed; a server sends `status` and `text` as its response."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text
        self.headers = dict[str, str]()  # added to the error response


@dataclass(slots=True)
class Request:
    """A complete request."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    should_close: bool = False
    connection: object = None  # set by the server, for limits that apply to each connection


@dataclass(slots=True)
class Response:
    """A complete response."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"
    headers: dict[str, str] = field(default_factory=dict)
    read_pause_ms: float = 0.0  # pause before the connection is read again


class ServerConnection:
    """The server's end of one connection: turns received bytes into requests and responses into bytes.

    Each request has to be answered before the next one is parsed; pipelined requests stay in the receive
    buffer until then.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.max_body_bytes = max_body_bytes
        self.head: h11.Request | None = None
        self.body = bytearray()
        self.method = ""  # of the request being answered

    def feed(self, data: bytes) -> list[Request]:
        """Returns the requests that `data` completes; b"" means end of stream. Raises HttpError."""
        try:
            self.h11.receive_data(data)
            return self._parse_requests()
        except h11.RemoteProtocolError as error:
            raise HttpError(error.error_status_hint, str(error)) from None

    def _parse_requests(self) -> list[Request]:
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
                requests.append(self._build_request(self.head))
                self.head = None

    def _check_head(self, head: h11.Request) -> None:
        if head.method == b"CONNECT":  # a success would turn the connection into a tunnel
            raise HttpError(501, "CONNECT: this is no proxy")
        if len(head.target) + sum(len(name) + len(value) for name, value in head.headers) > MAX_HEAD_BYTES:
            # h11 applies its limit only to heads that arrive in several pieces.
            raise HttpError(431, f"a head of over {MAX_HEAD_BYTES} bytes")
        names = [name for name, _ in head.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            # Two parsers that disagree on which one applies see two different requests (RFC 9112, 6.3).
            raise HttpError(400, "both Content-Length and Transfer-Encoding; expected one of them")
        for name, value in head.headers:
            if name == b"content-length" and int(value) > self.max_body_bytes:
                raise HttpError(413, f"a body of {int(value)} bytes; expected at most {self.max_body_bytes}")

    def _build_request(self, head: h11.Request) -> Request:
        headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
        self.method = head.method.decode("latin-1")
        should_close = headers.get("connection", "").lower() == "close" or head.http_version == b"1.0"
        target = head.target.decode("latin-1")
        return Request(self.method, target, headers, bytes(self.body), should_close)

    def has_partial_request(self) -> bool:
        """Whether a request has arrived in part: the condition for the time limit on slow senders."""
        return self.head is not None or bool(self.h11.trailing_data[0])

    def encode_response(self, response: Response) -> bytes:
        """Returns the bytes of a complete response and starts the next request's cycle."""
        if response.status == 202 and not response.body and not response.headers:
            data = self._send(ACCEPTED_RESPONSE)
        else:
            headers = [("content-length", str(len(response.body))), *response.headers.items()]
            if response.body:
                headers.append(("content-type", response.content_type))
            data = self._send(h11.Response(status_code=response.status, headers=headers))
        if response.body and self.method != "HEAD":  # a response to HEAD has headers only
            data += self._send(h11.Data(data=response.body))
        data += self._send(END_OF_MESSAGE)
        if self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE:
            self.h11.start_next_cycle()
        return data

    def parse_pipelined(self) -> list[Request]:
        """Returns requests that were received behind the one just answered; raises HttpError."""
        try:
            return self._parse_requests()
        except h11.RemoteProtocolError as error:
            raise HttpError(error.error_status_hint, str(error)) from None

    def open_stream(self, headers: dict[str, str], content_type: str = "application/json") -> bytes:
        """Returns the head of a chunked response that `end_stream` ends.

        Raises HttpError for a peer whose HTTP version has no chunked encoding.
        """
        if (self.h11.their_http_version or b"") < b"1.1":
            raise HttpError(505, "a stream of events needs HTTP/1.1")
        fields = [("content-type", content_type), ("transfer-encoding", "chunked"), *headers.items()]
        return self._send(h11.Response(status_code=200, headers=fields))

    @staticmethod
    def chunk(data: bytes) -> bytes:
        """Frames one chunk of the stream (RFC 9112, 7.1).

        It doesn't use h11, which produces the same bytes at ten times the cost; a chunk doesn't change the
        state of the connection.
        """
        return b"%x\r\n%b\r\n" % (len(data), data)

    def end_stream(self) -> bytes:
        """Returns the end of the chunked response."""
        return self._send(h11.EndOfMessage())

    def refuse(self, error: HttpError, response: Response | None = None) -> bytes:
        """Returns a last response, or b"" if none can be sent; the caller then closes the connection."""
        if self.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return b""
        response = response or Response(error.status, (error.text + "\n").encode(), "text/plain")
        body = response.body
        headers = [("content-length", str(len(body))), ("content-type", response.content_type)]
        headers.append(("connection", "close"))
        try:
            data = self._send(h11.Response(status_code=error.status, headers=headers))
            return data + self._send(h11.Data(data=body)) + self._send(h11.EndOfMessage())
        except HttpError:
            return b""

    def must_close(self) -> bool:
        """Whether the connection has to be closed after the last response."""
        return self.h11.our_state in (h11.MUST_CLOSE, h11.CLOSED, h11.ERROR)

    def _send(self, event: h11.Event) -> bytes:
        """Raises HttpError 500 on a protocol error of this side: it ends the connection, not the process."""
        try:
            return self.h11.send(event) or b""
        except h11.LocalProtocolError as error:
            raise HttpError(500, f"our fault: {error}") from None


@dataclass(slots=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: dict[str, str]


class ResponseEnd:
    """The end of a response's body."""


class ClientConnection:
    """The client's end of one connection: one request at a time, bodies are returned as they arrive."""

    def __init__(self) -> None:
        self.h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)

    def encode_request(
        self, method: str, target: str, host: str, headers: dict[str, str], body: bytes
    ) -> bytes:
        """Returns the bytes of a complete request."""
        fields = [("host", host), ("content-length", str(len(body))), *headers.items()]
        data = self.h11.send(h11.Request(method=method, target=target, headers=fields)) or b""
        if body:
            data += self.h11.send(h11.Data(data=body)) or b""
        return data + (self.h11.send(h11.EndOfMessage()) or b"")

    def feed(self, data: bytes) -> list[ResponseHead | bytes | ResponseEnd]:
        """Returns for each response a ResponseHead, body bytes and a ResponseEnd; raises HttpError."""
        events: list[ResponseHead | bytes | ResponseEnd] = []
        try:
            self.h11.receive_data(data)
            while True:
                event = self.h11.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    return events
                if isinstance(event, h11.Response):
                    headers = {n.decode("latin-1"): v.decode("latin-1") for n, v in event.headers}
                    events.append(ResponseHead(event.status_code, headers))
                elif isinstance(event, h11.Data):
                    events.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    events.append(ResponseEnd())
                    if self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE:
                        self.h11.start_next_cycle()
        except h11.RemoteProtocolError as error:
            raise HttpError(error.error_status_hint, str(error)) from None
