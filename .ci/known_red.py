"""Tests that fail for a fault that is known and not mended yet: KNOWN-RED.txt, three at most.

    python .ci/known_red.py deselect    the options that keep them out of the main run
    python .ci/known_red.py check       runs each by itself, prints it, and passes over its failure alone

A line: test, cause, issue, with `|` between them; empty lines and those that begin with # count for nothing.
One that passes, that does not exist or can't be run is an error: the list says what is so today. No file, or
an empty one, means none.
"""

import subprocess
import sys
from pathlib import Path

LIST, MOST = Path("KNOWN-RED.txt"), 3
FAILED = 1  # pytest's exit codes: 0 passed, 1 failed, 4 not found, 5 nothing run


class KnownRedError(Exception):
    """The list can't be used; the text says why."""


def read(text: str) -> list[tuple[str, str, str]]:
    found = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise KnownRedError(f"line {number}: expected 'file::test | cause | issue'")
        found.append((parts[0], parts[1], parts[2]))
    if len(found) > MOST:
        raise KnownRedError(f"{len(found)} tests; at most {MOST}")
    if len({test for test, _, _ in found}) < len(found):
        raise KnownRedError("a test twice")
    return found


def check(listed: list[tuple[str, str, str]]) -> int:
    wrong = 0
    for test, cause, issue in listed:
        done = subprocess.run([sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", test],
                              capture_output=True, text=True)  # fmt: skip
        if done.returncode == FAILED and "error" not in done.stdout.strip().splitlines()[-1]:
            print(f"KNOWN RED {test}: {cause} (issue {issue})")
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
        print(" ".join(f"--deselect={test}" for test, _, _ in listed))
        return 0
    return 1 if check(listed) else 0


if __name__ == "__main__":
    sys.exit(main())
