"""Plays a day with the emulators of one tree against the allocators of another, both ways.

    python -m benchmarks.cross_version_play TREE [SCRIPT]

TREE is a checkout of another revision (`git worktree add TREE REV`), SCRIPT the day to play (by default
examples/bad-day.conf of this tree). The wire formats must not change between versions, so the rules have to
hold in both plays. Exits with 1 if a play failed or broke a rule."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from pathlib import Path

TIMEOUT_S = 300.0  # for one play; the longest script lasts half a minute
# The parent's module path is set when it starts; its children, the allocators, read PYTHONPATH anew.
PROGRAM = """
import os, runpy, sys
os.environ["PYTHONPATH"] = sys.argv[1]
sys.argv = ["glencleat", "play", sys.argv[2]]
runpy.run_module("glencleat", run_name="__main__", alter_sys=True)
"""


def play(emulators: Path, allocators: Path, script: Path) -> int:
    """The exit code of one play: 0 when it ran and all rules were kept."""
    environment = {**os.environ, "PYTHONPATH": str(emulators)}
    with tempfile.TemporaryDirectory() as empty:  # `-c` and `-m` put the working directory first in the path
        command = [sys.executable, "-c", PROGRAM, str(allocators), str(script)]
        done = subprocess.run(command, env=environment, cwd=empty, timeout=TIMEOUT_S)
    return done.returncode


def main() -> None:
    here = Path.cwd()
    other = Path(sys.argv[1]).resolve()
    script = Path(sys.argv[2] if len(sys.argv) > 2 else "examples/bad-day.conf").resolve()
    codes = []
    for name, emulators, allocators in (
        ("emulators of the other tree, allocators of this one", other, here),
        ("emulators of this tree, allocators of the other one", here, other),
    ):
        print(f"== {name}", flush=True)
        codes.append(play(emulators, allocators, script))
    sys.exit(1 if any(codes) else 0)


if __name__ == "__main__":
    main()
