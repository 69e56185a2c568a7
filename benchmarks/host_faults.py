"""The faults of a host that the operators' pages name, with their ranges; read by the soak and by the lease search.

Each row is a fault, what becomes of the connections and connects, who runs at the address next, and the source:
a page of the operators, or the key of a site file. `list_cells` returns every combination that is to be played.
Ranges are in milliseconds, the widest of all site files.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from itertools import product
from random import Random

RangeMs = tuple[float, float]

START_LISTED_MS: RangeMs = (230.0, 2_500.0)  # sites, [discovery] add_s: the list tells of a start
END_LISTED_MS: RangeMs = (1_000.0, 4_500.0)  # sites, [discovery] notice_s: of the end of a process
SILENT_END_LISTED_MS: RangeMs = (4_300.0, 14_000.0)  # sites, [discovery] silent_notice_s: of a silent host
LIST_SILENT_MS: RangeMs = (500.0, 8_000.0)  # STANDING, herd+mass: discovery is down for 8 s
AT_ONCE_MS: RangeMs = (0.0, 0.0)  # DAYS: a new host may have the address of one that has gone
COLD_START_MS = 25_000.0  # BRIEF, crash: back after 5.2 to 25 s
SECOND_FAULT_MS: RangeMs = (100.0, 2_500.0)  # after the start of a process: before the list tells of it

AWAY_MS: tuple[RangeMs, ...] = (AT_ONCE_MS, (50.0, 5_000.0), (5_000.0, 8_000.0), (8_000.0, COLD_START_MS))
"""How long no process listens at an address: around the time at which a release is due, and up to the longest."""


class HostFault(Enum):
    """What happens to a host."""

    PROCESS_ENDS = "its process ends"
    MACHINE_VANISHES = "its machine vanishes"
    PORT_REFUSES = "its machine vanishes, and another one refuses connects at its address"
    CUT_OFF = "its machine is cut off, and its tasks run on"
    HANGS = "it hangs, and its tasks run on"


class FormerConnections(Enum):
    """What becomes of the connections that were open before."""

    RESET = "reset at once"
    SILENT = "open and silent"
    RESET_WHEN_WRITTEN_TO = "open and silent, and reset when written to once a machine is back"


class Successor(Enum):
    """Who runs at the address afterwards."""

    NOBODY = "nobody"
    OTHER_NAME = "a process with another id"
    SAME_NAME = "a process with the same id"
    VANISHES_TOO = "a process with another id, whose machine vanishes as well"
    SAME_PROCESS = "the same process"


@dataclass(frozen=True, slots=True)
class FaultRow:
    """A row of the table."""

    fault: HostFault
    connections: tuple[FormerConnections, ...]
    successors: tuple[Successor, ...]
    away_ms: tuple[RangeMs, ...]
    source: str


_REPLACED = (Successor.OTHER_NAME, Successor.SAME_NAME)
_SILENT = (FormerConnections.SILENT,)

FAULT_TABLE = (
    FaultRow(
        HostFault.PROCESS_ENDS,
        (FormerConnections.RESET,),
        _REPLACED,
        AWAY_MS,
        "PROTOCOL: when a process dies, its connections are reset; BRIEF, crash",
    ),
    FaultRow(
        HostFault.MACHINE_VANISHES,
        (FormerConnections.SILENT, FormerConnections.RESET_WHEN_WRITTEN_TO),
        _REPLACED,
        AWAY_MS,
        "PROTOCOL: connections stay open and silent, new ones never come up; BRIEF, crash; review/9",
    ),
    FaultRow(
        HostFault.MACHINE_VANISHES,
        _SILENT,
        (Successor.VANISHES_TOO,),
        AWAY_MS,
        "the same, twice",
    ),
    FaultRow(
        HostFault.MACHINE_VANISHES,
        _SILENT,
        (Successor.NOBODY,),
        (AT_ONCE_MS,),
        "sites, silent_notice_s",
    ),
    FaultRow(
        HostFault.PORT_REFUSES,
        _SILENT,
        _REPLACED,
        AWAY_MS[1:],
        "PROTOCOL: if a connection is refused; report f9c0c3",
    ),
    FaultRow(
        HostFault.CUT_OFF,
        _SILENT,
        (Successor.SAME_PROCESS,),
        ((50.0, 6_000.0),),
        "STANDING, split+mass: partitioned for 6 s",
    ),
    FaultRow(
        HostFault.HANGS,
        _SILENT,
        (Successor.SAME_PROCESS,),
        ((5_000.0, 25_000.0),),
        "BENCH, hang: takes work, answers nothing",
    ),
)


@dataclass(frozen=True, slots=True)
class FaultCell:
    """One combination of the table."""

    fault: HostFault
    connections: FormerConnections
    successor: Successor
    away_ms: RangeMs
    is_list_silent: bool  # from just before the fault on

    @property
    def are_connects_refused(self) -> bool:
        """Whether connects are refused while no process runs; otherwise they never come up."""
        return self.fault in (HostFault.PROCESS_ENDS, HostFault.PORT_REFUSES)

    @property
    def end_listed_ms(self) -> RangeMs:
        """When the list tells of the end."""
        return END_LISTED_MS if self.fault is HostFault.PROCESS_ENDS else SILENT_END_LISTED_MS

    def __str__(self) -> str:
        """Returns the cell as one word for the id of a test."""
        low_s, high_s = self.away_ms[0] / 1e3, self.away_ms[1] / 1e3
        words = [self.fault.name, self.connections.name, self.successor.name, f"{low_s:g}-{high_s:g}s"]
        return "-".join([*words, "list_silent" if self.is_list_silent else "list_up"]).lower()


def list_cells() -> list[FaultCell]:
    """Returns every combination of the table."""
    return [
        FaultCell(row.fault, connections, successor, away_ms, is_list_silent)
        for row in FAULT_TABLE
        for connections, successor, away_ms, is_list_silent in product(
            row.connections, row.successors, row.away_ms, (False, True)
        )
    ]


def draw_cells(random: Random) -> Iterator[FaultCell]:
    """Yields cells for ever, all of them in a random order before any comes again."""
    while True:
        cells = list_cells()
        random.shuffle(cells)
        yield from cells
