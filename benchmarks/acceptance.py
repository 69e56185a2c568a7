"""One table of fleet plays: gate, rule broken, distance to each limit. Reads reports that the bench wrote.

    python -m benchmarks.acceptance --commit 1a2b3c4 [--meant FILE] TITLE=FOLDER_OR_FILE ... > part.md

Each report is that of one play (`--json`) or of a score; folders in a folder are sections of their own. What
a report does not tell is left empty, never guessed. Several plays of one day, seed and size are one row:
*flaky (n of m)* if n of them failed, with the figures of the first that failed. `--meant` names a list of the
plays that were meant, a line each: day, seed, and how it ended if there is no report (`crowd+mass 2302
failed: no report`); with no word on it, a play that has no report was *not run*."""

import argparse
import json
import statistics
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.common import rows_of

Play = dict[str, Any]
HEAD = ["day", "seed", "commit", "hosts", "ended", "score", "served of what the gate wants", "least class",
        "unanswered", "idle", "descriptors", "memory", "ready, slowest"]  # fmt: skip
IDLE = 0.5  # of the median CPU time of a day's processes: under it a process counts as idle


@dataclass(frozen=True)
class Meant:
    day: str
    seed: int
    ended: str = "not run"


def plays(place: Path) -> list[Play]:
    found: list[Play] = []
    for path in sorted(place.glob("*.json")) if place.is_dir() else [place]:
        report = json.loads(path.read_text())
        found += report.get("days", [report])
    return sorted(found, key=lambda play: (play["row"]["name"], play["row"]["seed"]))


def meant_plays(path: Path) -> list[Meant]:
    found = []
    for line in path.read_text().splitlines():
        words = line.split(maxsplit=2)
        if words and not line.startswith("#"):
            day, seed, *ended = words
            found.append(Meant(day, int(seed), *ended))
    return found


def same_day(day: str) -> frozenset[str]:
    """A day's kinds: they may be joined in any order."""
    return frozenset(day.split("+"))


def merged(found: Iterable[Play]) -> list[list[Play]]:
    """The plays of one day, seed and size together."""
    groups: dict[tuple[frozenset[str], int, int], list[Play]] = {}
    for play in found:
        row = play["row"]
        groups.setdefault((same_day(row["name"]), row["seed"], row["servers"]), []).append(play)
    return list(groups.values())


def missing(listed: list[Meant], found: Iterable[Play]) -> list[Meant]:
    """The meant plays that have no report."""
    told = {(same_day(play["row"]["name"]), play["row"]["seed"]) for play in found}
    return [meant for meant in listed if (same_day(meant.day), meant.seed) not in told]


def limits_passed(row: Play) -> list[str]:
    memory, descriptors, *_ = row["caps"]
    passed = [f"descriptors {row['files']} of {descriptors}"] if row["files"] > descriptors else []
    return passed + ([f"memory {row['memory_mb']} of {memory} MB"] if row["memory_mb"] > memory else [])


def failure(play: Play) -> str:
    """Why a play counts as failed; empty if it was kept."""
    row = play["row"]
    broken = [name for name, count in row["rules"].items() if count] + limits_passed(row)
    return row["fault"] or ", ".join(broken) or row["gate"] or ""


def ended(group: list[Play]) -> str:
    failures = [why for why in map(failure, group) if why]
    if not failures:
        return "kept" if len(group) == 1 else f"kept ({len(group)} plays)"
    if len(failures) < len(group):
        return f"**flaky ({len(failures)} of {len(group)})**: {failures[0]}"
    return f"**failed**: {failures[0]}"


def unanswered(play: Play) -> str:
    """Requests lost by the rule, late within its slack, closed unserved, and those that met no allocator."""
    seen = play["real"]["seen"]
    told = play["row"]["rules"]["lost"], seen["within_slack"], seen["closed_unserved"], seen["unreached"]
    return " / ".join(map(str, told))


def idle(play: Play) -> str:
    """Allocator processes that used less than half of the median CPU time of all."""
    used = play["real"]["cpu_s"]
    bound = IDLE * statistics.median(used) if used else 0.0
    return f"{sum(seconds < bound for seconds in used)} of {len(used)}"


def line(group: list[Play], commit: str) -> list[str]:
    play = next((play for play in group if failure(play)), group[0])
    row = play["row"]
    memory, descriptors, *_ = row["caps"]
    classes = [(served / wanted, name) for name, served, wanted in row["by_class"] if wanted]
    least = min(classes, default=(0.0, "none"))
    restarts = sorted(play["real"]["seen"]["restart_s"])
    return [
        row["name"], str(row["seed"]), commit, str(row["servers"]), ended(group), f"{row['score']:.2f}",
        f"{row['served'] / row['served_least']:.2f}" if row["served_least"] else "",
        f"{least[0]:.2f} {least[1]}",
        unanswered(play), idle(play),
        f"{row['files'] / descriptors:.2f} of {descriptors}",
        f"{row['memory_mb'] / memory:.2f} of {memory} MB",
        f"{restarts[-1]:.1f} s of {len(restarts)}" if restarts else "no restart",
    ]  # fmt: skip


def line_without_report(meant: Meant, commit: str) -> list[str]:
    word, colon, why = meant.ended.partition(":")
    told = [meant.day, str(meant.seed), commit, "", f"**{word}**{colon}{why}"]
    return told + [""] * (len(HEAD) - len(told))


def lines(found: list[Play], listed: list[Meant], commit: str) -> list[list[str]]:
    rows = [line(group, commit) for group in merged(found)]
    rows += [line_without_report(meant, commit) for meant in missing(listed, found)]
    return sorted(rows, key=lambda row: (row[0], int(row[1])))


def main() -> None:
    as_written = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=as_written)
    parser.add_argument("--commit", required=True, help="the version that played, as every row names it")
    parser.add_argument("--meant", type=Path, help="the plays that were meant, for a single section")
    parser.add_argument("sections", nargs="+", metavar="TITLE=FOLDER_OR_FILE")
    told = parser.parse_args()
    if told.meant and len(told.sections) > 1:
        parser.error("--meant is for a single section")
    listed = meant_plays(told.meant) if told.meant else []
    for section in told.sections:
        title, _, place = section.partition("=")
        rows = lines(plays(Path(place)), listed, told.commit)
        print("\n".join([f"## {title}", "", *rows_of(HEAD, rows), ""]))


if __name__ == "__main__":
    main()
