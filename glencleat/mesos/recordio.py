r"""RecordIO, the framing of the v1 streams: the record's length in decimal, a newline, the bytes.

Source: Mesos documentation, "Scheduler HTTP API", section "RecordIO response format".

>>> RecordDecoder().feed(encode(b"{}") + b"5\nab")
[b'{}']
"""

from __future__ import annotations

MOST = 1 << 20  # bytes of one record, unless the caller says otherwise
DIGITS = 20  # of an unsigned 64-bit length


class RecordError(Exception):
    """The peer's fault: the bytes are no RecordIO, or a record is larger than allowed."""


def encode(record: bytes) -> bytes:
    return b"%d\n%b" % (len(record), record)


class RecordDecoder:
    """Fed bytes, gives whole records. A length beyond `most` is refused before any of its bytes are kept."""

    def __init__(self, most: int = MOST) -> None:
        self.most = most
        self.buffer = bytearray()
        self.wanted = -1  # length of the record that is being read; -1 between records

    def feed(self, data: bytes) -> list[bytes]:
        self.buffer += data
        records, at = list[bytes](), 0
        while True:
            if self.wanted < 0:
                end = self.buffer.find(b"\n", at, at + DIGITS + 1)
                if end < 0:
                    if len(self.buffer) - at > DIGITS:
                        raise RecordError(f"no newline within {DIGITS} digits; expected a record's length")
                    break
                self.wanted = self._length(bytes(self.buffer[at:end]))
                at = end + 1
            if len(self.buffer) - at < self.wanted:
                break
            records.append(bytes(self.buffer[at : at + self.wanted]))
            at += self.wanted
            self.wanted = -1
        del self.buffer[:at]
        return records

    def _length(self, digits: bytes) -> int:
        if not digits.isdigit():
            raise RecordError(f"{digits[:DIGITS]!r} is no record length; expected decimal digits")
        length = int(digits)
        if length > self.most:
            raise RecordError(f"a record of {length} bytes; expected at most {self.most}")
        return length

    def inside(self) -> bool:
        """Whether a record has begun and not ended: at the end of a stream, a torn one."""
        return bool(self.buffer) or self.wanted >= 0
