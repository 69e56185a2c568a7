"""The REST front's subsystem put together: jobs on the core, what became of them, versions, watches.

An Insider of the core: its tasks pass the same ledger, figures, deciders and module as a framework's. What
is decided stands in `jobs`, `overload`, `reasons` and `channels`; this joins them, with timers and clock
from the core's loop. No sockets: `fronts.rest_api` calls `create_job`, `cancel_job`, `cancel_task` and
`patch_job`."""

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
    CallAdded,
    CallAnswered,
    CallForgotten,
    DomainEvent,
    PlacementOpened,
    TaskStatusReported,
)
from glencleat.allocator.status_mapping import AttemptStep as AttemptStep
from glencleat.allocator.status_mapping import RetryAdvice, StatusAnswer, TaskState, rejection_answer
from glencleat.mesos import messages as m
from glencleat.rest import overload
from glencleat.rest import schema as s
from glencleat.rest.jobs import (
    IdempotencyKeys,
    JobState,
    JobStep,
    JobTask,
    RoundRobin,
    Transition,
    after_end,
    after_round,
    round_ms,
)
from glencleat.rest.resource_mirror import ResourceMirror, TaskView
from glencleat.rest.version_store import VersionStore
from glencleat.rest.watches import WatchChannels
from glencleat.rest.watches import WatchLimits as WatchLimits

PREFIX = "rest"
FLUSH_MS = 2.0  # after the first change, all that changed meanwhile is published
MAX_FLUSHED = 100  # resources in one turn
MAX_TASKS_AT_CREATION = 20  # tasks of a new job that are shown before its creation is answered
ROUND_INTERVAL_MS = 2.0  # between two turns in which creations get their rounds
WAKE_INTERVAL_MS = 1.0  # between two turns in which watchers are woken


@dataclass(frozen=True, slots=True)
class RestLimits:
    gate: overload.OverloadLimits = overload.OverloadLimits()
    watch: WatchLimits = WatchLimits()
    max_events_per_kind: int = 20_000  # of each kind, kept to resume watches and finish lists
    max_ended_tasks: int = 10_000  # tasks of frameworks shown after their end
    job_retention_ms: float = 600_000.0  # a job is shown so long after its end
    max_idempotency_keys: int = 50_000
    sweep_interval_ms: float = 500.0


