"""What the measurements share: where they ran, how a table is written."""

import os
import platform
from pathlib import Path

RESULTS = Path(__file__).parent.parent / "docs" / "results"


def machine() -> str:
    model = platform.machine()
    for line in Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            model = line.partition(":")[2].strip()
            break
    return f"{model}, {os.cpu_count()} cores, Python {platform.python_version()}"


def cpu_s(pid: int) -> float:
    """User and system CPU seconds of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def rss_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def rows_of(head: list[str], rows: list[list[str]]) -> list[str]:
    """The lines of a table."""
    lines = ["| " + " | ".join(head) + " |", "| " + " | ".join("---" for _ in head) + " |"]
    return lines + ["| " + " | ".join(row) + " |" for row in rows]


def table(name: str, title: str, size: str, head: list[str], rows: list[list[str]], notes: str = "") -> None:
    """Writes and prints one table."""
    lines = [f"# {title}", "", f"{size}. Machine: {machine()}.", ""]
    lines += rows_of(head, rows)
    if notes:
        lines += ["", notes]
    RESULTS.mkdir(parents=True, exist_ok=True)
    (RESULTS / f"{name}.md").write_text("\n".join(lines) + "\n")
    print("\n".join(lines))
