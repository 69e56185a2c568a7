"""The message codec, the validation of set-ups, and the command channel."""

import json
from functools import partial

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glencleat import interface as api
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.command_channel import MAX_LIST_DELAY_MS, CommandChannel
from glencleat.platform_protocol.setup_requests import SetupError, SetupReader
from tests.support.exchange_world import SETTINGS, read, setup

PARAMETERS = st.dictionaries(st.integers(0, 255), st.binary(max_size=40), max_size=6)
MESSAGES = st.lists(
    st.tuples(st.sampled_from(sorted(m.KINDS)), st.integers(0, 2**64 - 1), PARAMETERS), max_size=6
)


@settings(max_examples=60, derandomize=True, deadline=None)
@given(MESSAGES, st.lists(st.integers(1, 50), min_size=1, max_size=20))
def test_messages_decode_from_any_fragmentation(sent, fragment_sizes):
    data, decoder, decoded = b"".join(m.encode(*fields) for fields in sent), m.MessageDecoder(), []
    while data:
        size = fragment_sizes[len(data) % len(fragment_sizes)]
        decoder.feed(data[:size])
        data = data[size:]
        decoded += [(message.kind, message.task_id, message.parameters) for message in decoder.messages()]
    assert decoded == sent and not decoder.has_partial_message


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_random_bytes_raise_only_protocol_errors(data):
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
        (b"\x00\x0f\x01" + b"\0" * 8 + b"\x64\0\0\x64\0\0", "parameter 100 occurs twice"),
    ],
)
def test_invalid_message(data, why):
    decoder = m.MessageDecoder()
    decoder.feed(data)
    with pytest.raises(m.ProtocolError, match=why):
        list(decoder.messages())


def test_valid_message_before_invalid_bytes_is_yielded():
    decoder = m.MessageDecoder()
    decoder.feed(m.encode(m.PROBE, 5) + b"\xff\xff")
    messages = decoder.messages()
    assert next(messages).task_id == 5
    with pytest.raises(m.ProtocolError):
        next(messages)


def test_encoding_a_too_long_message_raises_encode_error():
    with pytest.raises(m.EncodeError):
        m.encode(m.ANSWER, 1, {m.DESCRIPTION: b"x" * m.MAX_MESSAGE_BYTES})


# ---- set-ups ----

INVALID_SETUPS = [
    {"task": 0}, {"cls": None}, {"cls": "nope"}, {"cls": b"\xff"}, {"name": None}, {"name": ""}, {"name": "x" * 200},
    {"desc": None}, {"wait": None}, {"wait": 0}, {"wait": -5}, {"wait": "soon"}, {"wait": "9" * 30}, {"wait": "1e3"},
    {"extras": ""}, {"extras": "cores:1;memory:2"}, {"extras": "x"}, {"extras": "cores:1;cores:1;memory:1;service:a"},
    *({"extras": f"cores:{bad};memory:1;service:a"} for bad in ("nan", "inf", "-1", "0", "1e99", "17", "x", "", "9" * 99)),
    *({"extras": f"cores:1;memory:{bad};service:a"} for bad in ("nan", "-inf", "-1", "33")),
]  # fmt: skip


@pytest.mark.parametrize("fields", INVALID_SETUPS, ids=str)
def test_invalid_setup(fields):
    (message,) = read(setup(**{"task": 7, **fields}))
    with pytest.raises(SetupError):
        SetupReader(SETTINGS).read(message)


def test_class_with_idempotency_key_requires_a_key():
    (message,) = read(setup(7, "keyed"))
    assert SetupReader(SETTINGS).read(message).key == b"k"
    del message.parameters[m.KEY]
    with pytest.raises(SetupError, match="class 'keyed' requires an idempotency key"):
        SetupReader(SETTINGS).read(message)


