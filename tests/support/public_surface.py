"""The public surface of the program, for operators and clients, as plain values to compare with golden files.

Settings are listed in the order of their declaration and without their Python names, so that a renamed field
with the same keyword, position and value compares equal.
"""

from __future__ import annotations

import dataclasses
import enum
from pathlib import Path
from typing import Any

import click
from pydantic import BaseModel

from glencleat.cli.main import main
from glencleat.config import load
from glencleat.daemon import Daemon
from glencleat.emulators.script import load_script, load_shared_config
from glencleat.event_loop import Loop
from glencleat.servers.metrics import MetricsApi
from glencleat.servers.rest_api import RestApi


def read_commands(command: click.Command = main) -> dict[str, Any]:
    """The arguments and options of each command, without help texts."""
    surface: dict[str, Any] = {
        "parameters": [
            [parameter.param_type_name, *sorted(parameter.opts), parameter.required, parameter.multiple,
             parameter.nargs, repr(parameter.to_info_dict()["default"]), parameter.type.name]
            for parameter in command.params
        ]
    }  # fmt: skip
    if isinstance(command, click.Group):
        surface["commands"] = {
            name: read_commands(subcommand) for name, subcommand in sorted(command.commands.items())
        }
    return surface


class DiscardingLog:
    """A log that writes nothing."""

    def info(self, event: str, **fields: object) -> None:
        """Discard the line."""

    error = info


def read_metrics(conf: Path) -> dict[str, list[str]]:
    """The labels of each metric of an allocator with the REST interface, by name and kind of the metric."""
    daemon = Daemon(load(conf), DiscardingLog(), conf, Loop(), seed=5)
    metrics_api = MetricsApi(daemon.core)
    assert daemon.rest_service is not None
    metrics_api.add_rest_service(daemon.rest_service, RestApi(daemon.rest_service))
    return {
        f"{metric.name} {metric.type}": list(metric._labelnames) for metric in metrics_api.registry.collect()
    }


def to_plain_values(node: Any) -> Any:
    """Settings as nested lists of values in the order of declaration."""
    if isinstance(node, BaseModel):
        return [to_plain_values(getattr(node, name)) for name in type(node).model_fields]
    if dataclasses.is_dataclass(node):
        return [to_plain_values(getattr(node, field.name)) for field in dataclasses.fields(node)]
    if isinstance(node, dict):
        return {str(key): to_plain_values(value) for key, value in node.items()}
    if isinstance(node, list | tuple):
        return [to_plain_values(item) for item in node]
    if isinstance(node, enum.Enum):
        return node.value
    return str(node) if isinstance(node, Path) else node


def read_configuration(conf: Path) -> Any:
    """The values of an example file: a configuration, the shared part of one, or the script of a play."""
    if conf.name == "allocator.conf":
        config = load(conf)
        return [to_plain_values(config), to_plain_values(config.settings())]
    if conf.name.startswith("campus"):
        return to_plain_values(load_shared_config(conf))
    return to_plain_values(load_script(conf))
