"""One table of fleet plays: gate, rule broken, distance to each limit. Reads reports that the bench wrote.

    python -m benchmarks.acceptance TITLE=FOLDER_OR_FILE ... > docs/results/acceptance-part.md

Each report is that of one play (`--json`) or of a score. What a report does not tell is left empty, never
guessed: a play that has no report is to be added by hand, as *not run* or *failed*."""

import json
import sys
from pathlib import Path
from typing import Any

from benchmarks.common import rows_of

HEAD = ["day", "seed", "hosts", "ended", "score", "served of what the gate wants", "least class",
        "descriptors", "memory", "ready, slowest"]  # fmt: skip


def plays(place: Path) -> list[dict[str, Any]]:
    found = []
    for path in sorted(place.rglob("*.json")) if place.is_dir() else [place]:
        report = json.loads(path.read_text())
        found += report.get("days", [report])
    return sorted(found, key=lambda play: (play["row"]["name"], play["row"]["seed"]))


def ended(row: dict[str, Any]) -> str:
    broken = [name for name, count in row["rules"].items() if count]
    if row["fault"]:
        return f"**failed**: {row['fault']}"
    return f"**failed**: {', '.join(broken)}" if broken else row["gate"] or "kept"


def line(play: dict[str, Any]) -> list[str]:
    row = play["row"]
    memory, descriptors, *_ = row["caps"]
    classes = [(served / wanted, name) for name, served, wanted in row["by_class"] if wanted]
    least = min(classes, default=(0.0, "none"))
    restarts = sorted(play["real"]["seen"]["restart_s"])
    return [
        row["name"], str(row["seed"]), str(row["servers"]), ended(row), f"{row['score']:.2f}",
        f"{row['served'] / row['served_least']:.2f}", f"{least[0]:.2f} {least[1]}",
        f"{row['files'] / descriptors:.2f} of {descriptors}",
        f"{row['memory_mb'] / memory:.2f} of {memory} MB",
        f"{restarts[-1]:.1f} s of {len(restarts)}" if restarts else "no restart",
    ]  # fmt: skip


def main() -> None:
    for told in sys.argv[1:]:
        title, _, place = told.partition("=")
        print("\n".join([f"## {title}", "", *rows_of(HEAD, [line(play) for play in plays(Path(place))]), ""]))


if __name__ == "__main__":
    main()
