"""Bytes to messages and back: length, type, task, parameters; bounds on each, and whose fault an error is.

Imports nothing of glencleat. The links of `glencleat/platform_server/` feed a Decoder, the
exchange reads and makes
messages. Types and causes are named after ISUP and Q.850 where they mean the same."""

from __future__ import annotations

import math
import struct
from collections.abc import Iterator
from dataclasses import dataclass

MAX_MESSAGE_BYTES = 16_384  # bytes of a message, its length field not counted
HEADER = struct.Struct(">HBQ")
PARAMETER_HEADER = struct.Struct(">BH")

SETUP, PROGRESS, ANSWER, RELEASE, RELEASE_COMPLETE = 1, 6, 9, 12, 16
OBSERVATION, MIGRATE, PROBE, PROBE_ANSWER = 44, 51, 52, 53
KINDS = frozenset(
    (SETUP, PROGRESS, ANSWER, RELEASE, RELEASE_COMPLETE, OBSERVATION, MIGRATE, PROBE, PROBE_ANSWER)
)

CLASS, TIMEOUT, TENANT, RETRY, NAME, EXTRAS, RETRY_AFTER = 100, 103, 106, 109, 112, 115, 118
TOPIC, REPORT, VALUE, KEY, CAUSE, DESCRIPTION = 121, 127, 136, 139, 142, 145
BINARY_PARAMETERS = frozenset((CAUSE, DESCRIPTION))  # all other parameters are text

CANCELLED = ENDED = 16
STOPPED, REJECTED, FAILED, CONGESTED, ERROR, EXPIRED = 31, 34, 41, 42, 47, 102
INVALID_CONTENTS = 100  # ours: a set-up that can't be read or used, Q.850's invalid contents


class ProtocolError(Exception):
    """The peer's fault: bytes that are no message. The connection is of no further use."""


class EncodeError(ValueError):
    """Our fault: a message that must not be sent."""


@dataclass(slots=True)
class PlatformMessage:
    kind: int
    task_id: int
    parameters: dict[int, bytes]

    def get_text(self, code: int) -> str | None:
        """A parameter as text, None where it is absent; ProtocolError if it is not printable ASCII."""
        raw = self.parameters.get(code)
        if raw is None:
            return None
        text = raw.decode("latin-1")
        if not (text.isascii() and text.isprintable()):
            raise ProtocolError(f"parameter {code} of message {self.kind} is not text")
        return text

    @property
    def cause(self) -> int:
        """The cause's one byte; ProtocolError without it."""
        raw = self.parameters.get(CAUSE)
        if raw is None or len(raw) != 1:
            raise ProtocolError(f"message {self.kind} without a cause of one byte")
        return raw[0]


def encode(kind: int, task: int, parameters: dict[int, bytes] | None = None) -> bytes:
    """The bytes of one message; EncodeError when it passes the protocol's bound.

    >>> encode(PROBE_ANSWER, 7, {CAUSE: b"\\x01"}).hex()
    '000d3500000000000000078e000101'
    """
    body = b"".join(PARAMETER_HEADER.pack(code, len(raw)) + raw for code, raw in (parameters or {}).items())
    length = HEADER.size - 2 + len(body)
    if length > MAX_MESSAGE_BYTES:
        raise EncodeError(f"message {kind} of {length} bytes; the protocol holds {MAX_MESSAGE_BYTES}")
    return HEADER.pack(length, kind, task) + body


def encode_with_cause(kind: int, task: int, cause: int, more: dict[int, bytes] | None = None) -> bytes:
    """A message whose main parameter is a cause, such as a release."""
    return encode(kind, task, {CAUSE: bytes((cause,)), **(more or {})})


def find_message_end(buffer: bytearray, at: int) -> int | None:
    """Where the message that begins at `at` ends, None if not all of it is here; ProtocolError at the first
    byte that can't be right."""
    have = len(buffer) - at
    if have < 2:
        return None
    length = buffer[at] << 8 | buffer[at + 1]
    if not HEADER.size - 2 <= length <= MAX_MESSAGE_BYTES:
        raise ProtocolError(f"a message of {length} bytes")
    if have >= 3 and buffer[at + 2] not in KINDS:
        raise ProtocolError(f"a message of unknown type {buffer[at + 2]}")
    return at + length + 2 if have >= length + 2 else None


class MessageDecoder:
    """Bytes in, whole messages out; keeps at most one message that is not whole yet."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    @property
    def has_partial_message(self) -> bool:
        """A message has begun and is not whole."""
        return bool(self.buffer)

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def messages(self) -> Iterator[PlatformMessage]:
        """Whole messages; ProtocolError at the first byte that can't be right."""
        at = 0
        try:
            while (end := find_message_end(self.buffer, at)) is not None:
                message = decode(bytes(self.buffer[at:end]))
                at = end
                yield message
        finally:
            del self.buffer[:at]


def decode(data: bytes) -> PlatformMessage:
    """One whole message, its length and type already looked at."""
    _, kind, task = HEADER.unpack_from(data)
    at, parameters = HEADER.size, dict[int, bytes]()
    while at < len(data):
        if len(data) - at < PARAMETER_HEADER.size:
            raise ProtocolError(f"message {kind} ends within a parameter")
        code, length = PARAMETER_HEADER.unpack_from(data, at)
        at += PARAMETER_HEADER.size
        if length > len(data) - at:
            raise ProtocolError(f"parameter {code} of {length} bytes in the {len(data) - at} left")
        if code in parameters:
            raise ProtocolError(f"parameter {code} twice in message {kind}")
        parameters[code] = data[at : at + length]
        at += length
    return PlatformMessage(kind, task, parameters)


def parse_number(text: str) -> float:
    """A finite number; ProtocolError on anything else.

    >>> parse_number("0.25")
    0.25
    """
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise ProtocolError(f"no figure: {text[:40]!r}")
    return value


def parse_fields(text: str) -> dict[str, str]:
    """`a:1;b:2` as a mapping; ProtocolError on another form or a name twice."""
    found: dict[str, str] = {}
    for part in filter(None, text.split(";")):
        name, colon, value = part.partition(":")
        if not colon or name in found:
            raise ProtocolError(f"no field: {part[:40]!r}")
        found[name] = value
    return found
