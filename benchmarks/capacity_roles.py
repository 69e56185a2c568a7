"""The roles of docs/CAPACITY.md: what each keeps, sends, spends; formulas as in `capacity_lines.py`."""

from __future__ import annotations

from dataclasses import dataclass, field

from benchmarks.capacity_lines import ENTRY, FRAMES, LIST, LOOK, LOOKS, MESSAGES, NOTES, PART, PLACE, STARTS

SITUATIONS = ("ordinary", "peak", "rack lost", "zone lost", "region back", "all start cold")


@dataclass(frozen=True, slots=True)
class Line:
    """One thing that a role keeps, sends or spends, by situation; a situation left out is as the one before
    it in SITUATIONS, and what a fault adds comes in `faults`."""

    what: str
    unit: str
    ordinary: str
    peak: str = ""
    faults: dict[str, str] = field(default_factory=dict)
    carrier: str = ""

    def formula(self, situation: str) -> str:
        """A fault meets the peak; a cold start meets nobody yet."""
        base = self.peak or self.ordinary
        if situation == "ordinary":
            return self.ordinary
        if situation == "peak" or situation not in self.faults:
            return base if situation != "all start cold" else "0"
        return self.faults[situation]


LOST = "tasks / allocators * {part} * (module.lost + module.place_after_zone)"
PROCESSOR = [
    Line(
        "heartbeats, sweep",
        "core",
        "node.idle",
        carrier="`platform_server/connection_pool.py`: a sweep at 0293f78, turns since",
    ),
    Line(
        "liveness checks of quiet hosts",
        "core",
        LOOK,
        carrier="`platform_server/failure_detector.py`, `connection_pool.py`",
    ),
    Line(
        "placements",
        "core",
        f"lull * {STARTS} * {PLACE}",
        f"{STARTS} * {PLACE}",
        {
            "rack lost": f"{STARTS} * {PLACE} + " + LOST.format(part="rack / hosts"),
            "zone lost": f"{STARTS} * {PLACE} + " + LOST.format(part="1 / zones"),
        },
        "`policy/`: hash order, choice of a machine",
    ),
    Line(
        "ends",
        "core",
        f"lull * {STARTS} * module.end",
        f"{STARTS} * module.end",
        carrier="`policy/`: usage profiles",
    ),
    Line(
        "messages of both",
        "core",
        f"lull * {STARTS} * ({MESSAGES})",
        f"{STARTS} * ({MESSAGES})",
        carrier="`platform_protocol/messages.py`; sockets and links: in the rig's figure alone",
    ),
    Line("notes", "core", NOTES, carrier="`policy/`: observations of tasks"),
    Line(
        "list",
        "core",
        f"(node.event + max(0, 2 * lull * starts * batch - 1) * {ENTRY}) / batch",
        LIST,
        {
            "rack lost": f"{LIST} + rack * node.event",
            "zone lost": f"{LIST} + node.zone_each",
            "region back": f"{LIST} + node.zone_back * zones / regions",
            "all start cold": "0",
        },
        "`platform_protocol/command_channel.py`, `policy/`, `platform_server/connection_pool.py`",
    ),
    Line(
        "start, hand-over of own tasks",
        "core",
        "0",
        faults={"all start cold": "node.start + tasks / allocators * looks.adopt"},
        carrier="`platform_server/process.py`, `platform_protocol/exchange.py`",
    ),
]
TRAFFIC = [
    Line("heartbeats", "KB/s", "beat", carrier="`platform_protocol/command_channel.py`"),
    Line(
        "list entries",
        "KB/s",
        "2 * lull * starts * bytes.entry",
        "2 * starts * bytes.entry",
        {
            "rack lost": "2 * starts * bytes.entry + rack * bytes.event",
            "zone lost": "2 * starts * bytes.entry + hosts / zones * bytes.event",
            "region back": "2 * starts * bytes.entry + hosts / regions * bytes.entry",
            "all start cold": "bytes.whole",
        },
        "`platform_protocol/command_channel.py`; " + PART,
    ),
    Line("liveness checks (TCP/IP, no payload)", "KB/s", "looks.connections * knock", carrier=LOOKS),
    Line("notes", "KB/s", "hosts * note_s / allocators * bytes.note", carrier="protocol page"),
    Line(
        "starts and ends",
        "KB/s",
        "lull * " + FRAMES,
        FRAMES,
        {
            "zone lost": FRAMES + " + tasks / allocators / zones * (bytes.release + bytes.heard + bytes.ask)",
            "all start cold": "tasks / allocators * (bytes.ask + at)",
        },
        "protocol page",
    ),
]


@dataclass(frozen=True, slots=True)
class State:
    """What is kept: how many, bytes of each."""

    what: str
    count: str
    each: str
    carrier: str


