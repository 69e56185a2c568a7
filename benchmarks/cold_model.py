"""By model, no processes: a list service that is down for a time and then lets so many in a second.

    python -m benchmarks.cold_model --counts 100,300,1000,10000 --served 100,500,2000

Each allocator asks by `flow_control/backoff.py`; one that is turned away costs the service a connection and no more.
Beside it the fixed steps of 100 ms that came before."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random

import click
from rich.console import Console
from rich.table import Table

from glencleat.flow_control.backoff import MACHINE_LIST_BACKOFF, Backoff

DOWN_MS, SLOT_MS, FIXED_MS, MOST_MS = 10_000.0, 100.0, 100.0, 120_000.0


def play(count: int, served: int, wait: Callable[[int], Callable[[], float]]) -> tuple[float, float, float]:
    """Tries a second while it is down (from 3 s on); the busiest slot after it is well, as a part of what it
    serves in one; milliseconds until all are in."""
    waits = [wait(i) for i in range(count)]
    queue = [(waits[i](), i) for i in range(count)]
    heapq.heapify(queue)
    down, slot, left, tries, busiest, last = 0, -1, 0.0, 0, 0, 0.0
    while queue:
        at, i = heapq.heappop(queue)
        if at > MOST_MS:
            return down / 7.0, busiest / (served * SLOT_MS / 1e3), float("inf")
        if at < DOWN_MS:
            down += at >= 3_000.0
        else:
            now = int(at / SLOT_MS)
            if now != slot:
                slot, left, tries = now, served * SLOT_MS / 1e3, 0
            tries += 1
            busiest = max(busiest, tries)
            if left >= 1.0:
                left, last = left - 1.0, at
                continue
        heapq.heappush(queue, (at + waits[i](), i))
    return down / 7.0, busiest / (served * SLOT_MS / 1e3), last - DOWN_MS


def asking(i: int) -> Callable[[], float]:
    return Backoff(MACHINE_LIST_BACKOFF, Random(i)).next_delay_ms


def fixed(i: int) -> Callable[[], float]:
    return lambda: FIXED_MS


@click.command()
@click.option("--counts", default="100,300,1000,10000")
@click.option("--served", default="100,500,2000")
def main(counts: str, served: str) -> None:
    """Prints a row for each number of allocators and each rate at which the service lets them in."""
    heads = "allocators", "let in a second", "asks", "tries a second, down", "busiest 0.1 s / let in"
    table = Table(*heads, "all in, s")
    for count in map(int, counts.split(",")):
        for rate in map(int, served.split(",")):
            for name, wait in (("fixed 0.1 s", fixed), ("now", asking)):
                down, busiest, last = play(count, rate, wait)
                row = (f"{down:.0f}", f"{busiest:.1f}", f"{last / 1e3:.1f}")
                table.add_row(f"{count:,}", f"{rate:,}", name, *row)
    Console().print(table)


if __name__ == "__main__":
    main()
