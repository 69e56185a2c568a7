"""Set-ups of about the largest size: each is answered at once, whatever lies behind it, and without a busy poll."""

import socket

import pytest

from glencleat import interface as api
from glencleat.platform_protocol import messages as m
from tests.support.exchange_world import setup

LARGEST_BYTES = m.MAX_MESSAGE_BYTES + m.LENGTH_BYTES
SIZES = range(16_380, 16_391)
MAX_POLLS = 60
REFUSAL_1 = m.encode_with_cause(m.RELEASE, 1, m.REJECTED)
REFUSAL_2 = m.encode_with_cause(m.RELEASE, 2, m.REJECTED)


def setup_of_size(size):
    """A set-up of that many bytes with its length field; larger ones than the protocol allows as well."""
    padding = size - len(setup(1, desc=b""))
    if size <= LARGEST_BYTES:
        return setup(1, desc=b"x" * padding)
    smaller = setup(1, desc=b"x" * (padding - 10)) + b"x" * 10
    return (size - m.LENGTH_BYTES).to_bytes(m.LENGTH_BYTES, "big") + smaller[m.LENGTH_BYTES :]


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("has_second", [False, True], ids=["alone", "with a second one"])
@pytest.mark.parametrize("split_at", [None, 1, 5_000, 16_379], ids=["whole", "1", "5000", "16379"])
def test_a_large_set_up_is_answered_at_once(virtual_time_world, size, has_second, split_at):
    """Guards against a set-up that lay unread for 2 s, with all behind it, while the process polled without a
    pause: the largest ones did not fit the read buffer with their length field."""
    world = virtual_time_world
    sock = world.client()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    data = setup_of_size(size)
    assert len(data) == size
    if has_second:
        data += setup(2)
    world.module.next += [[api.Reject(1)], [api.Reject(2)]]
    is_allowed = size <= LARGEST_BYTES
    expected = (REFUSAL_1 + (REFUSAL_2 if has_second else b"")) if is_allowed else b""
    pieces = [data] if split_at is None else [data[:split_at], data[split_at:]]
    began_at_ms, began_polls = world.loop.now(), world.loop.poll_count
    for piece in pieces:
        sock.sendall(piece)
        for _ in range(3):
            world.loop.call_in(0.0, lambda: None)
            world.loop.run_once()
    received = b""
    while len(received) < len(expected):
        received += world.says(sock)
    if not is_allowed:
        assert world.says(sock) == b""
    assert received == expected
    assert world.loop.now() - began_at_ms < 100.0
    assert world.loop.poll_count - began_polls < MAX_POLLS
