"""Tests that fail for a fault that is known and not mended yet: KNOWN-RED.txt, three at most.

    python .ci/known_red.py deselect    the options that keep them out of the main run
    python .ci/known_red.py check       runs each by itself, prints it, and passes over its failure alone

A line: test, cause, issue, with `|` between them; empty lines and those that begin with # count for nothing.
One that passes, that does not exist or can't be run is an error: the list says what is so today. A test that
fails only in some runs has a fourth column, `by chance`: it may pass, and is printed either way. No file, or
an empty one, means none.
"""

import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

LIST, MOST = Path("KNOWN-RED.txt"), 3
PASSED, FAILED = 0, 1  # pytest's exit codes; 4: not found, 5: nothing run
BY_CHANCE = "by chance"  # fourth column of a test that fails only in some runs


class KnownRedError(Exception):
    """The list can't be used; the text says why."""


class KnownRedTest(NamedTuple):
    """A test that is known to fail."""

    test: str
    cause: str
    issue: str
    may_pass: bool


def read(text: str) -> list[KnownRedTest]:
    found = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if (
            len(parts) not in (3, 4)
            or parts[3:] not in ([], [BY_CHANCE])
            or not all(parts)
            or "::" not in parts[0]
        ):
            raise KnownRedError(
                f"line {number}: expected 'file::test | cause | issue', then '| {BY_CHANCE}' or nothing"
            )
        found.append(KnownRedTest(parts[0], parts[1], parts[2], len(parts) == 4))
    if len(found) > MOST:
        raise KnownRedError(f"{len(found)} tests; at most {MOST}")
    if len({known.test for known in found}) < len(found):
        raise KnownRedError("a test twice")
    return found


def check(listed: list[KnownRedTest]) -> int:
    wrong = 0
    for test, cause, issue, may_pass in listed:
        done = subprocess.run([sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", test],
                              capture_output=True, text=True)  # fmt: skip
        if done.returncode == FAILED and "error" not in done.stdout.strip().splitlines()[-1]:
            print(f"KNOWN RED {test}: {cause} (issue {issue})")
        elif done.returncode == PASSED and may_pass:
            print(f"KNOWN RED {test}: passed in this run; {cause} (issue {issue})")
        else:
            wrong += 1
            said = {0: "it passes, take it off the list", 4: "there is no such test"}
            why = said.get(done.returncode, "it can not be run")
            print(f"KNOWN RED {test}: {why}\n{done.stdout[-2_000:]}")
    return wrong


def main() -> int:
    try:
        listed = read(LIST.read_text() if LIST.exists() else "")
    except KnownRedError as error:
        print(f"{LIST}: {error}", file=sys.stderr)
        return 2
    if sys.argv[1:] == ["deselect"]:
        print(" ".join(f"--deselect={test}" for test, *_ in listed))
        return 0
    return 1 if check(listed) else 0


if __name__ == "__main__":
    sys.exit(main())
