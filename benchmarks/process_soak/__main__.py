"""Plays allocator processes among hosts whose processes are replaced, seed by seed, and judges them.

    python -m benchmarks.process_soak --seeds 50 --seconds 25 --folder DIR

Hosts have the faults of `benchmarks/host_faults.py`: processes end and are replaced, machines vanish, are cut off
or hang, while the machine list tells it late and by a clock that is seconds off, or is cut off from an allocator.
Connections are reset on the way. Allocators get SIGHUP, SIGSTOP, and SIGKILL, with SIGTERM before it or without,
as early as the protocol page allows; their owners use open connections until then, and afterwards name all
tasks of which they know no end to the same allocator or to another one. On three in ten tasks no host reports
anything but the end. In every third seed a crowd of idle clients is connected. Exits with 1 if a rule was
broken, or if after 50 seeds a combination of the fault table was not played. `verdict.py` has the rules.
"""

from __future__ import annotations

import argparse
import sys
from collections import Counter
from pathlib import Path

from benchmarks.host_faults import list_cells
from benchmarks.process_soak.play import PlayOptions, play

COVERAGE_SEEDS = 50
"""From so many plays on each combination of the fault table has to be played."""

parser = argparse.ArgumentParser(prog="python -m benchmarks.process_soak", description=__doc__)
parser.add_argument("--seeds", type=int, default=2, help="how many plays")
parser.add_argument("--first-seed", type=int, default=1)
parser.add_argument("--seconds", type=float, default=25.0, help="of set-ups in each play")
parser.add_argument("--checkout", type=Path, help="a tree of another version to play; by default this one")
parser.add_argument("--drain-share", type=float, default=0.0, help="of the replacements; see KNOWN-RED.txt")
parser.add_argument("--folder", type=Path, required=True, help="for configurations and logs")


def main() -> int:
    """Plays all seeds and prints a line for each; returns the exit code."""
    arguments = parser.parse_args()
    broken_count, counts_by_cell = 0, Counter(dict.fromkeys(map(str, list_cells()), 0))
    for seed in range(arguments.first_seed, arguments.first_seed + arguments.seeds):
        folder = arguments.folder / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        result = play(
            PlayOptions(seed, arguments.seconds * 1_000.0, arguments.checkout, arguments.drain_share), folder
        )
        broken_count += bool(result.violations)
        counts_by_cell.update(map(str, result.played_cells))
        print(f"seed {seed}: {len(result.violations)} violations; {result.summary}", flush=True)
        for violation in result.violations:
            print(f"    {violation}", flush=True)
    for cell, count in counts_by_cell.items():
        print(f"{count:5} {cell}")
    unplayed_count = list(counts_by_cell.values()).count(0)
    print(
        f"{broken_count} plays with violations; {unplayed_count} of {len(counts_by_cell)} combinations not played"
    )
    return 1 if broken_count or (unplayed_count and arguments.seeds >= COVERAGE_SEEDS) else 0


if __name__ == "__main__":
    sys.exit(main())
