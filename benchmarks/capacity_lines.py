"""What docs/CAPACITY.md prices: sizes, assumptions, and a formula for each figure; no I/O.

A formula is Python over the sizes below and the quantities of `slopes.py` (`module.place` is the median of
its runs at the size). What rests on an assumption is found by the names that it uses, and marked in the page.
Times are seconds, sizes bytes, rates a second, CPU seconds a second."""

from __future__ import annotations

from dataclasses import dataclass

# ---- the operators' size (issue 42), and our choice of one allocator a machine ----

SIZES = {
    "hosts": 6_300,
    "starts": 370,
    "tasks": 41_000,
    "gang": 512,
    "teams": 660,
    "accelerators": 8_700,
    "regions": 2,
    "zones": 7,
    "machines": 20,
    "jobs_day": 32_000,
    "config_day": 3_700,
    "fail_day": 34,
    "restart_day": 470,
    "allocators": 20,
}
SIZE_MEANINGS = {
    "hosts": "hosts of the cluster",
    "starts": "task starts a second at the peak, of all allocators",
    "tasks": "standing tasks, of all allocators",
    "gang": "tasks of the largest gang, which start all or not at all",
    "teams": "teams with a quota",
    "accelerators": "accelerators on all hosts",
    "regions": "regions",
    "zones": "zones",
    "machines": "machines that allocators run on",
    "jobs_day": "jobs a day; enters no formula, since the bounds hold for `starts`, the peak's second",
    "config_day": "changes of configuration a day",
    "fail_day": "hosts that fail, a day",
    "restart_day": "restarts of hosts a day; with `fail_day`, how often the list's phases change",
    "allocators": "allocators: our choice, one a machine",
}
GROWING = (
    "hosts",
    "starts",
    "tasks",
    "teams",
    "accelerators",
    "jobs_day",
    "config_day",
    "fail_day",
    "restart_day",
)

# ---- chosen and assumed: name -> value, why ----

ASSUMED: dict[str, tuple[float, str]] = {
    "lull": (0.1, "starts on an ordinary second, as a part of the peak's"),
    "batch": (0.64, "s between list events: 41 in 25.6 s, trial 3949648c (60 hosts)"),
    "note_s": (1.0, "observations a machine and second: `design.md`, at the operators' simulator"),
    "rack": (40, "hosts of a rack or behind a switch"),
    "knock": (328, "B on the wire of a connection that carries nothing: SYN, SYN+ACK at 60, four more at 52"),
    "descriptors": (
        991,
        "connections that 1,024 descriptors leave (`descriptor_budget.py`, seen in `looks.links`)",
    ),
    "services": (
        660,
        "services asked for, each as often: one a team; as many in the module's runs",
    ),
    "probe": (60, "B of a datagram between members"),
    "counter": (64, "B of one team's counter of one origin"),
    "beat": (13, "B of a heartbeat line: the rig's list bytes a second while idle"),
    "at": (14, "B that `at` adds to a set-up"),
    "probes": (4, "datagrams of a member a second: a probe and an answer each way"),
    "news": (16, "B of what is known of a host: who checks it, what was seen"),
    "lease": (10, "s after which a team's part of a quota is asked for anew"),
    "rush": (10, "changes of configuration at the peak, as many times the mean"),
    "change": (1_000, "B of one change of configuration"),
    "record": (200, "B that a party keeps of a task"),
    "start_ms": (1_500, "ms of a start without the program, as the module takes it (`START_MS`)"),
}

UNITS = {
    "core": (100.0, "% of a core"),
    "ms": (1e3, "ms"),
    "s": (1.0, "s"),
    "MB": (1e-6, "MB"),
    "KB/s": (1e-3, "KB/s"),
    "B": (1.0, "B"),
    "/s": (1.0, "/s"),
    "": (1.0, ""),
    "x": (1.0, "x"),
    "KB": (1e-3, "KB"),
    "B/s": (1.0, "B/s"),
}

INDEX = "work follows events: `index/due_queue.py`, `index/dirty_set.py` (hosts), `index/rendezvous.py` (services)"
LOOKS = "*missing*: shared failure detector, one check for all allocators"
PART = "*missing*: partition of the list by region"


@dataclass(frozen=True, slots=True)
class Bound:
    """A bound against a figure; ratio above 1: broken."""

    what: str
    bound: float
    unit: str
    formula: str
    carrier: str


