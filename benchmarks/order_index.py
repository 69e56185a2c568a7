"""The index of hash orders against other structures, and the decision module's slopes on it.

python -m benchmarks.order_index
PYTHONPATH=TREE python benchmarks/order_index.py     the same of another checkout, whose benchmarks it uses"""

import heapq
import statistics
import subprocess
import sys
import time
from bisect import insort
from random import Random

from sortedcontainers import SortedKeyList

from benchmarks.common import machine, rows_of
from glencleat import interface as api
from glencleat.index.rendezvous import RendezvousIndex, hash_text
from glencleat.policy.scheduler import Scheduler

SERVICES, TASKS, PEERS = 100, 2_050, 20


class Item:
    __slots__ = ("hash", "name")

    def __init__(self, name):
        self.name, self.hash = name, hash_text(name)


def cpu_us(call, times):
    """Median CPU microseconds of one call, over five rounds."""
    rounds = []
    for _ in range(5):
        began = time.process_time()
        for _ in range(times):
            call()
        rounds.append((time.process_time() - began) / times * 1e6)
    return statistics.median(rounds)


def kept(items, new):
    """An order of the items, and the number of one that is not there."""
    members = RendezvousIndex(10**7, 10)
    for item in items:
        members.set_present(item, True)
    number = members.slots.assign_number(new)
    return members.get_order("service"), number


def structures(size):
    """Microseconds of a change, of 16 items at drawn positions, and of the whole built; bytes a member."""
    items, new, random = [Item(f"h{i}") for i in range(size)], Item("new"), Random(1)
    order, number = kept(items, new)
    positions = random.sample(range(size), 16)
    yield (
        "kept index: numbers, hashed at each comparison",
        (
            cpu_us(lambda: (order.insert(number), order.remove([number])), 200) / 2,
            cpu_us(lambda: [order[i] for i in positions], 200),
            cpu_us(order.sort, 3),
            2,
        ),
    )
    plain = sorted(items, key=order.item_sort_key)

    def by_bisect():
        insort(plain, new, key=order.item_sort_key)
        plain.remove(new)

    yield (
        "list and bisect.insort, hashed at each comparison",
        (
            cpu_us(by_bisect, 50) / 2,
            cpu_us(lambda: [plain[i] for i in positions], 200),
            cpu_us(lambda: sorted(items, key=order.item_sort_key), 3),
            8,
        ),
    )
    tree = SortedKeyList(items, key=order.item_sort_key)
    yield (
        "sortedcontainers.SortedKeyList",
        (
            cpu_us(lambda: (tree.add(new), tree.remove(new)), 200) / 2,
            cpu_us(lambda: [tree[i] for i in positions], 200),
            cpu_us(lambda: SortedKeyList(items, key=order.item_sort_key), 3),
            16 + sys.getsizeof((1, 2)) + sys.getsizeof(2**63),
        ),
    )
    anew = cpu_us(lambda: sorted(items, key=order.item_sort_key), 3)
    at = cpu_us(lambda: [plain[i] for i in positions], 200)
    yield "sorted anew at a change (as it was)", (anew, at, anew, 8)
    first = cpu_us(lambda: heapq.nsmallest(32, items, key=order.item_sort_key), 3)
    yield "heap, the first 32 alone (has no other positions)", (first, float("nan"), first, 0)


def constants(size):
    """What a member in or out, a scan and a sort cost: their ratios are SCANS_PER_INSERT and SORTS_PER_INSERT of the index."""
    order, number = kept([Item(f"h{i}") for i in range(size)], Item("new"))
    put = cpu_us(lambda: (order.insert(number), order.remove([number])), 200) / 2
    keep = cpu_us(order.drop_absent, 10)
    sort = cpu_us(order.sort, 3)
    ratios = [f"{size * put / keep:.1f}", f"{size * put / sort:.1f}"]
    return [f"{size:,}", f"{put:.1f}", f"{keep:,.0f}", f"{sort:,.0f}", *ratios]


