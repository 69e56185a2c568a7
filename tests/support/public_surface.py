"""What operators and clients of the program depend on, as plain values that can be compared with golden files.

Settings are told in the order of their declaration and without their Python names, so that a renamed field
with the same keyword, place and value compares equal."""

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


def commands(command: click.Command = main) -> dict[str, Any]:
    """Each command's arguments and options, without its help texts."""
    found: dict[str, Any] = {
        "parameters": [
            [parameter.param_type_name, *sorted(parameter.opts), parameter.required, parameter.multiple,
             parameter.nargs, repr(parameter.to_info_dict()["default"]), parameter.type.name]
            for parameter in command.params
        ]
    }  # fmt: skip
    if isinstance(command, click.Group):
        found["commands"] = {name: commands(each) for name, each in sorted(command.commands.items())}
    return found


class QuietLog:
    def info(self, event: str, **fields: object) -> None:
        """Drops the line."""

    error = info


def metrics(conf: Path) -> dict[str, list[str]]:
    """Name and kind of each metric of an allocator with a REST front -> its labels."""
    daemon = Daemon(load(conf), QuietLog(), conf, Loop(), seed=5)
    served = MetricsApi(daemon.core)
    assert daemon.rest_service is not None
    served.add_rest_service(daemon.rest_service, RestApi(daemon.rest_service))
    return {f"{metric.name} {metric.type}": list(metric._labelnames) for metric in served.registry.collect()}


def values(node: Any) -> Any:
    """Settings as nested lists of values in the order of declaration."""
    if isinstance(node, BaseModel):
        return [values(getattr(node, name)) for name in type(node).model_fields]
    if dataclasses.is_dataclass(node):
        return [values(getattr(node, field.name)) for field in dataclasses.fields(node)]
    if isinstance(node, dict):
        return {str(key): values(value) for key, value in node.items()}
    if isinstance(node, list | tuple):
        return [values(item) for item in node]
    if isinstance(node, enum.Enum):
        return node.value
    return str(node) if isinstance(node, Path) else node


def configuration(conf: Path) -> Any:
    """An example file as it is parsed: an allocator's configuration, a day's script, or a shared part."""
    if conf.name == "allocator.conf":
        config = load(conf)
        return [values(config), values(config.settings())]
    if conf.name.startswith("campus"):
        return values(load_shared_config(conf))
    return values(load_script(conf))
