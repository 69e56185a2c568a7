r"""RecordIO, the framing of the v1 streams: the record's length in decimal, a newline, the bytes.

Source: Mesos documentation, "Scheduler HTTP API", section "RecordIO response format".

>>> RecordDecoder().feed(encode(b"{}") + b"5\nab")
[b'{}']
"""

from __future__ import annotations

MAX_RECORD_BYTES = 1 << 20  # bytes of one record, unless the caller says otherwise
MAX_LENGTH_DIGITS = 20  # of an unsigned 64-bit length


class RecordError(Exception):
    """The peer's fault: the bytes are no RecordIO, or a record is larger than allowed."""


def encode(record: bytes) -> bytes:
    return b"%d\n%b" % (len(record), record)


class RecordDecoder:
    """Fed bytes, gives whole records. A length beyond `max_record_bytes` is refused before any of its bytes
    are kept."""

    def __init__(self, max_record_bytes: int = MAX_RECORD_BYTES) -> None:
        self.max_record_bytes = max_record_bytes
        self.buffer = bytearray()
        self.record_length = -1  # length of the record that is being read; -1 between records

    def feed(self, data: bytes) -> list[bytes]:
        self.buffer += data
        records, at = list[bytes](), 0
        while True:
            if self.record_length < 0:
                end = self.buffer.find(b"\n", at, at + MAX_LENGTH_DIGITS + 1)
                if end < 0:
                    if len(self.buffer) - at > MAX_LENGTH_DIGITS:
                        raise RecordError(
                            f"no newline within {MAX_LENGTH_DIGITS} digits; expected a record's length"
                        )
                    break
                self.record_length = self._length(bytes(self.buffer[at:end]))
                at = end + 1
            if len(self.buffer) - at < self.record_length:
                break
            records.append(bytes(self.buffer[at : at + self.record_length]))
            at += self.record_length
            self.record_length = -1
        del self.buffer[:at]
        return records

    def _length(self, digits: bytes) -> int:
        if not digits.isdigit():
            raise RecordError(f"{digits[:MAX_LENGTH_DIGITS]!r} is no record length; expected decimal digits")
        length = int(digits)
        if length > self.max_record_bytes:
            raise RecordError(f"a record of {length} bytes; expected at most {self.max_record_bytes}")
        return length

    def has_partial_record(self) -> bool:
        """Whether a record has begun and not ended: at the end of a stream, a torn one."""
        return bool(self.buffer) or self.record_length >= 0