class Drive:
    """A scheduler at its size: told a list, its tasks placed, then measured event by event."""

    def __init__(self, hosts):
        safe = api.TaskClass("safe", api.Idempotency.IDEMPOTENT, 1000.0, 8000.0, 1.0)
        kinds = {"std": api.MachineSize(16.0, 32.0)}
        more = dict(
            list_has_free_capacity=True,
            max_attempts=4,
            drain_grace_ms=1000.0,
            warm_up_ms=10_000.0,
            warm_up_window_ms=1000.0,
        )
        more["warm_up_offers"] = 6.0
        self.module = Scheduler(api.Settings(0, PEERS, "z0", (safe,), kinds, 2.0, 1.5, **more), 3)
        self.random, self.now, self.calls, self.hosts, self.running = Random(5), 1e6, 0, hosts, {}
        self.tell(
            api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, tuple(self.told(i) for i in range(hosts)))
        )
        self.now += 1e6
        for _ in range(TASKS):
            self.place()

    def told(self, i, phase=api.MachinePhase.SERVING, left=8.0):
        return api.Machine(f"h{i}", "std", f"z{i % 7}", i // 3 % 40, phase, left, 2.0 * left)

    def tell(self, event):
        """CPU milliseconds, and what was answered."""
        began = time.process_time()
        answer = self.module.handle(self.now, event)
        return (time.process_time() - began) * 1e3, answer

    def place(self):
        self.now, self.calls = self.now + 20.0, self.calls + 1
        service = f"s{self.random.randrange(SERVICES)}"
        spent, answer = self.tell(api.PlacementRequested(self.calls, "safe", service, 0.5, 1.0, 8000.0))
        for bind in (a for a in answer if isinstance(a, api.Bind)):
            self.tell(api.AttemptAccepted(bind.call_id, 0, bind.machine, 20.0))
            notes = (
                (api.ObservationKind.RUNNING, 1.0),
                (api.ObservationKind.CORES_IN_USE, 0.3),
                (api.ObservationKind.MEMORY_IN_USE, 0.6),
            )
            for kind, value in notes:
                self.tell(api.TaskObserved(bind.call_id, bind.machine, kind, value))
            self.running[bind.call_id] = bind.machine
        return spent

    def end(self, outcome=api.Outcome.COMPLETED, call=None):
        call = call or next(iter(self.running))
        return self.tell(api.AttemptEnded(call, 0, self.running.pop(call), outcome, 20.0, True))[0]

    def change(self, i, **more):
        return self.tell(api.MachineListUpdated(api.ListUpdateKind.DELTA, (self.told(i, **more),)))[0]


def slopes(drives):
    """Medians in ms of each kind of event, the drives taken in turn: all share the machine's moods."""
    kinds = "placement", "end", "list: room", "list: drain", "list: back"
    told = [{kind: [] for kind in kinds} for _ in drives]
    between = [[] for _ in drives]
    for _ in range(600):
        for one, row in zip(drives, told, strict=True):
            row["placement"].append(one.place())
            row["end"].append(one.end())
    for _ in range(200):
        for one, row, more in zip(drives, told, between, strict=True):
            i = one.random.randrange(one.hosts)
            row["list: room"].append(one.change(i, left=float(one.random.randrange(4, 16))))
            row["list: drain"].append(one.change(i, phase=api.MachinePhase.DRAINING))
            more.append(one.place())
            one.end()
            row["list: back"].append(one.change(i))
            more.append(one.place())
            one.end()
    for row, more in zip(told, between, strict=True):
        row["placement between list events"] = more
    return [{name: statistics.median(values) for name, values in row.items()} for row in told]


def losses(one):
    """CPU seconds as a seventh of the hosts goes: at once, with each lost task placed anew; one by one."""
    gone = set(one.random.sample(range(one.hosts), one.hosts // 7))
    lost = [call for call, name in one.running.items() if int(name[1:]) in gone]
    stay = tuple(one.told(i) for i in range(one.hosts) if i not in gone)
    began = time.process_time()
    one.tell(api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, stay))
    for call in lost:
        one.end(api.Outcome.LOST, call)
        one.place()
    at_once = time.process_time() - began
    one.tell(
        api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, tuple(one.told(i) for i in range(one.hosts)))
    )
    for _ in range(3 * SERVICES):
        one.place()
    began = time.process_time()
    for n, i in enumerate(sorted(gone)):
        one.change(i, phase=api.MachinePhase.REMOVED)
        if n % 3 == 0:
            one.place()
    return [f"{len(gone)}", f"{len(lost)}", f"{at_once:.3f}", f"{time.process_time() - began:.3f}"]


def state_mb(hosts):
    """Resident memory that the scheduler and its driver add, in a process of its own."""
    call = (
        "import os\n"
        "from benchmarks.common import rss_mb\n"
        "from benchmarks.order_index import Drive\n"
        "before = rss_mb(os.getpid())\n"
        f"one = Drive({hosts})\n"
        "print(rss_mb(os.getpid()) - before, before)"
    )
    out = subprocess.run([sys.executable, "-c", call], capture_output=True, text=True, check=True)
    return f"{float(out.stdout.split()[0]):.1f}"


def show(title, head, rows):
    print(f"\n{title}\n", *rows_of(head, rows), sep="\n", flush=True)


def main() -> None:
    print(machine())
    rows = []
    for size in (400, 6_300):
        rows += [[f"{size:,}", name, *(f"{v:,.1f}" for v in told)] for name, told in structures(size)]
    head = ["members", "structure", "a change, us", "16 positions, us", "built, us", "bytes a member"]
    show("One service's order", head, rows)
    head = ["members", "in or out, us", "scan, us", "sort, us", "scanned meanwhile", "sorted meanwhile"]
    show("Constants", head, [constants(size) for size in (400, 1_600, 6_300)])
    drives = [Drive(hosts) for hosts in (400, 1_600, 6_300)]
    measured = slopes(drives)
    rows = [[what, *(f"{row[what]:.3f}" for row in measured)] for what in measured[0]]
    names = [f"{one.hosts:,} hosts" for one in drives]
    title = f"{SERVICES} services, {TASKS:,} own tasks, {PEERS} peers; medians in ms of CPU, taken in turn"
    show(title, ["event", *names], rows)
    rows = [[f"{one.hosts:,}", *losses(one), state_mb(one.hosts)] for one in drives]
    head = ["hosts", "gone", "tasks lost", "at once, s", "singly, s", "state, MB"]
    show("A seventh of the hosts gone, placements going on: CPU seconds; memory of the state", head, rows)


if __name__ == "__main__":
    main()
