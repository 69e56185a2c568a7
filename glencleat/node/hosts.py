"""Links to hosts: connections by host id, what of a set-up left, whether a host with standing tasks lives.

Imports the kernel and `isup`. It tells the exchange facts, and names no outcome. A host's process is taken to
have ended by one of: connections refused for some time while no link is open, none that came up for a longer
one, a test unanswered on an open link while new ones are refused, a later start in the list, another id at
its address. A link that breaks proves nothing, and so does a refusal by a host that drains: it takes no new
connections while its tasks run on."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import TYPE_CHECKING

from glencleat import interface as api
from glencleat.isup import messages as m
from glencleat.isup.channel import Host, News
from glencleat.isup.exchange import Attempt, Exchange, Fact
from glencleat.kernel import ConnectFailed, Loop, Stream, StreamClosed, connect
from glencleat.kernel.loop import Coroutine

if TYPE_CHECKING:
    from glencleat.isup.channel import Channel
    from glencleat.node.trace import Trace

SWEEP_MS = 200.0
PER_HOST = 8  # links: one open set-up each where there are enough, since one bad byte costs all on its link
AGAIN_MS, AGAIN_MAX_MS = 100.0, 800.0  # between two connections to a host that could not be reached, doubled
QUIET_MS = 2_000.0  # a host with standing tasks that says nothing for so long is tried by a new connection
REFUSED_MS, NEVER_UP_MS = 100.0, 3_500.0  # tries that fail for so long end what stands there
AT_ONCE_MS = 100.0  # links that break within this break together
DRAIN_REFUSED_MS = 2_500.0  # at one that drains: a refusal says little, yet its process may die as any other
TEST_MS = 2_500.0  # for the answer to a test of such a host, on a link that is open
UNLISTED_MS = 5_000.0  # what was handed over at a host that no list names is over after this
LIVENESS = 1 << 63  # ids of our own tests, apart from those of the module's probes
MOST_CUTS = 1_000  # releases that wait for a host


class Link:
    """One connection to a host, from before it is up."""

    def __init__(self, hosts: Hosts, host: HostLinks) -> None:
        self.hosts, self.host, self.loop = hosts, host, hosts.loop
        self.stream: Stream | None = None
        self.decoder = m.Decoder()
        self.waiting: list[Attempt] = []  # until it is up
        self.out: dict[Attempt, int] = {}  # sent; where their bytes end
        self.spent: set[int] = set()  # ids given up here: a late answer would be taken for that of a next try
        self.doubtful = False  # an attempt had no answer here, and nothing was heard since
        self.used = self.loop.now()
        self.loop.spawn(self._run(), "host link")

    @property
    def load(self) -> int:
        return len(self.waiting) + len(self.out)

    def take(self, attempt: Attempt) -> None:
        attempt.link = self
        self.used = self.loop.now()
        if self.stream is None:
            self.waiting.append(attempt)
        else:
            self._send(attempt)

    def _send(self, attempt: Attempt) -> None:
        assert self.stream is not None
        data = attempt.setup_message(self.loop.now())
        self.out[attempt] = self.stream.queued + len(data)
        self.write(data)

    def write(self, data: bytes) -> None:
        """Queues bytes; a stream that breaks on it is noticed by its reader."""
        if self.stream is not None:
            self.stream.put(data)

    def withdraw(self, attempt: Attempt) -> Fact:
        if attempt in self.waiting:
            self.waiting.remove(attempt)
            return Fact.NEVER_UP
        end = self.out.pop(attempt, None)
        if end is None or self.stream is None:
            return Fact.BROKEN
        if self.stream.written < end:
            self.stream.close("a set-up given up before it was sent whole")
            return Fact.UNSENT
        if self.stream.closed is not None:
            return Fact.BROKEN
        self.doubtful = True
        self.spent.add(attempt.call.setup.task)
        self.write(m.caused(m.RELEASE, attempt.call.setup.task, m.GIVEN_UP))
        if self.stream.out or self.decoder.partial:
            self.stream.close("a give-up that can't be written, or an answer that stopped short")
        return Fact.SILENT

    def _run(self) -> Coroutine:
        try:
            self.stream = yield from connect(self.loop, self.host.address, self.hosts.connect_ms)
        except ConnectFailed as error:
            self.host.links.discard(self)
            if error.code in (errno.EMFILE, errno.ENFILE):
                fact = Fact.UNSENT  # our own want of descriptors says nothing of the host
            else:
                self.hosts.failed(self.host, error.code == errno.ECONNREFUSED)
                fact = Fact.REFUSED if error.code == errno.ECONNREFUSED else Fact.NEVER_UP
            for attempt in self.waiting:
                self.hosts.exchange.failed(attempt, fact)
            return
        assert self.stream is not None
        self.hosts.up(self.host, self)
        for attempt in self.waiting:
            self._send(attempt)
        self.waiting.clear()
        try:
            yield from self._read(self.stream)
        except (StreamClosed, m.PeerError) as error:
            self._end(str(error))

    def _read(self, stream: Stream) -> Coroutine:
        while True:
            data = yield from stream.read()
            if not data:
                raise StreamClosed("the host closed it")
            self.host.heard = self.used = self.loop.now()
            self.doubtful = False
            self.decoder.feed(data)
            for message in self.decoder.messages():
                self._message(message)

    def _message(self, message: m.Message) -> None:
        if self.hosts.trace is not None:
            self.hosts.trace.message(f"host {self.host.name}", message)
        answered = next((a for a in self.out if a.call.setup.task == message.task), None)
        if answered is not None and message.kind in (m.ANSWER, m.RELEASE):
            del self.out[answered]  # before the module may bind anew: this link is free again
        try:
            self.hosts.exchange.host_says(self.host.name, self, message)
        except m.PeerError:
            if answered is not None:
                self.out[answered] = 0  # an answer that can't be read is none: it breaks with the link
            raise
        if message.kind == m.RELEASE:
            self.write(m.encode(m.RELEASE_HEARD, message.task))

    def _end(self, why: str) -> None:
        """What was open on it comes back as what it is; what stands does not."""
        stream = self.stream
        assert stream is not None
        stream.close(why)
        self.host.links.discard(self)
        out, self.out = self.out, {}
        for attempt, end in out.items():
            self.hosts.exchange.failed(attempt, Fact.BROKEN if stream.written >= end else Fact.UNSENT)
        self.hosts.broken(self.host, why)


class HostLinks:
    """A host, its links, and what is known of whether it lives."""

    def __init__(self, name: str, now: float) -> None:
        self.name, self.since = name, now
        self.address: tuple[str, int] = ("", 0)
        self.links: set[Link] = set()
        self.gone = self.draining = False
        self.heard = now
        self.refused = self.failing = float("inf")  # since when
        self.refusing = False  # the last try: its machine is there
        self.tested = float("-inf")  # since when a test is out
        self.broke: list[float] = []  # when its last links broke
        self.fell = False  # several broke at once, the last with them
        self.again_at, self.again_ms = 0.0, AGAIN_MS
        self.cuts: dict[int, None] = {}

    @property
    def alone(self) -> bool:
        """No link to it is up."""
        return all(link.stream is None for link in self.links)


class Hosts:
    """All links. `exchange` is set by whoever joins the parts."""

    exchange: Exchange

    def __init__(
        self,
        loop: Loop,
        channel: Channel,
        share: int,
        connect_ms: float,
        idle_ms: float,
        log: Callable[[str], None],
    ) -> None:
        self.loop, self.channel, self.share, self.log = loop, channel, share, log
        self.connect_ms, self.idle_ms = connect_ms, 0.8 * idle_ms  # the host closes at the whole of it
        self.hosts: dict[str, HostLinks] = {}
        self.tests = 0
        self.trace: Trace | None = None
        self.addresses: dict[tuple[str, int], str] = {}
        loop.call_in(SWEEP_MS, self._sweep)

    @property
    def links(self) -> int:
        return sum(len(host.links) for host in self.hosts.values())

    # ---- what the exchange asks ----

    def offer(self, attempt: Attempt) -> None:
        host = self.hosts.get(attempt.host)
        if host is None or not host.address[1]:
            self.loop.call_in(0.0, lambda: self.exchange.failed(attempt, Fact.UNSENT))
            return
        self._pick(host, attempt.call.setup.task).take(attempt)

    def withdraw(self, attempt: Attempt) -> Fact:
        link: Link | None = attempt.link
        return Fact.UNSENT if link is None else link.withdraw(attempt)

    def _pick(self, host: HostLinks, task: int) -> Link:
        """A link with nothing open if there is one, else a new one, else that with the least."""
        usable = [li for li in host.links if not li.doubtful and task not in li.spent and self._open(li)]
        free = [link for link in usable if not link.load]
        if free:
            return max(free, key=lambda link: (link.stream is not None, link.used))
        if not usable or (len(host.links) < PER_HOST and self._room()):
            return self._new(host)
        return min(usable, key=lambda link: link.load)

    def _open(self, link: Link) -> bool:
        """Usable: not closed, and not idle for so long that the host may close it as we write."""
        fresh = self.loop.now() - link.used < self.idle_ms
        return link.stream is None or (link.stream.closed is None and fresh)

    def _room(self) -> bool:
        if self.links < self.share:
            return True
        several = (host.links for host in self.hosts.values() if len(host.links) > 1)
        idle = [link for links in several for link in links if link.stream and not link.load]
        if not idle:
            return False
        self._close(min(idle, key=lambda link: link.used), "room is wanted")
        return True

    def _new(self, host: HostLinks) -> Link:
        link = Link(self, host)
        host.links.add(link)
        return link

    def _close(self, link: Link, why: str) -> None:
        if link.stream is not None:
            link.stream.close(why)

    def cut(self, name: str, task: int) -> None:
        host = self.hosts.get(name)
        if host is None:
            return
        link = next((li for li in host.links if li.stream and not li.doubtful and self._open(li)), None)
        if link is not None:
            link.write(m.caused(m.RELEASE, task, m.ENDED))
        elif len(host.cuts) < MOST_CUTS:
            host.cuts[task] = None
            self._again(host)

    def test(self, name: str, token: int) -> bool:
        host = self.hosts.get(name)
        link = next((li for li in host.links if li.stream and self._open(li)), None) if host else None
        if link is None:
            return False
        link.write(m.caused(m.TEST, token, 1))
        return True

    # ---- what links tell ----

    def up(self, host: HostLinks, link: Link) -> None:
        host.heard, host.again_ms = self.loop.now(), AGAIN_MS
        host.refused = host.failing = float("inf")
        host.refusing = host.fell = False
        for task in host.cuts:
            link.write(m.caused(m.RELEASE, task, m.ENDED))
        host.cuts.clear()

    def failed(self, host: HostLinks, refused: bool) -> None:
        now = self.loop.now()
        if host.failing > now:
            quiet, how = now - host.heard, "refused" if refused else "not up in time"
            self.log(
                f"host {host.name}: connection {how}, {len(host.links)} others, heard {quiet:.0f} ms ago"
            )
        host.failing, host.refusing = min(host.failing, now), refused
        host.refused = min(host.refused, now) if refused and host.alone else float("inf")
        host.again_at, host.again_ms = now + host.again_ms, min(AGAIN_MAX_MS, 2.0 * host.again_ms)

    def broken(self, host: HostLinks, why: str) -> None:
        """A release that was on its way comes again on the next connection opened: it is opened at once.

        All of several links at one moment is a process that ended, also where the host drains; single ones
        break on any day, and one that was the only one tells nothing."""
        now = self.loop.now()
        host.broke = [at for at in host.broke if now - at < AT_ONCE_MS] + [now]
        host.fell = len(host.broke) > 1 and host.alone
        if standing := self.exchange.standing.get(host.name):
            left = f"{len(standing)} tasks stand, {len(host.links)} links left"
            self.log(f"host {host.name}: link ended, {why}; {left}")
            self._again(host)

    def _again(self, host: HostLinks) -> None:
        connecting = any(link.stream is None for link in host.links)
        if not connecting and host.address[1] and self.loop.now() >= host.again_at:
            self._new(host)

    # ---- the list ----

    def list_told(self, news: News) -> None:
        names = {host.machine.name for host in news.hosts}
        for name, host in self.hosts.items() if news.whole else ():
            host.gone |= name not in names
        for told in news.hosts:
            self._told(told)

    def _told(self, told: Host) -> None:
        name, now = told.machine.name, self.loop.now()
        host = self.hosts.get(name)
        if host is None:
            host = self.hosts[name] = HostLinks(name, now)
        host.gone = told.machine.phase is api.Phase.GONE
        host.draining = told.machine.phase is api.Phase.DRAINING
        if host.gone:
            return
        if told.address != host.address:
            self._drop(host, "its host has another address")
            host.address = told.address
        other = self.addresses.get(told.address, name)
        self.addresses[told.address] = name
        if other != name and other in self.hosts:
            self._replaced(self.hosts[other])
        if told.started_ms > 0.0:
            self._over(host, "a later start is in the list", told.started_ms - self.channel.ahead_ms)

    def _replaced(self, host: HostLinks) -> None:
        """Another id has its address: connections there would reach the wrong one."""
        host.gone = True
        self._drop(host, "another host has its address")
        host.address = ("", 0)
        self._over(host, "another host has its address")

    def _over(self, host: HostLinks, why: str, before: float = float("inf")) -> None:
        ended = self.exchange.host_lost(host.name, before)
        if ended:
            self.log(f"host {host.name}: {ended} tasks over, {why}")

    def _drop(self, host: HostLinks, why: str) -> None:
        for link in list(host.links):
            self._close(link, why)

    # ---- now and then ----

    def _sweep(self) -> None:
        self.loop.call_in(SWEEP_MS, self._sweep)
        now = self.loop.now()
        for name in [name for name in self.exchange.standing if name not in self.hosts]:
            self.hosts[name] = HostLinks(name, now)
            self.hosts[name].gone = True
        for host in list(self.hosts.values()):
            if host.name in self.exchange.standing:
                self._look(host, now)
            elif host.cuts:
                self._again(host)
            self._tidy(host, now)

    def _look(self, host: HostLinks, now: float) -> None:
        """Whether a host with standing tasks lives."""
        if not host.address[1]:
            if now - host.since > UNLISTED_MS:
                self._over(host, "no list names it")
        elif now - host.refused > self._proof_ms(host):
            self._over(host, "connections are refused")
        elif host.refusing and now - host.heard > QUIET_MS and self._tested(host, now):
            self._over(host, "a test is not answered")
        elif now - host.failing > NEVER_UP_MS and now - host.heard > NEVER_UP_MS and not host.refusing:
            self._over(host, "no connection comes up")
        elif now - host.heard > QUIET_MS or not host.links or host.failing < now:
            self._again(host)

    @staticmethod
    def _proof_ms(host: HostLinks) -> float:
        """How long connections must be refused, with no link open, to tell that its process has ended."""
        if host.gone:
            return 0.0
        return DRAIN_REFUSED_MS if host.draining and not host.fell else REFUSED_MS

    def _tested(self, host: HostLinks, now: float) -> bool:
        """Whether a test on an open link stays unanswered; sends it first.

        A process may end with a connection left open, silent, and a draining one refuses new ones while it
        lives: only its own word tells the two apart. A test has a price, so it comes last."""
        if host.tested < host.heard:
            self.tests += 1
            for link in host.links:
                link.write(m.caused(m.TEST, LIVENESS + self.tests, 0))
            host.tested = now
        return now - host.tested > TEST_MS

    def _tidy(self, host: HostLinks, now: float) -> None:
        """Closes links that nobody needs, and forgets hosts that are gone."""
        for link in list(host.links):
            if link.stream is not None and not link.load and now - link.used > self.idle_ms:
                self._close(link, "idle")
        if host.gone and host.name not in self.exchange.standing and not any(li.load for li in host.links):
            self._drop(host, "its host is gone")
            del self.hosts[host.name]
            if self.addresses.get(host.address) == host.name:
                del self.addresses[host.address]
