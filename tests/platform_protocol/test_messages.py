"""Bytes and messages, the command channel, and what of a set-up is usable."""

import json
from functools import partial

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glencleat import interface as api
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.command_channel import MAX_LIST_DELAY_MS, CommandChannel, estimate_start_ms
from glencleat.platform_protocol.setup_requests import SetupError, SetupReader
from tests.support.exchange_world import SETTINGS, read, setup

PARAMETERS = st.dictionaries(st.integers(0, 255), st.binary(max_size=40), max_size=6)
MESSAGES = st.lists(
    st.tuples(st.sampled_from(sorted(m.KINDS)), st.integers(0, 2**64 - 1), PARAMETERS), max_size=6
)


@settings(max_examples=60, derandomize=True, deadline=None)
@given(MESSAGES, st.lists(st.integers(1, 50), min_size=1, max_size=20))
def test_messages_come_whole_in_any_cuts(told, cuts):
    data, decoder, found = b"".join(m.encode(*one) for one in told), m.MessageDecoder(), []
    while data:
        cut = cuts[len(data) % len(cuts)]
        decoder.feed(data[:cut])
        data = data[cut:]
        found += [(x.kind, x.task_id, x.parameters) for x in decoder.messages()]
    assert found == told and not decoder.has_partial_message


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_noise_is_the_peers_error_and_nothing_else(data):
    decoder = m.MessageDecoder()
    decoder.feed(data)
    try:
        for message in decoder.messages():
            m.encode(message.kind, message.task_id, message.parameters)
    except m.ProtocolError:
        pass
    assert len(decoder.buffer) <= m.MAX_MESSAGE_BYTES + 2


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (b"\x00\x08\x01" + b"\0" * 8, "of 8 bytes"),
        (b"\xff\xff\x01" + b"\0" * 8, "of 65535 bytes"),
        (b"\x40\x01", "of 16385 bytes"),
        (b"\x00\x09\x02" + b"\0" * 8, "unknown type 2"),
        (b"\x00\x0a\x01" + b"\0" * 9, "within a parameter"),
        (b"\x00\x0d\x01" + b"\0" * 8 + b"\x64\x00\x05x", "parameter 100 of 5 bytes"),
        (b"\x00\x0f\x01" + b"\0" * 8 + b"\x64\0\0\x64\0\0", "parameter 100 twice"),
    ],
)
def test_what_is_no_message(data, why):
    decoder = m.MessageDecoder()
    decoder.feed(data)
    with pytest.raises(m.ProtocolError, match=why):
        list(decoder.messages())


def test_a_message_before_the_noise_is_given_first():
    decoder = m.MessageDecoder()
    decoder.feed(m.encode(m.PROBE, 5) + b"\xff\xff")
    found = decoder.messages()
    assert next(found).task_id == 5
    with pytest.raises(m.ProtocolError):
        next(found)


def test_a_message_that_is_too_long_is_our_error():
    with pytest.raises(m.EncodeError):
        m.encode(m.ANSWER, 1, {m.DESCRIPTION: b"x" * m.MAX_MESSAGE_BYTES})


# ---- set-ups ----

BAD = [
    {"task": 0}, {"cls": None}, {"cls": "nope"}, {"cls": b"\xff"}, {"name": None}, {"name": ""}, {"name": "x" * 200},
    {"desc": None}, {"wait": None}, {"wait": 0}, {"wait": -5}, {"wait": "soon"}, {"wait": "9" * 30}, {"wait": "1e3"},
    {"extras": ""}, {"extras": "cores:1;memory:2"}, {"extras": "x"}, {"extras": "cores:1;cores:1;memory:1;service:a"},
    *({"extras": f"cores:{bad};memory:1;service:a"} for bad in ("nan", "inf", "-1", "0", "1e99", "17", "x", "", "9" * 99)),
    *({"extras": f"cores:1;memory:{bad};service:a"} for bad in ("nan", "-inf", "-1", "33")),
]  # fmt: skip


