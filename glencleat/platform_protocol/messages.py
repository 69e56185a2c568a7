"""Codec of the platform's protocol: bytes to messages and back, with a bound on each length.

Layout of a message, integers big-endian: two bytes of length (of what follows), one byte of message type,
eight bytes of task id, then parameters of one byte of code, two bytes of length and the value. Message types
and causes are named after ISUP (Q.763) and Q.850 where they mean the same.

Imports nothing of glencleat. Errors tell whose fault they are: RemoteProtocolError for bytes that came in,
LocalProtocolError for a message that must not go out.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterator
from dataclasses import dataclass

HEADER = struct.Struct(">HBQ")  # length of the rest, message type, task id
PARAMETER_HEADER = struct.Struct(">BH")  # code, length of the value
LENGTH_BYTES = 2  # of the length field, which does not count itself
KIND_END = LENGTH_BYTES + 1  # where the message type ends
MIN_MESSAGE_BYTES = HEADER.size - LENGTH_BYTES  # no parameters; the length field not counted
MAX_MESSAGE_BYTES = 16_384  # the length field not counted

# Message types.
SETUP = 1
PROGRESS = 6
ANSWER = 9
RELEASE = 12
RELEASE_COMPLETE = 16
OBSERVATION = 44
MIGRATE = 51
PROBE = 52
PROBE_RESULT = 53
KINDS = frozenset(
    (SETUP, PROGRESS, ANSWER, RELEASE, RELEASE_COMPLETE, OBSERVATION, MIGRATE, PROBE, PROBE_RESULT)
)

# Parameter codes. All are text except the cause and the description.
CLASS = 100
WAIT = 103
TENANT = 106
RETRY = 109
NAME = 112
EXTRAS = 115
RETRY_AFTER = 118
TOPIC = 121
REPORT = 127
VALUE = 136
KEY = 139
CAUSE = 142
DESCRIPTION = 145

# Causes.
NORMAL_CLEARING = 16
STOPPED = 31
NO_CAPACITY = 34
TEMPORARY_FAILURE = 41
CONGESTED = 42
ERROR = 47
INVALID_CONTENTS = 100  # sent by allocators alone: a set-up that can't be read or used
TIMER_EXPIRED = 102

ERROR_EXCERPT_CHARACTERS = 40  # of a peer's text in an error


class PlatformProtocolError(Exception):
    """Root of this package's errors; `reason` is the text that logs show."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class RemoteProtocolError(PlatformProtocolError):
    """The peer's fault: bytes that are no message. The connection is of no further use."""


class LocalProtocolError(PlatformProtocolError, ValueError):
    """Our fault: a message that must not be sent."""


@dataclass(slots=True)
class PlatformMessage:
    """One message: its type, the task it is about, and the raw parameters by code."""

    kind: int
    task: int
    parameters: dict[int, bytes]

    def text(self, code: int) -> str | None:
        """Returns a parameter as text, None where it is absent.

        Raises:
            RemoteProtocolError: The value is not printable ASCII.
        """
        raw = self.parameters.get(code)
        if raw is None:
            return None
        text = raw.decode("latin-1")
        if not (text.isascii() and text.isprintable()):
            raise RemoteProtocolError(f"parameter {code} of message {self.kind} is not text")
        return text

    @property
    def cause(self) -> int:
        """The cause's one byte.

        Raises:
            RemoteProtocolError: There is no cause, or it is not one byte.
        """
        raw = self.parameters.get(CAUSE)
        if raw is None or len(raw) != 1:
            raise RemoteProtocolError(f"message {self.kind} without a cause of one byte")
        return raw[0]


def encode(kind: int, task: int, parameters: dict[int, bytes] | None = None) -> bytes:
    r"""Returns the bytes of one message.

    Raises:
        LocalProtocolError: The message is longer than the protocol allows.

    >>> encode(PROBE_RESULT, 7, {CAUSE: b"\x01"}).hex()
    '000d3500000000000000078e000101'
    """
    body = b"".join(PARAMETER_HEADER.pack(code, len(raw)) + raw for code, raw in (parameters or {}).items())
    length = MIN_MESSAGE_BYTES + len(body)
    if length > MAX_MESSAGE_BYTES:
        raise LocalProtocolError(f"message {kind} of {length} bytes; the protocol holds {MAX_MESSAGE_BYTES}")
    return HEADER.pack(length, kind, task) + body


