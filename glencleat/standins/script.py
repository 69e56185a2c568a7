"""What a play's file may say: its size, what owners want, and the faults with their times.

    at TIME FAULT WHAT [for TIME]

Faults: `hall NAME` (lost, comes back cold), `crash SHARE`, `false-full SHARE`, `silent SHARE` (takes asks,
answers none), `quiet SHARE` (its network swallows all), `drain COUNT` (leaves after `for`), `stall NAME` and
`kill NAME` (allocators), `directory fails`, `list empty`, `cut SHARE` and `slow SHARE` (owners' sessions),
`deploy COUNT` (as drain, and they come back cold), `flush SHARE` (kept programs are lost), `neighbour SHARE`
(other programs take half of the hosts), `late-reports SHARE`, `grow SHARE` (of tasks use thrice as much),
`burst SHARE` (so much more is asked for)."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

from pydantic import BeforeValidator, Field, model_validator

from glencleat.check.rules import Figures, Spread
from glencleat.config import Config
from glencleat.config.load import Tables, load, load_as
from glencleat.config.schema import SIZES, Count, Milliseconds, Name, Part, parse_unit

HOST_FAULTS = ("crash", "false-full", "silent", "quiet", "flush", "neighbour", "late-reports")
TASK_FAULTS = ("grow", "burst")
OWNER_FAULTS = ("cut", "slow")
WORDS = {"directory": "fails", "list": "empty"}
FAULTS = ("hall", "drain", "deploy", "stall", "kill", *HOST_FAULTS, *TASK_FAULTS, *OWNER_FAULTS, *WORDS)


def _share(value: Any) -> Any:
    if isinstance(value, str):
        if not value.endswith("%") or not value[:-1].replace(".", "", 1).isdigit():
            raise ValueError(f"is {value!r}; expected a share, as in 24%")
        return float(value[:-1]) / 100.0
    return value


def _list(value: Any) -> Any:
    return value.split(",") if isinstance(value, str) else value


def _memories(value: Any) -> Any:
    return [parse_unit(part, SIZES, "2GB") for part in _list(value)]


Share = Annotated[float, BeforeValidator(_share), Field(gt=0, le=1)]


class Play(Part):
    seed: Annotated[int, Field(ge=0)] = 1
    warm: Milliseconds = 0.0  # from all being up to the first ask
    length: Milliseconds = 30_000.0
    settle: Milliseconds = 12_000.0  # after the last ask, for answers and ends


class Hosts(Part):
    count: Count = 12
    halls: Annotated[tuple[Name, ...], BeforeValidator(_list)] = ("hall-a", "hall-b", "hall-c")
    decide: Milliseconds = 8.0
    line: Count = 32
    start: Milliseconds = 40.0
    tip_offers: Annotated[float, Field(gt=0)] = 20.0
    report: Milliseconds = 500.0
    heartbeat: Milliseconds = 1_000.0


class Owners(Part):
    count: Count = 30
    rate: Annotated[float, Field(gt=0, le=5_000)] = 20.0  # new tasks a second, of all
    rest: Annotated[float, BeforeValidator(_share), Field(ge=0, le=1)] = 0.0  # so many come by the REST front


class Allocators(Part):
    count: Annotated[int, Field(ge=1, le=64)] = 3


class DirectoryPart(Part):
    late: Milliseconds = 1_000.0
    every: Milliseconds = 500.0


class WantPart(Part):
    cls: Name
    share: Share
    cores: Annotated[tuple[float, ...], BeforeValidator(_list)]
    memory: Annotated[tuple[float, ...], BeforeValidator(_memories)]
    life_from: Milliseconds
    life_to: Milliseconds
    services: Count = 10

    @model_validator(mode="after")
    def _even(self) -> WantPart:
        if len(self.cores) != len(self.memory):
            raise ValueError(
                f"{len(self.cores)} cores and {len(self.memory)} memories; expected as many of each"
            )
        return self


class At(Part):
    time: Milliseconds
    fault: str
    what: str
    duration: Annotated[Milliseconds, Field(alias="for")] = 0.0

    @model_validator(mode="after")
    def _known(self) -> At:
        if self.fault not in FAULTS:
            raise ValueError(f"fault is {self.fault!r}; expected one of {', '.join(FAULTS)}")
        if self.fault in HOST_FAULTS + OWNER_FAULTS + TASK_FAULTS:
            _share(self.what)
        if self.fault in ("drain", "deploy") and not self.what.isdigit():
            raise ValueError(f"{self.fault} {self.what!r}; expected a number of hosts")
        if self.fault in WORDS and self.what != WORDS[self.fault]:
            raise ValueError(f"{self.fault} {self.what!r}; expected {self.fault} {WORDS[self.fault]}")
        return self

    def share(self) -> float:
        return float(_share(self.what))

    def __str__(self) -> str:
        return f"{self.fault} {self.what}" + (f" for {self.duration:g} ms" if self.duration else "")


class Script(Part):
    campus: str
    play: Play = Play()
    hosts: Hosts = Hosts()
    owners: Owners = Owners()
    allocators: Allocators = Allocators()
    directory: DirectoryPart = DirectoryPart()
    wants: Annotated[tuple[WantPart, ...], Field(min_length=1)]
    at: tuple[At, ...] = ()

    @model_validator(mode="after")
    def _names(self) -> Script:
        names = [f"a{i}" for i in range(self.allocators.count)]
        for item in self.at:
            if item.fault in ("stall", "kill") and item.what not in names:
                raise ValueError(f"{item.fault} {item.what}; expected one of {', '.join(names)}")
            if item.fault == "hall" and item.what not in self.hosts.halls:
                raise ValueError(f"hall {item.what}; expected one of {', '.join(self.hosts.halls)}")
        return self


PAIRS: dict[str, tuple[tuple[str, ...], str, bool]] = {
    "play": ((), "play", False),
    "hosts": ((), "hosts", False),
    "owners": ((), "owners", False),
    "allocators": ((), "allocators", False),
    "directory": ((), "directory", False),
    "want": (("cls",), "wants", True),
    "at": (("time", "fault", "what"), "at", True),
}


def load_script(path: Path) -> Script:
    """Reads and checks a play's file; raises ConfigError."""
    return load_as(Script, Tables(PAIRS, {"campus": "campus"}), path)


def load_campus(path: Path) -> Config:
    """What all allocators of a play share; who they are is the play's to say."""

    def fill(said: dict[str, Any]) -> None:
        said.setdefault("allocator", {"name": "a0", "number": 0, "of": 1, "zone": "hall-a"})
        for name in ("owners", "agents", "directory"):
            said.setdefault(name, "127.0.0.1:0")

    return load(path, fill)


def figures(campus: Config) -> Figures:
    """What the five rules state for this campus."""
    keyed = [c for c in campus.classes if c.effect == "keyed"]
    return Figures(
        drain_ms=campus.drain,
        cold_ms=campus.cold.warm,
        cold_window_ms=campus.cold.window,
        cold_offers=campus.cold.offers,
        keyed_window_ms={c.name: c.window for c in keyed},
        keyed_group={c.name: c.group for c in keyed},
        spread={c.name: Spread(c.spread, c.most) for c in campus.classes if c.spread != "off"},
    )
