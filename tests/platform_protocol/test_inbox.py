"""What a client has sent and nobody has handled yet: complete messages, releases among them, arrival times."""

from random import Random

import pytest

from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.inbox import Inbox
from tests.support.exchange_world import setup
from tests.support.socket_world import cancel


def test_an_inbox_reports_its_unread_messages():
    inbox = Inbox()
    data = setup(1) + setup(2) + cancel(2) + setup(2)[:20]
    for byte in data:
        inbox.feed(bytes((byte,)), 4.0, 5.0)
    assert (inbox.is_client_waiting(1), inbox.is_client_waiting(2)) == (True, False)
    found = [inbox.next_message() for _ in range(3)]
    assert [message.kind for message, _ in found] == [m.SETUP, m.SETUP, m.RELEASE]
    assert (
        inbox.next_message() is None
        and inbox.has_partial_message
        and inbox.is_client_waiting(2)
        and len(inbox.pieces) == 2  # not one per byte
    )
    inbox.feed(setup(2)[20:], 8.0, 9.0)
    assert inbox.next_message()[1] == 9.0 and not inbox.has_partial_message
    inbox.feed(b"\0\1", 9.0, 10.0)
    assert inbox.has_next and not inbox.has_partial_message
    with pytest.raises(m.ProtocolError):
        inbox.next_message()
    inbox.is_closed = True
    assert not inbox.is_client_waiting(1)


@pytest.mark.parametrize("seed", range(20))
def test_an_inbox_finds_releases_and_not_what_looks_like_one(seed):
    """A description may hold the bytes of a release, at any offset and with any message around it."""
    random = Random(seed)
    queued = []
    for _ in range(random.randrange(1, 12)):
        task = random.randrange(1, 4)
        looks_like = random.randbytes(random.randrange(3)) + cancel(random.randrange(1, 4))
        queued.append(random.choice([setup(task), setup(task, desc=looks_like), cancel(task)]))
    inbox = Inbox()
    inbox.feed(b"".join(queued) + cancel(9)[: random.randrange(len(cancel(9)))], 0.0, None)
    while queued:
        for task in (1, 2, 3, 9):
            assert inbox.is_client_waiting(task) is (cancel(task) not in queued)
        inbox.next_message()
        queued.pop(0)
    assert inbox.next_message() is None and inbox.is_client_waiting(1)
