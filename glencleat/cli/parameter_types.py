"""Types of arguments and options beyond those of click."""

from __future__ import annotations

from enum import StrEnum

import click

from glencleat.cli.rest_client import RestClient
from glencleat.config.schema import parse_unit

MAX_PORT = 65_535
LOOPBACK_HOST = "127.0.0.1"


class OutputFormat(StrEnum):
    """How commands print resources; the values of `-o`."""

    TABLE = "table"
    JSON = "json"


def _parse_address(text: str) -> tuple[str, int] | None:
    """Host and port of HOST:PORT, or None if the text has another form."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > MAX_PORT:
        return None
    return host, int(port)


class ServerType(click.ParamType[RestClient]):
    """HOST:PORT of a REST server, converted to a client of the server."""

    name = "host:port"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> RestClient:
        """A client of the server; a value that was converted before is returned as it is."""
        if isinstance(value, RestClient):
            return value
        address = _parse_address(str(value))
        if address is None:
            self.fail(f"{value!r} is no HOST:PORT", param, ctx)
        host, port = address
        return RestClient(host=host, port=port)


class AllocatorAddressType(click.ParamType[tuple[str, tuple[str, int]]]):
    """NAME=HOST:PORT of an allocator on the loopback interface."""

    name = "name=host:port"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, tuple[str, int]]:
        """The allocator's name and its address."""
        name, _, address_text = str(value).partition("=")
        address = _parse_address(address_text)
        if not name or address is None or address[0] != LOOPBACK_HOST:
            self.fail(f"{value!r} is no NAME=127.0.0.1:PORT", param, ctx)
        return name, address


class QuantityType(click.ParamType[float]):
    """A number with a unit, as in the configuration.

    `units` maps each unit to its factor; `example` is shown in help texts and errors.
    """

    def __init__(self, units: dict[str, float], example: str) -> None:
        self.units = units
        self.example = example
        self.name = example

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> float:
        """The quantity in the unit whose factor is 1."""
        try:
            return float(parse_unit(value, self.units, self.example))
        except ValueError as error:
            self.fail(str(error), param, ctx)


class LabelType(click.ParamType[tuple[str, str]]):
    """KEY=VALUE of a label. The value may be empty."""

    name = "key=value"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, str]:
        """Key and value; a pair that was converted before is returned as it is."""
        if isinstance(value, tuple):
            return value
        key, equals, label_value = str(value).partition("=")
        if not equals or not key:
            self.fail(f"{value!r} is no KEY=VALUE", param, ctx)
        return key, label_value