def test_setup_from_the_protocol_page():
    extras = "cores:1;memory:2;service:00000000b4d65521"
    (message,) = read(setup(7, "safe", 1500, "7f3a9c21e0b4d655", extras, desc=b"\x00\xff", **{"109": None}))
    message.parameters[m.RETRY] = b"1"
    request = SetupReader(SETTINGS).read(message)
    assert (request.timeout_ms, request.is_retry, request.service, request.cores) == (
        1500.0,
        True,
        "00000000b4d65521",
        1.0,
    )
    assert request.description == b"\x00\xff" and request.machine is None


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
    return b"".join(json.dumps(item).encode() + b"\n" for item in events)


NOW = 50_000.0


@pytest.fixture
def channel():
    channel = CommandChannel(clock_offset_ms=1000.0)
    channel.feed = partial(channel.feed, now=NOW)
    channel.load_initial_list({"cursor": 1, "cmds": [event(1, entry("h1"), entry("h2"), reset=True)]}, NOW)
    return channel


def test_initial_list_from_the_configuration(channel):
    assert channel.cursor == 1 and set(channel.hosts_by_name) == {"h1", "h2"}
    machine = channel.hosts_by_name["h1"].machine
    assert (machine.kind, machine.zone, machine.cell) == ("std", "a", 2)
    assert (machine.free_cores, machine.free_memory) == (3.5, 7.0)
    assert channel.encode_resume() == b"resume 1\n" and machine.ready_at_ms is None


def test_start_times_are_converted_to_the_policys_clock(channel):
    (change,) = channel.feed(lines(event(2, entry("h1", startedAtMs=50_000))))
    assert change.hosts[0].machine.ready_at_ms == 49_000.0 and change.hosts[0].started_unix_ms == 50_000.0


@pytest.mark.parametrize(
    ("started_unix_ms", "ready_at_ms"),
    [(49_500, 48_500.0), (900_000, NOW), (51_001, NOW), (1, NOW - MAX_LIST_DELAY_MS)],
)
def test_start_times_are_bounded_against_clock_skew(channel, started_unix_ms, ready_at_ms):
    (change,) = channel.feed(lines(event(2, entry("h3", startedAtMs=started_unix_ms))), now=NOW)
    assert change.hosts[0].machine.ready_at_ms == ready_at_ms
    (repeat,) = channel.feed(lines(event(3, entry("h3", startedAtMs=started_unix_ms))), now=NOW + 60_000.0)
    assert repeat.hosts[0].machine.ready_at_ms == change.hosts[0].machine.ready_at_ms  # the same start
    (snapshot,) = channel.feed(lines(event(4, entry("h4", startedAtMs=1), reset=True)), now=NOW + 60_000.0)
    assert snapshot.hosts[0].machine.ready_at_ms == 1.0 - 1_000.0  # a snapshot may contain old starts


@pytest.mark.parametrize(
    ("line", "is_confirmed"),
    [
        (event(2, entry("h3")), False),  # others may follow that came up meanwhile
        ({"cursor": 1}, True),
        ({"cursor": 0}, False),  # in flight before the last event
        (1, True),
    ],
)
def test_only_a_heartbeat_with_our_cursor_confirms_the_list(channel, line, is_confirmed):
    before_ms, now_ms = channel.confirmed_at_ms, NOW + 5_000.0
    list(channel.feed(lines(line), now=now_ms))
    assert channel.confirmed_at_ms == (now_ms if is_confirmed else before_ms)


def test_events_are_applied_once_from_any_fragmentation(channel):
    data, changes = (
        lines(
            event(2, entry("h3")),
            {"cursor": 2},
            event(2, entry("h3")),
            event(3, entry("h1", lifecycle="DELETED")),
        ),
        [],
    )
    for start in range(0, len(data), 7):
        changes += channel.feed(data[start : start + 7])
    assert [change.hosts[0].machine.name for change in changes] == ["h3", "h1"]
    assert channel.cursor == 3 and set(channel.hosts_by_name) == {"h2", "h3"}
    assert changes[1].hosts[0].machine.phase is api.MachinePhase.REMOVED and not changes[1].is_snapshot