STATES = {
    "allocator": [
        State(
            "program, libraries, a HostConnections for each host",
            "1",
            "node.resident - memory.listed - channel.held",
            "`platform_server/process.py`",
        ),
        State(
            "hosts, as the policy knows them", "hosts", "memory.listed / hosts", "`policy/`: `MachineState`"
        ),
        State(
            "hosts, as the channel knows them",
            "hosts",
            "channel.held / hosts",
            "`platform_protocol/command_channel.py`",
        ),
        State(
            "own tasks: calls, policy, connections",
            "tasks / allocators",
            "(looks.resident - node.resident) / (tasks / allocators)",
            "`Exchange.calls`, `TrackedTask`, `HostConnection`",
        ),
        State(
            "orders of services",
            "services",
            "memory.orders / 660",
            "`policy/`: hash order, usage profile",
        ),
    ],
    "list service, its client": [
        State(
            "a whole list's line", "1", "bytes.whole", "`platform_protocol/command_channel.py`, at most 4 MiB"
        ),
        State("machines that leave, remembered", "10000", "record", "`CommandChannel`"),
    ],
    "agent side of a host": [
        State(
            "links of allocators",
            "allocators * looks.links / hosts",
            "2 * record",
            "`emulators/platform_peers.py`; theirs",
        ),
        State("standing tasks", "tasks / hosts", "record", "theirs"),
    ],
    "owner (one of 660 teams)": [
        State("standing tasks", "tasks / teams", "record", "theirs"),
        State("open asks", "starts / teams", "record", "theirs"),
    ],
    "directory (`serve`; in `run` the channel is it)": [
        State("entries", "hosts", "bytes.entry", "`servers/directory_client.py`: not run at this size"),
    ],
    "gossip, to come": [
        State(
            "members: address, incarnation, state", "allocators", "record", "*missing*: `fleet/membership`"
        ),
        State("who checks which host, what was seen", "hosts", "news", "*missing*: `fleet/membership`"),
    ],
    "quota and usage, to come": [
        State("teams: quota, lease, usage", "teams", "counter", "*missing*: `fleet/quota`"),
        State("counters by team and origin", "teams * allocators", "counter", "*missing*: `fleet/counters`"),
        State("gangs gathering: claims of room", "gang", "counter", "*missing*: `contracts/gangs`"),
        State(
            "accelerators: which host, free, of whom",
            "accelerators",
            "counter",
            "*missing*: `interface.MachineSize`",
        ),
    ],
    "configuration's way in": [
        State("teams' settings in force", "teams", "change", "*missing*: `config/` reads files at a start"),
        State("a day of changes, numbered", "config_day", "change", "*missing*: `fleet/consensus`"),
    ],
}


@dataclass(frozen=True, slots=True)
class Flow:
    """A kind of message of a role: how often, how large; at a fault in the second after it."""

    what: str
    ordinary: str
    peak: str
    fault: str  # which, and how many then
    count: str
    each: str
    carrier: str


KNOCKS = "allocators * looks.connections / hosts"
FLOWS = {
    "list service, its client (20 clients)": [
        Flow(
            "entries told",
            "allocators * 2 * lull * starts",
            "allocators * 2 * starts",
            "region back",
            "allocators * hosts / regions",
            "bytes.entry",
            "`platform_protocol/command_channel.py`",
        ),
        Flow(
            "heartbeats",
            "allocators",
            "allocators",
            "-",
            "allocators",
            "beat",
            "`platform_protocol/command_channel.py`",
        ),
        Flow("whole lists", "0", "0", "all start cold", "allocators", "bytes.whole", "`CommandChannel`"),
    ],
    "agent side of a host": [
        Flow("connections that look", KNOCKS, KNOCKS, "zone lost", KNOCKS, "knock", LOOKS),
        Flow(
            "set-ups",
            "lull * starts / hosts",
            "starts / hosts",
            "zone lost",
            "starts / hosts + tasks / zones / hosts",
            "bytes.setup",
            "protocol page",
        ),
        Flow("notes", "note_s", "note_s", "-", "note_s", "bytes.note", "protocol page"),
    ],
    "owners, all": [
        Flow(
            "asks",
            "lull * starts",
            "starts",
            "zone lost",
            "starts + tasks / zones",
            "bytes.ask",
            "`platform_server/client_connections.py`",
        ),
        Flow(
            "answers",
            "lull * starts",
            "starts",
            "zone lost",
            "starts + tasks / zones",
            "bytes.answer",
            "`platform_protocol/exchange.py`",
        ),
        Flow(
            "hand-overs (`at`)",
            "0",
            "0",
            "all start cold",
            "tasks",
            "bytes.ask + at",
            "`platform_protocol/exchange.py`",
        ),
    ],
    "gossip, to come (one member)": [
        Flow(
            "probes and answers", "probes", "probes", "-", "probes", "probe", "*missing*: `fleet/transport`"
        ),
        Flow(
            "host news passed on",
            "2 * (fail_day + restart_day) / 86400",
            "2 * (fail_day + restart_day) / 86400",
            "zone lost",
            "hosts / zones",
            "news",
            "*missing*: `fleet/membership`",
        ),
    ],
    "quota and usage, to come (one member)": [
        Flow(
            "leases asked and given (10 s)",
            "teams / lease / allocators",
            "teams / lease",
            "region back",
            "teams",
            "counter",
            "*missing*: `fleet/quota`",
        ),
        Flow(
            "counters that changed",
            "lull * starts / allocators",
            "starts / allocators",
            "region back",
            "teams * allocators / regions",
            "counter",
            "*missing*: `fleet/counters`",
        ),
        Flow(
            "gang of 512: claims and answers",
            "0",
            "2 * gang / allocators",
            "zone lost",
            "2 * gang",
            "counter",
            "*missing*: `contracts/gangs`",
        ),
    ],
    "configuration's way in (one member)": [
        Flow(
            "changes",
            "config_day / 86400",
            "rush * config_day / 86400",
            "all start cold",
            "teams",
            "change",
            "*missing*: `fleet/consensus`; today: a file, SIGHUP",
        ),
    ],
}
