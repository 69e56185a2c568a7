"""The codec: messages in any cuts of the stream, and what is no message."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glencleat.platform_protocol import messages as m

PARAMETERS = st.dictionaries(st.integers(0, 255), st.binary(max_size=40), max_size=6)
MESSAGES = st.lists(
    st.tuples(st.sampled_from(sorted(m.KINDS)), st.integers(0, 2**64 - 1), PARAMETERS), max_size=6
)


@settings(max_examples=60, derandomize=True, deadline=None)
@given(MESSAGES, st.lists(st.integers(1, 50), min_size=1, max_size=20))
def test_decoder_returns_all_messages_for_any_cuts_of_the_stream(told, cuts):
    data = b"".join(m.encode(*one) for one in told)
    decoder = m.MessageDecoder()
    found = []
    while data:
        cut = cuts[len(data) % len(cuts)]
        decoder.feed(data[:cut])
        data = data[cut:]
        found += [(x.kind, x.task, x.parameters) for x in decoder.messages()]
    assert found == told
    assert not decoder.has_partial_message


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_decoder_raises_nothing_but_remote_protocol_error_on_noise(data):
    decoder = m.MessageDecoder()
    decoder.feed(data)
    try:
        for message in decoder.messages():
            m.encode(message.kind, message.task, message.parameters)
    except m.RemoteProtocolError:
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
def test_decoder_rejects_malformed_message(data, why):
    decoder = m.MessageDecoder()
    decoder.feed(data)
    with pytest.raises(m.RemoteProtocolError, match=why):
        list(decoder.messages())


def test_decoder_yields_message_before_noise_first():
    decoder = m.MessageDecoder()
    decoder.feed(m.encode(m.PROBE, 5) + b"\xff\xff")
    found = decoder.messages()
    assert next(found).task == 5
    with pytest.raises(m.RemoteProtocolError):
        next(found)


def test_encode_raises_local_protocol_error_on_too_long_message():
    with pytest.raises(m.LocalProtocolError):
        m.encode(m.ANSWER, 1, {m.DESCRIPTION: b"x" * m.MAX_MESSAGE_BYTES})
