"""Hosts that reset everybody: how many connections a second the busiest hears, what becomes of the asks.

    python -m benchmarks.cold_hosts --before TREE --counts 50,100

Allocators are processes, hosts and owners stand-ins in this one. After a calm time all hosts reset their
connections and every one that comes, then they are back. TREE is a checkout of an earlier version; both are
played in turn in one run. Counts are the hosts' own; this process is busy, so times are upper bounds."""

from __future__ import annotations

import tempfile
from pathlib import Path

import click
import numpy as np

from benchmarks.cold_start import start_all, until
from glencleat.checker.chance_bounds import count_busiest_window
from glencleat.emulators.allocator_processes import AllocatorProcesses
from glencleat.emulators.channel import ChannelService, make_list_entry
from glencleat.emulators.platform_peers import PlatformHost, PlatformOwner
from glencleat.event_loop import Loop

CALM_MS, AWAY_MS, AFTER_MS = 6_000.0, 4_000.0, 6_000.0
LIFE_MS = 20_000.0
OURS = 15_000  # descriptors for the connections of all allocators in this process


def busiest_host(hosts: list[PlatformHost], since: float, to: float, window: float) -> int:
    """Connections that one host took within `window` milliseconds, of the host and the time with most."""
    return max(
        count_busiest_window([at for at in host.accept_times if since <= at < to], window) for host in hosts
    )


def play(folder: Path, count: int, tree: Path | None, rate: float, size: int) -> dict[str, float]:
    loop = Loop()
    hosts = [PlatformHost(loop, f"h{i}", LIFE_MS) for i in range(size)]
    service = ChannelService(loop, [make_list_entry(host.name, host.port) for host in hosts])
    with AllocatorProcesses(
        folder, count, seed=11, max_sockets=min(512, OURS // count), checkout=tree
    ) as nodes:
        start_all(loop, nodes, service.address, service)
        owners = [PlatformOwner(loop, nodes.listen_address(i), rate, i + 1) for i in range(count)]
        begun = loop.now()
        until(loop, lambda: loop.now() > begun + CALM_MS, 10.0 * CALM_MS)
        away = loop.now()
        for host in hosts:
            host.go_offline()
        until(loop, lambda: loop.now() > away + AWAY_MS, 10.0 * AWAY_MS)
        back = loop.now()
        for host in hosts:
            host.go_online()
        until(loop, lambda: loop.now() > back + AFTER_MS, 10.0 * AFTER_MS)
        end = loop.now()
        for owner in owners:
            owner.is_running = False
        until(loop, lambda: not any(owner.requested_at_by_task for owner in owners), 10_000.0)
        lost = sum(len(owner.requested_at_by_task) for owner in owners)
    waits = {False: [], True: []}
    for owner in owners:
        for at, wait in owner.request_latencies:
            waits[at >= away].append(wait)
    seconds = (back - away) / 1e3
    found = {
        "calm: busiest host, 1 s": busiest_host(hosts, begun, away, 1e3),
        "away: a second, all hosts": sum(away <= at < back for h in hosts for at in h.accept_times) / seconds,
        "away: busiest host, 1 s": busiest_host(hosts, away, back, 1e3),
        "away: busiest host, 0.1 s": busiest_host(hosts, away, back, 100.0),
        "back: busiest host, 1 s": busiest_host(hosts, back, end, 1e3),
        "asked": sum(owner.outcome_counts["asked"] for owner in owners),
        "placed": sum(owner.outcome_counts["placed"] for owner in owners),
        "turned away": sum(owner.outcome_counts["turned away"] for owner in owners),
        "no answer": lost,
        "p99 calm, ms": float(np.percentile(waits[False], 99)) if waits[False] else float("nan"),
        "p99 from the reset on, ms": float(np.percentile(waits[True], 99)) if waits[True] else float("nan"),
    }
    for party in (*owners, *hosts):
        party.close()
    service.close()
    until(loop, lambda: not any(host.streams for host in hosts), 5_000.0)
    return found


@click.command()
@click.option("--before", type=click.Path(exists=True, path_type=Path), help="an earlier version's tree")
@click.option("--counts", default="50,100")
@click.option("--hosts", default=400)
@click.option("--rate", default=4.0, help="asks a second at each allocator")
def main(before: Path | None, counts: str, hosts: int, rate: float) -> None:
    """A table of both versions."""
    versions = {"before": before.resolve(), "now": None} if before else {"now": None}
    for count in map(int, counts.split(",")):
        for name, tree in versions.items():
            with tempfile.TemporaryDirectory() as folder:
                for what, value in play(Path(folder), count, tree, rate, hosts).items():
                    click.echo(f"{count}\t{name}\t{what}\t{value:.4g}")


if __name__ == "__main__":
    main()
