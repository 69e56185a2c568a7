r"""RecordIO, the framing of the v1 streams: the record's length in decimal, a newline, the record.

Source: Mesos documentation, "Scheduler HTTP API", section "RecordIO response format".

>>> RecordDecoder().feed(encode(b"{}") + b"5\nab")
[b'{}']
"""

from __future__ import annotations

MAX_RECORD_BYTES = 1 << 20  # default limit for one record
MAX_LENGTH_DIGITS = 20  # digits of the largest unsigned 64-bit length


class RecordError(Exception):
    """Invalid input from the peer: not RecordIO, or a record larger than allowed."""


def encode(record: bytes) -> bytes:
    """Frames a record."""
    return b"%d\n%b" % (len(record), record)


class RecordDecoder:
    """An incremental decoder that turns bytes into complete records.

    A length beyond `max_record_bytes` is rejected before any of the record's bytes are buffered.
    """

    def __init__(self, max_record_bytes: int = MAX_RECORD_BYTES) -> None:
        self.max_record_bytes = max_record_bytes
        self.buffer = bytearray()
        self.record_length = -1  # of the record being read; -1 between records

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the records that `data` completes; raises RecordError."""
        self.buffer += data
        records, position = list[bytes](), 0
        while True:
            if self.record_length < 0:
                end = self.buffer.find(b"\n", position, position + MAX_LENGTH_DIGITS + 1)
                if end < 0:
                    if len(self.buffer) - position > MAX_LENGTH_DIGITS:
                        raise RecordError(
                            f"no newline within {MAX_LENGTH_DIGITS} digits; expected a record's length"
                        )
                    break
                self.record_length = self._parse_length(bytes(self.buffer[position:end]))
                position = end + 1
            if len(self.buffer) - position < self.record_length:
                break
            records.append(bytes(self.buffer[position : position + self.record_length]))
            position += self.record_length
            self.record_length = -1
        del self.buffer[:position]
        return records

    def _parse_length(self, digits: bytes) -> int:
        if not digits.isdigit():
            raise RecordError(
                f"{digits[:MAX_LENGTH_DIGITS]!r} is not a record length; expected decimal digits"
            )
        length = int(digits)
        if length > self.max_record_bytes:
            raise RecordError(f"record of {length} bytes; expected at most {self.max_record_bytes}")
        return length

    def has_partial_record(self) -> bool:
        """Whether a record is incomplete; at the end of a stream it was truncated."""
        return bool(self.buffer) or self.record_length >= 0
