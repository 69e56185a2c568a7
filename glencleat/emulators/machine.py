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

LANES = 2  # starts at once


@dataclass(frozen=True, slots=True)
class Nature:
    """How all machines of a play behave."""

    accept_cores: float = 2.0
    accept_memory: float = 1.5
    decide_ms: float = 8.0
    line: int = 32
    start_ms: float = 40.0
    without_program: float = 8.0  # times longer
    keeps: int = 8  # programs kept after their last task
    cold_from: float = 0.16  # of the usual pace
    warm_ms: float = 16_000.0
    tip_offers: float = 20.0  # offers within tip_ms that push a wholly cold machine over
    tip_ms: float = 1_000.0
    use: tuple[float, float] = (0.3, 0.8)  # of the ask, cores
    memory_use: tuple[float, float] = (0.5, 0.9)
    life_ms: tuple[float, float] = (2_000.0, 8_000.0)


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
    uses: tuple[float, float]
    running: bool = False
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
    came_at: float
    within_ms: float


@dataclass(slots=True)
class Faults:
    """What a script does to a machine; each is on or off."""

    silent: bool = False  # reads and says nothing
    false_full: bool = False  # refuses although it has room
    draining: bool = False
    crowded: bool = False  # another program takes half of it
    mute: bool = False  # its reports don't come


Say = Callable[[str, str, str, str | None, str | None], None]  # allocator, task, state, reason, cause


