"""Many allocators that start at once, and a list service that turns them away: what it hears, who is back.

    python -m benchmarks.cold_start --before TREE --counts 50,100,300

TREE is a checkout of an earlier version; both are played in turn in one run. The figures are taken from the
record of the relay before the service."""

from __future__ import annotations

import tempfile
from pathlib import Path

import click

from glencleat.checker.chance_bounds import count_busiest_window
from glencleat.emulators.allocator_processes import AllocatorProcesses
from glencleat.emulators.channel import ChannelService, make_list_entry
from glencleat.emulators.proxy import Proxy, ProxyEvent
from glencleat.emulators.proxy_faults import AcceptMode, FaultSchedule, ProxyFault, ProxyState
from glencleat.event_loop import Loop

DOWN_MS, AFTER_MS, START_MS, BACK_MS = 10_000.0, 3_000.0, 240_000.0, 10_000.0


def until(loop: Loop, done, ms: float) -> bool:
    """Runs the loop until it is so; False if that took longer."""
    end = loop.now() + ms
    while not done():
        if loop.now() > end:
            return False
        loop.call_in(50.0, lambda: None)
        loop.run_once()
    return True


def start_all(
    loop: Loop, nodes: AllocatorProcesses, place: tuple[str, int], service: ChannelService
) -> float:
    """All at one instant, with the list known and the channel at `place`; the loop's time of the start.

    Returns when all listen."""
    for i in range(nodes.count):
        nodes.configure(i, place, service.take_snapshot())
    for i in range(nodes.count):
        nodes.start(i)
    started = loop.now()
    if not until(loop, lambda: all(nodes.listen_address(i) for i in range(nodes.count)), START_MS):
        raise click.ClickException("not all became ready")
    return started


def play(folder: Path, count: int, tree: Path | None) -> dict[str, float]:
    loop, record = Loop(), list[ProxyEvent]()
    service = ChannelService(loop, [make_list_entry(f"h{i}") for i in range(400)])
    weather = FaultSchedule(ProxyState(), [ProxyFault(0.0, float("inf"), {"door": AcceptMode.REFUSE})])
    relay = Proxy(loop, "list", service.address, weather, 1, record.append)
    with AllocatorProcesses(folder, count, seed=11, checkout=tree) as nodes:
        first = start_all(loop, nodes, relay.address, service) - relay.started_at
        ready = relay.now()
        until(loop, lambda: relay.now() > ready + DOWN_MS, 2.0 * DOWN_MS)
        well = relay.now()
        weather.faults.clear()
        back = until(loop, lambda: len(service.streams) >= count, BACK_MS)
        took = relay.now() - well if back else float("nan")
        memory = max(nodes.resident_mb(i) for i in range(count))
    relay.close()
    service.close()
    tries = sorted(p.at_ms for p in record if p.kind == "refused" and ready + AFTER_MS <= p.at_ms < well)
    return {
        "ready s": (ready - first) / 1e3,
        "tries a second": len(tries) / ((well - ready - AFTER_MS) / 1e3),
        "busiest 0.1 s, part of all": count_busiest_window(tries, 100.0) / count,
        "back s": took / 1e3,
        "MB each": memory,
    }


@click.command()
@click.option("--before", type=click.Path(exists=True, path_type=Path), help="an earlier version's tree")
@click.option("--counts", default="50,100")
def main(before: Path | None, counts: str) -> None:
    """A table of both versions, and what one is of the other."""
    versions = {"before": before.resolve(), "now": None} if before else {"now": None}
    rows = None
    for count in map(int, counts.split(",")):
        found = {}
        for name, tree in versions.items():
            with tempfile.TemporaryDirectory() as folder:
                found[name] = play(Path(folder), count, tree)
            if rows is None:
                rows = list(found[name])
                click.echo(f"| allocators | version | {' | '.join(rows)} |\n|{' --- |' * (len(rows) + 2)}")
            click.echo(f"| {count} | {name} | {' | '.join(f'{found[name][row]:.2f}' for row in rows)} |")
        if len(found) == 2:
            before_, now = found["before"], found["now"]
            parts = (now[row] / before_[row] if before_[row] else 0.0 for row in rows)
            click.echo(f"| {count} | now / before | {' | '.join(f'{part:.2f}' for part in parts)} |")


if __name__ == "__main__":
    main()
