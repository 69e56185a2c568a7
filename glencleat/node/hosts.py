"""All links to hosts: which one an attempt goes by, which are kept, whether a host with standing tasks lives.

Imports the kernel, `isup` and `descriptors`. It tells the exchange facts, and names no outcome. A host's
process is taken to have ended by one of: connections refused for some time while no link is open, none that
came up for a longer one, a test unanswered or no word of its own on an open link while new ones are refused,
refused once the list calls it gone, a later start in the list, another id at its address. A link that breaks
proves nothing, and so does a refusal by a host that drains: it takes no new connections while its tasks run
on."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

from glencleat import interface as api
from glencleat.descriptors import Demand, Descriptors
from glencleat.fleet.asking import HOST
from glencleat.fleet.connecting import Connecting, look_ms
from glencleat.isup import messages as m
from glencleat.isup.channel import Host, News
from glencleat.isup.exchange import Attempt, Exchange, Fact
from glencleat.kernel import Loop
from glencleat.node.links import HostLinks, Link

if TYPE_CHECKING:
    from glencleat.isup.channel import Channel
    from glencleat.node.trace import Trace

SWEEP_MS = 200.0
PER_HOST = 8  # links: one open set-up each where there is room, since one bad byte costs all on its link
SURPLUS_MS = 4_000.0  # a link not needed for so long goes if another is up; owners keep theirs as long
HEAR_MS = 3_000.0  # then a host without a link is heard again: its releases are due 8 s after the end
MOST_LINE = 500  # attempts that wait for a descriptor
QUIET_MS = 1_000.0  # a host with standing tasks that says nothing for so long is tried by a new connection
REFUSED_MS = 100.0  # connections refused for so long end what stands there
# So does silence since a host was last heard, while no connection comes up. Its tasks may run on behind a
# cut, and their owners would ask for second ones: so it is as long as the page allows. A release is due 8 s
# after a task's end, which may have come as soon as we last heard; less a sweep, a try and the lag of a loop.
NEVER_UP_MS = 7_000.0
AT_ONCE_MS = 100.0  # links that break within this break together
DRAIN_REFUSED_MS = 2_500.0  # at one that drains, its links idle or given up: a refusal says little there
# A host that refuses connections is tested on an open link: that has a price, so as late as the 8 s allow.
ASK_MS, TEST_MS = 4_000.0, 2_500.0  # silent for so long; for the answer
UNLISTED_MS = 5_000.0  # what was handed over at a host that no list names is over after this
LIVENESS = 1 << 63  # ids of our own tests, apart from those of the module's probes
MOST_CUTS = 1_000  # releases that wait for a host


class Hosts:
    """All links. `exchange` is set by whoever joins the parts."""

    exchange: Exchange

    def __init__(
        self,
        loop: Loop,
        channel: Channel,
        descriptors: Descriptors,
        connect_ms: float,
        idle_ms: float,
        random: Random,
        log: Callable[[str], None],
    ) -> None:
        self.loop, self.channel, self.descriptors, self.log = loop, channel, descriptors, log
        self.connect_ms, self.idle_ms = connect_ms, 0.8 * idle_ms  # the host closes at the whole of it
        self.random, self.connecting = random, Connecting()
        self.hosts: dict[str, HostLinks] = {}
        self.peers = 1  # allocators that look at the same hosts, this one included
        self.tests = 0
        self.trace: Trace | None = None
        self.addresses: dict[tuple[str, int], str] = {}
        self.line: dict[Attempt, None] = {}  # their hosts have no link, and nothing could be given up for one
        self.waited = 0  # attempts that came into it
        self.serving = False
        descriptors.freed = self._freed
        loop.call_in(SWEEP_MS, self._sweep)

    @property
    def links(self) -> int:
        return sum(len(host.links) for host in self.hosts.values())

    # ---- what the exchange asks ----

    def offer(self, attempt: Attempt) -> None:
        host = self.hosts.get(attempt.host)
        if host is None or not host.address[1]:
            self.answer(attempt, Fact.UNSENT)
        elif self._silent(host) and self.loop.now() < host.again_at and all(li.stream for li in host.links):
            # A try has just failed, the next one is due soon: the same answer, a connect's time earlier.
            self.answer(attempt, Fact.NEVER_UP)
        elif not self._send(host, attempt):
            self._wait(attempt)

    def withdraw(self, attempt: Attempt) -> Fact:
        link: Link | None = attempt.link
        if link is None:
            self.line.pop(attempt, None)
            return Fact.UNSENT
        return link.withdraw(attempt)

    def _wait(self, attempt: Attempt) -> None:
        """For a descriptor, within its time: a connect that fails would be tried again at once."""
        if len(self.line) >= MOST_LINE:
            self.answer(attempt, Fact.UNSENT)
            return
        self.line[attempt] = None
        self.waited += 1

    def answer(self, attempt: Attempt, fact: Fact) -> None:
        """Told once the exchange is done with offering it."""
        self.loop.call_in(0.0, lambda: self.exchange.failed(attempt, fact))

    def _freed(self) -> None:
        if self.line and not self.serving:
            self.serving = True
            self.loop.call_in(0.0, self._serve_line)

    def _serve_line(self) -> None:
        """Those who wait, in their order; once nothing is free only those whose host has a link by now."""
        self.serving, full = False, False
        for attempt in list(self.line):
            host = self.hosts.get(attempt.host)
            if attempt not in self.line:
                continue  # taken back since, by what the exchange did on hearing of one before it
            if host is None or not host.address[1]:
                del self.line[attempt]
                self.exchange.failed(attempt, Fact.UNSENT)
            elif self._send(host, attempt, full):
                del self.line[attempt]
            else:
                full = True

    def _send(self, host: HostLinks, attempt: Attempt, full: bool = False) -> bool:
        link = self._pick(host, attempt.call.setup.task, full)
        if link is None:
            return False
        link.take(attempt)
        self.descriptors.file(link)
        return True

    def _pick(self, host: HostLinks, task: int, full: bool) -> Link | None:
        """A link with nothing open if there is one, else a new one, else that with the least, else none."""
        silent = self._silent(host)
        usable = [
            link
            for link in host.links
            if not link.doubtful and task not in link.spent and self._open(link)
            if not (silent and link.stream is not None)
        ]
        free = [link for link in usable if not link.load]
        if free:
            return max(free, key=lambda link: (link.stream is not None, not link.visit, link.used))
        if not usable:
            return self._new(host) if not full and self._room(Demand.ATTEMPT) else None
        another = len(host.links) < PER_HOST and not self.connecting.shared(host.address)
        if another and not full and self._room(Demand.EXTRA):
            return self._new(host)
        return min(usable, key=lambda link: link.load)

    def _silent(self, host: HostLinks) -> bool:
        """Nothing was heard since a try that failed began: what is sent on a link there may run unheard.

        A new connection that does not come up proves that nothing ran; a link left over from before a cut
        takes the bytes and keeps its silence, which ends an unsafe task."""
        return not host.refusing and host.heard < host.failed_at - self.connect_ms

    def _open(self, link: Link) -> bool:
        """Usable: not closed, and not idle for so long that the host may close it as we write."""
        fresh = self.loop.now() - link.used < self.idle_ms
        return link.stream is None or (link.stream.closed is None and fresh)

    def _room(self, demand: Demand) -> bool:
        """Whether a connection may be begun now, by what comes up and by descriptors; makes room for it."""
        look = demand is Demand.LISTEN
        may = self.connecting.may(self.loop.now(), len(self.hosts), look)
        return may and self.descriptors.make_room(demand)

    def _new(self, host: HostLinks, visit: bool = False) -> Link:
        link = Link(self, host, visit)
        host.links.add(link)
        self.descriptors.hold(link)
        return link

    def cut(self, name: str, task: int) -> None:
        host = self.hosts.get(name)
        if host is None:
            return
        link = next((li for li in host.links if self._kept(li)), None)
        if link is not None:
            link.write(m.caused(m.RELEASE, task, m.ENDED))
        elif len(host.cuts) < MOST_CUTS:
            host.cuts[task] = None
            self._again(host, Demand.ATTEMPT)

    def test(self, name: str, token: int) -> bool:
        host = self.hosts.get(name)
        link = next((li for li in host.links if li.stream and self._open(li)), None) if host else None
        if link is None:
            return False
        link.write(m.caused(m.TEST, token, 1))
        return True

    # ---- what links tell ----

    def up(self, host: HostLinks, link: Link) -> None:
        host.heard = host.spoke = self.loop.now()  # what it owed us comes now
        host.refused = host.failing = float("inf")
        host.refusing = host.fell = host.given_up = False
        for task in host.cuts:
            link.write(m.caused(m.RELEASE, task, m.ENDED))
        host.cuts.clear()
        self._file(host)
        self._freed()

    def _retire(self, host: HostLinks) -> None:
        """Ends the last visit, just before the next one is opened, and keeps the link that carries set-ups.

        A release that we cut off comes again on the next connection opened. Were that later, a host that
        begins to drain meanwhile would take none, and its release never come."""
        visits = [link for link in host.links if link.visit and link.unused]
        for link in visits if not host.draining else ():
            if any(not li.visit and self._kept(li) for li in host.links):
                link.leave("a newer one is opened")
            else:
                link.visit = False

    def _kept(self, link: Link) -> bool:
        return link.stream is not None and not link.doubtful and self._open(link)

    def _file(self, host: HostLinks) -> None:
        for link in list(host.links):
            self.descriptors.file(link)

    def failed(self, host: HostLinks, refused: bool) -> None:
        now = self.loop.now()
        if host.failing > now:
            quiet, how = now - host.heard, "refused" if refused else "not up in time"
            self.log(
                f"host {host.name}: connection {how}, {len(host.links)} others, heard {quiet:.0f} ms ago"
            )
        host.failing, host.failed_at, host.refusing = min(host.failing, now), now, refused
        host.refused = min(host.refused, now) if refused and host.alone else float("inf")
        host.again_at = now + host.asking.again()
        self._freed()

    def broken(self, host: HostLinks, link: Link, why: str) -> None:
        """A release that was on its way comes again on the next connection opened: it is opened at once.

        All of several links at one moment is a process that ended, also where the host drains. So is the last
        one, unless it was idle for so long that the host may have closed it: a host that drains takes no new
        connection, waiting longer brings no other word, and its release is due 1 s after the end. It may do
        harm where a single reset meets a host that drains and lives: its tasks are told lost."""
        now = self.loop.now()
        idle = now - link.used > self.idle_ms
        host.broke = [at for at in host.broke if now - at < AT_ONCE_MS] + [now]
        host.fell = host.alone and (len(host.broke) > 1 or not idle)
        if host.fell:
            host.again_at = now  # earlier refusals, as of a host that drains, say nothing of this
        lasted = now - link.since
        if lasted < HOST.steady_ms:
            # One that takes connections and ends them at once was asked again as fast as the loop went.
            host.again_at = now + host.asking.again(lasted)
        if standing := self.exchange.standing.get(host.name):
            left = f"{len(standing)} tasks stand, {len(host.links)} links left"
            self.log(f"host {host.name}: link ended, {why}; {left}")
            self._again(host)

    def _again(self, host: HostLinks, demand: Demand = Demand.LISTEN) -> None:
        connecting = any(link.stream is None for link in host.links)
        if connecting or not host.address[1] or self.loop.now() < host.again_at:
            return
        self._retire(host)  # first: where nothing is free its descriptor serves the next
        if self._room(demand):
            self._new(host, visit=bool(host.links))

    # ---- the list ----

    def list_told(self, news: News) -> None:
        names = {host.machine.name for host in news.hosts}
        for name, host in self.hosts.items() if news.whole else ():
            if name not in names:
                host.leaves(self.loop.now())
        for told in news.hosts:
            self._told(told)

    def _told(self, told: Host) -> None:
        name, now = told.machine.name, self.loop.now()
        host = self.hosts.get(name)
        if host is None:
            host = self.hosts[name] = HostLinks(name, now, self.random)
        if told.machine.phase is api.Phase.GONE:
            host.leaves(now)
            return
        host.gone, host.gone_at = False, float("inf")
        host.draining = told.machine.phase is api.Phase.DRAINING
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
        host.leaves(self.loop.now())
        self._drop(host, "another host has its address")
        host.address = ("", 0)
        self._over(host, "another host has its address")

    def _over(self, host: HostLinks, why: str, before: float = float("inf")) -> None:
        ended = self.exchange.host_lost(host.name, before)
        if ended:
            self.log(f"host {host.name}: {ended} tasks over, {why}")

    def _drop(self, host: HostLinks, why: str) -> None:
        for link in list(host.links):
            link.drop(why)

    # ---- now and then ----

    def _sweep(self) -> None:
        self.loop.call_in(SWEEP_MS, self._sweep)
        now = self.loop.now()
        self._freed()  # a moment ago too many may have been begun
        for name in [name for name in self.exchange.standing if name not in self.hosts]:
            self.hosts[name] = HostLinks(name, now, self.random)
            self.hosts[name].leaves(now)
        # The longest unheard first: where there are more hosts than descriptors they take turns.
        for host in sorted(self.hosts.values(), key=lambda host: host.heard):
            if host.name in self.exchange.standing:
                self._look(host, now)
            elif host.cuts:
                self._again(host, Demand.ATTEMPT)
            self._tidy(host, now)
            self._file(host)

    def _look(self, host: HostLinks, now: float) -> None:
        """Whether a host with standing tasks lives."""
        if not host.address[1]:
            if now - host.since > UNLISTED_MS:
                self._over(host, "no list names it")
        elif now - host.refused > self._proof_ms(host):
            self._over(host, "connections are refused")
        elif host.refusing and host.failed_at > host.gone_at:
            self._over(host, "the list calls it gone, and connections are refused")
        elif host.refusing and now - host.spoke > NEVER_UP_MS:
            # One that drains answers tests and takes no connection, and may end tasks without a word of it.
            self._over(host, "it says nothing by itself, and connections are refused")
        elif host.refusing and now - host.heard > ASK_MS and self._tested(host, now):
            self._over(host, "a test is not answered")
        elif host.failing < now and now - host.heard > NEVER_UP_MS and not host.refusing:
            if host.failed_at - host.heard > NEVER_UP_MS:
                self._over(host, "no connection comes up")
            else:
                host.again_at = now  # the last try decides: one before it may be nearly a second old
                self._again(host)
        elif host.given_up and host.failing > now:
            if now - host.heard > HEAR_MS:
                self._again(host)
        elif now - host.heard > max(QUIET_MS, look_ms(self.peers)) or not host.links or host.failing < now:
            self._again(host)

    @staticmethod
    def _proof_ms(host: HostLinks) -> float:
        """How long connections must be refused, with no link open, to tell that its process has ended."""
        if host.gone:
            return 0.0
        # One that began to drain after we gave up its link refuses as well, and the list may not tell it yet.
        return DRAIN_REFUSED_MS if host.given_up or (host.draining and not host.fell) else REFUSED_MS

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
        """Ends links that nobody needs, and forgets hosts that are gone."""
        stands = host.name in self.exchange.standing
        for link in sorted(host.links, key=lambda link: (not link.doubtful, link.used)):
            idle = now - link.used if link.unused and not link.visit else 0.0
            if idle > SURPLUS_MS and any(li is not link and self._kept(li) for li in host.links):
                link.leave("another is enough")
                if stands:
                    self._again(host)  # at once: see _retire
            elif link.visit and not stands and link.unused:
                link.leave("nothing stands there")
            elif idle > self.idle_ms and not stands:
                link.leave("idle")
            elif idle > self.idle_ms and not host.draining:
                self._again(host)  # a new one first: the host would close this with a release on its way
        if host.gone and host.name not in self.exchange.standing and not any(li.load for li in host.links):
            self._drop(host, "its host is gone")
            del self.hosts[host.name]
            if self.addresses.get(host.address) == host.name:
                del self.addresses[host.address]