def test_partial_event_is_dropped_on_reconnect_and_requested_again(channel):
    data = lines(event(2, entry("h3")))
    assert list(channel.feed(data[:40])) == []
    assert channel.encode_resume() == b"resume 1\n"
    assert [len(change.hosts) for change in channel.feed(data)] == [1]


@pytest.mark.parametrize("later", [{"cursor": 5}, event(3, entry("h3")), 5])
def test_missing_events_are_requested_again_once(channel, later):
    with pytest.raises(m.ProtocolError, match="we have applied 1"):
        list(channel.feed(lines(later)))
    assert channel.encode_resume() == b"resume 1\n"
    list(channel.feed(lines(later)))  # the channel doesn't have the missing events


def test_snapshot_after_a_gap_replaces_the_list(channel):
    (change,) = channel.feed(lines(event(9, entry("h9"), reset=True)))
    assert change.is_snapshot and set(channel.hosts_by_name) == {"h9"} and channel.cursor == 9


@pytest.mark.parametrize(
    "line",
    [
        b"{]\n", b"[]\n", b'"x"\n', b"\xff\xfe\n", lines(event(2, entry("h3", lifecycle="LOST"))),
        lines(event(2, entry("h3", hostPort="nowhere"))), lines(event(2, entry("h3", hostPort="a:99999"))),
        lines({"cursor": 2, "nodes": {"instances": [{"zone": "a"}]}}), b"x" * ((4 << 20) + 1),
    ],
    ids=lambda line: str(line[:30]),
)  # fmt: skip
def test_invalid_event_changes_nothing(channel, line):
    with pytest.raises(m.ProtocolError):
        list(channel.feed(line))
    assert channel.cursor == 1 and set(channel.hosts_by_name) == {"h1", "h2"}


def test_restarted_numbering_requests_all_events_and_keeps_drains(channel):
    """Guards against dropping drains for ever: events numbered from below our cursor look like repeats."""
    drains = [event(2, entry("h1", lifecycle="DRAINING")), event(3, entry("h2", lifecycle="DELETED"))]
    list(channel.feed(lines(*drains)))
    list(
        channel.feed(lines({"cursor": 2}, {"cursor": 3}, {"cursor": 2}, 2))
    )  # single heartbeats that come late don't mean that the numbering has restarted
    with pytest.raises(m.ProtocolError, match="requesting all events"):
        list(channel.feed(lines({"cursor": 1})))
    assert channel.encode_resume() == b"resume 0\n"
    changes = list(channel.feed(lines(
        event(7, entry("h8")), {"cursor": 1},  # ignored until the snapshot with which the new numbering begins
        event(1, entry("h1"), entry("h2"), entry("h3"), reset=True), event(2, entry("h4")),
    )))  # fmt: skip
    assert [change.is_snapshot for change in changes] == [True, False] and channel.cursor == 2
    phases = {name: host.machine.phase for name, host in channel.hosts_by_name.items()}
    serving, draining = api.MachinePhase.SERVING, api.MachinePhase.DRAINING
    assert phases == {"h1": draining, "h3": serving, "h4": serving}
    list(channel.feed(lines(event(3, entry("h2", startedAtMs=9_000)))))  # a new process of the same name
    assert channel.hosts_by_name["h2"].machine.phase is serving
    list(channel.feed(lines(event(4, entry("h1")))))  # newer than all known events: the drain was cancelled
    assert channel.hosts_by_name["h1"].machine.phase is serving


def test_absent_free_capacity_keeps_the_last_value(channel):
    (change,) = channel.feed(lines(event(2, entry("h1", free=None), entry("h4", free=None))))
    assert [host.machine.free_cores for host in change.hosts] == [3.5, 0.0]
