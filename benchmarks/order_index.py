"""The index of hash orders against other structures, and the decision module's slopes on it.

    python -m benchmarks.order_index [REV]     REV: another revision's logic.py measured beside this one"""

import heapq
import resource
import statistics
import subprocess
import sys
import time
from bisect import insort
from random import Random

from sortedcontainers import SortedKeyList

from benchmarks.common import machine, rows_of
from benchmarks.equal_actions import at_revision
from glencleat import interface as api
from glencleat.index.order import Members, Order, hashed
from glencleat.logic import Scheduler

SERVICES, TASKS, PEERS = 100, 2_050, 20


class Item:
    __slots__ = ("hash", "name")

    def __init__(self, name):
        self.name, self.hash = name, hashed(name)


def cpu_us(call, times):
    """Median CPU microseconds of one call, over five rounds."""
    rounds = []
    for _ in range(5):
        began = time.process_time()
        for _ in range(times):
            call()
        rounds.append((time.process_time() - began) / times * 1e6)
    return statistics.median(rounds)


def structures(size):
    """Microseconds of a change, of 16 items at drawn positions, and of the whole built; bytes a member."""
    items, new, random = [Item(f"h{i}") for i in range(size)], Item("new"), Random(1)
    order = Order(hashed("service"))
    order.sort(items)
    positions = random.sample(range(size), 16)
    yield "kept index: pointers, weights as an array", (
        cpu_us(lambda: (order.insert(new), order.remove([new])), 200) / 2,
        cpu_us(lambda: [order[i] for i in positions], 200),
        cpu_us(lambda: order.sort(items), 3),
        16,
    )
    plain = sorted(items, key=order.key)

    def by_bisect():
        insort(plain, new, key=order.key)
        plain.remove(new)

    yield "list and bisect.insort, hashed at each comparison", (
        cpu_us(by_bisect, 50) / 2,
        cpu_us(lambda: [plain[i] for i in positions], 200),
        cpu_us(lambda: sorted(items, key=order.key), 3),
        8,
    )
    tree = SortedKeyList(items, key=order.key)
    yield "sortedcontainers.SortedKeyList", (
        cpu_us(lambda: (tree.add(new), tree.remove(new)), 200) / 2,
        cpu_us(lambda: [tree[i] for i in positions], 200),
        cpu_us(lambda: SortedKeyList(items, key=order.key), 3),
        16 + sys.getsizeof((1, 2)) + sys.getsizeof(2**63),
    )
    anew = cpu_us(lambda: sorted(items, key=order.key), 3)
    yield "sorted anew at a change (as it was)", (anew, cpu_us(lambda: [plain[i] for i in positions], 200), anew, 8)
    first = cpu_us(lambda: heapq.nsmallest(32, items, key=order.key), 3)
    yield "heap, the first 32 alone (has no other positions)", (first, float("nan"), first, 0)


def constants(size):
    """What one put, a filter and a sort cost: their ratios are FILTERED and SORTED of the index."""
    members = Members(10**7, 10)
    for i in range(size):
        members.put(Item(f"h{i}"), True)
    order, new = members.order("s"), Item("new")
    put = cpu_us(lambda: (order.insert(new), order.remove([new])), 200) / 2
    keep = cpu_us(lambda: (order.keep(members.items), members.items.keys() - set(order.items)), 10)
    sort = cpu_us(lambda: order.sort(members.items), 3)
    return [f"{size:,}", f"{put:.1f}", f"{keep:,.0f}", f"{sort:,.0f}", f"{size * put / keep:.1f}", f"{size * put / sort:.1f}"]


