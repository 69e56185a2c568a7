"""Allocators and cold hosts that all start at one instant: who is ready when, and who hears what.

    python -m benchmarks.cold_fleet --count 300 --hosts 400

Allocators are processes; hosts stand in some more, so that descriptors suffice; a relay before the list
service counts bytes. Each allocator is asked from its readiness on. A cold host falls, by the operators'
page, at more than N + 3 x root of N + 3 set-ups in the told time, N being what the settings allow."""

from __future__ import annotations

import multiprocessing
import tempfile
from collections import Counter
from multiprocessing.connection import Connection
from pathlib import Path

import click
import numpy as np

from benchmarks.cold_start import until
from glencleat.checker.chance_bounds import count_busiest_window
from glencleat.emulators.allocator_processes import AllocatorProcesses
from glencleat.emulators.channel import ChannelService, make_list_entry
from glencleat.emulators.platform_peers import PlatformHost, PlatformOwner
from glencleat.emulators.proxy import Proxy, ProxyEvent
from glencleat.emulators.proxy_faults import FaultSchedule, ProxyState
from glencleat.event_loop import Loop
from glencleat.event_loop.loop import READ

OFFERS, WINDOW_MS, COLD_MS = 24.0, 1_000.0, 16_000.0
RULES = {"warm-within-ms": COLD_MS, "overload-for-ms": WINDOW_MS, "stop-sending-within-ms": 500.0}
DOMAIN = {"fresh-offers": OFFERS}
LIFE_MS, GROUPS, SOCKETS = 4_000.0, 4, 128


def serve_hosts(pipe: Connection, names: list[str]) -> None:
    """A process of hosts: tells their ports, and at the end what each heard at most."""
    loop = Loop()
    hosts = [PlatformHost(loop, name, LIFE_MS) for name in names]
    pipe.send({host.name: host.port for host in hosts})
    over = [False]
    loop.poller.watch(pipe.fileno(), READ, lambda _: over.__setitem__(0, True))
    while not over[0]:
        loop.run_once()
    warm = pipe.recv() + COLD_MS  # when they started, on the monotonic clock that processes share
    found = []
    for host in hosts:
        cold = [at for at, _ in host.received_setups if at < warm]
        found.append(
            (
                len(host.received_setups),
                count_busiest_window(cold, WINDOW_MS),
                len(host.accept_times),
                count_busiest_window(host.accept_times, 1e3),
            )
        )
    pipe.send(found)


def play(folder: Path, count: int, size: int, rate: float, seconds: float) -> dict[str, float]:
    loop, record = Loop(), list[ProxyEvent]()
    spawn = multiprocessing.get_context("spawn")
    names = [f"h{i}" for i in range(size)]
    pipes, children = [], []
    for group in range(GROUPS):
        ours, theirs = spawn.Pipe()
        child = spawn.Process(target=serve_hosts, args=(theirs, names[group::GROUPS]), daemon=True)
        child.start()
        pipes.append(ours)
        children.append(child)
    try:
        ports = {name: port for pipe in pipes for name, port in pipe.recv().items()}
        started, now = loop.now(), loop.clock.wall()
        service = ChannelService(
            loop, [make_list_entry(name, ports[name], started_ms=int(now)) for name in names]
        )
        relay = Proxy(loop, "list", service.address, FaultSchedule(ProxyState()), 1, record.append)
        with AllocatorProcesses(folder, count, seed=11, max_sockets=SOCKETS) as nodes:
            for i in range(count):
                nodes.configure(i, relay.address, service.take_snapshot(), rules=RULES, domain=DOMAIN)
            began = loop.now()
            for i in range(count):
                nodes.start(i)
            owners, ready = dict[int, PlatformOwner](), dict[int, float]()

            def all_up() -> bool:
                for i in [i for i in range(count) if i not in ready and nodes.listen_address(i)]:
                    ready[i] = loop.now() - began
                    owners[i] = PlatformOwner(loop, nodes.listen_address(i), rate, i + 1)
                return len(ready) == count

            if not until(loop, all_up, 120_000.0):
                raise click.ClickException(f"{len(ready)} of {count} became ready")
            end = began + max(ready.values()) + 1e3 * seconds
            until(loop, lambda: loop.now() > end, 2e3 * seconds + 60_000.0)
            for owner in owners.values():
                owner.is_running = False
            until(loop, lambda: not any(owner.requested_at_by_task for owner in owners.values()), 10_000.0)
            ends = sum((owner.outcome_counts for owner in owners.values()), Counter[str]())
            unanswered = sum(len(owner.requested_at_by_task) for owner in owners.values())
            waits = [wait for owner in owners.values() for _, wait in owner.request_latencies]
            memory = max(nodes.resident_mb(i) for i in range(count))
        for pipe in pipes:
            pipe.send(started)
        heard = [one for pipe in pipes for one in pipe.recv()]
        relay.close()
        service.close()
    finally:
        for child in children:
            child.join(10.0)
            if child.is_alive():
                child.kill()
    limit = OFFERS + 3.0 * OFFERS**0.5 + 3.0
    sizes = [passed.size for passed in record if passed.kind == "piece"]
    return {
        "first ready, s": min(ready.values()) / 1e3,
        "last ready, s": max(ready.values()) / 1e3,
        "bytes to and from the list, each": sum(sizes) / count,
        "asked": ends["asked"],
        "placed": ends["placed"],
        "turned away": ends["turned away"],
        "no answer": unanswered,
        "p50 ms": float(np.percentile(waits, 50)),
        "p99 ms": float(np.percentile(waits, 99)),
        "set-ups at all hosts": sum(one[0] for one in heard),
        "busiest cold host, set-ups in 1 s": max(one[1] for one in heard),
        "a cold host falls above": limit,
        "connections at all hosts": sum(one[2] for one in heard),
        "busiest host, connections in 1 s": max(one[3] for one in heard),
        "MB each": memory,
    }


@click.command()
@click.option("--count", default=300)
@click.option("--hosts", default=400)
@click.option("--rate", default=2.0, help="asks a second at each allocator")
@click.option("--seconds", default=10.0, help="after the last is ready")
def main(count: int, hosts: int, rate: float, seconds: float) -> None:
    """A table of one play."""
    with tempfile.TemporaryDirectory() as folder:
        click.echo(f"| {count} allocators, {hosts} hosts | |\n| --- | --- |")
        for what, value in play(Path(folder), count, hosts, rate, seconds).items():
            click.echo(f"| {what} | {value:.4g} |")


if __name__ == "__main__":
    main()