class ConflictError(Exception):
    """The request does not fit the state; `status` is HTTP's word for it."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


class OverloadError(Exception):
    def __init__(self, turned: overload.OverloadRejection) -> None:
        super().__init__(turned.text)
        self.rejection = turned


class RestService:
    prefix = PREFIX

    def __init__(self, core: Core, limits: RestLimits, seed: int) -> None:
        self.core, self.limits, self.random = core, limits, Random(seed)
        kinds = dict.fromkeys(s.TYPES_BY_KIND, limits.max_events_per_kind)
        self.versions = VersionStore(core.incarnation, kinds)
        self.channels = WatchChannels(limits.watch, self.versions.format_version)
        self.mirror = ResourceMirror(
            core,
            lambda: core.startup_gate,
            self.versions,
            self.channels,
            core.timing.clock.wall,
            limits.max_ended_tasks,
        )
        self.mirror.schedule_flush = self._stir
        self.pace = overload.AdmissionPace()
        self.wake_budget, self.intake = overload.WakeBudget(), overload.OverloadIntake()
        self.gate = overload.RequestGate(limits.gate, self.pace)
        self.round_queue = RoundRobin()
        self.idempotency_keys = IdempotencyKeys(limits.max_idempotency_keys, limits.job_retention_ms)
        self.jobs_by_name: dict[tuple[str, str], JobState] = {}
        self.waiting_by_tenant: Counter[str] = Counter()  # slots that wait, by tenant
        self.job_counts_by_tenant: Counter[str] = Counter()
        self.terminal_jobs: dict[JobState, None] = {}  # in the order in which they ended
        self.sent_at_by_attempt: dict[
            str, float
        ] = {}  # attempts of jobs' tasks without an answer -> when they were sent
        self.is_flush_scheduled = self.is_pump_scheduled = False
        self.pump_due = 0.0
        self.is_wake_scheduled = False
        self.close_watcher: Callable[[Any], None] = lambda watcher: None  # set by the front
        core.register_in_process(self)
        core.add_listener(self.on_domain_event)
        core.timing.call_in(limits.sweep_interval_ms, self._sweep)

    def apply_limits(self, limits: RestLimits) -> None:
        """Other bounds from here on; what is over a lower one goes as news comes."""
        self.limits, self.gate.limits, self.channels.limits = limits, limits.gate, limits.watch
        self.idempotency_keys.max_keys, self.idempotency_keys.retention_ms, self.mirror.max_ended_tasks = (
            limits.max_idempotency_keys,
            limits.job_retention_ms,
            limits.max_ended_tasks,
        )
        for kind in self.versions.stores_by_kind.values():
            kind.max_events = limits.max_events_per_kind

    # ---- what clients ask ----

    def create_job(self, tenant: str, new: s.NewJob, key: str | None, body: bytes) -> tuple[JobState, bool]:
        """The job, and whether it is a new one; raises Conflict or TooMuch, and then nothing has changed."""
        now, fingerprint = self.core.now(), xxhash.xxh3_64_intdigest(body)
        if key is not None:
            known = self.idempotency_keys.find(tenant, key)
            if known is not None and known[0] != fingerprint:
                raise ConflictError(
                    422, "the Idempotency-Key came before with another body; expected the same one"
                )
            if known is not None:
                return known[1], False
        cls = self.core.classes_by_name.get(new.spec.task_class)
        if cls is None:
            text = (
                f"spec.class is {new.spec.task_class[:80]!r};"
                f" expected one of {', '.join(self.core.classes_by_name)}"
            )
            raise ConflictError(422, text)
        least = 2.0 * self.core.options.answer_margin_ms
        if new.spec.wait_ms is not None and new.spec.wait_ms <= least:
            raise ConflictError(422, f"spec.waitMs is {new.spec.wait_ms:g}; expected more than {least:g}")
        if new.name is not None and (tenant, new.name) in self.jobs_by_name:
            raise ConflictError(409, f"job {new.name} of {tenant} is there already")
        if self.core.is_shutting_down:
            raise OverloadError(overload.OverloadRejection(503, "the allocator is shutting down", 5_000.0))
        if key is not None and not self.idempotency_keys.ensure_capacity(now):
            raise OverloadError(
                overload.OverloadRejection(
                    503, f"{self.limits.max_idempotency_keys} idempotency keys are kept", 5_000.0
                )
            )
        here, waiting = self.waiting_by_tenant[tenant], self.waiting_by_tenant.total()
        tasks, queued = new.spec.tasks, self.round_queue.queued_count
        turned = self.gate.admit_job(tenant, tasks, here, waiting, len(self.jobs_by_name), queued, now)
        if turned is not None:
            raise OverloadError(turned)
        job = self._made(tenant, new, cls, now)
        if key is not None:
            self.idempotency_keys.record_key(tenant, key, fingerprint, job, now)
        return job, True

    def _made(self, tenant: str, new: s.NewJob, cls: api.TaskClass, now: float) -> JobState:
        uid = base64.b32encode(self.random.randbytes(10)).decode().lower()
        name = new.name or f"{new.spec.service[:40]}-{uid[:8]}".lower()
        wall = round(self.core.timing.clock.wall())
        job = JobState(tenant, name, uid, new.spec, cls, dict(new.labels), wall)
        self.jobs_by_name[tenant, name] = job
        self.job_counts_by_tenant[tenant] += 1
        until = now + job.wait_ms()
        for number in range(new.spec.tasks):
            slot = JobTask(job, number, until)
            job.tasks.append(slot)
            self.waiting_by_tenant[tenant] += 1
            self._show(slot)
        self.mirror.flush_job(job)  # who reads the answer and then lists finds the job there
        for slot in job.tasks[:MAX_TASKS_AT_CREATION]:
            self.mirror.flush_task(self.view_of(slot).key)
        self._expire_later(job.tasks)
        return job

    def _show(self, slot: JobTask) -> None:
        key = slot.job.tenant, framework_id(slot.job.tenant), slot.name()
        seen = self.mirror.views_by_key.get(key)
        if seen is None:
            seen = self.mirror.views_by_key[key] = TaskView(key, slot.job.labels, slot.job.created_at_ms)
        seen.job_task, seen.labels = slot, slot.job.labels
        self.mirror.ended_task_keys.pop(key, None)
        self.mirror.mark_task_dirty(key)
        if seen.call is not None and seen.call.is_placed():
            self._join(slot, seen.call)  # it runs already: adopted from a former incarnation
        else:
            seen.mark_waiting()  # what an adopted one that is over has left behind is no answer to this ask
            self._queue(slot)

    def view_of(self, slot: JobTask) -> TaskView:
        return self.mirror.views_by_key[slot.job.tenant, framework_id(slot.job.tenant), slot.name()]

    def cancel_job(self, job: JobState) -> None:
        """Stops all its tasks; once they are over, which may be at once, the job is gone."""
        job.is_cancelled = True
        for slot in job.tasks:
            self.cancel_job_task(slot)
        self.mirror.flush_job(job)
        if job.is_terminal():
            self._remove(job)

    def cancel_job_task(self, slot: JobTask) -> None:
        if slot.step is JobStep.TERMINAL:
            return
        slot.is_cancelled = True
        if slot.step in (JobStep.QUEUED, JobStep.PAUSED):
            self._refuse(slot, StatusAnswer(TaskState.KILLED, RetryAdvice.HARMLESS), "cancelled by its owner")
        elif slot.call is not None and slot.call.is_closed:  # out of sight; stopped should it come back
            self._step(slot, JobStep.TERMINAL)
            self._settled(slot.job)
        elif slot.call is not None:
            self.core.framework_sessions.cancel(slot.call)  # its answer, or its end, follows

    def cancel_task(self, seen: TaskView) -> None:
        if seen.job_task is not None:
            self.cancel_job_task(seen.job_task)
        elif seen.call is not None:
            self.core.framework_sessions.cancel(seen.call)
        self.mirror.flush_task(seen.key)

    def patch_job(self, job: JobState, labels: dict[str, str | None]) -> None:
        """Merges labels into the job's and its tasks'; raises Conflict."""
        merged = {k: v for k, v in (job.labels | labels).items() if v is not None}
        if len(merged) > s.MAX_LABELS:
            raise ConflictError(422, f"labels would be {len(merged)}; expected at most {s.MAX_LABELS}")
        job.labels = merged
        for slot in job.tasks:
            seen = self.view_of(slot)
            seen.labels = merged
            self.mirror.mark_task_dirty(seen.key)
        self.mirror.flush_job(job)

    # ---- rounds ----

    def _queue(self, slot: JobTask) -> None:
        self.round_queue.enqueue(slot)
        self._pump_soon()

    def _pump_soon(self) -> None:
        if self.is_pump_scheduled or not self.core.startup_gate.is_open:
            return
        self.is_pump_scheduled = True
        self.pump_due = self.core.timing.now() + ROUND_INTERVAL_MS
        self.core.timing.call_in(ROUND_INTERVAL_MS, self._pump)

    def _pump(self) -> None:
        """Gives waiting tasks their round for as long as this turn's time lasts."""
        self.is_pump_scheduled = False
        began = self.core.timing.now()
        budget, told = self.pace.begin_turn(began, self.pump_due), 0
        self.round_queue.enqueue_due(self.core.now())
        full = self.pace.is_window_full(len(self.sent_at_by_attempt))
        while not full and (self.core.timing.now() - began < budget or not told):
            slot = self.round_queue.pop()
            if slot is None:
                break
            told += 1
            self._round(slot)
            full = len(self.sent_at_by_attempt) >= self.pace.window
        self.pace.end_turn(self.core.timing.now(), told, self.round_queue.queued_count)
        due = self.round_queue.next_due_ms()
        if self.round_queue.queued_count:
            self._pump_soon()
        elif due is not None:
            self._pump_at(due)

    def _pump_at(self, due: float) -> None:
        def look() -> None:
            if self.round_queue.next_due_ms() is not None:
                self._pump_soon()

        self.core.timing.call_in(max(0.0, due - self.core.now()), look)

    def _round(self, slot: JobTask) -> None:
        core, job = self.core, slot.job
        left = round_ms(slot, core.now(), core.options.answer_margin_ms)
        if left <= 0.0:
            self._refuse(slot, rejection_answer(False))
            return
        spec, name = job.spec, slot.name()
        key = f"{spec.key}.{slot.number}" if spec.key is not None else f"{name}.{job.uid}"
        ask = TaskRequest(
            job.task_class.name, spec.service, key, spec.cores, spec.memory, left, spec.life_ms,
            slot.round_count > 0, spec.key is not None,
        )  # fmt: skip
        info = m.TaskInfo(
            name=spec.service,
            task_id=m.Value(name),
            resources=m.make_resources(spec.cores, spec.memory),
            data=spec.data,
        )
        slot.step, slot.round_count = JobStep.IN_ROUND, slot.round_count + 1
        taken = core.framework_sessions.launch_in_process(
            framework_id(job.tenant), job.tenant, info, ask, slot.pending_reasons
        )
        if isinstance(taken, AdmissionDecision):
            given = (
                FinalAnswer.REJECTED
                if taken.answer.retry_advice is RetryAdvice.HARMLESS
                else FinalAnswer.FAILED
            )
            self._after(
                slot, after_round(slot, given, taken.answer, core.now(), self.random), taken.answer, given
            )
            self.view_of(slot).message = taken.text
        elif slot.call is not taken:
            self._join(slot, taken)

    def _join(self, slot: JobTask, call: Call) -> None:
        """The task is there already: adopted from a former incarnation."""
        slot.call = self.view_of(slot).call = call
        if call.final_answer is FinalAnswer.PLACED:
            self._step(slot, JobStep.PLACED)
            slot.was_placed, slot.final_answer = True, FinalAnswer.PLACED
            last = call.last_attempt()
            starting = last is None or last.step is AttemptStep.ACCEPTED
            answer = StatusAnswer(TaskState.STARTING if starting else TaskState.RUNNING, RetryAdvice.NEVER)
            self.view_of(slot).answer = FinalAnswer.PLACED.value
            self.view_of(slot).apply_status(answer, None, last.machine if last is not None else None)
        self.mirror.mark_task_dirty(self.view_of(slot).key)

    def _step(self, slot: JobTask, step: JobStep) -> None:
        was, now = slot.step in WAITING_STEPS, step in WAITING_STEPS
        if was != now:
            self.waiting_by_tenant[slot.job.tenant] += now - was
        slot.step = step

    def _refuse(self, slot: JobTask, answer: StatusAnswer, text: str | None = None) -> None:
        """The final answer of a task that has no round out."""
        if text is None:
            text = slot.pending_reasons.describe(len(self.core.serving_machines or ()))
        self._after(slot, Transition(JobStep.TERMINAL), answer, FinalAnswer.REJECTED, text)

    def _after(
        self,
        slot: JobTask,
        then: Transition,
        answer: StatusAnswer,
        given: FinalAnswer,
        text: str | None = None,
    ) -> None:
        seen, now = self.view_of(slot), self.core.now()
        self.mirror.mark_task_dirty(seen.key)
        if then.step is JobStep.PAUSED:
            seen.mark_waiting()
            self._step(slot, JobStep.PAUSED)
            self.round_queue.pause(slot, now + then.pause_ms)
            self._pump_at(now + then.pause_ms)
            return
        self._step(slot, then.step)
        slot.final_answer, seen.answer = given, given.value
        last = slot.call.last_attempt() if slot.call is not None and then.step is JobStep.PLACED else None
        seen.apply_status(answer, text, last.machine if last is not None else None)
        if then.step is JobStep.TERMINAL:
            self._settled(slot.job)

    # ---- hearing the core ----

    def is_task_needed(self, call: Call) -> bool:
        seen = self.mirror.find_view(call)
        return seen is not None and (seen.job_task is None or not seen.job_task.is_cancelled)

    def on_domain_event(self, what: DomainEvent) -> None:
        if not self._ours(what):
            self.mirror.on_domain_event(what)
        if isinstance(what, AttemptSent):
            if what.attempt.call.framework_id.startswith(PREFIX + ":"):
                self.sent_at_by_attempt[what.attempt.id] = what.attempt.sent_at_ms
        elif isinstance(what, AttemptConcluded):
            self._heard(what.attempt, what.outcome is api.Outcome.REJECTED)
        elif isinstance(what, CallAnswered) and what.final_answer is FinalAnswer.PLACED:
            self._heard(what.call.last_attempt(), True)
        elif isinstance(what, PlacementOpened):
            self._pump_soon()

    def _heard(self, attempt: Attempt | None, answered: bool) -> None:
        """An attempt is no longer out; `answered`: its machine said so."""
        sent = self.sent_at_by_attempt.pop(attempt.id, None) if attempt is not None else None
        if sent is not None and answered:
            self.pace.record_latency(self.core.now() - sent)

    def _ours(self, what: DomainEvent) -> bool:
        """Whether it is about a job's task; then it is handled here."""
        if not isinstance(what, TaskStatusReported | CallAdded | CallAnswered | CallForgotten):
            return False
        seen = self.mirror.find_view(what.call)
        if seen is None or seen.job_task is None:
            return False
        if isinstance(what, CallAdded):
            seen.call = seen.job_task.call = what.call
        elif isinstance(what, TaskStatusReported) and what.call is seen.job_task.call:
            self._told(seen.job_task, seen, what)
        self.mirror.mark_task_dirty(seen.key)
        return True

    def _told(self, slot: JobTask, seen: TaskView, what: TaskStatusReported) -> None:
        answer, given = what.answer, what.call.final_answer
        if slot.step is JobStep.IN_ROUND and given is not None:
            then = after_round(slot, given, answer, self.core.now(), self.random)
            slot.was_placed |= then.step is JobStep.PLACED
            self._after(slot, then, answer, given, what.text)
        elif answer.state in (TaskState.STARTING, TaskState.RUNNING):
            # Also one that was told as failed, or that was to be placed anew, and is found to run: it is
            # placed from here on, and nothing more is asked for it.
            self.mirror.record_status(what.call, answer, what.text)
            slot.was_placed = True
            if slot.step is not JobStep.PLACED:
                self._step(slot, JobStep.PLACED)
                slot.final_answer = slot.final_answer or FinalAnswer.PLACED
                seen.answer = slot.final_answer.value
                self.terminal_jobs.pop(slot.job, None)
                slot.job.terminal_at_ms = None
        elif slot.step is JobStep.PLACED:
            then = after_end(slot, answer)
            if then.step is JobStep.PAUSED:
                self._again(slot, then)
                return
            self.mirror.record_status(what.call, answer, what.text)
            slot.is_finished = answer.state == TaskState.FINISHED
            self._step(slot, then.step)
            if then.step is JobStep.TERMINAL:
                self._settled(slot.job)
        else:
            self.mirror.record_status(what.call, answer, what.text)  # what has become known of a failed one

    def _again(self, slot: JobTask, then: Transition) -> None:
        """A task that was placed and lost is asked for anew, with its whole time before it."""
        now = self.core.now()
        slot.wait_until_ms, slot.round_count, slot.final_answer = (
            now + then.pause_ms + slot.job.wait_ms(),
            0,
            None,
        )
        self._after(slot, then, StatusAnswer(TaskState.DROPPED, RetryAdvice.HARMLESS), FinalAnswer.REJECTED)
        self._expire_later([slot])

    # ---- time ----

    def _expire_later(self, slots: list[JobTask]) -> None:
        until = slots[0].wait_until_ms

        def expire() -> None:
            for slot in slots:
                if slot.step in (JobStep.QUEUED, JobStep.PAUSED) and slot.wait_until_ms <= until:
                    self._refuse(slot, rejection_answer(False))

        margin = self.core.options.answer_margin_ms
        self.core.timing.call_in(max(0.0, until - margin - self.core.now()), expire)

    def _settled(self, job: JobState) -> None:
        """Looks whether the job is over; a cancelled one is then gone at once."""
        self.mirror.mark_job_dirty(job)
        if not job.is_terminal():
            return
        job.terminal_at_ms = self.core.now()
        self.terminal_jobs[job] = None
        if job.is_cancelled:
            self.core.timing.call_in(0.0, lambda: self._remove(job))

    def _remove(self, job: JobState) -> None:
        if job.is_removed or not job.is_terminal():
            return
        job.is_removed = True
        self.terminal_jobs.pop(job, None)
        self.jobs_by_name.pop((job.tenant, job.name), None)
        self.job_counts_by_tenant[job.tenant] -= 1
        if not self.job_counts_by_tenant[job.tenant]:
            del self.job_counts_by_tenant[job.tenant]
            self.round_queue.forget_tenant(job.tenant)
            if not self.waiting_by_tenant[job.tenant]:
                del self.waiting_by_tenant[job.tenant]
        for slot in job.tasks:
            key = self.view_of(slot).key
            self.mirror.flush_task(key)  # the last state is seen before it goes
            self.mirror.remove_task(key)
        self.mirror.flush_job(job)

    def _sweep(self) -> None:
        self.core.timing.call_in(self.limits.sweep_interval_ms, self._sweep)
        self.mirror.refresh_causes()
        now = self.core.now()
        while self.terminal_jobs:
            job = next(iter(self.terminal_jobs))
            crowded = len(self.jobs_by_name) > 0.9 * self.limits.gate.max_jobs
            if job.terminal_at_ms is None or not (
                crowded or now - job.terminal_at_ms > self.limits.job_retention_ms
            ):
                break
            self._remove(job)
        for watcher in self.channels.mark_stalled(now):
            self.close_watcher(watcher)

    def _stir(self) -> None:
        if not self.is_flush_scheduled:
            self.is_flush_scheduled = True
            self.core.timing.call_in(FLUSH_MS, self._flush)

    def _flush(self) -> None:
        self.is_flush_scheduled = False
        if self.mirror.flush(MAX_FLUSHED):
            self._stir()
        self.schedule_wake()

    def schedule_wake(self) -> None:
        """Wakes watchers with news, some in each turn of the loop, so that no decision waits for them all."""
        if self.channels.ready_watchers and not self.is_wake_scheduled:
            self.is_wake_scheduled = True
            self.core.timing.call_in(WAKE_INTERVAL_MS, self._fan)

    def _fan(self) -> None:
        self.is_wake_scheduled = False
        most = self.wake_budget.allowed_count(self.core.timing.now())
        if most:
            self.channels.wake_watchers(most)
        self.schedule_wake()

    def shut_down(self) -> None:
        """SIGTERM: what has no round out is answered; what has one gets the core's answer."""
        for job in list(self.jobs_by_name.values()):
            for slot in job.tasks:
                if slot.step in (JobStep.QUEUED, JobStep.PAUSED):
                    self._refuse(
                        slot,
                        StatusAnswer(TaskState.DROPPED, RetryAdvice.HARMLESS),
                        "the allocator is shutting down",
                    )


WAITING_STEPS = (JobStep.QUEUED, JobStep.IN_ROUND, JobStep.PAUSED)


def framework_id(tenant: str) -> str:
    """The tenant's jobs as an owner of tasks; frameworks can't subscribe under such an id."""
    return f"{PREFIX}:{tenant}"
