"""A stand-in machine: what it accepts, how fast it starts, what its tasks use, when it evicts or falls over.

No sockets: `hosts` carries its words. It follows what the users tell of their machines: asks are looked at
one at a time, a few starts at once, starts without the program take many times longer, a cold machine starts
slowly and falls over when offered too much, memory that runs out evicts the lowest priority first."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from glencleat.event_loop import Loop
from glencleat.event_loop.timers import Timer

MAX_CONCURRENT_STARTS = 2  # starts at once


@dataclass(frozen=True, slots=True)
class MachineProfile:
    """How all machines of a play behave."""

    cores_overcommit: float = 2.0
    memory_overcommit: float = 1.5
    decide_ms: float = 8.0
    max_queued_offers: int = 32
    start_ms: float = 40.0
    missing_program_factor: float = 8.0  # times longer
    max_kept_programs: int = 8  # programs kept after their last task
    cold_speed_factor: float = 0.16  # of the usual pace
    warm_up_ms: float = 16_000.0
    max_cold_offers: float = 20.0  # offers within cold_offer_window_ms that push a wholly cold machine over
    cold_offer_window_ms: float = 1_000.0
    cores_use_range: tuple[float, float] = (0.3, 0.8)  # of the ask, cores
    memory_use_range: tuple[float, float] = (0.5, 0.9)
    life_range_ms: tuple[float, float] = (2_000.0, 8_000.0)


@dataclass(slots=True, eq=False)
class HeldTask:
    """A task that the machine has taken."""

    id: str
    allocator: str
    service: str
    key: str
    priority: int
    cores: float
    memory: float
    life_ms: float
    usage: tuple[float, float]
    is_running: bool = False
    timer: Timer | None = None


@dataclass(frozen=True, slots=True)
class TaskOffer:
    id: str
    allocator: str
    service: str
    key: str
    effect: str
    priority: int
    cores: float
    memory: float
    life_ms: float | None
    received_at: float
    answer_within_ms: float


@dataclass(slots=True)
class MachineFaults:
    """What a script does to a machine; each is on or off."""

    is_silent: bool = False  # reads and says nothing
    is_falsely_full: bool = False  # refuses although it has room
    is_draining: bool = False
    is_crowded: bool = False  # another program takes half of it
    drops_reports: bool = False  # its reports don't come


SendStatus = Callable[[str, str, str, str | None, str | None], None]  # allocator, task, state, reason, cause


@dataclass
class EmulatedMachine:
    loop: Loop
    random: Random
    name: str
    kind: str
    cores: float
    memory: float
    profile: MachineProfile
    send_status: SendStatus
    on_started: Callable[[HeldTask], None]
    on_overloaded: Callable[[], None]
    cold_since: float = float("-inf")
    faults: MachineFaults = field(default_factory=MachineFaults)
    tasks_by_id: dict[str, HeldTask] = field(default_factory=dict)
    offer_queue: deque[TaskOffer] = field(default_factory=deque)
    start_queue: deque[HeldTask] = field(default_factory=deque)  # accepted, not yet starting
    starting_count: int = 0
    kept_programs: dict[str, None] = field(default_factory=dict)
    offer_times: deque[float] = field(default_factory=deque)
    decision_timer: Timer | None = None
    incarnation: int = 0  # counts starts of the machine; a timer of an older one does nothing

    # ---- asks ----

    def receive_offer(self, offer: TaskOffer) -> None:
        if self._pushed_over():
            self.on_overloaded()
            return
        if len(self.offer_queue) >= self.profile.max_queued_offers:
            self._refuse(offer, "line")
            return
        self.offer_queue.append(offer)
        self._decide_next()

    def _pushed_over(self) -> bool:
        now, nature = self.loop.now(), self.profile
        self.offer_times.append(now)
        while self.offer_times and now - self.offer_times[0] > nature.cold_offer_window_ms:
            self.offer_times.popleft()
        return (
            self.speed_factor() < 1.0
            and len(self.offer_times)
            > nature.max_cold_offers * self.speed_factor() / nature.cold_speed_factor
        )

    def speed_factor(self) -> float:
        """Share of its usual pace for starts: 1 when warm."""
        warm = min(1.0, max(0.0, (self.loop.now() - self.cold_since) / self.profile.warm_up_ms))
        return self.profile.cold_speed_factor + (1.0 - self.profile.cold_speed_factor) * warm

    def _decide_next(self) -> None:
        if self.decision_timer is None and self.offer_queue:
            self.decision_timer = self._later(self.profile.decide_ms, self._decide)

    def _decide(self) -> None:
        self.decision_timer = None
        if not self.offer_queue:
            return
        offer = self.offer_queue.popleft()
        cause = self._cause(offer)
        if cause is None:
            self._take(offer)
        else:
            self._refuse(offer, cause)
        self._decide_next()

    def _cause(self, offer: TaskOffer) -> str | None:
        """Why it can't take the ask, or None."""
        nature, now = self.profile, self.loop.now()
        if self.faults.is_draining or now - offer.received_at > offer.answer_within_ms:
            return "not here"
        if offer.effect == "keyed" and any(h.key == offer.key for h in self.tasks_by_id.values()):
            return "not here"  # a copy stands
        if self.faults.is_falsely_full:
            return "cores"
        if (
            sum(h.cores for h in self.tasks_by_id.values()) + offer.cores
            > self.cores * nature.cores_overcommit
        ):
            return "cores"
        if (
            sum(h.memory for h in self.tasks_by_id.values()) + offer.memory
            > self.memory * nature.memory_overcommit
        ):
            return "memory"
        return None

    def _refuse(self, offer: TaskOffer, cause: str) -> None:
        self.send_status(offer.allocator, offer.id, "TASK_DROPPED", None, cause)

    def _take(self, offer: TaskOffer) -> None:
        uses = (
            offer.cores * self.random.uniform(*self.profile.cores_use_range),
            offer.memory * self.random.uniform(*self.profile.memory_use_range),
        )
        life = offer.life_ms or self.random.uniform(*self.profile.life_range_ms)
        held = HeldTask(
            offer.id,
            offer.allocator,
            offer.service,
            offer.key,
            offer.priority,
            offer.cores,
            offer.memory,
            life,
            uses,
        )
        self.tasks_by_id[held.id] = held
        self.send_status(offer.allocator, held.id, "TASK_STARTING", None, None)
        self.start_queue.append(held)
        self._start_next()

    # ---- starts and ends ----

    def _start_next(self) -> None:
        while self.start_queue and self.starting_count < MAX_CONCURRENT_STARTS:
            held = self.start_queue.popleft()
            if held.id not in self.tasks_by_id:
                continue
            there = held.service in self.kept_programs or any(
                h.is_running and h.service == held.service for h in self.tasks_by_id.values()
            )
            work = (
                self.profile.start_ms
                * (1.0 if there else self.profile.missing_program_factor)
                / self.speed_factor()
            )
            self.starting_count += 1
            held.timer = self._later(work, lambda held=held: self._started(held))  # type: ignore[misc]

    def _started(self, held: HeldTask) -> None:
        self.starting_count -= 1
        if held.id in self.tasks_by_id:
            held.is_running = True
            self.kept_programs.pop(held.service, None)
            self.kept_programs[held.service] = None
            while len(self.kept_programs) > self.profile.max_kept_programs:
                del self.kept_programs[next(iter(self.kept_programs))]
            self.on_started(held)
            self.send_status(held.allocator, held.id, "TASK_RUNNING", None, None)
            held.timer = self._later(held.life_ms, lambda: self.end_task(held, "TASK_FINISHED", None))
            self.evict_for_memory()
        self._start_next()

    def evict_for_memory(self) -> None:
        """Ends tasks, lowest priority first, until memory suffices."""
        while self.memory_used_share() > 1.0 and any(h.is_running for h in self.tasks_by_id.values()):
            victim = min(
                (h for h in self.tasks_by_id.values() if h.is_running), key=lambda h: (h.priority, -h.memory)
            )
            self.end_task(victim, "TASK_FAILED", "REASON_CONTAINER_LIMITATION_MEMORY")

    def end_task(self, held: HeldTask, state: str, reason: str | None) -> None:
        if self.tasks_by_id.pop(held.id, None) is None:
            return
        if held.timer is not None and held.is_running:
            held.timer.cancel()
        self.send_status(held.allocator, held.id, state, reason, None)

    def kill_task(self, task: str) -> None:
        """A KILL: of a task in the line, one that starts, or one that runs."""
        for offer in [o for o in self.offer_queue if o.id == task]:
            self.offer_queue.remove(offer)
            self.send_status(offer.allocator, task, "TASK_DROPPED", None, "not here")
        held = self.tasks_by_id.get(task)
        if held is not None:
            self.end_task(held, "TASK_KILLED", None)

    # ---- the machine itself ----

    def _later(self, ms: float, call: Callable[[], None]) -> Timer:
        run = self.incarnation

        def start_queue() -> None:
            if run == self.incarnation:
                call()

        return self.loop.call_in(ms, start_queue)

    def start(self, cold: bool) -> None:
        self.incarnation += 1
        self.cold_since = self.loop.now() if cold else float("-inf")

    def stop(self) -> None:
        """All that it held is gone, without a word."""
        self.incarnation += 1
        self.tasks_by_id.clear()
        self.offer_queue.clear()
        self.start_queue.clear()
        self.kept_programs.clear()
        self.offer_times.clear()
        self.starting_count, self.decision_timer = 0, None

    def drain(self) -> None:
        self.faults.is_draining = True

    def finish_drain(self) -> None:
        """The end of a drain: what still runs is sent away."""
        for held in list(self.tasks_by_id.values()):
            self.end_task(held, "TASK_KILLED", "REASON_AGENT_DRAINING")

    # ---- reports ----

    def cores_used(self) -> float:
        own = sum(h.usage[0] for h in self.tasks_by_id.values() if h.is_running)
        return own + (0.5 * self.cores if self.faults.is_crowded else 0.0)

    def memory_used_share(self) -> float:
        return sum(h.usage[1] for h in self.tasks_by_id.values() if h.is_running) / self.memory

    def allocated(self) -> tuple[float, float]:
        return sum(h.cores for h in self.tasks_by_id.values()), sum(
            h.memory for h in self.tasks_by_id.values()
        )
