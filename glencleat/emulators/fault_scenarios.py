"""The kinds of trouble that a bench day holds, as faults of a play: what one names the other can replay.

A bench day is named by its troubles, such as `crash+hot_key`; `draw_faults` makes a play's script of them,
drawn from a seed within the ranges that the users tell of their own days. No figure here is a decision's."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from glencleat.emulators.script import Script, ScriptFault


def make_fault(time_ms: float, fault: str, what: str, for_ms: float) -> ScriptFault:
    """A fault as a script's line has it."""
    times = {"time": f"{time_ms:.0f}ms", "for": f"{for_ms:.0f}ms"}
    return ScriptFault.model_validate({"fault": fault, "what": what, **times})


def draw_percent(low: float, high: float, random: Random) -> str:
    return f"{random.uniform(low, high):.1f}%"


def _hall(script: Script, begin: float, random: Random) -> list[ScriptFault]:
    return [make_fault(begin, "hall", random.choice(script.hosts.halls), random.uniform(3_000.0, 6_000.0))]


def _deploy(script: Script, begin: float, random: Random) -> list[ScriptFault]:
    """A rolling deploy: a few hosts at a time drain, leave and come back cold."""
    step = script.play.length / 8.0
    most = max(1, round(0.15 * script.hosts.count))
    return [make_fault(begin + i * step, "deploy", str(most), min(2_000.0, step)) for i in range(4)]


def _stall(script: Script, begin: float, random: Random) -> list[ScriptFault]:
    name = f"a{random.randrange(script.allocators.count)}"
    return [make_fault(begin, "stall", name, random.uniform(1_500.0, 3_000.0))]


def make_share_fault(
    fault: str, low: float, high: float, shortest: float, longest: float
) -> Callable[..., list[ScriptFault]]:
    """A fault of a share of hosts, owners or tasks."""

    def made(script: Script, begin: float, random: Random) -> list[ScriptFault]:
        return [make_fault(begin, fault, draw_percent(low, high, random), random.uniform(shortest, longest))]

    return made


# trouble -> what it is here
FAULT_SCENARIOS: dict[str, Callable[[Script, float, Random], list[ScriptFault]]] = {
    "balancer_stall": _stall,  # an allocator stands still
    "burst": make_share_fault("burst", 60.0, 100.0, 2_000.0, 5_000.0),  # more tasks come, by so much
    "crash": make_share_fault("crash", 10.0, 24.0, 2_500.0, 5_000.0),  # hosts die at once and come back cold
    "deploy": _deploy,
    "flush": make_share_fault("flush", 40.0, 98.0, 0.0, 0.0),  # hosts lose the programs that they kept
    "grow": make_share_fault(
        "grow", 5.0, 17.0, 4_000.0, 8_000.0
    ),  # tasks use all that they asked for, and more
    "hang": make_share_fault("silent", 10.0, 19.0, 3_000.0, 6_000.0),  # hosts take asks and answer none
    "heavy_tail": make_share_fault("grow", 1.0, 4.0, 6_000.0, 9_000.0),  # a few tasks use far more
    "hot_key": make_share_fault(
        "grow", 10.0, 25.0, 3_000.0, 6_000.0
    ),  # tasks of some services use all they may
    "neighbour": make_share_fault("neighbour", 20.0, 48.0, 3_000.0, 6_000.0),  # other programs crowd hosts
    "reconnect": make_share_fault("cut", 30.0, 60.0, 0.0, 0.0),  # owners' sessions break and come again
    "report_late": make_share_fault("late-reports", 60.0, 100.0, 4_000.0, 8_000.0),
    "throttle": make_share_fault(
        "false-full", 15.0, 30.0, 2_000.0, 4_000.0
    ),  # hosts refuse though they have room
    "zone_loss": _hall,
}


def draw_faults(script: Script, day: str, seed: int) -> tuple[ScriptFault, ...]:
    """The faults of a day such as `crash+hot_key`; raises ValueError naming what it does not know."""
    random, found = Random(seed), list[ScriptFault]()
    names = day.split("+")
    for number, name in enumerate(names):
        if name not in FAULT_SCENARIOS:
            raise ValueError(f"trouble {name!r}: expected some of {', '.join(FAULT_SCENARIOS)}, joined by +")
        begin = script.play.length * (0.15 + 0.5 * number / len(names)) * random.uniform(0.9, 1.1)
        found += FAULT_SCENARIOS[name](script, begin, random)
    return tuple(found)
