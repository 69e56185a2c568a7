"""Hollow allocators, many in a process: at hosts they behave as real ones do, and they decide nothing.

Imports `isup.messages`, `fleet.connecting`, the kernel and `scale`'s own. `parts.py` runs a HollowAllocators
as a process. Each follows the command channel, sends set-ups at a rate to hosts drawn at random, keeps links
within its descriptor limit, looks at quiet hosts where its tasks stand by a new connection, and says that it
heard releases. It has no owners, makes no second attempt, and takes no host for lost. Which host is cold,
draining or gone it does not ask; its list is read and thrown away."""

from __future__ import annotations

import contextlib
from random import Random

from glencleat.event_loop import ConnectError, Loop, Stream, StreamClosedError, connect
from glencleat.event_loop.loop import Coroutine
from glencleat.flow_control.connection_limiter import ConnectionLimiter, quiet_limit_ms
from glencleat.platform_protocol import messages as m
from glencleat.scale.arrivals import Arrivals
from glencleat.scale.message_counters import MessageCounters

# As docs/live.md states them of the real one.
SWEEP_MS, MIN_PROBE_AFTER_MS, EVICTED_PROBE_AFTER_MS, SURPLUS_IDLE_MS, MAX_IDLE_MS = (
    200.0,
    1_000.0,
    3_000.0,
    4_000.0,
    24_000.0,
)
CONNECT_TIMEOUT_MS, ANSWER_TIMEOUT_MS, RECONNECT_DELAY_MS = 250.0, 1_500.0, 500.0
RESERVED_DESCRIPTORS, OWNER_DESCRIPTORS = (
    32,
    4,
)  # descriptors that links don't get: kept aside, and owners' connections
EVICTION_CANDIDATES = 24  # links, longest unused first, among which one to spare is looked for


class HollowLink:
    """One connection to a host; `visit`: opened beside another, only to hear."""

    def __init__(self, contact: HostState, visit: bool, now: float) -> None:
        self.host, self.is_probe, self.last_used_at = contact, visit, now
        self.stream: Stream | None = None
        self.outstanding_tasks: set[int] = set()
        self.queued_tasks: list[int] = []  # set-ups, until it is up

    @property
    def is_idle(self) -> bool:
        return self.stream is not None and not self.outstanding_tasks and not self.queued_tasks


class HostState:
    """What an allocator keeps of a host that it has something with."""

    def __init__(self, name: str, address: tuple[str, int], now: float) -> None:
        self.name, self.address, self.last_received_at, self.retry_at = name, address, now, 0.0
        self.links: list[HollowLink] = []
        self.tasks: set[int] = set()
        self.was_link_evicted = False  # its only link was, for want of descriptors


