"""The replies of another tree's adapter against this one's, byte by byte, over seeded days on the wire.

    python -m benchmarks.equal_replies TREE [SEEDS]

TREE is a checkout of another revision (`git worktree add TREE REV`). Both adapters run as the `sim` line of
their own deploy/balancer.toml says, so that trees whose Python names differ can be compared. Prints each
size's seeds, batches and attempts; ends with 1 at the first reply that differs."""

from __future__ import annotations

import shlex
import subprocess
import sys
import tomllib
from collections import Counter
from pathlib import Path
from types import TracebackType

from tests.support.wire_day import Day, play

# allocators, hosts, services, mean ms between spontaneous events, batches, seeds
SIZES = (
    (1, 20, 10, 6.0, 2_000, 20),
    (4, 60, 40, 3.0, 2_000, 20),
    (16, 400, 100, 1.0, 4_000, 8),
    (300, 100, 50, 0.5, 3_000, 4),
    (20, 1_600, 100, 1.0, 1_500, 8),
    (20, 6_300, 100, 1.0, 1_500, 6),
)


class AdapterProcess:
    """A tree's adapter as a process: a batch's text in, its reply's text out."""

    def __init__(self, tree: Path) -> None:
        command = shlex.split(tomllib.loads((tree / "deploy" / "balancer.toml").read_text())["sim"])
        module = command[command.index("-m") + 1]
        self.process = subprocess.Popen(
            [sys.executable, "-m", module], cwd=tree, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )

    def __enter__(self) -> AdapterProcess:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        self.process.kill()
        self.process.communicate()

    def __call__(self, text: str) -> str:
        assert self.process.stdin is not None and self.process.stdout is not None
        self.process.stdin.write(text)
        self.process.stdin.flush()
        lines = []
        while not lines or not lines[-1].startswith('["NEXT"'):
            line = self.process.stdout.readline()
            if not line:
                raise EOFError("the adapter ended")
            lines.append(line)
        return "".join(lines)


def main() -> None:
    tree = Path(sys.argv[1]).resolve()
    part = int(sys.argv[2]) / 20 if len(sys.argv) > 2 else 1.0
    for allocators, hosts, services, gap_ms, batches, seeds in SIZES:
        totals = Counter[str]()
        seeds = max(1, round(seeds * part))
        for seed in range(100, 100 + seeds):
            with AdapterProcess(tree) as before, AdapterProcess(Path.cwd()) as after:
                try:
                    _, counts = play(Day(seed, allocators, hosts, services, gap_ms), before, batches, after)
                except AssertionError as error:
                    print(f"{allocators} allocators, {hosts} hosts, seed {seed}: differs, {error}")
                    sys.exit(1)
            totals.update(counts)
        messages = f"{totals['ARRIVAL']:,} arrivals, {totals['BIND']:,} attempts"
        print(
            f"{allocators} allocators, {hosts} hosts: {seeds} seeds, {seeds * batches:,} batches, {messages}: equal",
            flush=True,
        )


if __name__ == "__main__":
    main()