@pytest.mark.parametrize("fields", BAD, ids=str)
def test_a_set_up_that_cannot_be_used(fields):
    (message,) = read(setup(**{"task": 7, **fields}))
    with pytest.raises(SetupError):
        SetupReader(SETTINGS).read(message)


def test_a_keyed_set_up_needs_its_key():
    (message,) = read(setup(7, "keyed"))
    assert SetupReader(SETTINGS).read(message).key == b"k"
    del message.parameters[m.KEY]
    with pytest.raises(SetupError, match="no key"):
        SetupReader(SETTINGS).read(message)


def test_a_set_up_as_the_page_shows_it():
    extras = "cores:1;memory:2;service:00000000b4d65521"
    (message,) = read(setup(7, "safe", 1500, "7f3a9c21e0b4d655", extras, desc=b"\x00\xff", **{"109": None}))
    message.parameters[m.RETRY] = b"1"
    found = SetupReader(SETTINGS).read(message)
    assert (found.timeout_ms, found.is_retry, found.service, found.cores) == (
        1500.0,
        True,
        "00000000b4d65521",
        1.0,
    )
    assert found.description == b"\x00\xff" and found.machine is None


# ---- the command channel ----


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
    made = CommandChannel(clock_offset_ms=1000.0)
    made.feed = partial(made.feed, now=NOW)
    made.load_initial_list({"cursor": 1, "cmds": [event(1, entry("h1"), entry("h2"), reset=True)]}, NOW)
    return made


def test_known_is_the_list_at_the_start(channel):
    assert channel.cursor == 1 and set(channel.hosts_by_name) == {"h1", "h2"}
    told = channel.hosts_by_name["h1"].machine
    assert (told.kind, told.zone, told.cell, told.free_cores, told.free_memory) == ("std", "a", 2, 3.5, 7.0)
    assert channel.encode_resume() == b"resume 1\n" and told.ready_at_ms is None


def test_times_are_on_the_modules_clock(channel):
    (told,) = channel.feed(lines(event(2, entry("h1", startedAtMs=50_000))))
    assert told.hosts[0].machine.ready_at_ms == 49_000.0 and told.hosts[0].started_unix_ms == 50_000.0


@pytest.mark.parametrize(
    ("started", "ready"), [(49_500, 48_500.0), (900_000, NOW), (51_001, NOW), (1, NOW - MAX_LIST_DELAY_MS)]
)
def test_clocks_that_differ_make_no_machine_warm_and_none_start_tomorrow(channel, started, ready):
    (told,) = channel.feed(lines(event(2, entry("h3", startedAtMs=started))), now=NOW)
    assert told.hosts[0].machine.ready_at_ms == ready
    (again,) = channel.feed(lines(event(3, entry("h3", startedAtMs=started))), now=NOW + 60_000.0)
    assert again.hosts[0].machine.ready_at_ms == told.hosts[0].machine.ready_at_ms  # the same start
    (whole,) = channel.feed(lines(event(4, entry("h4", startedAtMs=1), reset=True)), now=NOW + 60_000.0)
    assert whole.hosts[0].machine.ready_at_ms == 1.0 - 1_000.0  # a whole list tells of starts long ago


def test_when_a_start_was():
    assert [estimate_start_ms(at, 100_000.0) for at in (99_000.0, 40_000.0, 39_999.0, 100_001.0)] == [
        99_000.0, 40_000.0, 100_000.0, 100_000.0]  # fmt: skip


def test_events_come_once_in_any_cuts(channel):
    data, seen = (
        lines(
            event(2, entry("h3")),
            {"cursor": 2},
            event(2, entry("h3")),
            event(3, entry("h1", lifecycle="DELETED")),
        ),
        [],
    )
    for at in range(0, len(data), 7):
        seen += channel.feed(data[at : at + 7])
    assert [news.hosts[0].machine.name for news in seen] == ["h3", "h1"]
    assert channel.cursor == 3 and set(channel.hosts_by_name) == {"h2", "h3"}
    assert seen[1].hosts[0].machine.phase is api.MachinePhase.REMOVED and not seen[1].is_snapshot