class HollowAllocator:
    """Its number tells hosts whose connections are its own: it dials 127.0.number.1."""

    def __init__(
        self, loop: Loop, number: int, ports: list[tuple[str, int]], seed: int, limits: HollowLimits
    ) -> None:
        self.loop, self.number, self.host_ports, self.random = loop, number, ports, Random(seed)
        self.max_links, self.probe_after_ms, self.reuse_share = (
            limits.max_links,
            max(MIN_PROBE_AFTER_MS, limits.probe_after_ms),
            limits.reuse_share,
        )
        self.counters, self.connection_limiter = MessageCounters(), ConnectionLimiter()
        self.hosts_by_name: dict[str, HostState] = {}
        self.links_by_last_use: dict[HollowLink, None] = {}  # longest unused first
        self.link_sample: list[HollowLink] = []  # of these, a while ago, to draw from
        self.last_task, self.port_by_host = number << 40, dict(ports)
        self.arrivals = Arrivals(loop, self.random, self._ask)
        loop.call_in(self.random.uniform(0.0, SWEEP_MS), self._sweep)

    # ---- set-ups ----

    def set_request_rate(self, rate: float) -> None:
        self.arrivals.set_rate(rate)

    def _ask(self) -> None:
        self.last_task += 1
        contact = self._draw()
        free = [link for link in contact.links if link.is_idle]
        best = max(free, key=lambda link: (not link.is_probe, link.last_used_at), default=None)
        link = best or self._open(contact, visit=False)
        if link is None:
            self.counters.count(self.number, "not sent")
            return
        link.is_probe = False
        if link.stream is None:
            link.queued_tasks.append(self.last_task)
        else:
            self._send(link, self.last_task)

    def _draw(self) -> HostState:
        if self.links_by_last_use and self.random.random() < self.reuse_share:
            if 2 * len(self.link_sample) < len(self.links_by_last_use) or self.random.random() < 0.01:
                self.link_sample = list(self.links_by_last_use)
            linked = self.link_sample[self.random.randrange(len(self.link_sample))].host
            if linked.links:
                return linked
        return self._contact(self.random.choice(self.host_ports)[0])

    def _contact(self, name: str) -> HostState:
        contact = self.hosts_by_name.get(name)
        if contact is None:
            place = f"127.0.{self.number}.1", self.port_by_host[name]
            contact = self.hosts_by_name[name] = HostState(name, place, self.loop.now())
        return contact

    def _send(self, link: HollowLink, task: int) -> None:
        told = {m.CLASS: b"safe", m.TIMEOUT: b"1500", m.NAME: b"%016x" % task, m.DESCRIPTION: b"d" * 64}
        if self._say(link, m.encode(m.SETUP, task, told)):
            link.outstanding_tasks.add(task)
            self.counters.count(self.number, "asked")
            self.loop.call_in(ANSWER_TIMEOUT_MS, lambda: self._late(link, task))

    def _late(self, link: HollowLink, task: int) -> None:
        if task in link.outstanding_tasks:
            link.outstanding_tasks.discard(task)
            self.counters.count(self.number, "no answer")
            self._say(link, m.encode_with_cause(m.RELEASE, task, m.CANCELLED))

    def _say(self, link: HollowLink, data: bytes) -> bool:
        if link.stream is None or not link.stream.try_send(data):
            return False
        link.last_used_at = self.loop.now()
        self.counters.count_sent(self.number, data)
        return True

    def adopt_tasks(self, tasks: list[tuple[int, str]]) -> None:
        """Tasks that run already at these hosts."""
        for task, name in tasks:
            self._contact(name).tasks.add(task)

    # ---- links ----

    def _open(self, contact: HostState, visit: bool) -> HollowLink | None:
        now = self.loop.now()
        if not self.connection_limiter.may_connect(now, len(self.host_ports), is_liveness_check=visit):
            return None
        if len(self.links_by_last_use) >= self.max_links and not self._spare():
            return None
        link = HollowLink(contact, visit, now)
        contact.links.append(link)
        self.links_by_last_use[link] = None
        self.connection_limiter.record_connect_begin(contact.address, now)
        self.loop.spawn(self._run(link), "hollow link")
        return link

    def _spare(self) -> bool:
        """Ends the longest unused link that can be done without, else one that is only listened to."""
        near = [
            link
            for _, link in zip(
                range(EVICTION_CANDIDATES), (li for li in self.links_by_last_use if li.is_idle), strict=False
            )
        ]
        if not near:
            return False
        spare = [link for link in near if len(link.host.links) > 1 or not link.host.tasks]
        link = (spare or near)[0]
        link.host.was_link_evicted = len(link.host.links) == 1
        self.close_link(link)
        return True

    def close_link(self, link: HollowLink) -> None:
        if link in link.host.links:
            link.host.links.remove(link)
        self.links_by_last_use.pop(link, None)
        if link.stream is not None:
            link.stream.close("left")

    def _run(self, link: HollowLink) -> Coroutine:
        contact = link.host
        try:
            stream: Stream = yield from connect(self.loop, contact.address, CONNECT_TIMEOUT_MS)
        except ConnectError:
            self.connection_limiter.record_connect_end(contact.address)
            contact.retry_at = self.loop.now() + RECONNECT_DELAY_MS
            self.counters.count(self.number, "not sent", len(link.queued_tasks))
            self.close_link(link)
            return
        self.connection_limiter.record_connect_end(contact.address)
        self.counters.count(self.number, "connections")
        link.stream, contact.last_received_at, contact.was_link_evicted = stream, self.loop.now(), False
        waiting, link.queued_tasks = link.queued_tasks, []
        for task in waiting:
            self._send(link, task)
        with contextlib.suppress(StreamClosedError, m.ProtocolError):
            yield from self._read(link, stream)
        self.close_link(link)

    def _read(self, link: HollowLink, stream: Stream) -> Coroutine:
        decoder = m.MessageDecoder()
        while data := (yield from stream.read()):
            link.host.last_received_at = link.last_used_at = self.loop.now()
            if self.links_by_last_use.pop(link, 0) is None:
                self.links_by_last_use[link] = None
            decoder.feed(data)
            for message in decoder.messages():
                self.counters.count_received(self.number, message)
                self._message(link, message)

    def _message(self, link: HollowLink, message: m.PlatformMessage) -> None:
        if message.kind == m.ANSWER and message.task_id in link.outstanding_tasks:
            link.outstanding_tasks.discard(message.task_id)
            link.host.tasks.add(message.task_id)
            self.counters.count(self.number, "placed")
        elif message.kind == m.RELEASE:
            if message.task_id in link.host.tasks:
                link.host.tasks.discard(message.task_id)
                self.counters.count(self.number, "ended")
            self._say(link, m.encode(m.RELEASE_COMPLETE, message.task_id))

    # ---- now and then ----

    def _sweep(self) -> None:
        self.loop.call_in(SWEEP_MS, self._sweep)
        now = self.loop.now()
        for contact in sorted(self.hosts_by_name.values(), key=lambda contact: contact.last_received_at):
            if contact.tasks:
                self._look(contact, now)
            self._tidy(contact, now)
            if not contact.tasks and not contact.links:
                del self.hosts_by_name[contact.name]

    def _look(self, contact: HostState, now: float) -> None:
        quiet = now - contact.last_received_at
        if (
            quiet > EVICTED_PROBE_AFTER_MS
            if contact.was_link_evicted
            else quiet > self.probe_after_ms or not contact.links
        ):
            self._again(contact, now)

    def _again(self, contact: HostState, now: float) -> None:
        """A new connection; the last visit ends just before, and the link that carries set-ups stays."""
        if now < contact.retry_at or any(link.stream is None for link in contact.links):
            return
        for link in [link for link in contact.links if link.is_probe and link.is_idle]:
            if any(not other.is_probe for other in contact.links):
                self.close_link(link)
            else:
                link.is_probe = False
        self._open(contact, visit=bool(contact.links))

    def _tidy(self, contact: HostState, now: float) -> None:
        for link in sorted(
            (link for link in contact.links if link.is_idle), key=lambda link: link.last_used_at
        ):
            idle = 0.0 if link.is_probe else now - link.last_used_at
            if idle > SURPLUS_IDLE_MS and any(other is not link and other.stream for other in contact.links):
                self.close_link(link)
                if contact.tasks:
                    self._again(contact, now)
            elif (link.is_probe or idle > MAX_IDLE_MS) and not contact.tasks:
                self.close_link(link)
            elif idle > MAX_IDLE_MS:
                self._again(contact, now)


