"""The actions of another revision's decision module against this one's, over seeded streams of events.

    python -m benchmarks.equal_actions REV [SEEDS]

`git show REV:glencleat/policy/scheduler.py` is loaded as a module of its own; both are told the same events, and each
answer, the draws and the machines known are compared. Prints each size's seeds, events and binds and the CPU
seconds of both; ends with 1 at the first difference."""

import subprocess
import sys
import time
import types
from collections import Counter

import numpy as np

from benchmarks.common import machine
from glencleat import interface as api
from glencleat.policy.scheduler import Scheduler
from tests.support.reference_order import Stream, differ

SIZES = (("5 to 300", 200, 400), ("400", 12, 1_500), ("1,600", 8, 1_500), ("6,300", 6, 1_500))


def at_revision(rev: str) -> type:
    """The Scheduler of a revision; its imports are today's interface."""
    told = ["git", "show", f"{rev}:glencleat/policy/scheduler.py"]
    source = subprocess.run(told, capture_output=True, text=True, check=True)
    module = types.ModuleType("logic_at_revision")
    sys.modules[module.__name__] = module  # where dataclasses look up their annotations
    exec(compile(source.stdout, f"{rev}:logic.py", "exec"), module.__dict__)
    return module.Scheduler


class Timed:
    """A scheduler that counts its CPU time and what it is told and answers."""

    def __init__(self, scheduler):
        self.scheduler, self.random, self.nodes = scheduler, scheduler.random, scheduler.nodes
        self.cpu, self.seen = 0.0, Counter()

    def handle(self, now, event):
        began = time.process_time()
        answer = self.scheduler.handle(now, event)
        self.cpu += time.process_time() - began
        self.seen.update(type(a).__name__ for a in (event, *answer))
        return answer


def main() -> None:
    rev, part = sys.argv[1], int(sys.argv[2]) / 200 if len(sys.argv) > 2 else 1.0
    old = at_revision(rev)
    print(machine())
    for label, seeds, steps in SIZES:
        seen, cpu = Counter(), [0.0, 0.0]
        seeds = max(1, round(seeds * part))
        for seed in range(seeds):
            rng = np.random.default_rng([seed, 42])
            hosts = int(rng.integers(5, 301)) if "to" in label else int(label.replace(",", ""))
            services = int(rng.integers(1, 51)) if "to" in label else 100
            stream = Stream([seed, hosts], hosts, services)
            sides = [Timed(cls(stream.settings, seed)) for cls in (old, Scheduler)]
            if found := differ(*sides, stream, steps):
                print(f"{label} hosts, seed {seed}: differs at {found}")
                sys.exit(1)
            seen.update(sides[0].seen)
            cpu = [total + side.cpu for total, side in zip(cpu, sides, strict=True)]
        kinds = (api.PlacementRequested, api.MachineListUpdated, api.AttemptEnded, api.Bind)
        told = ", ".join(f"{seen[t.__name__]:,} {t.__name__}" for t in kinds)
        events = f"{label} hosts: {seeds} seeds, {seeds * steps:,} events ({told})"
        print(f"{events}: equal; CPU {cpu[0]:.1f} s at {rev}, {cpu[1]:.1f} s now", flush=True)


if __name__ == "__main__":
    main()