def test_half_an_event_is_dropped_at_a_break_and_told_again(channel):
    data = lines(event(2, entry("h3")))
    assert list(channel.feed(data[:40])) == []
    assert channel.encode_resume() == b"resume 1\n"
    assert [len(news.hosts) for news in channel.feed(data)] == [1]


@pytest.mark.parametrize("later", [{"cursor": 5}, event(3, entry("h3")), 5])
def test_skipped_numbers_are_asked_for_again_once(channel, later):
    with pytest.raises(m.ProtocolError, match="we are at 1"):
        list(channel.feed(lines(later)))
    assert channel.encode_resume() == b"resume 1\n"
    list(channel.feed(lines(later)))  # the channel has no more to tell than that


def test_a_whole_list_in_between_replaces_all(channel):
    (told,) = channel.feed(lines(event(9, entry("h9"), reset=True)))
    assert told.is_snapshot and set(channel.hosts_by_name) == {"h9"} and channel.cursor == 9


@pytest.mark.parametrize(
    "line",
    [
        b"{]\n", b"[]\n", b'"x"\n', b"\xff\xfe\n", lines(event(2, entry("h3", lifecycle="LOST"))),
        lines(event(2, entry("h3", hostPort="nowhere"))), lines(event(2, entry("h3", hostPort="a:99999"))),
        lines({"cursor": 2, "nodes": {"instances": [{"zone": "a"}]}}), b"x" * ((4 << 20) + 1),
    ],
    ids=lambda line: str(line[:30]),
)  # fmt: skip
def test_what_is_no_event_changes_nothing(channel, line):
    with pytest.raises(m.ProtocolError):
        list(channel.feed(line))
    assert channel.cursor == 1 and set(channel.hosts_by_name) == {"h1", "h2"}


def test_a_service_with_older_numbers_is_asked_for_all_and_drains_stay(channel):
    """All that it told was taken for repeats: the allocator was deaf to drains from then on."""
    drains = [event(2, entry("h1", lifecycle="DRAINING")), event(3, entry("h2", lifecycle="DELETED"))]
    list(channel.feed(lines(*drains)))
    list(
        channel.feed(lines({"cursor": 2}, {"cursor": 3}, {"cursor": 2}, 2))
    )  # late words are no older numbers
    with pytest.raises(m.ProtocolError, match="asking for all"):
        list(channel.feed(lines({"cursor": 1})))
    assert channel.encode_resume() == b"resume 0\n"
    told = list(channel.feed(lines(
        event(7, entry("h8")), {"cursor": 1},  # no whole list: nothing is known of its numbers yet
        event(1, entry("h1"), entry("h2"), entry("h3"), reset=True), event(2, entry("h4")),
    )))  # fmt: skip
    assert [news.is_snapshot for news in told] == [True, False] and channel.cursor == 2
    phases = {name: host.machine.phase for name, host in channel.hosts_by_name.items()}
    serving, draining = api.MachinePhase.SERVING, api.MachinePhase.DRAINING
    assert phases == {"h1": draining, "h3": serving, "h4": serving}
    list(channel.feed(lines(event(3, entry("h2", startedAtMs=9_000)))))  # another process under its name
    assert channel.hosts_by_name["h2"].machine.phase is serving
    list(channel.feed(lines(event(4, entry("h1")))))  # newer than all that we knew: the drain was called off
    assert channel.hosts_by_name["h1"].machine.phase is serving


def test_free_that_is_not_told_stays(channel):
    (told,) = channel.feed(lines(event(2, entry("h1", free=None), entry("h4", free=None))))
    assert [host.machine.free_cores for host in told.hosts] == [3.5, 0.0]
