"""What a play's file may say: its size, what owners want, and the faults with their times.

    at TIME FAULT WHAT [for TIME] [more]

Faults: `hall NAME` (lost, comes back cold), `crash SHARE`, `false-full SHARE`, `silent SHARE` (takes asks,
answers none), `quiet SHARE` (its network swallows all), `drain COUNT` (leaves after `for`), `stall WHO` and
`kill WHO` (allocators: a name, a share, or `all`, which go on at one instant), `directory fails`,
`list empty`, `cut SHARE` and `slow SHARE` (owners' sessions), `deploy COUNT` (as drain, and they come back
cold), `flush SHARE` (kept programs are lost), `neighbour SHARE` (other programs take half of the hosts),
`late-reports SHARE`, `grow SHARE` (of tasks use thrice as much), `burst SHARE` (so much more is asked for).

What lies between allocators and others has faults too. A place is `list`, `agents`, `owners` or `all` of
them, of all allocators or of one (`of NAME`): `wire PLACE` with some of `cut there|back|both` (from who
connects, or to it), `delay TIME`, `spread TIME` (beyond the delay), `rate SIZE` (a second, of each connection
and way), `door silent|closes` (for new connections), `most COUNT` (connections at a time); `reset PLACE` and
`half-open PLACE` (every connection that is open now)."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BeforeValidator, Field, model_validator

from glencleat.checker.invariants import RuleParameters, SpreadRule
from glencleat.config import AllocatorConfig
from glencleat.config.load import KeywordTables, load, load_as
from glencleat.config.schema import MB_BY_UNIT, Count, Megabytes, Milliseconds, Name, StrictModel, parse_unit
from glencleat.emulators.proxy_faults import AcceptMode, Direction

HOST_FAULTS = ("crash", "false-full", "silent", "quiet", "flush", "neighbour", "late-reports")
TASK_FAULTS = ("grow", "burst")
OWNER_FAULTS = ("cut", "slow")
FIXED_ARGUMENTS = {"directory": "fails", "list": "empty"}
WIRE_FAULTS = ("wire", "reset", "half-open")
PROCESS_FAULTS = ("stall", "kill")
WIRE_PLACES = ("list", "agents", "owners")
HALL_AND_HOST_FAULTS = ("hall", "drain", "deploy", *HOST_FAULTS, *TASK_FAULTS)
FAULTS = (*HALL_AND_HOST_FAULTS, *PROCESS_FAULTS, *OWNER_FAULTS, *FIXED_ARGUMENTS, *WIRE_FAULTS)
WIRE_FIELDS = ("cut", "delay", "spread", "rate", "door", "most")
DIRECTIONS_BY_WORD = {
    "there": frozenset({Direction.TO_TARGET}),
    "back": frozenset({Direction.FROM_TARGET}),
    "both": frozenset(Direction),
}


def _share(value: Any) -> Any:
    if isinstance(value, str):
        if not value.endswith("%") or not value[:-1].replace(".", "", 1).isdigit():
            raise ValueError(f"is {value!r}; expected a share, as in 24%")
        return float(value[:-1]) / 100.0
    return value


def _list(value: Any) -> Any:
    return value.split(",") if isinstance(value, str) else value


def _memories(value: Any) -> Any:
    return [parse_unit(part, MB_BY_UNIT, "2GB") for part in _list(value)]


BYTES_PER_MB = 1 << 20
Share = Annotated[float, BeforeValidator(_share), Field(gt=0, le=1)]


class PlaySection(StrictModel):
    seed: Annotated[int, Field(ge=0)] = 1
    warm: Milliseconds = 0.0  # from all being up to the first ask
    length: Milliseconds = 30_000.0
    settle: Milliseconds = 12_000.0  # after the last ask, for answers and ends


class HostsSection(StrictModel):
    count: Count = 12
    halls: Annotated[tuple[Name, ...], BeforeValidator(_list)] = ("hall-a", "hall-b", "hall-c")
    decide: Milliseconds = 8.0
    line: Count = 32
    start: Milliseconds = 40.0
    tip_offers: Annotated[float, Field(gt=0)] = 20.0
    report: Milliseconds = 500.0
    heartbeat: Milliseconds = 1_000.0


class OwnersSection(StrictModel):
    count: Count = 30
    rate: Annotated[float, Field(gt=0, le=5_000)] = 20.0  # new tasks a second, of all
    rest: Annotated[float, BeforeValidator(_share), Field(ge=0, le=1)] = 0.0  # so many come by the REST front


class AllocatorsSection(StrictModel):
    count: Annotated[int, Field(ge=1, le=64)] = 3
    keep_list: Literal["yes", "no"] = "no"  # each over its own restarts


class DirectorySection(StrictModel):
    late: Milliseconds = 1_000.0
    every: Milliseconds = 500.0
    retry_after: Milliseconds = 0.0  # what it says while it fails, in whole seconds; 0: nothing


class WantSection(StrictModel):
    cls: Name
    share: Share
    cores: Annotated[tuple[float, ...], BeforeValidator(_list)]
    memory: Annotated[tuple[float, ...], BeforeValidator(_memories)]
    life_from: Milliseconds
    life_to: Milliseconds
    services: Count = 10

    @model_validator(mode="after")
    def _even(self) -> WantSection:
        if len(self.cores) != len(self.memory):
            raise ValueError(
                f"{len(self.cores)} cores and {len(self.memory)} memories; expected as many of each"
            )
        return self


class ScriptFault(StrictModel):
    time: Milliseconds
    fault: str
    what: str
    duration: Annotated[Milliseconds, Field(alias="for")] = 0.0
    of: str = ""  # this allocator's wires only
    cut: Literal["there", "back", "both"] | None = None
    delay: Milliseconds = 0.0
    spread: Milliseconds = 0.0
    rate: Megabytes | None = None
    door: Literal["silent", "closes"] | None = None
    most: Annotated[int, Field(ge=0, le=1_000_000)] = 0

    @model_validator(mode="after")
    def _known(self) -> ScriptFault:
        if self.fault not in FAULTS:
            raise ValueError(f"fault is {self.fault!r}; expected one of {', '.join(FAULTS)}")
        if self.fault in HOST_FAULTS + OWNER_FAULTS + TASK_FAULTS:
            _share(self.what)
        if self.fault in ("drain", "deploy") and not self.what.isdigit():
            raise ValueError(f"{self.fault} {self.what!r}; expected a number of hosts")
        if self.fault in FIXED_ARGUMENTS and self.what != FIXED_ARGUMENTS[self.fault]:
            raise ValueError(
                f"{self.fault} {self.what!r}; expected {self.fault} {FIXED_ARGUMENTS[self.fault]}"
            )
        if self.fault in PROCESS_FAULTS and self.what.endswith("%"):
            _share(self.what)
        self._wired()
        return self

    def _wired(self) -> None:
        fields = self.state_overrides()
        if self.fault in WIRE_FAULTS and self.what not in (*WIRE_PLACES, "all"):
            raise ValueError(f"{self.fault} {self.what!r}; expected one of {', '.join(WIRE_PLACES)}, all")
        if self.fault == "wire" and not (fields and self.duration):
            told = ", ".join(WIRE_FIELDS)
            raise ValueError(f"wire says nothing; expected for TIME and one of {told}")
        if self.fault != "wire" and fields:
            raise ValueError(f"{self.fault} with {', '.join(fields)}; expected that of wire only")
        if self.of and self.fault not in WIRE_FAULTS:
            raise ValueError(f"{self.fault} of {self.of}; expected that of {', '.join(WIRE_FAULTS)} only")

    def parse_share(self) -> float:
        return float(_share(self.what))

    def wire_places(self) -> tuple[str, ...]:
        """Where its wires are; none for a fault of another kind."""
        if self.fault not in WIRE_FAULTS:
            return ()
        return WIRE_PLACES if self.what == "all" else (self.what,)

    def state_overrides(self) -> dict[str, Any]:
        """Of a wire's state, as `wire.State` names and measures them."""
        told: dict[str, Any] = {
            "cut": DIRECTIONS_BY_WORD[self.cut] if self.cut else None,
            "delay_ms": self.delay,
            "spread_ms": self.spread,
            "rate": self.rate * BYTES_PER_MB if self.rate else 0.0,
            "door": AcceptMode(self.door) if self.door else None,
            "most": self.most,
        }
        return {name: value for name, value in told.items() if value}

    def wire_effect(self) -> str:
        """What it does to a wire, for the record: it holds bytes back, lets nobody in, or makes them late."""
        if self.cut or self.rate:
            return "holds"
        return "turns away" if self.door else "late"

    def __str__(self) -> str:
        told = f"{self.fault} {self.what}" + (f" for {self.duration:g} ms" if self.duration else "")
        more = {name: getattr(self, name) for name in ("of", *WIRE_FIELDS)}
        return " ".join([told, *(f"{name} {value}" for name, value in more.items() if value)])