CPU, MEMORY, BYTES, URGENT, ZONE = 0.035, 64e6, 8e3, 2.2, 0.5
ENTRY = "(node.event_many - node.event) / 479"
LIST = f"(node.event + max(0, 2 * starts * batch - 1) * {ENTRY}) / batch"
LOOK = "max(0, looks.cpu - node.idle)"
MESSAGES = (
    "wire.decode_ask + wire.encode_setup + wire.decode_answer + wire.encode_answer"
    " + 2 * wire.decode_release + 2 * wire.encode_release"
)
NOTES = "hosts * note_s / allocators * (module.note + wire.decode_note)"
STARTS = "starts / allocators"
# The part of placements whose service was last placed before the list's last change of phase: three phases of
# each machine that fails or is restarted, against the placements of one service at one allocator.
PHASES = "3 * (fail_day + restart_day) / 86400"
ANEW = f"{PHASES} / ({PHASES} + starts / allocators / services)"
PLACE = f"(module.place + {ANEW} * max(0, module.place_after_event - module.place))"
PEAK = f"node.idle + {LOOK} + {STARTS} * ({PLACE} + module.end + {MESSAGES}) + {NOTES} + {LIST}"

FRAMES = f"{STARTS} * (bytes.ask + bytes.setup + 2 * bytes.answer + 2 * bytes.release + 2 * bytes.heard)"
AFTER_ZONE = "node.zone_each + module.place_after_zone + start_ms / 1e3"
HELD = "looks.resident + memory.orders * services / 660"
SEEN = "hosts * (1 - exp(-tasks / allocators / hosts))"

TOP = [
    Bound("CPU of the whole process, steady load (rig)", CPU, "core", "rig.cpu", "the lines below it"),
    Bound("memory of the whole process (rig)", MEMORY, "MB", "rig.memory", INDEX),
    Bound("99th of 100 answers, steady load (rig)", URGENT, "s", "rig.wait", INDEX),
    Bound("99th of 100 answers, a zone lost (rig)", URGENT, "s", "rig.wait_zone", INDEX),
    Bound("bytes: liveness checks of quiet hosts", BYTES, "KB/s", "looks.connections * knock", LOOKS),
    Bound("bytes: what hosts have free, by the list", BYTES, "KB/s", "2 * starts * bytes.entry", PART),
    Bound(
        "bytes: set-ups, answers, releases of starts",
        BYTES,
        "KB/s",
        FRAMES,
        "`platform_protocol/messages.py`; the platform's protocol",
    ),
    Bound(
        "bytes: observations",
        BYTES,
        "KB/s",
        "hosts * note_s / allocators * bytes.note",
        "`platform_protocol/messages.py`; the platform's protocol",
    ),
    Bound("CPU at the peak, all of it", CPU, "core", PEAK, "the lines below it"),
    Bound("CPU: liveness checks of quiet hosts", CPU, "core", LOOK, LOOKS),
    Bound("CPU: placements", CPU, "core", f"{STARTS} * {PLACE}", INDEX),
    Bound("CPU: idle control", CPU, "core", "node.idle", INDEX),
    Bound("CPU: list, 1.6 events a second", CPU, "core", LIST, INDEX + "; " + PART),
    Bound("CPU: ends", CPU, "core", f"{STARTS} * module.end", "`policy/`: a mean over own tasks, issue 15"),
    Bound("CPU: observations", CPU, "core", NOTES, "`policy/`: observations of tasks"),
    Bound("zone lost, one event a host", ZONE, "s", "node.zone_each", INDEX),
    Bound("zone lost, one event in all", ZONE, "s", "node.zone_once", INDEX),
    Bound(
        "its tasks placed again",
        ZONE,
        "s",
        "tasks / allocators / zones * (module.lost + module.place_after_zone)",
        INDEX,
    ),
    Bound("urgent start just after that zone", URGENT, "s", AFTER_ZONE, INDEX + "; *missing*: urgency"),
    Bound(
        "a gang of 512 placed one by one", URGENT, "s", "gang * module.place", INDEX + "; *missing*: gangs"
    ),
    Bound(
        "memory: list, own tasks, connections, orders",
        MEMORY,
        "MB",
        HELD,
        INDEX,
    ),
    Bound("connections to hosts with own tasks", 1.0, "x", f"{SEEN} / descriptors", LOOKS),
    Bound(
        "a complete list, read and applied",
        URGENT,
        "s",
        "channel.whole + module.whole",
        "`platform_protocol/command_channel.py`",
    ),
    Bound(
        "ready after a start",
        10.0,
        "s",
        "node.start + tasks / allocators * looks.adopt",
        "`platform_server/process.py`",
    ),
]

