import click
import pytest

from glencleat.cli.parameter_types import AllocatorAddressType, LabelType, QuantityType, ServerType
from glencleat.cli.rest_client import RestClient
from glencleat.config.schema import MB_BY_UNIT


@pytest.mark.parametrize(
    ("parameter_type", "text", "value"),
    [
        pytest.param(ServerType(), "localhost:80", RestClient("localhost", 80), id="server"),
        pytest.param(AllocatorAddressType(), "a0=127.0.0.1:0", ("a0", ("127.0.0.1", 0)), id="allocator"),
        pytest.param(QuantityType(MB_BY_UNIT, "512MB"), "2GB", 2_048.0, id="quantity"),
        pytest.param(LabelType(), "app=web=1", ("app", "web=1"), id="label"),
        pytest.param(LabelType(), "app=", ("app", ""), id="label with empty value"),
    ],
)
def test_value_is_converted(parameter_type, text, value):
    assert parameter_type.convert(text, None, None) == value


@pytest.mark.parametrize(
    ("parameter_type", "text", "message"),
    [
        pytest.param(ServerType(), "localhost", "'localhost' is no HOST:PORT", id="server without port"),
        pytest.param(ServerType(), "h:65536", "'h:65536' is no HOST:PORT", id="port out of range"),
        pytest.param(ServerType(), ":80", "':80' is no HOST:PORT", id="server without host"),
        pytest.param(AllocatorAddressType(), "=127.0.0.1:1", "is no NAME=127.0.0.1:PORT", id="no name"),
        pytest.param(AllocatorAddressType(), "a=10.0.0.1:1", "is no NAME=127.0.0.1:PORT", id="other host"),
        pytest.param(QuantityType(MB_BY_UNIT, "512MB"), "5", "as in 512MB", id="quantity without unit"),
        pytest.param(LabelType(), "=x", "'=x' is no KEY=VALUE", id="label without key"),
        pytest.param(LabelType(), "x", "'x' is no KEY=VALUE", id="label without value"),
    ],
)
def test_wrong_value_is_rejected(parameter_type, text, message):
    with pytest.raises(click.BadParameter, match=message):
        parameter_type.convert(text, None, None)