class Script(StrictModel):
    campus: str
    play: PlaySection = PlaySection()
    hosts: HostsSection = HostsSection()
    owners: OwnersSection = OwnersSection()
    allocators: AllocatorsSection = AllocatorsSection()
    directory: DirectorySection = DirectorySection()
    wants: Annotated[tuple[WantSection, ...], Field(min_length=1)]
    at: tuple[ScriptFault, ...] = ()

    @model_validator(mode="after")
    def _names(self) -> Script:
        names = [f"a{i}" for i in range(self.allocators.count)]
        for item in self.at:
            if item.fault in PROCESS_FAULTS and item.what not in (*names, "all") and "%" not in item.what:
                told = ", ".join([*names, "all", "a share"])
                raise ValueError(f"{item.fault} {item.what}; expected one of {told}")
            if item.of and item.of not in names:
                raise ValueError(f"{item.fault} of {item.of}; expected one of {', '.join(names)}")
            if item.fault == "hall" and item.what not in self.hosts.halls:
                raise ValueError(f"hall {item.what}; expected one of {', '.join(self.hosts.halls)}")
        return self


KEYWORDS: dict[str, tuple[tuple[str, ...], str, bool]] = {
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
    return load_as(Script, KeywordTables(KEYWORDS, {"campus": "campus"}), path)


def load_shared_config(path: Path) -> AllocatorConfig:
    """What all allocators of a play share; who they are is the play's to say."""

    def fill(said: dict[str, Any]) -> None:
        said.setdefault("allocator", {"name": "a0", "number": 0, "of": 1, "zone": "hall-a"})
        for name in ("owners", "agents", "directory"):
            said.setdefault(name, "127.0.0.1:0")

    return load(path, fill)


def make_rule_parameters(campus: AllocatorConfig) -> RuleParameters:
    """What the five rules state for this campus."""
    keyed = [c for c in campus.classes if c.effect == "keyed"]
    return RuleParameters(
        drain_grace_ms=campus.drain,
        warm_up_ms=campus.cold.warm,
        warm_up_window_ms=campus.cold.window,
        warm_up_offers=campus.cold.offers,
        deduplication_window_ms_by_class={c.name: c.window for c in keyed},
        deduplication_scope_by_class={c.name: c.group for c in keyed},
        spread_by_class={c.name: SpreadRule(c.spread, c.most) for c in campus.classes if c.spread != "off"},
    )