# How many allocators, and which part of the hosts each sees: name -> allocators, hosts seen.
PARTITIONS = {
    "20, each sees all": ("20", "hosts"),
    "20, 10 a region, each sees its region": ("20", "hosts / regions"),
    "21, 3 a zone, each sees its zone": ("21", "hosts / zones"),
    "160, 8 a machine, each sees all": ("160", "hosts"),
}
PARTED = [  # what each then spends; `seen`: hosts, `k`: allocators; quantities at `seen`
    ("idle", "core", "node.idle"),
    ("placements", "core", "starts / k * module.place"),
    ("list entries", "KB/s", "2 * starts * seen / hosts * bytes.entry"),
    ("hosts with own tasks, checked each second", "", "seen * (1 - exp(-tasks / k / seen))"),
    ("the same, of all allocators, at one host", "/s", "k * seen / hosts * (1 - exp(-tasks / k / seen))"),
    ("complete list", "MB", "seen * bytes.entry"),
    ("a zone's end, one event a host", "s", "node.event * hosts / zones"),
]

# What the users ask for that no code carries: state in all, messages a second, where it will live.
GAPS = [
    (
        "gangs, to 512",
        "gang * counter",
        "2 * gang",
        "`contracts/gangs`, before the policy chooses: all or nothing",
        36,
    ),
    (
        "quotas of 660 teams, in sum",
        "teams * allocators * counter",
        "teams / lease",
        "`fleet/quota`: leases by majority, floors; part of the admission chain",
        36,
    ),
    (
        "urgent work within 2.2 s",
        "starts * record",
        "starts / allocators",
        "`contracts/preemption`; today `worth` orders what is held, nothing preempts",
        36,
    ),
    (
        "8,700 accelerators",
        "accelerators * counter",
        "2 * lull * starts",
        "`interface.MachineSize` and `Machine`: a third figure by kind; the channel's `free` has two",
        42,
    ),
    (
        "configuration everywhere within 4 s",
        "teams * change",
        "config_day / 86400",
        "`fleet/consensus`: numbered, pushed, by a majority; today SIGHUP moves the channel's address",
        36,
    ),
    (
        "regions apart for an hour",
        "hosts / regions * bytes.entry",
        "2 * starts * regions / allocators",
        "`fleet/membership`: a region goes on alone; usage merges after (`fleet/counters`)",
        36,
    ),
]

# What the processor spends at the peak, by the mechanism that would carry it: formula, what it is.
MECHANISMS = {
    INDEX: (
        f"node.idle + {STARTS} * {PLACE} + node.event / batch",
        "sweep, placements, a list event's base",
    ),
    LOOKS: (LOOK, "connections to quiet hosts"),
    PART: (f"max(0, 2 * starts * batch - 1) * {ENTRY} / batch", "list entries"),
}
# The rig (hollow hosts on real sockets), phase by phase by the same lines: 2,050 tasks, a note in 30 s each.
RIG = {
    "idle": "node.idle",
    "tasks stand": "looks.cpu",
    "steady load": f"looks.cpu + {STARTS} * (module.place + module.end + {MESSAGES})"
    " + 2050 / 30 * (module.note + wire.decode_note)",
}

# The aims of issue 42: formula, unit, at most so much at 6,300 hosts, or so many times what it is at 400.
AIMS = [
    ("idle control", "node.idle", "core", 0.02, 0.0),
    ("list event of one host", "node.event", "ms", 0.0, 3.0),
    ("placement", "module.place", "ms", 0.0, 1.5),
    ("placement after a change of phase", "module.place_after_event", "ms", 0.0, 1.5),
    ("a seventh gone, one event each, module with placements", "module.zone_each", "s", 0.5, 0.0),
    ("a seventh gone, one event each, process", "node.zone_each", "s", 0.5, 0.0),
    ("a seventh drains, one event, process", "node.zone_once", "s", 0.5, 0.0),
    ("memory", HELD, "MB", 64e6, 0.0),
    (
        "control bytes: liveness checks, list, observations",
        "looks.connections * knock + 2 * starts * bytes.entry + hosts * note_s / allocators * bytes.note",
        "KB/s",
        8e3,
        0.0,
    ),
]