class HollowLimits:
    """Of one allocator: links; how long a host may be quiet before it is looked at; which part of its set-ups
    goes to a host that it has a link to, as a real one's do that prefers hosts where its programs are."""

    def __init__(self, sockets: int, peers: int, reuse: float) -> None:
        self.max_links, self.probe_after_ms, self.reuse_share = (
            sockets - RESERVED_DESCRIPTORS - OWNER_DESCRIPTORS,
            quiet_limit_ms(peers),
            reuse,
        )


class HollowAllocators:
    """All of one process, and one connection to the command channel for each."""

    def __init__(
        self, loop: Loop, numbers: list[int], channel: tuple[str, int], ports: list[tuple[str, int]],
        seed: int, limits: tuple[int, int], reuse: float,
    ) -> None:  # fmt: skip
        self.loop, self.channel_address, self.counters = loop, channel, MessageCounters()
        self.allocators_by_number = {
            k: HollowAllocator(loop, k, ports, seed + k, HollowLimits(*limits, reuse)) for k in numbers
        }
        for number in numbers:
            loop.spawn(self._follow(number), "hollow list")

    def _follow(self, number: int) -> Coroutine:
        """Reads the list and throws it away."""
        while True:
            try:
                stream: Stream = yield from connect(self.loop, self.channel_address, 1_000.0)
                stream.send(b"resume 1\n")
                while data := (yield from stream.read()):
                    self.counters.count(number, "channel bytes", len(data))
            except StreamClosedError:
                pass
            yield from self.loop.sleep(RECONNECT_DELAY_MS)

    def startup_info(self) -> None:
        return None

    def set_request_rate(self, rate: float) -> None:
        for allocator in self.allocators_by_number.values():
            allocator.set_request_rate(rate)

    def adopt_tasks(self, number: int, tasks: list[tuple[int, str]]) -> None:
        self.allocators_by_number[number].adopt_tasks(tasks)

    def counts(self) -> dict[str, int]:
        found = dict(self.counters.counts)
        for allocator in self.allocators_by_number.values():
            found.update(allocator.counters.counts)
        return found

    def close(self) -> None:
        self.set_request_rate(0.0)
        for allocator in self.allocators_by_number.values():
            for link in list(allocator.links_by_last_use):
                allocator.close_link(link)
