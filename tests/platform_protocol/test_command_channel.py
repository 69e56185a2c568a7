"""The command channel: events applied once and in order, gaps and repeats, clocks that differ."""

import json
from functools import partial

import pytest

from glencleat import interface as api
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.command_channel import (
    MAX_START_DELAY_MS,
    CommandChannel,
    estimate_start_ms,
)


def entry(name, **more):
    fields = {
        "instanceId": name, "hostPort": "127.0.0.1:5080", "zone": "a", "machineType": "std", "cell": 2,
        "lifecycle": "SERVING", "weight": 4, "startedAtMs": 0, "free": [3.5, 7], **more,
    }  # fmt: skip
    return fields


def event(cursor, *entries, reset=False):
    return {"cursor": cursor, "nodes": {"generation": cursor, "reset": reset, "instances": list(entries)}}


def lines(*events):
    return b"".join(json.dumps(e).encode() + b"\n" for e in events)


NOW = 50_000.0


@pytest.fixture
def channel():
    made = CommandChannel(wall_clock_offset_ms=1000.0)
    made.feed = partial(made.feed, now_ms=NOW)
    made.load_known({"cursor": 1, "cmds": [event(1, entry("h1"), entry("h2"), reset=True)]}, NOW)
    return made


def test_known_events_are_the_list_at_the_start(channel):
    assert channel.cursor == 1
    assert set(channel.hosts) == {"h1", "h2"}
    told = channel.hosts["h1"].machine
    assert (told.kind, told.zone, told.cell, told.free_cores, told.free_memory) == ("std", "a", 2, 3.5, 7.0)
    assert channel.begin_connection() == b"resume 1\n"
    assert told.ready_at_ms is None


def test_start_time_is_translated_to_the_modules_clock(channel):
    (told,) = channel.feed(lines(event(2, entry("h1", startedAtMs=50_000))))
    assert told.hosts[0].machine.ready_at_ms == 49_000.0
    assert told.hosts[0].started_ms == 50_000.0


@pytest.mark.parametrize(
    ("started", "ready"), [(49_500, 48_500.0), (900_000, NOW), (51_001, NOW), (1, NOW - MAX_START_DELAY_MS)]
)
def test_ready_time_is_bounded_when_clocks_differ(channel, started, ready):
    (told,) = channel.feed(lines(event(2, entry("h3", startedAtMs=started))), now_ms=NOW)
    assert told.hosts[0].machine.ready_at_ms == ready
    (again,) = channel.feed(lines(event(3, entry("h3", startedAtMs=started))), now_ms=NOW + 60_000.0)
    assert again.hosts[0].machine.ready_at_ms == told.hosts[0].machine.ready_at_ms  # the same start
    (whole,) = channel.feed(lines(event(4, entry("h4", startedAtMs=1), reset=True)), now_ms=NOW + 60_000.0)
    assert whole.hosts[0].machine.ready_at_ms == 1.0 - 1_000.0  # a whole list tells of starts long ago


def test_start_estimate_is_now_when_reported_time_is_implausible():
    assert [estimate_start_ms(at, 100_000.0) for at in (99_000.0, 40_000.0, 39_999.0, 100_001.0)] == [
        99_000.0, 40_000.0, 100_000.0, 100_000.0]  # fmt: skip


def test_events_are_applied_once_for_any_cuts_of_the_stream(channel):
    seen = []
    data = lines(
        event(2, entry("h3")),
        {"cursor": 2},
        event(2, entry("h3")),
        event(3, entry("h1", lifecycle="DELETED")),
    )
    for at in range(0, len(data), 7):
        seen += channel.feed(data[at : at + 7])
    assert [news.hosts[0].machine.name for news in seen] == ["h3", "h1"]
    assert channel.cursor == 3
    assert set(channel.hosts) == {"h2", "h3"}
    assert seen[1].hosts[0].machine.phase is api.MachinePhase.REMOVED
    assert not seen[1].is_snapshot


def test_partial_event_is_dropped_on_reconnection(channel):
    data = lines(event(2, entry("h3")))
    assert list(channel.feed(data[:40])) == []
    assert channel.begin_connection() == b"resume 1\n"
    assert [len(news.hosts) for news in channel.feed(data)] == [1]


@pytest.mark.parametrize("later", [{"cursor": 5}, event(3, entry("h3")), 5])
def test_gap_is_requested_once(channel, later):
    with pytest.raises(m.RemoteProtocolError, match="we are at 1"):
        list(channel.feed(lines(later)))
    assert channel.begin_connection() == b"resume 1\n"
    list(channel.feed(lines(later)))  # the channel has no more to tell than that


def test_snapshot_replaces_the_list(channel):
    (told,) = channel.feed(lines(event(9, entry("h9"), reset=True)))
    assert told.is_snapshot
    assert set(channel.hosts) == {"h9"}
    assert channel.cursor == 9


@pytest.mark.parametrize(
    "line",
    [
        b"{]\n", b"[]\n", b'"x"\n', b"\xff\xfe\n", lines(event(2, entry("h3", lifecycle="LOST"))),
        lines(event(2, entry("h3", hostPort="nowhere"))), lines(event(2, entry("h3", hostPort="a:99999"))),
        lines({"cursor": 2, "nodes": {"instances": [{"zone": "a"}]}}), b"x" * ((4 << 20) + 1),
    ],
    ids=lambda line: str(line[:30]),
)  # fmt: skip
def test_malformed_event_changes_nothing(channel, line):
    with pytest.raises(m.RemoteProtocolError):
        list(channel.feed(line))
    assert channel.cursor == 1
    assert set(channel.hosts) == {"h1", "h2"}


def test_service_with_older_numbers_is_asked_for_snapshot_and_drains_stay(channel):
    """All that it told was taken for repeats: the allocator was deaf to drains from then on."""
    drains = [event(2, entry("h1", lifecycle="DRAINING")), event(3, entry("h2", lifecycle="DELETED"))]
    list(channel.feed(lines(*drains)))
    list(
        channel.feed(lines({"cursor": 2}, {"cursor": 3}, {"cursor": 2}, 2))
    )  # late words are no older numbers
    with pytest.raises(m.RemoteProtocolError, match="asking for all"):
        list(channel.feed(lines({"cursor": 1})))
    assert channel.begin_connection() == b"resume 0\n"
    told = list(channel.feed(lines(
        event(7, entry("h8")), {"cursor": 1},  # no whole list: nothing is known of its numbers yet
        event(1, entry("h1"), entry("h2"), entry("h3"), reset=True), event(2, entry("h4")),
    )))  # fmt: skip
    assert [news.is_snapshot for news in told] == [True, False]
    assert channel.cursor == 2
    phases = {name: host.machine.phase for name, host in channel.hosts.items()}
    serving = api.MachinePhase.SERVING
    draining = api.MachinePhase.DRAINING
    assert phases == {"h1": draining, "h3": serving, "h4": serving}
    list(channel.feed(lines(event(3, entry("h2", startedAtMs=9_000)))))  # another process under its name
    assert channel.hosts["h2"].machine.phase is serving
    list(channel.feed(lines(event(4, entry("h1")))))  # newer than all that we knew: the drain was called off
    assert channel.hosts["h1"].machine.phase is serving


def test_free_capacity_stays_when_event_omits_it(channel):
    (told,) = channel.feed(lines(event(2, entry("h1", free=None), entry("h4", free=None))))
    assert [host.machine.free_cores for host in told.hosts] == [3.5, 0.0]
