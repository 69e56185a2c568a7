"""A release day: thousands of tasks of hundreds of owners' sessions through three allocators.

    python -m benchmarks.release_day [rate] [seconds] [owners]

The program's CPU is what each allocator's process took from the first ask on, less what its module took
inside it (measured around every call of the module in the same run); the ratio of the two is the figure."""

import re
import sys
import tempfile
import urllib.request
from pathlib import Path

from benchmarks.common import cpu_s, rss_mb, table
from glencleat.checker import invariants, report
from glencleat.emulators.play import Play
from glencleat.emulators.script import load_script, load_shared_config, make_rule_parameters

EXAMPLES = Path(__file__).parent.parent / "examples"
SCRIPT = """
campus campus.conf
play seed 5 length {seconds}s settle 9s warm 4s
allocators count 3
hosts count 36 halls hall-a,hall-b,hall-c report 1s heartbeat 2s
owners count {owners} rate {rate}
directory late 1s every 1s
want pull-front share 55% cores 0.5,1,2 memory 512MB,2GB,2GB life-from 2s life-to 6s services 40
want repo-copy share 43% cores 0.25,0.5,1 memory 1GB,1GB,3GB life-from 2s life-to 5s services 200
want store-compact share 2% cores 12 memory 24GB life-from 2s life-to 6s services 10
"""
HEAD = [
    "allocator", "tasks", "CPU s", "module, CPU s", "program / module", "module, ms a task",
    "program, ms a task", "RSS, MB", "mismatch",
]  # fmt: skip


def metric(text: str, name: str) -> float:
    return sum(float(x) for x in re.findall(rf"^{name}(?:{{[^}}]*}})? (\S+)$", text, re.M))


class Figures:
    """CPU, module's CPU, tasks, memory and mismatch of an allocator's process now."""

    def __init__(self, process) -> None:
        url = f"http://{process.metrics[0]}:{process.metrics[1]}/metrics"
        text = urllib.request.urlopen(url, timeout=10).read().decode()
        pid = process.process.pid
        self.cpu, self.memory = cpu_s(pid), rss_mb(pid)
        self.module = metric(text, "glencleat_module_cpu_seconds_total")
        self.taken = metric(text, "glencleat_tasks_taken_total")
        self.mismatch = metric(text, "glencleat_tasks_mismatch")


def play(rate: str, seconds: str, owners: str):
    """The day's record, the rules broken, and each allocator's figures before and after."""
    before, after = {}, {}
    with tempfile.TemporaryDirectory() as made:
        folder = Path(made)
        (folder / "day.conf").write_text(SCRIPT.format(rate=rate, seconds=seconds, owners=owners))
        campus_file = folder / "campus.conf"
        short = (EXAMPLES / "campus-short.conf").read_text()
        campus_file.write_text(short.replace("heartbeat every 500ms", "heartbeat every 15s"))
        campus = load_shared_config(campus_file)
        day = Play(load_script(folder / "day.conf"), campus_file, campus, folder)
        day.on_ready = lambda: before.update({p.name: Figures(p) for p in day.processes})
        day.on_settled = lambda: after.update({p.name: Figures(p) for p in day.processes})
        day.run()
        return (
            day.recorder.entries,
            invariants.check_invariants(day.recorder.entries, make_rule_parameters(campus)),
            before,
            after,
        )


def row(name: str, before: Figures, after: Figures) -> list[str]:
    cpu, module, taken = after.cpu - before.cpu, after.module - before.module, after.taken - before.taken
    program = cpu - module
    figures = [f"{cpu:.2f}", f"{module:.2f}", f"{program / module:.2f}"]
    figures += [f"{1e3 * module / taken:.2f}", f"{1e3 * program / taken:.2f}"]
    return [name, f"{taken:.0f}", *figures, f"{after.memory:.0f}", f"{after.mismatch:.0f}"]


def main() -> None:
    rate, seconds, owners = [*sys.argv[1:], *["200", "30", "510"][len(sys.argv) - 1 :]]
    entries, breaches, before, after = play(rate, seconds, owners)
    told = report.summarize(entries)
    names = ("placed", "refused", "failed", "unanswered")
    outcomes = {name: sum(counts[name] for counts in told.outcomes_by_class.values()) for name in names}
    times = [
        f"{cls} p50 {told.placement_ms(cls, 50):.1f}, p99 {told.placement_ms(cls, 99):.1f}"
        for cls in sorted(told.outcomes_by_class)
    ]
    notes = (
        f"Asks: {sum(outcomes.values())}; {', '.join(f'{k} {v}' for k, v in outcomes.items())}. Programs started: "
        f"{told.start_count}. Rules broken: {len(breaches)}. Milliseconds from ACCEPT to placement, of which the\n"
        f"stand-in's look at an ask takes 8 or more: {'; '.join(times)}. All stand-ins share one process."
    )
    size = f"{rate} tasks/s for {seconds} s, {owners} owners, 36 hosts, 3 allocators, seed 5"
    rows = [row(name, before[name], after[name]) for name in after]
    table("release-day", "Release day", size, HEAD, rows, notes)
    for breach in breaches[:5]:
        print(breach)


if __name__ == "__main__":
    main()
