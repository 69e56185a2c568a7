"""The timer wheel against the plain heap: most timers are cancelled before they are due.

python -m benchmarks.timers
"""

import time
import tracemalloc
from random import Random

from benchmarks.common import table
from glencleat.event_loop import TimerHeap, TimerWheel

SEED = 5


def nothing() -> None:
    pass


def churn(timers, count: int, cancelled: float, random: Random) -> float:
    """CPU seconds to add `count` timers of 0.1 to 15 s over 10 s, cancel a share of them, and fire the
    rest."""
    began, now, live = time.process_time(), 0.0, []
    for i in range(count):
        now = i * 10_000.0 / count
        live.append(timers.add(now + random.uniform(100.0, 15_000.0), nothing))
        if random.random() < cancelled:
            live.pop(random.randrange(len(live))).cancel()
        if i % 20 == 0:
            timers.next_due()
            timers.pop_due(now)
    while (due := timers.next_due()) is not None:
        timers.pop_due(due)
    return time.process_time() - began


def held(kind, count: int) -> float:
    """Megabytes that so many timers take, all of them cancelled 50 ms after they were added."""
    tracemalloc.start()
    timers, live = kind(), []
    for i in range(count):
        now = i * 1.0
        live.append(timers.add(now + 30_000.0, nothing))
        if len(live) > 50:
            live.pop(0).cancel()
        timers.pop_due(now)
    size = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    return size


def main() -> None:
    rows = []
    for count, cancelled in ((10_000, 0.9), (100_000, 0.9), (100_000, 0.0), (400_000, 0.9)):
        best = {}
        for kind in (TimerHeap, TimerWheel):
            best[kind] = min(churn(kind(), count, cancelled, Random(SEED)) for _ in range(3))
        ratio = best[TimerWheel] / best[TimerHeap]
        rows.append(
            [
                f"{count:,}",
                f"{cancelled:.0%}",
                f"{best[TimerHeap]:.2f}",
                f"{best[TimerWheel]:.2f}",
                f"{ratio:.2f}",
            ]
        )
    memory = held(TimerHeap, 100_000), held(TimerWheel, 100_000)
    notes = (
        f"Held after 100,000 timers of 30 s, each cancelled 50 ms later, a timer a millisecond: heap {memory[0]:.1f} MB, "
        f"wheel {memory[1]:.1f} MB (both keep a cancelled timer until its time)."
    )
    head = ["timers", "cancelled", "heap, CPU s", "wheel, CPU s", "wheel / heap"]
    table("timers", "Timer wheel against heap", f"Best of 3, seed {SEED}", head, rows, notes)


if __name__ == "__main__":
    main()
