"""Set-ups as clients send them: what can be used, and what cannot."""

import pytest

from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.setup_requests import SetupError, SetupParser
from tests.support.exchange_world import SETTINGS, read, setup

BAD = [
    {"task": 0}, {"cls": None}, {"cls": "nope"}, {"cls": b"\xff"}, {"name": None}, {"name": ""}, {"name": "x" * 200},
    {"desc": None}, {"wait": None}, {"wait": 0}, {"wait": -5}, {"wait": "soon"}, {"wait": "9" * 30}, {"wait": "1e3"},
    {"extras": ""}, {"extras": "cores:1;memory:2"}, {"extras": "x"}, {"extras": "cores:1;cores:1;memory:1;service:a"},
    *({"extras": f"cores:{bad};memory:1;service:a"} for bad in ("nan", "inf", "-1", "0", "1e99", "17", "x", "", "9" * 99)),
    *({"extras": f"cores:1;memory:{bad};service:a"} for bad in ("nan", "-inf", "-1", "33")),
]  # fmt: skip


@pytest.mark.parametrize("fields", BAD, ids=str)
def test_unusable_setup_raises_setup_error(fields):
    (message,) = read(setup(**{"task": 7, **fields}))
    with pytest.raises(SetupError):
        SetupParser(SETTINGS).parse(message)


def test_setup_of_keyed_class_without_key_raises_setup_error():
    (message,) = read(setup(7, "keyed"))
    assert SetupParser(SETTINGS).parse(message).idempotency_key == b"k"
    del message.parameters[m.KEY]
    with pytest.raises(SetupError, match="no key"):
        SetupParser(SETTINGS).parse(message)


def test_setup_is_parsed_as_the_protocol_documents_it():
    extras = "cores:1;memory:2;service:00000000b4d65521"
    (message,) = read(setup(7, "safe", 1500, "7f3a9c21e0b4d655", extras, desc=b"\x00\xff", **{"109": None}))
    message.parameters[m.RETRY] = b"1"
    found = SetupParser(SETTINGS).parse(message)
    assert (found.wait_ms, found.is_retry, found.service, found.cores) == (
        1500.0,
        True,
        "00000000b4d65521",
        1.0,
    )
    assert found.description == b"\x00\xff"
    assert found.current_host is None
