"""The REST front's subsystem put together: jobs on the core, what became of them, versions, watches.

An Insider of the core: its tasks pass the same ledger, figures, deciders and module as a framework's. What
is decided stands in `jobs`, `overload`, `reasons` and `channels`; this joins them, with timers and clock
from the core's loop. No sockets: `fronts.rest_api` calls `create`, `cancel_job`, `cancel_task` and
`patch`."""

from __future__ import annotations

import base64
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import xxhash

from glencleat import interface as api
from glencleat.allocator.call_table import Attempt, Call, FinalAnswer, TaskRequest
from glencleat.allocator.core import Core
from glencleat.allocator.domain_events import (
    AdmissionDecision,
    AttemptConcluded,
    AttemptSent,
    CallAnswered,
    CallForgotten,
    CallTaken,
    DomainEvent,
    PlacementOpened,
    TaskStatusReported,
)
from glencleat.allocator.status_mapping import (
    DROPPED,
    FINISHED,
    KILLED,
    RUNNING,
    STARTING,
    RetryAdvice,
    StatusAnswer,
    refusal,
)
from glencleat.allocator.status_mapping import AttemptStep as AttemptStep
from glencleat.mesos import messages as m
from glencleat.rest import overload
from glencleat.rest import schema as s
from glencleat.rest.jobs import (
    JobState,
    JobStep,
    Keys,
    Next,
    RoundRobin,
    Slot,
    after_end,
    after_round,
    round_ms,
)
from glencleat.rest.resource_mirror import Mirror, Seen
from glencleat.rest.version_store import Versions
from glencleat.rest.watches import WatchChannels
from glencleat.rest.watches import WatchLimits as WatchLimits

PREFIX = "rest"
FLUSH_MS = 2.0  # after the first change, all that changed meanwhile is published
FLUSHED = 100  # resources in one turn
AT_ONCE = 20  # tasks of a new job that are shown before its creation is answered
TURN_MS = 2.0  # between two turns in which creations get their rounds
FAN_MS = 1.0  # between two turns in which watchers are woken


@dataclass(frozen=True, slots=True)
class RestLimits:
    gate: overload.OverloadLimits = overload.OverloadLimits()
    watch: WatchLimits = WatchLimits()
    events: int = 20_000  # of each kind, kept to resume watches and finish lists
    ended: int = 10_000  # tasks of frameworks shown after their end
    over_ms: float = 600_000.0  # a job is shown so long after its end
    keys: int = 50_000
    sweep_ms: float = 500.0