@dataclass
class EmulatedMachine:
    loop: Loop
    random: Random
    name: str
    kind: str
    cores: float
    memory: float
    nature: Nature
    say: Say
    started: Callable[[HeldTask], None]
    fell: Callable[[], None]
    up_at: float = float("-inf")
    faults: Faults = field(default_factory=Faults)
    held: dict[str, HeldTask] = field(default_factory=dict)
    line: deque[TaskOffer] = field(default_factory=deque)
    due: deque[HeldTask] = field(default_factory=deque)  # accepted, not yet starting
    starting: int = 0
    kept: dict[str, None] = field(default_factory=dict)
    offers_at: deque[float] = field(default_factory=deque)
    deciding: Timer | None = None
    run: int = 0  # counts starts of the machine; a timer of an older one does nothing

    # ---- asks ----

    def offer(self, offer: TaskOffer) -> None:
        if self._pushed_over():
            self.fell()
            return
        if len(self.line) >= self.nature.line:
            self._refuse(offer, "line")
            return
        self.line.append(offer)
        self._decide_next()

    def _pushed_over(self) -> bool:
        now, nature = self.loop.now(), self.nature
        self.offers_at.append(now)
        while self.offers_at and now - self.offers_at[0] > nature.tip_ms:
            self.offers_at.popleft()
        return self.pace() < 1.0 and len(self.offers_at) > nature.tip_offers * self.pace() / nature.cold_from

    def pace(self) -> float:
        """Share of its usual pace for starts: 1 when warm."""
        warm = min(1.0, max(0.0, (self.loop.now() - self.up_at) / self.nature.warm_ms))
        return self.nature.cold_from + (1.0 - self.nature.cold_from) * warm

    def _decide_next(self) -> None:
        if self.deciding is None and self.line:
            self.deciding = self._later(self.nature.decide_ms, self._decide)

    def _decide(self) -> None:
        self.deciding = None
        if not self.line:
            return
        offer = self.line.popleft()
        cause = self._cause(offer)
        if cause is None:
            self._take(offer)
        else:
            self._refuse(offer, cause)
        self._decide_next()

    def _cause(self, offer: TaskOffer) -> str | None:
        """Why it can't take the ask, or None."""
        nature, now = self.nature, self.loop.now()
        if self.faults.draining or now - offer.came_at > offer.within_ms:
            return "not here"
        if offer.effect == "keyed" and any(h.key == offer.key for h in self.held.values()):
            return "not here"  # a copy stands
        if self.faults.false_full:
            return "cores"
        if sum(h.cores for h in self.held.values()) + offer.cores > self.cores * nature.accept_cores:
            return "cores"
        if sum(h.memory for h in self.held.values()) + offer.memory > self.memory * nature.accept_memory:
            return "memory"
        return None

    def _refuse(self, offer: TaskOffer, cause: str) -> None:
        self.say(offer.allocator, offer.id, "TASK_DROPPED", None, cause)

    def _take(self, offer: TaskOffer) -> None:
        uses = (
            offer.cores * self.random.uniform(*self.nature.use),
            offer.memory * self.random.uniform(*self.nature.memory_use),
        )
        life = offer.life_ms or self.random.uniform(*self.nature.life_ms)
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
        self.held[held.id] = held
        self.say(offer.allocator, held.id, "TASK_STARTING", None, None)
        self.due.append(held)
        self._start_next()

    # ---- starts and ends ----

    def _start_next(self) -> None:
        while self.due and self.starting < LANES:
            held = self.due.popleft()
            if held.id not in self.held:
                continue
            there = held.service in self.kept or any(
                h.running and h.service == held.service for h in self.held.values()
            )
            work = self.nature.start_ms * (1.0 if there else self.nature.without_program) / self.pace()
            self.starting += 1
            held.timer = self._later(work, lambda held=held: self._started(held))  # type: ignore[misc]

    def _started(self, held: HeldTask) -> None:
        self.starting -= 1
        if held.id in self.held:
            held.running = True
            self.kept.pop(held.service, None)
            self.kept[held.service] = None
            while len(self.kept) > self.nature.keeps:
                del self.kept[next(iter(self.kept))]
            self.started(held)
            self.say(held.allocator, held.id, "TASK_RUNNING", None, None)
            held.timer = self._later(held.life_ms, lambda: self.end(held, "TASK_FINISHED", None))
            self.evict()
        self._start_next()

    def evict(self) -> None:
        """Ends tasks, lowest priority first, until memory suffices."""
        while self.memory_used() > 1.0 and any(h.running for h in self.held.values()):
            victim = min((h for h in self.held.values() if h.running), key=lambda h: (h.priority, -h.memory))
            self.end(victim, "TASK_FAILED", "REASON_CONTAINER_LIMITATION_MEMORY")

    def end(self, held: HeldTask, state: str, reason: str | None) -> None:
        if self.held.pop(held.id, None) is None:
            return
        if held.timer is not None and held.running:
            held.timer.cancel()
        self.say(held.allocator, held.id, state, reason, None)

    def kill(self, task: str) -> None:
        """A KILL: of a task in the line, one that starts, or one that runs."""
        for offer in [o for o in self.line if o.id == task]:
            self.line.remove(offer)
            self.say(offer.allocator, task, "TASK_DROPPED", None, "not here")
        held = self.held.get(task)
        if held is not None:
            self.end(held, "TASK_KILLED", None)

    # ---- the machine itself ----

    def _later(self, ms: float, call: Callable[[], None]) -> Timer:
        run = self.run

        def due() -> None:
            if run == self.run:
                call()

        return self.loop.call_in(ms, due)

    def start(self, cold: bool) -> None:
        self.run += 1
        self.up_at = self.loop.now() if cold else float("-inf")

    def stop(self) -> None:
        """All that it held is gone, without a word."""
        self.run += 1
        self.held.clear()
        self.line.clear()
        self.due.clear()
        self.kept.clear()
        self.offers_at.clear()
        self.starting, self.deciding = 0, None

    def drain(self) -> None:
        self.faults.draining = True

    def leave(self) -> None:
        """The end of a drain: what still runs is sent away."""
        for held in list(self.held.values()):
            self.end(held, "TASK_KILLED", "REASON_AGENT_DRAINING")

    # ---- reports ----

    def cores_used(self) -> float:
        own = sum(h.uses[0] for h in self.held.values() if h.running)
        return own + (0.5 * self.cores if self.faults.crowded else 0.0)

    def memory_used(self) -> float:
        return sum(h.uses[1] for h in self.held.values() if h.running) / self.memory

    def asked(self) -> tuple[float, float]:
        return sum(h.cores for h in self.held.values()), sum(h.memory for h in self.held.values())
