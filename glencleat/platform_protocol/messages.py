"""Codec of the platform's messages: length, type, task id and parameters, with a bound on each.

Imports nothing of glencleat. Connections in `glencleat/platform_server/` feed a `MessageDecoder`; the
exchange interprets and encodes messages. Types and causes are named after ISUP and Q.850 where they mean the
same.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterator
from dataclasses import dataclass

MAX_MESSAGE_BYTES = 16_384  # of one message, without its length field
LENGTH_BYTES = 2  # of the length field
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
INVALID_CONTENTS = 100  # only sent: a set-up that can't be parsed or used; Q.850's invalid contents


class ProtocolError(Exception):
    """The peer sent bytes that are not a valid message; the connection can't be used any further."""


class EncodeError(ValueError):
    """This program tried to send a message that exceeds the protocol's bound."""


@dataclass(slots=True)
class PlatformMessage:
    """One decoded message: its type, the task's id and the raw parameters by code."""

    kind: int
    task_id: int
    parameters: dict[int, bytes]

    def get_text(self, code: int) -> str | None:
        """Returns a parameter as text, None if it is absent.

        Raises:
            ProtocolError: It is not printable ASCII.
        """
        raw = self.parameters.get(code)
        if raw is None:
            return None
        text = raw.decode("latin-1")
        if not (text.isascii() and text.isprintable()):
            raise ProtocolError(f"parameter {code} of message type {self.kind} is not printable ASCII")
        return text

    @property
    def cause(self) -> int:
        """The value of the cause parameter.

        Raises:
            ProtocolError: The parameter is absent or not one byte long.
        """
        raw = self.parameters.get(CAUSE)
        if raw is None or len(raw) != 1:
            raise ProtocolError(f"message type {self.kind} has no cause of one byte")
        return raw[0]


def encode(kind: int, task: int, parameters: dict[int, bytes] | None = None) -> bytes:
    r"""Encodes one message.

    Raises:
        EncodeError: It is longer than the protocol allows.

    >>> encode(PROBE_ANSWER, 7, {CAUSE: b"\x01"}).hex()
    '000d3500000000000000078e000101'
    """
    body = b"".join(PARAMETER_HEADER.pack(code, len(raw)) + raw for code, raw in (parameters or {}).items())
    length = HEADER.size - 2 + len(body)
    if length > MAX_MESSAGE_BYTES:
        raise EncodeError(
            f"message type {kind} is {length} bytes long; the protocol allows {MAX_MESSAGE_BYTES}"
        )
    return HEADER.pack(length, kind, task) + body


def encode_with_cause(
    kind: int, task: int, cause: int, extra_parameters: dict[int, bytes] | None = None
) -> bytes:
    """Encodes a message whose main parameter is a cause, such as a release."""
    return encode(kind, task, {CAUSE: bytes((cause,)), **(extra_parameters or {})})


def read_task_id(data: bytes) -> int:
    """Returns the task id of one encoded message.

    >>> read_task_id(encode(PROBE_ANSWER, 7))
    7
    """
    task_id: int = HEADER.unpack_from(data)[2]
    return task_id


def find_message_end(buffer: bytearray, start: int) -> int | None:
    """Returns the end of the message that begins at `start`, None if it is incomplete.

    Raises:
        ProtocolError: Its length or type is invalid; found as soon as those bytes are in the buffer.
    """
    available_bytes = len(buffer) - start
    if available_bytes < LENGTH_BYTES:
        return None
    length = buffer[start] << 8 | buffer[start + 1]
    if not HEADER.size - LENGTH_BYTES <= length <= MAX_MESSAGE_BYTES:
        raise ProtocolError(f"invalid message length of {length} bytes")
    if available_bytes >= 3 and buffer[start + 2] not in KINDS:
        raise ProtocolError(f"message of unknown type {buffer[start + 2]}")
    message_bytes = LENGTH_BYTES + length
    return start + message_bytes if available_bytes >= message_bytes else None


class MessageDecoder:
    """Decodes a byte stream into messages; buffers the incomplete one at its end."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    @property
    def has_partial_message(self) -> bool:
        """Whether the buffer holds the beginning of a message."""
        return bool(self.buffer)

    def feed(self, data: bytes) -> None:
        """Appends received bytes to the buffer."""
        self.buffer += data

    def messages(self) -> Iterator[PlatformMessage]:
        """Yields the complete messages in the buffer and removes them from it.

        Raises:
            ProtocolError: The next message is invalid; those before it have been yielded.
        """
        position = 0
        try:
            while (end := find_message_end(self.buffer, position)) is not None:
                message = decode(bytes(self.buffer[position:end]))
                position = end
                yield message
        finally:
            del self.buffer[:position]


def decode(data: bytes) -> PlatformMessage:
    """Decodes one complete message whose length and type have been checked.

    Raises:
        ProtocolError: A parameter is cut off or occurs twice.
    """
    _, kind, task = HEADER.unpack_from(data)
    position, parameters = HEADER.size, dict[int, bytes]()
    while position < len(data):
        if len(data) - position < PARAMETER_HEADER.size:
            raise ProtocolError(f"message type {kind} ends within a parameter header")
        code, length = PARAMETER_HEADER.unpack_from(data, position)
        position += PARAMETER_HEADER.size
        if length > len(data) - position:
            raise ProtocolError(
                f"parameter {code} of {length} bytes exceeds the {len(data) - position} bytes left"
            )
        if code in parameters:
            raise ProtocolError(f"parameter {code} occurs twice in message type {kind}")
        parameters[code] = data[position : position + length]
        position += length
    return PlatformMessage(kind, task, parameters)


def parse_number(text: str) -> float:
    """Parses a finite number.

    Raises:
        ProtocolError: The text is not a number, or not a finite one.

    >>> parse_number("0.25")
    0.25
    """
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise ProtocolError(f"not a finite number: {text[:40]!r}")
    return value


def parse_fields(text: str) -> dict[str, str]:
    """Parses fields in the form `a:1;b:2`.

    Raises:
        ProtocolError: A field has no colon, or its name occurs twice.
    """
    values_by_name: dict[str, str] = {}
    for part in filter(None, text.split(";")):
        name, colon, value = part.partition(":")
        if not colon or name in values_by_name:
            raise ProtocolError(f"invalid or repeated field: {part[:40]!r}")
        values_by_name[name] = value
    return values_by_name