class ConflictError(Exception):
    """The request does not fit the state; `status` is HTTP's word for it."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


class TooManyError(Exception):
    def __init__(self, turned: overload.OverloadRejection) -> None:
        super().__init__(turned.text)
        self.turned = turned


class RestService:
    prefix = PREFIX

    def __init__(self, core: Core, limits: RestLimits, seed: int) -> None:
        self.core, self.limits, self.random = core, limits, Random(seed)
        kinds = dict.fromkeys(s.KINDS, limits.events)
        self.versions = Versions(core.incarnation, kinds)
        self.channels = WatchChannels(limits.watch, self.versions.told)
        self.mirror = Mirror(
            core,
            lambda: core.startup_gate,
            self.versions,
            self.channels,
            core.timing.clock.wall,
            limits.ended,
        )
        self.mirror.stir = self._stir
        self.pace = overload.AdmissionPace()
        self.share, self.intake = overload.Fan(), overload.OverloadIntake()
        self.gate = overload.Gate(limits.gate, self.pace)
        self.turns = RoundRobin()
        self.keys = Keys(limits.keys, limits.over_ms)
        self.jobs: dict[tuple[str, str], JobState] = {}
        self.waiting: Counter[str] = Counter()  # slots that wait, by tenant
        self.jobs_of: Counter[str] = Counter()
        self.over: dict[JobState, None] = {}  # in the order in which they ended
        self.out: dict[str, float] = {}  # attempts of jobs' tasks without an answer -> when they were sent
        self.flushing = self.pumping = False
        self.pump_due = 0.0
        self.fanning = False
        self.cut: Callable[[Any], None] = lambda watcher: None  # set by the front
        core.register_owner(self)
        core.subscribe(self.hear)
        core.timing.call_in(limits.sweep_ms, self._sweep)

    def retune(self, limits: RestLimits) -> None:
        """Other bounds from here on; what is over a lower one goes as news comes."""
        self.limits, self.gate.limits, self.channels.limits = limits, limits.gate, limits.watch
        self.keys.most, self.keys.keep_ms, self.mirror.ended_most = limits.keys, limits.over_ms, limits.ended
        for kind in self.versions.kinds.values():
            kind.most = limits.events

    # ---- what clients ask ----

    def create(self, tenant: str, new: s.NewJob, key: str | None, body: bytes) -> tuple[JobState, bool]:
        """The job, and whether it is a new one; raises Conflict or TooMuch, and then nothing has changed."""
        now, fingerprint = self.core.now(), xxhash.xxh3_64_intdigest(body)
        if key is not None:
            known = self.keys.find(tenant, key)
            if known is not None and known[0] != fingerprint:
                raise ConflictError(
                    422, "the Idempotency-Key came before with another body; expected the same one"
                )
            if known is not None:
                return known[1], False
        cls = self.core.classes_by_name.get(new.spec.task_class)
        if cls is None:
            expected = ", ".join(self.core.classes_by_name)
            text = f"spec.class is {new.spec.task_class[:80]!r}; expected one of {expected}"
            raise ConflictError(422, text)
        least = 2.0 * self.core.options.answer_margin_ms
        if new.spec.wait_ms is not None and new.spec.wait_ms <= least:
            raise ConflictError(422, f"spec.waitMs is {new.spec.wait_ms:g}; expected more than {least:g}")
        if new.name is not None and (tenant, new.name) in self.jobs:
            raise ConflictError(409, f"job {new.name} of {tenant} is there already")
        if self.core.is_shutting_down:
            raise TooManyError(overload.OverloadRejection(503, "the allocator is shutting down", 5_000.0))
        if key is not None and not self.keys.room(now):
            raise TooManyError(
                overload.OverloadRejection(503, f"{self.limits.keys} idempotency keys are kept", 5_000.0)
            )
        here, waiting = self.waiting[tenant], self.waiting.total()
        tasks, queued = new.spec.tasks, self.turns.queued
        turned = self.gate.create(tenant, tasks, here, waiting, len(self.jobs), queued, now)
        if turned is not None:
            raise TooManyError(turned)
        job = self._made(tenant, new, cls, now)
        if key is not None:
            self.keys.note(tenant, key, fingerprint, job, now)
        return job, True

    def _made(self, tenant: str, new: s.NewJob, cls: api.TaskClass, now: float) -> JobState:
        uid = base64.b32encode(self.random.randbytes(10)).decode().lower()
        name = new.name or f"{new.spec.service[:40]}-{uid[:8]}".lower()
        wall = round(self.core.timing.clock.wall())
        job = JobState(tenant, name, uid, new.spec, cls, dict(new.labels), wall)
        self.jobs[tenant, name] = job
        self.jobs_of[tenant] += 1
        until = now + job.wait_ms()
        for number in range(new.spec.tasks):
            slot = Slot(job, number, until)
            job.slots.append(slot)
            self.waiting[tenant] += 1
            self._show(slot)
        self.mirror.flush_job(job)  # who reads the answer and then lists finds the job there
        for slot in job.slots[:AT_ONCE]:
            self.mirror.flush_task(self.seen(slot).key)
        self._expire_later(job.slots)
        return job

    def _show(self, slot: Slot) -> None:
        key = slot.job.tenant, owner_id(slot.job.tenant), slot.name()
        seen = self.mirror.tasks.get(key)
        if seen is None:
            seen = self.mirror.tasks[key] = Seen(key, slot.job.labels, slot.job.created_wall)
        seen.slot, seen.labels = slot, slot.job.labels
        self.mirror.ended.pop(key, None)
        self.mirror.touch(key)
        if seen.call is not None and seen.call.is_placed():
            self._join(slot, seen.call)  # it runs already: adopted from a former incarnation
        else:
            seen.wait()  # what an adopted one that is over has left behind is no answer to this ask
            self._queue(slot)

    def seen(self, slot: Slot) -> Seen:
        return self.mirror.tasks[slot.job.tenant, owner_id(slot.job.tenant), slot.name()]

    def cancel_job(self, job: JobState) -> None:
        """Stops all its tasks; once they are over, which may be at once, the job is gone."""
        job.cancelled = True
        for slot in job.slots:
            self.cancel_slot(slot)
        self.mirror.flush_job(job)
        if job.over():
            self._remove(job)

    def cancel_slot(self, slot: Slot) -> None:
        if slot.step is JobStep.OVER:
            return
        slot.cancelled = True
        if slot.step in (JobStep.QUEUED, JobStep.PAUSED):
            self._refuse(slot, StatusAnswer(KILLED, RetryAdvice.HARMLESS), "cancelled by its owner")
        elif slot.call is not None and slot.call.is_closed:  # out of sight; stopped should it come back
            self._step(slot, JobStep.OVER)
            self._settled(slot.job)
        elif slot.call is not None:
            self.core.framework_sessions.withdraw(slot.call)  # its answer, or its end, follows

    def cancel_task(self, seen: Seen) -> None:
        if seen.slot is not None:
            self.cancel_slot(seen.slot)
        elif seen.call is not None:
            self.core.framework_sessions.withdraw(seen.call)
        self.mirror.flush_task(seen.key)

    def patch(self, job: JobState, labels: dict[str, str | None]) -> None:
        """Merges labels into the job's and its tasks'; raises Conflict."""
        merged = {k: v for k, v in (job.labels | labels).items() if v is not None}
        if len(merged) > s.LABELS_MOST:
            raise ConflictError(422, f"labels would be {len(merged)}; expected at most {s.LABELS_MOST}")
        job.labels = merged
        for slot in job.slots:
            seen = self.seen(slot)
            seen.labels = merged
            self.mirror.touch(seen.key)
        self.mirror.flush_job(job)

    # ---- rounds ----

    def _queue(self, slot: Slot) -> None:
        self.turns.queue(slot)
        self._pump_soon()

    def _pump_soon(self) -> None:
        if self.pumping or not self.core.startup_gate.is_open:
            return
        self.pumping = True
        self.pump_due = self.core.timing.now() + TURN_MS
        self.core.timing.call_in(TURN_MS, self._pump)

    def _pump(self) -> None:
        """Gives waiting tasks their round for as long as this turn's time lasts."""
        self.pumping = False
        began = self.core.timing.now()
        budget, told = self.pace.begins(began, self.pump_due), 0
        self.turns.wake(self.core.now())
        full = self.pace.full(len(self.out))
        while not full and (self.core.timing.now() - began < budget or not told):
            slot = self.turns.pop()
            if slot is None:
                break
            told += 1
            self._round(slot)
            full = len(self.out) >= self.pace.window
        self.pace.ends(self.core.timing.now(), told, self.turns.queued)
        due = self.turns.due()
        if self.turns.queued:
            self._pump_soon()
        elif due is not None:
            self._pump_at(due)

    def _pump_at(self, due: float) -> None:
        def look() -> None:
            if self.turns.due() is not None:
                self._pump_soon()

        self.core.timing.call_in(max(0.0, due - self.core.now()), look)

    def _round(self, slot: Slot) -> None:
        core, job = self.core, slot.job
        left = round_ms(slot, core.now(), core.options.answer_margin_ms)
        if left <= 0.0:
            self._refuse(slot, refusal(False))
            return
        spec, name = job.spec, slot.name()
        key = f"{spec.key}.{slot.number}" if spec.key is not None else f"{name}.{job.uid}"
        ask = TaskRequest(
            job.cls.name, spec.service, key, spec.cores, spec.memory, left, spec.life_ms, slot.rounds > 0,
            spec.key is not None,
        )  # fmt: skip
        info = m.TaskInfo(
            name=spec.service,
            task_id=m.Value(name),
            resources=m.resources(spec.cores, spec.memory),
            data=spec.data,
        )
        slot.step, slot.rounds = JobStep.ASKED, slot.rounds + 1
        taken = core.framework_sessions.take_inside(owner_id(job.tenant), job.tenant, info, ask, slot.record)
        if isinstance(taken, AdmissionDecision):
            given = FinalAnswer.REJECTED if taken.answer.retry is RetryAdvice.HARMLESS else FinalAnswer.FAILED
            self._after(
                slot, after_round(slot, given, taken.answer, core.now(), self.random), taken.answer, given
            )
            self.seen(slot).message = taken.text
        elif slot.call is not taken:
            self._join(slot, taken)

    def _join(self, slot: Slot, call: Call) -> None:
        """The task is there already: adopted from a former incarnation."""
        slot.call = self.seen(slot).call = call
        if call.final_answer is FinalAnswer.PLACED:
            self._step(slot, JobStep.PLACED)
            slot.placed_once, slot.given = True, FinalAnswer.PLACED
            last = call.last_attempt()
            starting = last is None or last.step is AttemptStep.ACCEPTED
            answer = StatusAnswer(STARTING if starting else RUNNING, RetryAdvice.NEVER)
            self.seen(slot).answer = FinalAnswer.PLACED.value
            self.seen(slot).tell(answer, None, last.machine if last is not None else None)
        self.mirror.touch(self.seen(slot).key)

    def _step(self, slot: Slot, step: JobStep) -> None:
        was, now = slot.step in WAITS, step in WAITS
        if was != now:
            self.waiting[slot.job.tenant] += now - was
        slot.step = step

    def _refuse(self, slot: Slot, answer: StatusAnswer, text: str | None = None) -> None:
        """The final answer of a task that has no round out."""
        if text is None:
            text = slot.record.text(len(self.core.listed_machines or ()))
        self._after(slot, Next(JobStep.OVER), answer, FinalAnswer.REJECTED, text)

    def _after(
        self, slot: Slot, then: Next, answer: StatusAnswer, given: FinalAnswer, text: str | None = None
    ) -> None:
        seen, now = self.seen(slot), self.core.now()
        self.mirror.touch(seen.key)
        if then.step is JobStep.PAUSED:
            seen.wait()
            self._step(slot, JobStep.PAUSED)
            self.turns.pause(slot, now + then.pause_ms)
            self._pump_at(now + then.pause_ms)
            return
        self._step(slot, then.step)
        slot.given, seen.answer = given, given.value
        last = slot.call.last_attempt() if slot.call is not None and then.step is JobStep.PLACED else None
        seen.tell(answer, text, last.machine if last is not None else None)
        if then.step is JobStep.OVER:
            self._settled(slot.job)

    # ---- hearing the core ----

    def is_wanted(self, call: Call) -> bool:
        seen = self.mirror.of(call)
        return seen is not None and (seen.slot is None or not seen.slot.cancelled)

    def hear(self, what: DomainEvent) -> None:
        if not self._ours(what):
            self.mirror.hear(what)
        if isinstance(what, AttemptSent):
            if what.attempt.call.framework.startswith(PREFIX + ":"):
                self.out[what.attempt.id] = what.attempt.sent_at_ms
        elif isinstance(what, AttemptConcluded):
            self._heard(what.attempt, what.outcome is api.Outcome.REJECTED)
        elif isinstance(what, CallAnswered) and what.final_answer is FinalAnswer.PLACED:
            self._heard(what.call.last_attempt(), True)
        elif isinstance(what, PlacementOpened):
            self._pump_soon()

    def _heard(self, attempt: Attempt | None, answered: bool) -> None:
        """An attempt is no longer out; `answered`: its machine said so."""
        sent = self.out.pop(attempt.id, None) if attempt is not None else None
        if sent is not None and answered:
            self.pace.answered(self.core.now() - sent)

    def _ours(self, what: DomainEvent) -> bool:
        """Whether it is about a job's task; then it is handled here."""
        if not isinstance(what, TaskStatusReported | CallTaken | CallAnswered | CallForgotten):
            return False
        seen = self.mirror.of(what.call)
        if seen is None or seen.slot is None:
            return False
        if isinstance(what, CallTaken):
            seen.call = seen.slot.call = what.call
        elif isinstance(what, TaskStatusReported) and what.call is seen.slot.call:
            self._told(seen.slot, seen, what)
        self.mirror.touch(seen.key)
        return True

    def _told(self, slot: Slot, seen: Seen, what: TaskStatusReported) -> None:
        answer, given = what.answer, what.call.final_answer
        if slot.step is JobStep.ASKED and given is not None:
            then = after_round(slot, given, answer, self.core.now(), self.random)
            slot.placed_once |= then.step is JobStep.PLACED
            self._after(slot, then, answer, given, what.text)
        elif answer.state in (STARTING, RUNNING):
            # Also one that was told as failed, or that was to be placed anew, and is found to run: it is
            # placed from here on, and nothing more is asked for it.
            self.mirror.told(what.call, answer, what.text)
            slot.placed_once = True
            if slot.step is not JobStep.PLACED:
                self._step(slot, JobStep.PLACED)
                slot.given = slot.given or FinalAnswer.PLACED
                seen.answer = slot.given.value
                self.over.pop(slot.job, None)
                slot.job.over_at = None
        elif slot.step is JobStep.PLACED:
            then = after_end(slot, answer)
            if then.step is JobStep.PAUSED:
                self._again(slot, then)
                return
            self.mirror.told(what.call, answer, what.text)
            slot.finished = answer.state == FINISHED
            self._step(slot, then.step)
            if then.step is JobStep.OVER:
                self._settled(slot.job)
        else:
            self.mirror.told(what.call, answer, what.text)  # what has become known of a failed one

    def _again(self, slot: Slot, then: Next) -> None:
        """A task that was placed and lost is asked for anew, with its whole time before it."""
        now = self.core.now()
        slot.until, slot.rounds, slot.given = now + then.pause_ms + slot.job.wait_ms(), 0, None
        self._after(slot, then, StatusAnswer(DROPPED, RetryAdvice.HARMLESS), FinalAnswer.REJECTED)
        self._expire_later([slot])

    # ---- time ----

    def _expire_later(self, slots: list[Slot]) -> None:
        until = slots[0].until

        def expire() -> None:
            for slot in slots:
                if slot.step in (JobStep.QUEUED, JobStep.PAUSED) and slot.until <= until:
                    self._refuse(slot, refusal(False))

        margin = self.core.options.answer_margin_ms
        self.core.timing.call_in(max(0.0, until - margin - self.core.now()), expire)

    def _settled(self, job: JobState) -> None:
        """Looks whether the job is over; a cancelled one is then gone at once."""
        self.mirror.touch_job(job)
        if not job.over():
            return
        job.over_at = self.core.now()
        self.over[job] = None
        if job.cancelled:
            self.core.timing.call_in(0.0, lambda: self._remove(job))

    def _remove(self, job: JobState) -> None:
        if job.gone or not job.over():
            return
        job.gone = True
        self.over.pop(job, None)
        self.jobs.pop((job.tenant, job.name), None)
        self.jobs_of[job.tenant] -= 1
        if not self.jobs_of[job.tenant]:
            del self.jobs_of[job.tenant]
            self.turns.forget(job.tenant)
            if not self.waiting[job.tenant]:
                del self.waiting[job.tenant]
        for slot in job.slots:
            key = self.seen(slot).key
            self.mirror.flush_task(key)  # the last state is seen before it goes
            self.mirror.drop(key)
        self.mirror.flush_job(job)

    def _sweep(self) -> None:
        self.core.timing.call_in(self.limits.sweep_ms, self._sweep)
        self.mirror.sweep()
        now = self.core.now()
        while self.over:
            job = next(iter(self.over))
            crowded = len(self.jobs) > 0.9 * self.limits.gate.jobs
            if job.over_at is None or not (crowded or now - job.over_at > self.limits.over_ms):
                break
            self._remove(job)
        for watcher in self.channels.stalled(now):
            self.cut(watcher)

    def _stir(self) -> None:
        if not self.flushing:
            self.flushing = True
            self.core.timing.call_in(FLUSH_MS, self._flush)

    def _flush(self) -> None:
        self.flushing = False
        if self.mirror.flush(FLUSHED):
            self._stir()
        self.fan()

    def fan(self) -> None:
        """Wakes watchers with news, some in each turn of the loop, so that no decision waits for them all."""
        if self.channels.awake and not self.fanning:
            self.fanning = True
            self.core.timing.call_in(FAN_MS, self._fan)

    def _fan(self) -> None:
        self.fanning = False
        most = self.share.count(self.core.timing.now())
        if most:
            self.channels.wake(most)
        self.fan()

    def end(self) -> None:
        """SIGTERM: what has no round out is answered; what has one gets the core's answer."""
        for job in list(self.jobs.values()):
            for slot in job.slots:
                if slot.step in (JobStep.QUEUED, JobStep.PAUSED):
                    self._refuse(
                        slot, StatusAnswer(DROPPED, RetryAdvice.HARMLESS), "the allocator is shutting down"
                    )


WAITS = (JobStep.QUEUED, JobStep.ASKED, JobStep.PAUSED)


def owner_id(tenant: str) -> str:
    """The tenant's jobs as an owner of tasks; frameworks can't subscribe under such an id."""
    return f"{PREFIX}:{tenant}"
