"""The agent protocol on bytes, without sockets: framing, messages, HTTP limits and malformed requests."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glencleat.mesos import messages as m
from glencleat.mesos import recordio
from glencleat.mesos.http import (
    ClientConnection,
    HttpError,
    Response,
    ResponseEnd,
    ResponseHead,
    ServerConnection,
)
from glencleat.servers.http_server import RecordLink

# ---- RecordIO ----


@given(st.lists(st.binary(max_size=60), max_size=8), st.lists(st.integers(1, 20), min_size=1, max_size=20))
def test_decoder_returns_complete_records_for_any_split_of_the_bytes(records, piece_sizes):
    data = b"".join(map(recordio.encode, records))
    decoder, decoded, position = recordio.RecordDecoder(), [], 0
    for size in [*piece_sizes, len(data) + 1]:
        decoded += decoder.feed(data[position : position + size])
        position += size
    assert decoded == records and not decoder.has_partial_record()


@pytest.mark.parametrize(
    ("data", "named"),
    [
        (b"104857600\n", "record of 104857600 bytes; expected at most"),
        (b"-1\nx", "is not a record length"),
        (b"0x10\n", "is not a record length"),
        (b"{}\n", "is not a record length"),
        (b"9" * 21, "no newline within 20 digits"),
        (b"\xb2\n", "is not a record length"),
    ],
)
def test_invalid_record_is_rejected_before_it_is_buffered(data, named):
    decoder = recordio.RecordDecoder()
    with pytest.raises(recordio.RecordError, match=named):
        decoder.feed(data)


def test_partial_record_is_reported():
    decoder = recordio.RecordDecoder()
    assert decoder.feed(b"5\nab") == [] and decoder.has_partial_record()


# ---- messages ----


def test_field_names_are_those_of_the_specification():
    event = m.SchedulerEvent("SUBSCRIBED", subscribed=m.SubscribedFramework(m.Value("f"), 15.0))
    assert json.loads(m.encode(event)) == {
        "type": "SUBSCRIBED",
        "subscribed": {"framework_id": {"value": "f"}, "heartbeat_interval_seconds": 15.0},
    }
    call = {
        "type": "ACCEPT",
        "framework_id": {"value": "f"},
        "news": {"of": "a later version"},
        "accept": {
            "offer_ids": [{"value": "o"}],
            "operations": [
                {
                    "type": "LAUNCH",
                    "launch": {
                        "task_infos": [
                            {
                                "name": "n",
                                "task_id": {"value": "t"},
                                "agent_id": {"value": "pool"},
                                "resources": [{"name": "cpus", "type": "SCALAR", "scalar": {"value": 0.5}}],
                                "command": {"value": "sleep 1"},
                            }
                        ]
                    },
                }
            ],
        },
    }
    decoded = m.decode(m.SchedulerCall, json.dumps(call).encode())
    (task,) = decoded.accept.operations[0].launch.task_infos
    assert task.task_id.value == "t" and m.sum_scalar(task.resources, "cpus") == 0.5


@pytest.mark.parametrize(
    ("data", "named"),
    [
        (b"", "truncated"),
        (b"[]", "Expected `object`"),
        (b'{"type": 3}', r"Expected `str`, got `int` - at `\$.type`"),
        (b'{"framework_id": {"value": "f"}}', "missing required field `type`"),
        (b'{"type": "KILL", "kill": {"task_id": "t"}}', r"\$.kill.task_id"),
        (b'{"type": "\xff"}', "(?i)utf-8"),
        (b'{"type": "A"} x', "trailing"),
        (b"[" * 100_000, "Expected `object`|recursion|SchedulerCall"),
    ],
)
def test_error_of_an_invalid_message_names_the_field_and_what_was_expected(data, named):
    with pytest.raises(m.MessageError, match=named):
        m.decode(m.SchedulerCall, data)


@given(st.binary(max_size=200))
def test_any_bytes_decode_or_raise_message_error(data):
    for kind in m.DECODERS:
        try:
            m.decode(kind, data)
        except m.MessageError:
            continue


def test_payload_round_trip_and_invalid_payloads():
    payload = m.Payload("report", cores_free=2.5, tasks=[m.TaskUse("t", 1.0)])
    assert m.decode_payload(m.encode_payload(payload)) == payload
    for invalid in ("%%%", "bm8=", "eyJraW5kIjogM30="):
        with pytest.raises(m.MessageError):
            m.decode_payload(invalid)


# ---- HTTP ----


def make_post(body=b"{}", target="/x", extra=b""):
    head = b"POST %b HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n%b\r\n" % (
        target.encode(),
        len(body),
        extra,
    )
    return head + body


def test_pipelined_requests_are_returned_one_after_the_other():
    server = ServerConnection()
    (first,) = server.feed(make_post(b"1") + make_post(b"2") + make_post(b"3"))
    bodies = [first.body]
    for _ in range(2):
        server.encode_response(Response(202))
        (request,) = server.parse_pipelined()
        bodies.append(request.body)
    assert bodies == [b"1", b"2", b"3"]
    server.encode_response(Response(202))
    assert server.parse_pipelined() == []


@given(st.lists(st.integers(1, 30), min_size=1, max_size=30))
def test_request_is_parsed_for_any_split_of_the_bytes(piece_sizes):
    server, data, requests, position = ServerConnection(), make_post(b'{"a": 1}', extra=b"X-Y: z\r\n"), [], 0
    for size in [*piece_sizes, len(data)]:
        requests += server.feed(data[position : position + size]) if data[position : position + size] else []
        position += size
    (request,) = requests
    assert request.body == b'{"a": 1}' and request.headers["x-y"] == "z"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (make_post(b"x", extra=b"Content-Length: 7\r\n"), 400),
        (make_post(b"", extra=b"Transfer-Encoding: gzip\r\n"), 501),
        (b"POST /x HTTP/1.1\r\nHost: a\r\nX: a\r\n b\r\n\x00: c\r\n\r\n", 400),
        (b"POST /x HTTP/1.1\r\nHost: a\nX\rY: 1\r\n\r\n", 400),
        (b"POST /x HTTP/1.1\r\n\r\n", 400),
        (b"POST /" + b"x" * 20_000 + b" HTTP/1.1\r\n", 431),
        (b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 104857600\r\n\r\n", 413),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 a TLS hello\r\n\r\n", 400),
        (b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
    ],
)
def test_malformed_request_gets_its_status(data, status):
    server = ServerConnection()
    with pytest.raises(HttpError) as error:
        server.feed(data)
    assert error.value.status == status
    assert server.refuse(error.value).startswith(b"HTTP/1.1 %d" % status)


def test_chunked_body_is_limited_while_it_arrives():
    server = ServerConnection(max_body_bytes=1_000)
    server.feed(b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
    with pytest.raises(HttpError) as error:
        for _ in range(3):
            server.feed(b"190\r\n" + b"x" * 400 + b"\r\n")
    assert error.value.status == 413


@given(st.binary(max_size=300))
def test_any_bytes_parse_or_raise_http_error(data):
    server = ServerConnection()
    try:
        server.feed(data)
    except HttpError as error:
        server.refuse(error)


HEADERS = st.lists(
    st.sampled_from([
        b"Host: a", b"Connection: close", b"Connection: keep-alive", b"Connection: Upgrade", b"Upgrade: websocket",
        b"Expect: 100-continue", b"Transfer-Encoding: chunked", b"Content-Length: 2", b"Content-Length: 0", b"TE: trailers",
    ]), max_size=5,
)  # fmt: skip


@given(
    st.lists(st.tuples(
        st.sampled_from([b"GET", b"HEAD", b"POST", b"CONNECT", b"OPTIONS", b"TRACE", b"X"]),
        st.sampled_from([b"/x", b"*", b"a:1"]), st.sampled_from([b"1.0", b"1.1", b"2.0"]), HEADERS,
        st.sampled_from([b"", b"{}", b"2\r\n{}\r\n0\r\n\r\n"]),
    ), min_size=1, max_size=4),
    st.sampled_from([Response(202), Response(404, b"no\n"), Response(200, b"x" * 500)]), st.booleans(),
)  # fmt: skip
def test_any_request_can_be_answered(requests, response, stream):
    """Any request gets a response, a stream or a refusal, and h11 never reports a protocol error of this side."""
    server = ServerConnection()
    data = b"".join(
        b"%b %b HTTP/%b\r\n%b\r\n%b" % (method, target, version, b"".join(h + b"\r\n" for h in headers), body)
        for method, target, version, headers, body in requests
    )
    try:
        pending = server.feed(data)
        while pending:
            if stream:
                server.open_stream({})
                server.end_stream()
                return
            server.encode_response(response)
            pending = server.parse_pipelined()
    except HttpError as error:
        assert error.status != 500, error
        server.refuse(error)


def test_end_position_of_a_sent_record_is_that_of_its_last_byte():
    """An agent can act on a record as soon as it has that byte; the line end of the chunk is not needed."""

    class FakeStream:
        close_reason, queued_bytes, data = None, 0, b""

        def send(self, data):
            self.data += data
            self.queued_bytes += len(data)

    server, stream = ServerConnection(), FakeStream()
    server.feed(make_post())
    stream.send(server.open_stream({}))
    link = RecordLink(server, stream)
    for record in (b'{"type":"A"}', b'{"type":"LAUNCH"}'):
        begin, end = link.send(record)
        assert stream.data[:end].endswith(record) and stream.data[end:] == b"\r\n"
        assert stream.data[:begin].endswith(b"\r\n")


def test_stream_of_records_from_server_to_client():
    server, client, decoder = ServerConnection(), ClientConnection(), recordio.RecordDecoder()
    (request,) = server.feed(
        client.encode_request("POST", "/api", "h", {"accept": "application/json"}, b"{}")
    )
    assert request.method == "POST" and not request.should_close
    data = server.open_stream({"Mesos-Stream-Id": "s"})
    data += server.chunk(recordio.encode(b'{"n":1}')) + server.chunk(recordio.encode(b'{"n":2}'))
    data += server.end_stream()
    head, *events = client.feed(data)
    assert isinstance(head, ResponseHead) and head.status == 200 and head.headers["mesos-stream-id"] == "s"
    assert isinstance(events[-1], ResponseEnd)
    records = [r for e in events if isinstance(e, bytes) for r in decoder.feed(e)]
    assert records == [b'{"n":1}', b'{"n":2}']