class Drive:
    """A scheduler at its size: told a list, its tasks placed, then measured event by event."""

    def __init__(self, cls, hosts):
        safe = api.TaskClass("safe", api.Effect.SAFE, 1000.0, 8000.0, 1.0)
        kinds = {"std": api.Size(16.0, 32.0)}
        more = dict(view=True, max_attempts=4, drain_ms=1000.0, cold_ms=10_000.0, cold_window_ms=1000.0, cold_offers=6.0)
        self.module = cls(api.Settings(0, PEERS, "z0", (safe,), kinds, 2.0, 1.5, **more), 3)
        self.random, self.now, self.calls, self.hosts, self.running = Random(5), 1e6, 0, hosts, {}
        self.tell(api.ListTold(api.ListKind.WHOLE, tuple(self.told(i) for i in range(hosts))))
        self.now += 1e6
        for _ in range(TASKS):
            self.place()

    def told(self, i, phase=api.Phase.SERVING, left=8.0):
        return api.Machine(f"h{i}", "std", f"z{i % 7}", i // 3 % 40, phase, left, 2.0 * left)

    def tell(self, event):
        """CPU milliseconds, and what was answered."""
        began = time.process_time()
        answer = self.module.handle(self.now, event)
        return (time.process_time() - began) * 1e3, answer

    def place(self):
        self.now, self.calls = self.now + 20.0, self.calls + 1
        spent, answer = self.tell(api.Asked(self.calls, "safe", f"s{self.random.randrange(SERVICES)}", 0.5, 1.0, 8000.0))
        for bind in (a for a in answer if isinstance(a, api.Bind)):
            self.tell(api.Accepted(bind.call, 0, bind.machine, 20.0))
            for kind, value in ((api.NoteKind.RUNS, 1.0), (api.NoteKind.CORES, 0.3), (api.NoteKind.MEMORY, 0.6)):
                self.tell(api.Noted(bind.call, bind.machine, kind, value))
            self.running[bind.call] = bind.machine
        return spent

    def end(self, outcome=api.Outcome.ENDED, call=None):
        call = call or next(iter(self.running))
        return self.tell(api.Returned(call, 0, self.running.pop(call), outcome, 20.0, True))[0]

    def change(self, i, **more):
        return self.tell(api.ListTold(api.ListKind.CHANGES, (self.told(i, **more),)))[0]


def slopes(cls, hosts):
    """Medians in ms: a placement, an end, list events, placements between them; then a seventh gone."""
    one = Drive(cls, hosts)
    began = time.process_time()
    calm = [(one.place(), one.end()) for _ in range(800)]
    room, leave, back, between = [], [], [], []
    for _ in range(300):
        i = one.random.randrange(hosts)
        room.append(one.change(i, left=float(one.random.randrange(4, 16))))
        leave.append(one.change(i, phase=api.Phase.DRAINING))
        between.append(one.place())
        one.end()
        back.append(one.change(i))
        between.append(one.place())
        one.end()
    gone = set(one.random.sample(range(hosts), hosts // 7))
    lost = [call for call, name in one.running.items() if int(name[1:]) in gone]
    began = time.process_time()
    whole, _ = one.tell(api.ListTold(api.ListKind.WHOLE, tuple(one.told(i) for i in range(hosts) if i not in gone)))
    for call in lost:
        one.end(api.Outcome.LOST, call)
        one.place()
    at_once = time.process_time() - began
    one.tell(api.ListTold(api.ListKind.WHOLE, tuple(one.told(i) for i in range(hosts))))
    for _ in range(SERVICES):
        one.place()
    began = time.process_time()
    for n, i in enumerate(sorted(gone)):
        one.change(i, phase=api.Phase.GONE)
        if n % 3 == 0:
            one.place()
    one_by_one = time.process_time() - began
    medians = [statistics.median(x) for x in (*zip(*calm, strict=True), room, leave, back, between)]
    return medians, statistics.mean(between), whole, len(gone), len(lost), at_once, one_by_one


def resident_mb(cls_name, rev, hosts):
    """Peak resident memory of a process of its own at this size."""
    call = f"from benchmarks.order_index import *; Drive({cls_name}, {hosts}); print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)"
    out = subprocess.run([sys.executable, "-c", call.replace("REV", repr(rev))], capture_output=True, text=True, check=True)
    return int(out.stdout) / 1024


def show(title, head, rows):
    print(f"\n{title}\n", *rows_of(head, rows), sep="\n", flush=True)


def main() -> None:
    print(machine())
    rows = [
        [f"{size:,}", name, *(f"{value:,.1f}" for value in told)]
        for size in (400, 6_300)
        for name, told in structures(size)
    ]
    show("One service's order", ["members", "structure", "a change, us", "16 positions, us", "built, us", "bytes a member"], rows)
    head = ["members", "put, us", "filter, us", "sort, us", "members filtered a put", "sorted a put"]
    show("Constants", head, [constants(size) for size in (400, 1_600, 6_300)])
    sides = [("now", Scheduler, "Scheduler")]
    rev = sys.argv[1] if len(sys.argv) > 1 else ""
    if rev:
        sides.insert(0, (rev, at_revision(rev), "at_revision(REV)"))
    rows = []
    for name, cls, told in sides:
        for hosts in (400, 1_600, 6_300):
            medians, mean, whole, gone, lost, at_once, singly = slopes(cls, hosts)
            row = [name, f"{hosts:,}", *(f"{m:.3f}" for m in medians), f"{mean:.3f}", f"{whole:.1f}"]
            rows.append([*row, f"{gone}, {lost}", f"{at_once:.3f}", f"{singly:.3f}", f"{resident_mb(told, rev, hosts):.1f}"])
    head = ["logic", "hosts", "placement, ms", "end, ms", "list: room, ms", "list: drain, ms", "list: back, ms"]
    head += ["placement between, ms", "its mean, ms", "whole list, ms", "gone, tasks lost", "at once, s", "singly, s", "peak MB"]
    show(f"The module: {SERVICES} services, {TASKS:,} own tasks, {PEERS} peers", head, rows)
    print("\nAt once: the whole list, each lost task's end and a placement for it. Singly: an event each, a placement each third.")


if __name__ == "__main__":
    main()
