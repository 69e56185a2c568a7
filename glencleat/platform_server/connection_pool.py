"""All links to hosts: which one an attempt goes by, which are kept, whether a host with standing tasks lives.

Imports the kernel, `isup` and `descriptors`. It tells the exchange facts, and names no outcome. A host's
process is taken to have ended by one of: connections refused for some time while no link is open, none that
came up for a longer one, no word of its own on an open link for as long while new ones are refused,
refused once the list calls it gone, a later start in the list, another id at its address. A link that breaks
proves nothing, and so does a refusal by a host that drains: it takes no new connections while its tasks run
on.

A tick looks at the hosts on which something has happened and at those whose time has come; the others cost
nothing. `_next` says when that is, and whoever changes what it reads calls `changed`."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

from glencleat import interface as api
from glencleat.descriptor_budget import Demand, DescriptorBudget, EvictionPriority
from glencleat.event_loop import Loop
from glencleat.flow_control.backoff import HOST
from glencleat.flow_control.connection_limiter import ConnectionLimiter, look_ms
from glencleat.index.dirty_set import DirtySet
from glencleat.index.due_queue import DueQueue
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.command_channel import HostEntry, ListChange, when
from glencleat.platform_protocol.delivery import DeliveryOutcome
from glencleat.platform_protocol.exchange import Exchange, SetupAttempt
from glencleat.platform_server import host_connections
from glencleat.platform_server.failure_detector import NEVER, DetectorAction
from glencleat.platform_server.host_connections import HostConnection, PooledHost

if TYPE_CHECKING:
    from glencleat.platform_protocol.command_channel import CommandChannel
    from glencleat.platform_server.trace import Trace

TICK_MS, STANDSTILL_MS = 200.0, 1_000.0  # between two ticks; one that comes so late tells of a standstill
MAX_CONNECTIONS_PER_HOST = (
    8  # links: one open set-up each where there is room, since one bad byte costs all on its link
)
SURPLUS_MS = 4_000.0  # a link not needed for so long goes if another is up; owners keep theirs as long
MAX_QUEUED_ATTEMPTS = 500  # attempts that wait for a descriptor
MAX_PENDING_RELEASES = 1_000  # releases that wait for a host


class ConnectionPool:
    """All links. `exchange` is set by whoever joins the parts."""

    def __init__(
        self,
        loop: Loop,
        channel: CommandChannel,
        descriptors: DescriptorBudget,
        connect_ms: float,
        idle_ms: float,
        random: Random,
        log: Callable[[str], None],
    ) -> None:
        self.loop, self.channel, self.descriptors, self.log = loop, channel, descriptors, log
        self.connect_ms, self.idle_ms = connect_ms, 0.8 * idle_ms  # the host closes at the whole of it
        self.random, self.connection_limiter = random, ConnectionLimiter()
        self.hosts_by_name: dict[str, PooledHost] = {}
        self.allocator_count = 1  # allocators that look at the same hosts, this one included
        self.warm_up_ms = 0.0  # a host that has just started is warm by then
        self.trace: Trace | None = None
        self.host_names_by_address: dict[tuple[str, int], str] = {}
        self.wait_queue: dict[SetupAttempt, None] = {}  # for a link: nothing could be given up for one
        self.queued_attempt_count = 0  # attempts that came into it
        self.is_service_scheduled = False
        descriptors.freed = self._on_capacity_freed
        self.created_host_count = 0  # hosts, which are numbered in the order in which they were made
        # The longest unheard first: where there are more hosts than descriptors they take turns.
        self.due_hosts = DirtySet[PooledHost](
            order=lambda host: (host.last_heard_at_ms, host.creation_number)
        )
        self.unlisted_host_names: dict[str, None] = {}  # where tasks came to stand, and no list names it
        self.connected_hosts: set[PooledHost] = set()  # those with links, and some that have had
        self.releasing_hosts: set[PooledHost] = (
            set()
        )  # those with releases to be heard, and some that have had
        self.tick_count = 0
        self.last_tick_at_ms = loop.now()
        loop.call_in(TICK_MS, self._tick)

    @property
    def exchange(self) -> Exchange:
        return self._exchange

    @exchange.setter
    def exchange(self, exchange: Exchange) -> None:
        self._exchange = exchange
        exchange.stands = self._on_standing_changed

    @property
    def connection_count(self) -> int:
        return sum(len(host.connections) for host in self.connected_hosts)

    @property
    def has_unsent_releases(self) -> bool:
        """Releases wait for a connection to their host."""
        return any(host.unsent_releases for host in self.releasing_hosts)

    # ---- what the exchange asks ----

    def offer_attempt(self, attempt: SetupAttempt) -> None:
        host = self.hosts_by_name.get(attempt.host)
        if host is None or not host.address[1]:
            self.report_outcome(attempt, DeliveryOutcome.NEVER_SENT)
        elif self._fails_fast(host):
            # A try has just failed, the next one is due soon: the same answer, a connect's time earlier.
            self.report_outcome(attempt, DeliveryOutcome.NEVER_UP)
        elif not self._send_attempt(host, attempt):
            self._enqueue(attempt)

    def _fails_fast(self, host: PooledHost) -> bool:
        waits = self.loop.now() < host.next_connect_at_ms and all(link.stream for link in host.connections)
        return waits and host.is_silent(self.connect_ms)

    def cancel_attempt(self, attempt: SetupAttempt) -> DeliveryOutcome:
        link: HostConnection | None = attempt.link
        if link is None:
            self.wait_queue.pop(attempt, None)
            return DeliveryOutcome.NEVER_SENT
        return link.cancel_attempt(attempt)

    def has_unread_bytes(self, attempt: SetupAttempt) -> bool:
        link: HostConnection | None = attempt.link
        return link is not None and link.stream is not None and link.stream.readable

    def _enqueue(self, attempt: SetupAttempt) -> None:
        """For a descriptor, within its time: a connect that fails would be tried again at once."""
        if len(self.wait_queue) >= MAX_QUEUED_ATTEMPTS:
            self.report_outcome(attempt, DeliveryOutcome.NEVER_SENT)
            return
        self.wait_queue[attempt] = None
        self.queued_attempt_count += 1

    def report_outcome(self, attempt: SetupAttempt, fact: DeliveryOutcome) -> None:
        """Told once the exchange is done with offering it."""
        self.loop.call_in(0.0, lambda: self.exchange.failed(attempt, fact))

    def is_warming_up(self, host: PooledHost) -> bool:
        """By the list: it started a short time ago."""
        told = self.channel.hosts.get(host.name)
        ready = told.machine.ready_at_ms if told is not None else None
        return ready is not None and self.loop.now() < ready + self.warm_up_ms

    def _on_capacity_freed(self) -> None:
        if self.wait_queue and not self.is_service_scheduled:
            self.is_service_scheduled = True
            self.loop.call_in(0.0, self._serve_queue)

    def _serve_queue(self) -> None:
        """Those who wait, in their order; once nothing is free only those whose host has a link by now."""
        self.is_service_scheduled, full = False, False
        for attempt in list(self.wait_queue):
            host = self.hosts_by_name.get(attempt.host)
            if attempt not in self.wait_queue:
                continue  # taken back since, by what the exchange did on hearing of one before it
            if host is None or not host.address[1]:
                del self.wait_queue[attempt]
                self.exchange.failed(attempt, DeliveryOutcome.NEVER_SENT)
            elif self._send_attempt(host, attempt, full):
                del self.wait_queue[attempt]
            else:
                full = True

    def _send_attempt(self, host: PooledHost, attempt: SetupAttempt, full: bool = False) -> bool:
        link = self._select_connection(host, attempt.call.setup.task, full)
        while link is not None and link.detect_close_by_host():
            link = self._select_connection(host, attempt.call.setup.task, full)
        if link is None:
            return False
        link.add_attempt(attempt)
        self.descriptors.file(link)
        return True

    def _select_connection(self, host: PooledHost, task: int, full: bool) -> HostConnection | None:
        """A link with nothing open if there is one, else a new one, else that with the least, else none."""
        silent = host.is_silent(self.connect_ms)
        usable = [
            link
            for link in host.connections
            if not (link.is_unresponsive or link.is_closed_by_host)
            and task not in link.cancelled_task_ids
            and self._is_usable(link)
            if not (link.stream is not None and (silent or link.stream.out))  # nothing queues behind others
        ]
        free = [link for link in usable if not link.open_attempt_count]
        if free:
            return max(
                free,
                key=lambda link: (link.stream is not None, not link.is_liveness_check, link.last_used_at_ms),
            )
        if not usable:
            return self._open_connection(host) if not full and self._make_room(Demand.ATTEMPT) else None
        another = len(host.connections) < MAX_CONNECTIONS_PER_HOST and not self.connection_limiter.shared(
            host.address
        )
        if another and not full and self._make_room(Demand.EXTRA):
            return self._open_connection(host)
        return min(usable, key=lambda link: link.open_attempt_count)

    def _is_usable(self, link: HostConnection) -> bool:
        """Usable: not closed, and not idle for so long that the host may close it as we write."""
        fresh = self.loop.now() - link.last_used_at_ms < self.idle_ms
        return link.stream is None or (link.stream.closed is None and fresh)

    def _make_room(self, demand: Demand) -> bool:
        """Whether a connection may be begun now, by what comes up and by descriptors; makes room for it."""
        look = demand is Demand.LISTEN
        may = self.connection_limiter.may(self.loop.now(), len(self.hosts_by_name), look)
        return may and self.descriptors.make_room(demand)

    def _open_connection(self, host: PooledHost, visit: bool = False) -> HostConnection:
        link = HostConnection(self, host, visit)
        host.connections[link] = None
        self.connected_hosts.add(host)
        self.descriptors.hold(link)
        return link

    def release_task(self, name: str, task: int) -> None:
        host = self.hosts_by_name.get(name)
        if host is None:
            return
        link = next((li for li in host.connections if self._is_healthy(li)), None)
        if len(host.pending_releases) < MAX_PENDING_RELEASES:
            host.pending_releases[task] = None
            self.releasing_hosts.add(host)
            self.mark_changed(host)
        if link is not None:
            self._write_release(host, link, task)
        else:
            self._reconnect(host, Demand.ATTEMPT)

    @staticmethod
    def _write_release(host: PooledHost, link: HostConnection, task: int) -> None:
        """Writes a release; the link may break with it unread, so it is kept until the host says it heard."""
        if task in host.pending_releases:
            host.pending_releases[task] = link
        link.write(m.caused(m.RELEASE, task, m.ENDED))

    def request_load_report(self, name: str, token: int) -> bool:
        host = self.hosts_by_name.get(name)
        link = (
            next((li for li in host.connections if li.stream and self._is_usable(li)), None) if host else None
        )
        if link is None:
            return False
        link.write(m.caused(m.TEST, token, 1))
        return True

    # ---- what links tell ----

    def on_connected(self, host: PooledHost, link: HostConnection) -> None:
        host.record_connected(self.loop.now())
        self.on_host_heard(host)
        for task in host.unsent_releases:
            self._write_release(host, link, task)
        self._refile(host)
        self._on_capacity_freed()

    def _retire_liveness_checks(self, host: PooledHost) -> None:
        """Ends the last visit, just before the next one is opened, and keeps the link that carries set-ups.

        A release that we cut off comes again on the next connection opened. Were that later, a host that
        begins to drain meanwhile would take none, and its release never come."""
        visits = [link for link in host.connections if link.is_liveness_check and link.is_idle]
        for link in visits if not host.is_draining else ():
            if any(not li.is_liveness_check and self._is_healthy(li) for li in host.connections):
                link.close_gracefully("a newer one is opened")
            else:
                link.is_liveness_check = False
                self.mark_changed(host)

    def _is_healthy(self, link: HostConnection) -> bool:
        return (
            link.stream is not None
            and not (link.is_unresponsive or link.is_closed_by_host)
            and self._is_usable(link)
        )

    def _refile(self, host: PooledHost) -> None:
        for link in list(host.connections):
            self.descriptors.file(link)

    def on_connect_failed(self, host: PooledHost, refused: bool) -> None:
        now = self.loop.now()
        if host.failing_since_ms > now:
            quiet, how = now - host.last_heard_at_ms, "refused" if refused else "not up in time"
            self.log(
                f"host {host.name}: connection {how}, {len(host.connections)} others,"
                f" heard {quiet:.0f} ms ago"
            )
        host.record_connect_failure(now, refused=refused, disconnected=host.is_disconnected)
        host.next_connect_at_ms = now + host.backoff.again()
        if host.is_unreachable(self.connect_ms, disconnected=host.is_disconnected):
            host.is_reported_unreachable = True
            self.exchange.reached(host.name, up=False)
        self._on_capacity_freed()

    def on_host_heard(self, host: PooledHost) -> None:
        """It was heard, or a connection came up."""
        if host.is_reported_unreachable:
            host.is_reported_unreachable = False
            self.exchange.reached(host.name, up=True)

    def on_connection_lost(self, host: PooledHost, link: HostConnection, why: str) -> None:
        """A release that was on its way comes again on the next connection opened: it is opened at once."""
        now = self.loop.now()
        if host.record_connection_lost(
            now, idle=now - link.last_used_at_ms > self.idle_ms, disconnected=host.is_disconnected
        ):
            host.next_connect_at_ms = now  # earlier refusals, as of a host that drains, say nothing of this
        lasted = now - link.connected_at_ms
        if lasted < HOST.steady_ms:
            # One that takes connections and ends them at once was asked again as fast as the loop went.
            host.next_connect_at_ms = now + host.backoff.again(lasted)
        if standing := self.exchange.standing.get(host.name):
            left = f"{len(standing)} tasks stand, {len(host.connections)} links left"
            self.log(f"host {host.name}: link ended, {why}; {left}")
            self._reconnect(host)

    def _reconnect(self, host: PooledHost, demand: Demand = Demand.LISTEN) -> None:
        connecting = any(link.stream is None for link in host.connections)
        if connecting or not host.address[1] or self.loop.now() < host.next_connect_at_ms:
            return
        self._retire_liveness_checks(host)  # first: where nothing is free its descriptor serves the next
        if self._make_room(demand):
            self._open_connection(host, visit=bool(host.connections))

    # ---- the list ----

    def apply_list_change(self, news: ListChange) -> None:
        names = {host.machine.name for host in news.hosts}
        for name, host in self.hosts_by_name.items() if news.whole else ():
            if name not in names:
                host.record_removed(self.loop.now())
        for told in news.hosts:
            self._apply_host_entry(told)

    def _apply_host_entry(self, told: HostEntry) -> None:
        name, now = told.machine.name, self.loop.now()
        host = self.hosts_by_name.get(name) or self._add_host(name)
        if told.machine.phase is api.MachinePhase.REMOVED:
            host.record_removed(now)
            return
        host.record_listed(draining=told.machine.phase is api.MachinePhase.DRAINING)
        if told.address != host.address:
            self._abort_connections(host, "its host has another address")
            host.address = told.address
            self.mark_changed(host)
        other = self.host_names_by_address.get(told.address, name)
        self.host_names_by_address[told.address] = name
        if other != name and other in self.hosts_by_name:
            self._handle_address_taken(self.hosts_by_name[other])
        before, host.process_started_unix_ms = host.process_started_unix_ms, told.started_ms
        if before is not None and before < told.started_ms:
            # A start that was told before says nothing new: by a clock that is behind it lies ahead for ever.
            start = when(told.started_ms - self.channel.ahead_ms, now)
            self._declare_tasks_lost(host, "a later start is in the list", start)

    def _handle_address_taken(self, host: PooledHost) -> None:
        """Another id has its address: connections there would reach the wrong one."""
        host.record_removed(self.loop.now())
        self._abort_connections(host, "another host has its address")
        host.address = ("", 0)
        self.mark_changed(host)
        self._declare_tasks_lost(host, "another host has its address")

    def _add_host(self, name: str) -> PooledHost:
        self.created_host_count += 1
        host = self.hosts_by_name[name] = PooledHost(
            name, self.loop.now(), self.random, self.created_host_count, self.mark_changed
        )
        return host

    def _declare_tasks_lost(self, host: PooledHost, why: str, before: float = float("inf")) -> None:
        ended = self.exchange.host_lost(host.name, before)
        if ended:
            self.log(f"host {host.name}: {ended} tasks over, {why}")

    def _abort_connections(self, host: PooledHost, why: str) -> None:
        for link in list(host.connections):
            link.abort(why)

    # ---- now and then ----

    def mark_changed(self, host: PooledHost) -> None:
        """Something has happened on it that may bring forward when it has to be looked at."""
        self.due_hosts.mark(host)

    def _on_standing_changed(self, name: str) -> None:
        """The first task has come to stand there, or the last one has ended."""
        host = self.hosts_by_name.get(name)
        if host is None:
            self.unlisted_host_names[name] = None
        else:
            self.mark_changed(host)

    def _tick(self) -> None:
        self.loop.call_in(TICK_MS, self._tick)
        now = self.loop.now()
        late, self.last_tick_at_ms = now - self.last_tick_at_ms > STANDSTILL_MS, now
        if late:
            return  # after a standstill what hosts said meanwhile lies unread: it is read first
        self.tick_count += 1
        self._on_capacity_freed()  # a moment ago too many may have been begun
        names, self.unlisted_host_names = self.unlisted_host_names, {}
        for name in names:
            if name in self.exchange.standing and name not in self.hosts_by_name:
                self._add_host(name).record_removed(now)
            elif name in self.hosts_by_name:
                self.mark_changed(self.hosts_by_name[name])
        if DueQueue.checked:
            self._check_skipped_hosts(now)
        for host in self.due_hosts.take(now):
            if self.hosts_by_name.get(host.name) is host:
                self._maintain_host(host, now)
            if self.hosts_by_name.get(host.name) is host:
                self.due_hosts.put(host, self._next_maintenance_ms(host))
            else:
                self._forget_host(host)

    def _maintain_host(self, host: PooledHost, now: float) -> None:
        """All that has to be done at a host by now."""
        if host.name in self.exchange.standing:
            self._assess_host(host, now)
        elif host.unsent_releases:
            self._reconnect(host, Demand.ATTEMPT)
        self._close_unneeded(host, now)
        self._refile(host)
        if not host.connections:
            self.connected_hosts.discard(host)
        if not host.pending_releases:
            self.releasing_hosts.discard(host)

    def _forget_host(self, host: PooledHost) -> None:
        self.connected_hosts.discard(host)
        self.releasing_hosts.discard(host)
        self.due_hosts.put(host, NEVER)

    def _next_maintenance_ms(self, host: PooledHost) -> float:
        """When it has to be looked at again if nothing happens on it; what is past: in the next tick.

        Each line answers one of `_look`, `_again`, `_tidy` and `_file`; `_check` sets them against it."""
        stands, links_of = host.name in self.exchange.standing, host.connections
        due = NEVER
        if stands:
            due = host.next_assessment_ms(
                has_address=bool(host.address[1]),
                has_connection=bool(links_of),
                quiet_limit_ms=look_ms(self.allocator_count),
            )
        elif host.unsent_releases and host.address[1] and all(link.stream for link in links_of):
            due = host.next_connect_at_ms
        if host.is_removed and not stands and not any(link.open_attempt_count for link in links_of):
            due = -NEVER
        for link in links_of:
            if not link.is_idle:
                continue
            if link.is_liveness_check and not stands:
                due = -NEVER
            elif not link.is_liveness_check and len(links_of) > 1:
                due = min(due, link.last_used_at_ms + SURPLUS_MS)
            if not (link.is_liveness_check or (stands and host.is_draining)):
                due = min(due, link.last_used_at_ms + self.idle_ms)
            if self.descriptors.filed.get(link) is EvictionPriority.LISTENING:
                due = min(due, link.connected_at_ms + host_connections.LIVENESS_CHECK_MS)
        return due

    def _check_skipped_hosts(self, now: float) -> None:
        """By the plain way: whoever is passed over has nothing to be done, and its links their worth."""
        turns = self.due_hosts.gather(now)
        for host in self.hosts_by_name.values():
            if host not in turns:
                assert self._next_maintenance_ms(host) > now, (
                    host.name,
                    now,
                    self._next_maintenance_ms(host),
                    vars(host),
                )
                for link in host.connections:
                    assert self.descriptors.filed.get(link) in (None, link.worth()), (host.name, vars(link))
            assert host in self.connected_hosts or not host.connections
            assert host in self.releasing_hosts or not host.pending_releases

    def _assess_host(self, host: PooledHost, now: float) -> None:
        """Whether a host with standing tasks lives: `life.py` says what is to be done."""
        assessment = host.assess(
            now,
            has_address=bool(host.address[1]),
            has_connection=bool(host.connections),
            quiet_limit_ms=look_ms(self.allocator_count),
        )
        if assessment.action is DetectorAction.DECLARE_DEAD:
            self._declare_tasks_lost(host, assessment.reason)
            return
        if assessment.action is DetectorAction.CONNECT_NOW:
            host.next_connect_at_ms = now
        if assessment.action is not DetectorAction.NOTHING:
            self._reconnect(host)

    def _close_unneeded(self, host: PooledHost, now: float) -> None:
        """Ends links that nobody needs, and forgets hosts that are gone."""
        stands = host.name in self.exchange.standing
        for link in sorted(
            host.connections, key=lambda link: (not link.is_unresponsive, link.last_used_at_ms)
        ):
            idle = now - link.last_used_at_ms if link.is_idle and not link.is_liveness_check else 0.0
            if idle > SURPLUS_MS and any(li is not link and self._is_healthy(li) for li in host.connections):
                link.close_gracefully("another is enough")
                if stands:
                    self._reconnect(host)  # at once: see _retire
            elif link.is_liveness_check and not stands and link.is_idle:
                link.close_gracefully("nothing stands there")
            elif idle > self.idle_ms and not stands:
                link.close_gracefully("idle")
            elif idle > self.idle_ms and not host.is_draining:
                self._reconnect(host)  # a new one first: the host would close this with a release on its way
        if (
            host.is_removed
            and host.name not in self.exchange.standing
            and not any(li.open_attempt_count for li in host.connections)
        ):
            self._abort_connections(host, "its host is gone")
            del self.hosts_by_name[host.name]
            if self.host_names_by_address.get(host.address) == host.name:
                del self.host_names_by_address[host.address]
