r"""RecordIO, the framing of the v1 streams: the record's length in decimal, a newline, the bytes.

Source: Mesos documentation, "Scheduler HTTP API", section "RecordIO response format".

>>> RecordDecoder().feed(encode(b"{}") + b"5\nab")
[b'{}']
"""

from __future__ import annotations

from glencleat.mesos.errors import MesosProtocolError

MAX_RECORD_BYTES = 1 << 20  # bytes of one record, unless the caller says otherwise
MAX_LENGTH_DIGITS = 20  # of an unsigned 64-bit length


class RecordError(MesosProtocolError):
    """The bytes are no RecordIO, or a record is larger than allowed."""


def encode(record: bytes) -> bytes:
    """Return the record with its frame."""
    return b"%d\n%b" % (len(record), record)


class RecordDecoder:
    """Splits a stream into records; a length beyond the limit is rejected before its bytes are buffered."""

    def __init__(self, max_record_bytes: int = MAX_RECORD_BYTES) -> None:
        self.max_record_bytes = max_record_bytes
        self.buffer = bytearray()
        self.record_length: int | None = None  # of the record that is being read; None between records

    def feed(self, data: bytes) -> list[bytes]:
        """Return the records that end within `data`; raises RecordError."""
        self.buffer += data
        records = list[bytes]()
        position = 0
        while True:
            if self.record_length is None:
                line_end = self._find_line_end(position)
                if line_end is None:
                    break
                self.record_length = self._parse_length(bytes(self.buffer[position:line_end]))
                position = line_end + 1
            if len(self.buffer) - position < self.record_length:
                break
            records.append(bytes(self.buffer[position : position + self.record_length]))
            position += self.record_length
            self.record_length = None
        del self.buffer[:position]
        return records

    def _find_line_end(self, position: int) -> int | None:
        """Return where the length that begins at `position` ends, None if that has not arrived."""
        line_end = self.buffer.find(b"\n", position, position + MAX_LENGTH_DIGITS + 1)
        if line_end >= 0:
            return line_end
        if len(self.buffer) - position > MAX_LENGTH_DIGITS:
            raise RecordError(f"no newline within {MAX_LENGTH_DIGITS} digits; expected a record's length")
        return None

    def _parse_length(self, digits: bytes) -> int:
        if not digits.isdigit():
            raise RecordError(f"{digits[:MAX_LENGTH_DIGITS]!r} is no record length; expected decimal digits")
        length = int(digits)
        if length > self.max_record_bytes:
            raise RecordError(f"a record of {length} bytes; expected at most {self.max_record_bytes}")
        return length

    def has_partial_record(self) -> bool:
        """Whether a record has begun and not ended: at the end of a stream, a truncated one."""
        return bool(self.buffer) or self.record_length is not None
