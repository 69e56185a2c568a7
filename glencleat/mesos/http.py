"""HTTP/1.1 of both ends by h11, as objects fed bytes that give events; limits on heads and bodies.

No sockets: `fronts` and `standins` carry the bytes. Errors are the peer's (`HttpError`, with the status that
a server answers) or ours (h11.LocalProtocolError, a bug)."""

from __future__ import annotations

from dataclasses import dataclass, field

import h11

MAX_HEAD_BYTES = 16_384  # bytes of request line and headers
MAX_BODY_BYTES = 1 << 20
# Most responses are this one; building an event checks its headers anew each time.
ACCEPTED_RESPONSE = h11.Response(status_code=202, headers=[("content-length", "0")])
END_OF_MESSAGE = h11.EndOfMessage()


class HttpError(Exception):
    """The peer's fault; `status` is the response that tells it."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text
        self.headers = dict[str, str]()  # that the response carries


@dataclass(slots=True)
class Request:
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    should_close: bool = False
    connection: object = None  # the connection, for limits that are its own


@dataclass(slots=True)
class Response:
    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"
    headers: dict[str, str] = field(default_factory=dict)
    read_pause_ms: float = 0.0  # so long the connection is not read afterwards


class ServerConnection:
    """The server's end of one connection: feed it bytes, take requests, answer each before the next.

    Pipelined requests wait within their bytes until the one before is answered."""

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.max_body_bytes = max_body_bytes
        self.head: h11.Request | None = None
        self.body = bytearray()
        self.method = ""  # of the one that is being answered

    def feed(self, data: bytes) -> list[Request]:
        """Whole requests; raises HttpError. b"" is the peer's end."""
        try:
            self.h11.receive_data(data)
            return self._events()
        except h11.RemoteProtocolError as error:
            raise HttpError(error.error_status_hint, str(error)) from None

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
        headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
        self.method = head.method.decode("latin-1")
        close = headers.get("connection", "").lower() == "close" or head.http_version == b"1.0"
        target = head.target.decode("latin-1")
        return Request(self.method, target, headers, bytes(self.body), close)

    def has_partial_request(self) -> bool:
        """Whether a request has begun to arrive and is not whole: what a slow sender's time limit is for."""
        return self.head is not None or bool(self.h11.trailing_data[0])

    def encode_response(self, response: Response) -> bytes:
        """The bytes of a whole response."""
        if response.status == 202 and not response.body and not response.headers:
            data = self._send(ACCEPTED_RESPONSE)
        else:
            headers = [("content-length", str(len(response.body))), *response.headers.items()]
            if response.body:
                headers.append(("content-type", response.content_type))
            data = self._send(h11.Response(status_code=response.status, headers=headers))
        if response.body and self.method != "HEAD":  # which is told the length and sent nothing
            data += self._send(h11.Data(data=response.body))
        data += self._send(END_OF_MESSAGE)
        if self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE:
            self.h11.start_next_cycle()
        return data

    def parse_pipelined(self) -> list[Request]:
        """Requests that had come behind the one just answered."""
        try:
            return self._events()
        except h11.RemoteProtocolError as error:
            raise HttpError(error.error_status_hint, str(error)) from None

    def open_stream(self, headers: dict[str, str], content_type: str = "application/json") -> bytes:
        """Head of a chunked response that never ends by itself; raises HttpError for a peer that knows no
        chunks."""
        if (self.h11.their_http_version or b"") < b"1.1":
            raise HttpError(505, "a stream of events needs HTTP/1.1")
        told = [("content-type", content_type), ("transfer-encoding", "chunked"), *headers.items()]
        return self._send(h11.Response(status_code=200, headers=told))

    @staticmethod
    def chunk(data: bytes) -> bytes:
        """One chunk of the stream (RFC 9112, 7.1).

        Framed here: h11 does the same at ten times the cost, and a session's state does not change by it."""
        return b"%x\r\n%b\r\n" % (len(data), data)

    def end_stream(self) -> bytes:
        return self._send(h11.EndOfMessage())

    def refuse(self, error: HttpError, told: Response | None = None) -> bytes:
        """A last response to a peer at fault, if one can still be sent; the connection is then closed."""
        if self.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return b""
        told = told or Response(error.status, (error.text + "\n").encode(), "text/plain")
        body = told.body
        head = [("content-length", str(len(body))), ("content-type", told.content_type)]
        head.append(("connection", "close"))
        try:
            data = self._send(h11.Response(status_code=error.status, headers=head))
            return data + self._send(h11.Data(data=body)) + self._send(h11.EndOfMessage())
        except HttpError:
            return b""

    def must_close(self) -> bool:
        return self.h11.our_state in (h11.MUST_CLOSE, h11.CLOSED, h11.ERROR)

    def _send(self, event: h11.Event) -> bytes:
        """A fault of ours against HTTP costs this connection, with a word in the log, and not the process."""
        try:
            return self.h11.send(event) or b""
        except h11.LocalProtocolError as error:
            raise HttpError(500, f"our fault: {error}") from None


@dataclass(slots=True)
class ResponseHead:
    status: int
    headers: dict[str, str]


class ResponseEnd:
    """End of a response's body."""


class ClientConnection:
    """The client's end: one request after the other, bodies given as they come."""

    def __init__(self) -> None:
        self.h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)

    def encode_request(
        self, method: str, target: str, host: str, headers: dict[str, str], body: bytes
    ) -> bytes:
        told = [("host", host), ("content-length", str(len(body))), *headers.items()]
        data = self.h11.send(h11.Request(method=method, target=target, headers=told)) or b""
        if body:
            data += self.h11.send(h11.Data(data=body)) or b""
        return data + (self.h11.send(h11.EndOfMessage()) or b"")

    def feed(self, data: bytes) -> list[ResponseHead | bytes | ResponseEnd]:
        """ResponseHead, then bytes of the body, then ResponseEnd, for each response; raises HttpError."""
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