def encode_with_cause(kind: int, task: int, cause: int, more: dict[int, bytes] | None = None) -> bytes:
    """Returns the bytes of a message whose first parameter is a cause, such as a release.

    Raises:
        LocalProtocolError: The message is longer than the protocol allows.
    """
    return encode(kind, task, {CAUSE: bytes((cause,)), **(more or {})})


def find_message_end(buffer: bytearray, start: int) -> int | None:
    """Returns where the message that begins at `start` ends, None if it is not complete yet.

    Raises:
        RemoteProtocolError: At the first byte that can't be right, complete or not: a peer that sends noise
        must
            not make us wait for the rest of it.
    """
    available = len(buffer) - start
    if available < LENGTH_BYTES:
        return None
    length = buffer[start] << 8 | buffer[start + 1]
    if not MIN_MESSAGE_BYTES <= length <= MAX_MESSAGE_BYTES:
        raise RemoteProtocolError(f"a message of {length} bytes")
    if available >= KIND_END and buffer[start + LENGTH_BYTES] not in KINDS:
        raise RemoteProtocolError(f"a message of unknown type {buffer[start + LENGTH_BYTES]}")
    return start + length + LENGTH_BYTES if available >= length + LENGTH_BYTES else None


class MessageDecoder:
    """Bytes in, complete messages out; keeps at most one message that is not complete yet."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    @property
    def has_partial_message(self) -> bool:
        """A message has begun and is not complete."""
        return bool(self.buffer)

    def feed(self, data: bytes) -> None:
        """Adds what a connection brought."""
        self.buffer += data

    def messages(self) -> Iterator[PlatformMessage]:
        """Yields the complete messages.

        Raises:
            RemoteProtocolError: At the first byte that can't be right, after all messages before it.
        """
        start = 0
        try:
            while (end := find_message_end(self.buffer, start)) is not None:
                message = decode(bytes(self.buffer[start:end]))
                start = end
                yield message
        finally:
            del self.buffer[:start]


def decode(data: bytes) -> PlatformMessage:
    """Returns one complete message; `find_message_end` has checked its length and type.

    Raises:
        RemoteProtocolError: The parameters don't fill the message exactly, or one is there twice.
    """
    _, kind, task = HEADER.unpack_from(data)
    offset = HEADER.size
    parameters: dict[int, bytes] = {}
    while offset < len(data):
        if len(data) - offset < PARAMETER_HEADER.size:
            raise RemoteProtocolError(f"message {kind} ends within a parameter")
        code, length = PARAMETER_HEADER.unpack_from(data, offset)
        offset += PARAMETER_HEADER.size
        if length > len(data) - offset:
            raise RemoteProtocolError(f"parameter {code} of {length} bytes in the {len(data) - offset} left")
        if code in parameters:
            raise RemoteProtocolError(f"parameter {code} twice in message {kind}")
        parameters[code] = data[offset : offset + length]
        offset += length
    return PlatformMessage(kind, task, parameters)


def parse_number(text: str) -> float:
    """Returns a finite number.

    Raises:
        RemoteProtocolError: The text is anything else.

    >>> parse_number("0.25")
    0.25
    """
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise RemoteProtocolError(f"no figure: {text[:ERROR_EXCERPT_CHARACTERS]!r}")
    return value


def parse_fields(text: str) -> dict[str, str]:
    """Returns `a:1;b:2` as a mapping.

    Raises:
        RemoteProtocolError: The text has another form or a name twice.

    >>> parse_fields("a:1;b:2")
    {'a': '1', 'b': '2'}
    """
    values_by_name: dict[str, str] = {}
    for part in filter(None, text.split(";")):
        name, colon, value = part.partition(":")
        if not colon or name in values_by_name:
            raise RemoteProtocolError(f"no field: {part[:ERROR_EXCERPT_CHARACTERS]!r}")
        values_by_name[name] = value
    return values_by_name
