"""The kinds of trouble that a bench day holds, as faults of a play: what one names the other can replay.

A bench day is named by its troubles, such as `crash+hot_key`; `faults` makes a play's script of them, drawn
from a seed within the ranges that the users tell of their own days. No figure here is a decision's."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from glencleat.emulators.script import At, Script


def at(time_ms: float, fault: str, what: str, for_ms: float) -> At:
    """A fault as a script's line has it."""
    times = {"time": f"{time_ms:.0f}ms", "for": f"{for_ms:.0f}ms"}
    return At.model_validate({"fault": fault, "what": what, **times})


def percent(low: float, high: float, random: Random) -> str:
    return f"{random.uniform(low, high):.1f}%"


def _hall(script: Script, begin: float, random: Random) -> list[At]:
    return [at(begin, "hall", random.choice(script.hosts.halls), random.uniform(3_000.0, 6_000.0))]


def _deploy(script: Script, begin: float, random: Random) -> list[At]:
    """A rolling deploy: a few hosts at a time drain, leave and come back cold."""
    step = script.play.length / 8.0
    most = max(1, round(0.15 * script.hosts.count))
    return [at(begin + i * step, "deploy", str(most), min(2_000.0, step)) for i in range(4)]


def _stall(script: Script, begin: float, random: Random) -> list[At]:
    name = f"a{random.randrange(script.allocators.count)}"
    return [at(begin, "stall", name, random.uniform(1_500.0, 3_000.0))]


def shares(fault: str, low: float, high: float, shortest: float, longest: float) -> Callable[..., list[At]]:
    """A fault of a share of hosts, owners or tasks."""

    def made(script: Script, begin: float, random: Random) -> list[At]:
        return [at(begin, fault, percent(low, high, random), random.uniform(shortest, longest))]

    return made


# trouble -> what it is here
TROUBLES: dict[str, Callable[[Script, float, Random], list[At]]] = {
    "balancer_stall": _stall,  # an allocator stands still
    "burst": shares("burst", 60.0, 100.0, 2_000.0, 5_000.0),  # more tasks come, by so much
    "crash": shares("crash", 10.0, 24.0, 2_500.0, 5_000.0),  # hosts die at once and come back cold
    "deploy": _deploy,
    "flush": shares("flush", 40.0, 98.0, 0.0, 0.0),  # hosts lose the programs that they kept
    "grow": shares("grow", 5.0, 17.0, 4_000.0, 8_000.0),  # tasks use all that they asked for, and more
    "hang": shares("silent", 10.0, 19.0, 3_000.0, 6_000.0),  # hosts take asks and answer none
    "heavy_tail": shares("grow", 1.0, 4.0, 6_000.0, 9_000.0),  # a few tasks use far more
    "hot_key": shares("grow", 10.0, 25.0, 3_000.0, 6_000.0),  # tasks of some services use all they may
    "neighbour": shares("neighbour", 20.0, 48.0, 3_000.0, 6_000.0),  # other programs crowd hosts
    "reconnect": shares("cut", 30.0, 60.0, 0.0, 0.0),  # owners' sessions break and come again
    "report_late": shares("late-reports", 60.0, 100.0, 4_000.0, 8_000.0),
    "throttle": shares("false-full", 15.0, 30.0, 2_000.0, 4_000.0),  # hosts refuse though they have room
    "zone_loss": _hall,
}


def faults(script: Script, day: str, seed: int) -> tuple[At, ...]:
    """The faults of a day such as `crash+hot_key`; raises ValueError naming what it does not know."""
    random, found = Random(seed), list[At]()
    names = day.split("+")
    for number, name in enumerate(names):
        if name not in TROUBLES:
            raise ValueError(f"trouble {name!r}: expected some of {', '.join(TROUBLES)}, joined by +")
        begin = script.play.length * (0.15 + 0.5 * number / len(names)) * random.uniform(0.9, 1.1)
        found += TROUBLES[name](script, begin, random)
    return tuple(found)
