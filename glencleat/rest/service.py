"""Joins the parts of the REST API's state: jobs, resources with their versions, watches and overload control.

Registers with the core as an in-process client: its tasks pass the same call table, metrics, admission
chain and policy as a framework's. The decisions are made in `jobs`, `overload`, `reasons` and `watches`;
this module connects them, with timers and the clock of the core's loop. No sockets: `servers.rest_api`
calls `create_job`, `cancel_job`, `cancel_task` and `patch_job`.
"""

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
FLUSH_DELAY_MS = 2.0  # from the first change to the publication of all changes
MAX_FLUSHED_PER_TURN = 100  # resources published per turn of the loop
MAX_TASKS_AT_CREATION = 20  # tasks of a new job published before the response
ROUND_INTERVAL_MS = 2.0  # between two turns that start rounds
WAKE_INTERVAL_MS = 1.0  # between two turns that wake watchers


@dataclass(frozen=True, slots=True)
class RestLimits:
    """Limits of the REST API."""

    gate: overload.OverloadLimits = overload.OverloadLimits()
    watch: WatchLimits = WatchLimits()
    max_events_per_kind: int = 20_000  # kept to resume watches and to continue lists
    max_ended_tasks: int = 10_000  # frameworks' tasks kept after their end
    job_retention_ms: float = 600_000.0  # how long a job is kept after its end
    max_idempotency_keys: int = 50_000
    sweep_interval_ms: float = 500.0


class ConflictError(Exception):
    """The request doesn't fit the current state; `status` is the HTTP status."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


class OverloadError(Exception):
    """The request was rejected; `rejection` says why and when to retry."""

    def __init__(self, rejection: overload.OverloadRejection) -> None:
        super().__init__(rejection.text)
        self.rejection = rejection


class RestService:
    """The REST API's jobs and resources on one core."""

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
        self.mirror.schedule_flush = self._schedule_flush
        self.pace = overload.AdmissionPace()
        self.wake_budget, self.intake = overload.WakeBudget(), overload.OverloadIntake()
        self.gate = overload.RequestGate(limits.gate, self.pace)
        self.round_queue = RoundRobin()
        self.idempotency_keys = IdempotencyKeys(limits.max_idempotency_keys, limits.job_retention_ms)
        self.jobs_by_name: dict[tuple[str, str], JobState] = {}
        self.waiting_by_tenant: Counter[str] = Counter()  # waiting tasks
        self.job_counts_by_tenant: Counter[str] = Counter()
        self.terminal_jobs: dict[JobState, None] = {}  # oldest end first
        self.sent_at_by_attempt: dict[str, float] = {}  # attempts of job tasks in flight
        self.is_flush_scheduled = self.is_round_turn_scheduled = False
        self.rounds_due_ms = 0.0
        self.is_wake_scheduled = False
        self.close_watcher: Callable[[Any], None] = lambda watcher: None  # set by the server
        core.register_in_process(self)
        core.add_listener(self.on_domain_event)
        core.timing.call_in(limits.sweep_interval_ms, self._sweep)

    def apply_limits(self, limits: RestLimits) -> None:
        """Applies new limits after a reload.

        What exceeds a lowered limit is dropped as further changes arrive.
        """
        self.limits, self.gate.limits, self.channels.limits = limits, limits.gate, limits.watch
        self.idempotency_keys.max_keys, self.idempotency_keys.retention_ms, self.mirror.max_ended_tasks = (
            limits.max_idempotency_keys,
            limits.job_retention_ms,
            limits.max_ended_tasks,
        )
        for kind in self.versions.stores_by_kind.values():
            kind.max_events = limits.max_events_per_kind

    # ---- requests of clients ----

    def create_job(self, tenant: str, new: s.NewJob, key: str | None, body: bytes) -> tuple[JobState, bool]:
        """Returns the job, and whether it is new.

        Raises ConflictError or OverloadError without having changed anything.
        """
        now, fingerprint = self.core.now(), xxhash.xxh3_64_intdigest(body)
        if key is not None:
            existing = self.idempotency_keys.find(tenant, key)
            if existing is not None and existing[0] != fingerprint:
                raise ConflictError(
                    422, "the Idempotency-Key came before with another body; expected the same one"
                )
            if existing is not None:
                return existing[1], False
        task_class = self.core.classes_by_name.get(new.spec.task_class)
        if task_class is None:
            text = (
                f"spec.class is {new.spec.task_class[:80]!r};"
                f" expected one of {', '.join(self.core.classes_by_name)}"
            )
            raise ConflictError(422, text)
        min_wait_ms = 2.0 * self.core.options.answer_margin_ms
        if new.spec.wait_ms is not None and new.spec.wait_ms <= min_wait_ms:
            raise ConflictError(
                422, f"spec.waitMs is {new.spec.wait_ms:g}; expected more than {min_wait_ms:g}"
            )
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
        waiting_here, waiting = self.waiting_by_tenant[tenant], self.waiting_by_tenant.total()
        task_count, queued_rounds = new.spec.tasks, self.round_queue.queued_count
        rejection = self.gate.admit_job(
            tenant, task_count, waiting_here, waiting, len(self.jobs_by_name), queued_rounds, now
        )
        if rejection is not None:
            raise OverloadError(rejection)
        job = self._build_job(tenant, new, task_class, now)
        if key is not None:
            self.idempotency_keys.record_key(tenant, key, fingerprint, job, now)
        return job, True

    def _build_job(self, tenant: str, new: s.NewJob, task_class: api.TaskClass, now: float) -> JobState:
        uid = base64.b32encode(self.random.randbytes(10)).decode().lower()
        name = new.name or f"{new.spec.service[:40]}-{uid[:8]}".lower()
        wall_ms = round(self.core.timing.clock.wall())
        job = JobState(tenant, name, uid, new.spec, task_class, dict(new.labels), wall_ms)
        self.jobs_by_name[tenant, name] = job
        self.job_counts_by_tenant[tenant] += 1
        wait_until_ms = now + job.wait_ms()
        for number in range(new.spec.tasks):
            job_task = JobTask(job, number, wait_until_ms)
            job.tasks.append(job_task)
            self.waiting_by_tenant[tenant] += 1
            self._register_task(job_task)
        self.mirror.flush_job(job)  # a client that lists after the response finds the job
        for job_task in job.tasks[:MAX_TASKS_AT_CREATION]:
            self.mirror.flush_task(self.view_of(job_task).key)
        self._schedule_expiry(job.tasks)
        return job

    def _register_task(self, job_task: JobTask) -> None:
        key = job_task.job.tenant, framework_id(job_task.job.tenant), job_task.name()
        view = self.mirror.views_by_key.get(key)
        if view is None:
            view = self.mirror.views_by_key[key] = TaskView(
                key, job_task.job.labels, job_task.job.created_at_ms
            )
        view.job_task, view.labels = job_task, job_task.job.labels
        self.mirror.ended_task_keys.pop(key, None)
        self.mirror.mark_task_dirty(key)
        if view.call is not None and view.call.is_placed():
            self._attach_call(job_task, view.call)  # already running: adopted from a former incarnation
        else:
            # The end of an adopted task of this name isn't the answer to this request.
            view.mark_waiting()
            self._enqueue(job_task)

    def view_of(self, job_task: JobTask) -> TaskView:
        """The view of a job's task."""
        return self.mirror.views_by_key[
            job_task.job.tenant, framework_id(job_task.job.tenant), job_task.name()
        ]

    def cancel_job(self, job: JobState) -> None:
        """Stops all tasks of the job; the job is removed once all have ended, possibly at once."""
        job.is_cancelled = True
        for job_task in job.tasks:
            self.cancel_job_task(job_task)
        self.mirror.flush_job(job)
        if job.is_terminal():
            self._remove_job(job)

    def cancel_job_task(self, job_task: JobTask) -> None:
        """Stops one task of a job."""
        if job_task.step is JobStep.TERMINAL:
            return
        job_task.is_cancelled = True
        if job_task.step in (JobStep.QUEUED, JobStep.PAUSED):
            self._reject_task(
                job_task, StatusAnswer(TaskState.KILLED, RetryAdvice.HARMLESS), "cancelled by its owner"
            )
        elif job_task.call is not None and job_task.call.is_closed:
            # Unreachable; the core stops the task if it reappears.
            self._set_step(job_task, JobStep.TERMINAL)
            self._check_terminal(job_task.job)
        elif job_task.call is not None:
            self.core.framework_sessions.cancel(job_task.call)  # its answer or its end follows as an event

    def cancel_task(self, view: TaskView) -> None:
        """Stops one task, of a job or of a framework."""
        if view.job_task is not None:
            self.cancel_job_task(view.job_task)
        elif view.call is not None:
            self.core.framework_sessions.cancel(view.call)
        self.mirror.flush_task(view.key)

    def patch_job(self, job: JobState, labels: dict[str, str | None]) -> None:
        """Merges labels into those of the job and its tasks; raises ConflictError."""
        merged = {k: v for k, v in (job.labels | labels).items() if v is not None}
        if len(merged) > s.MAX_LABELS:
            raise ConflictError(422, f"labels would be {len(merged)}; expected at most {s.MAX_LABELS}")
        job.labels = merged
        for job_task in job.tasks:
            view = self.view_of(job_task)
            view.labels = merged
            self.mirror.mark_task_dirty(view.key)
        self.mirror.flush_job(job)

    # ---- rounds ----

    def _enqueue(self, job_task: JobTask) -> None:
        self.round_queue.enqueue(job_task)
        self._schedule_rounds()

    def _schedule_rounds(self) -> None:
        if self.is_round_turn_scheduled or not self.core.startup_gate.is_open:
            return
        self.is_round_turn_scheduled = True
        self.rounds_due_ms = self.core.timing.now() + ROUND_INTERVAL_MS
        self.core.timing.call_in(ROUND_INTERVAL_MS, self._start_rounds)

    def _start_rounds(self) -> None:
        """Starts rounds of queued tasks until this turn's time budget is used up."""
        self.is_round_turn_scheduled = False
        started_at_ms = self.core.timing.now()
        budget, rounds_started = self.pace.begin_turn(started_at_ms, self.rounds_due_ms), 0
        self.round_queue.enqueue_due(self.core.now())
        full = self.pace.is_window_full(len(self.sent_at_by_attempt))
        while not full and (self.core.timing.now() - started_at_ms < budget or not rounds_started):
            job_task = self.round_queue.pop()
            if job_task is None:
                break
            rounds_started += 1
            self._start_round(job_task)
            full = len(self.sent_at_by_attempt) >= self.pace.window
        self.pace.end_turn(self.core.timing.now(), rounds_started, self.round_queue.queued_count)
        next_due_ms = self.round_queue.next_due_ms()
        if self.round_queue.queued_count:
            self._schedule_rounds()
        elif next_due_ms is not None:
            self._schedule_rounds_at(next_due_ms)

    def _schedule_rounds_at(self, due_ms: float) -> None:
        def schedule_if_paused() -> None:
            if self.round_queue.next_due_ms() is not None:
                self._schedule_rounds()

        self.core.timing.call_in(max(0.0, due_ms - self.core.now()), schedule_if_paused)

    def _start_round(self, job_task: JobTask) -> None:
        core, job = self.core, job_task.job
        round_budget_ms = round_ms(job_task, core.now(), core.options.answer_margin_ms)
        if round_budget_ms <= 0.0:
            self._reject_task(job_task, rejection_answer(False))
            return
        spec, name = job.spec, job_task.name()
        key = f"{spec.key}.{job_task.number}" if spec.key is not None else f"{name}.{job.uid}"
        request = TaskRequest(
            job.task_class.name, spec.service, key, spec.cores, spec.memory, round_budget_ms, spec.life_ms,
            job_task.round_count > 0, spec.key is not None,
        )  # fmt: skip
        info = m.TaskInfo(
            name=spec.service,
            task_id=m.Value(name),
            resources=m.make_resources(spec.cores, spec.memory),
            data=spec.data,
        )
        job_task.step, job_task.round_count = JobStep.IN_ROUND, job_task.round_count + 1
        result = core.framework_sessions.launch_in_process(
            framework_id(job.tenant), job.tenant, info, request, job_task.pending_reasons
        )
        if isinstance(result, AdmissionDecision):
            final_answer = (
                FinalAnswer.REJECTED
                if result.answer.retry_advice is RetryAdvice.HARMLESS
                else FinalAnswer.FAILED
            )
            self._apply_transition(
                job_task,
                after_round(job_task, final_answer, result.answer, core.now(), self.random),
                result.answer,
                final_answer,
            )
            self.view_of(job_task).message = result.text
        elif job_task.call is not result:
            self._attach_call(job_task, result)

    def _attach_call(self, job_task: JobTask, call: Call) -> None:
        """The task already has a call, adopted from a former incarnation."""
        job_task.call = self.view_of(job_task).call = call
        if call.final_answer is FinalAnswer.PLACED:
            self._set_step(job_task, JobStep.PLACED)
            job_task.was_placed, job_task.final_answer = True, FinalAnswer.PLACED
            last = call.last_attempt()
            starting = last is None or last.step is AttemptStep.ACCEPTED
            answer = StatusAnswer(TaskState.STARTING if starting else TaskState.RUNNING, RetryAdvice.NEVER)
            self.view_of(job_task).answer = FinalAnswer.PLACED.value
            self.view_of(job_task).apply_status(answer, None, last.machine if last is not None else None)
        self.mirror.mark_task_dirty(self.view_of(job_task).key)

    def _set_step(self, job_task: JobTask, step: JobStep) -> None:
        was_waiting, is_waiting = job_task.step in WAITING_STEPS, step in WAITING_STEPS
        if was_waiting != is_waiting:
            self.waiting_by_tenant[job_task.job.tenant] += is_waiting - was_waiting
        job_task.step = step

    def _reject_task(self, job_task: JobTask, answer: StatusAnswer, text: str | None = None) -> None:
        """The final answer of a task that has no round in progress."""
        if text is None:
            text = job_task.pending_reasons.describe(len(self.core.serving_machines or ()))
        self._apply_transition(job_task, Transition(JobStep.TERMINAL), answer, FinalAnswer.REJECTED, text)

    def _apply_transition(
        self,
        job_task: JobTask,
        transition: Transition,
        answer: StatusAnswer,
        final_answer: FinalAnswer,
        text: str | None = None,
    ) -> None:
        view, now = self.view_of(job_task), self.core.now()
        self.mirror.mark_task_dirty(view.key)
        if transition.step is JobStep.PAUSED:
            view.mark_waiting()
            self._set_step(job_task, JobStep.PAUSED)
            self.round_queue.pause(job_task, now + transition.pause_ms)
            self._schedule_rounds_at(now + transition.pause_ms)
            return
        self._set_step(job_task, transition.step)
        job_task.final_answer, view.answer = final_answer, final_answer.value
        last = (
            job_task.call.last_attempt()
            if job_task.call is not None and transition.step is JobStep.PLACED
            else None
        )
        view.apply_status(answer, text, last.machine if last is not None else None)
        if transition.step is JobStep.TERMINAL:
            self._check_terminal(job_task.job)

    # ---- events of the core ----

    def is_task_needed(self, call: Call) -> bool:
        """Whether the call belongs to a known task that has not been cancelled."""
        view = self.mirror.find_view(call)
        return view is not None and (view.job_task is None or not view.job_task.is_cancelled)

    def on_domain_event(self, event: DomainEvent) -> None:
        """Applies an event of the core to the jobs, the resource mirror and the pace of rounds."""
        if not self._handle_job_event(event):
            self.mirror.on_domain_event(event)
        if isinstance(event, AttemptSent):
            if event.attempt.call.framework_id.startswith(PREFIX + ":"):
                self.sent_at_by_attempt[event.attempt.id] = event.attempt.sent_at_ms
        elif isinstance(event, AttemptConcluded):
            self._record_attempt_end(event.attempt, event.outcome is api.Outcome.REJECTED)
        elif isinstance(event, CallAnswered) and event.final_answer is FinalAnswer.PLACED:
            self._record_attempt_end(event.call.last_attempt(), True)
        elif isinstance(event, PlacementOpened):
            self._schedule_rounds()

    def _record_attempt_end(self, attempt: Attempt | None, has_answer: bool) -> None:
        """An attempt is no longer in flight; `has_answer`: because its machine answered."""
        sent_at_ms = self.sent_at_by_attempt.pop(attempt.id, None) if attempt is not None else None
        if sent_at_ms is not None and has_answer:
            self.pace.record_latency(self.core.now() - sent_at_ms)

    def _handle_job_event(self, event: DomainEvent) -> bool:
        """Handles an event about a task of a job; returns whether it was one."""
        if not isinstance(event, TaskStatusReported | CallAdded | CallAnswered | CallForgotten):
            return False
        view = self.mirror.find_view(event.call)
        if view is None or view.job_task is None:
            return False
        if isinstance(event, CallAdded):
            view.call = view.job_task.call = event.call
        elif isinstance(event, TaskStatusReported) and event.call is view.job_task.call:
            self._handle_status(view.job_task, view, event)
        self.mirror.mark_task_dirty(view.key)
        return True

    def _handle_status(self, job_task: JobTask, view: TaskView, event: TaskStatusReported) -> None:
        answer, final_answer = event.answer, event.call.final_answer
        if job_task.step is JobStep.IN_ROUND and final_answer is not None:
            transition = after_round(job_task, final_answer, answer, self.core.now(), self.random)
            job_task.was_placed |= transition.step is JobStep.PLACED
            self._apply_transition(job_task, transition, answer, final_answer, event.text)
        elif answer.state in (TaskState.STARTING, TaskState.RUNNING):
            # Includes a task that was reported as failed, or that was to be placed again, and turns out to
            # run: it counts as placed from now on, and no further round is started.
            self.mirror.record_status(event.call, answer, event.text)
            job_task.was_placed = True
            if job_task.step is not JobStep.PLACED:
                self._set_step(job_task, JobStep.PLACED)
                job_task.final_answer = job_task.final_answer or FinalAnswer.PLACED
                view.answer = job_task.final_answer.value
                self.terminal_jobs.pop(job_task.job, None)
                job_task.job.terminal_at_ms = None
        elif job_task.step is JobStep.PLACED:
            transition = after_end(job_task, answer)
            if transition.step is JobStep.PAUSED:
                self._place_again(job_task, transition)
                return
            self.mirror.record_status(event.call, answer, event.text)
            job_task.is_finished = answer.state == TaskState.FINISHED
            self._set_step(job_task, transition.step)
            if transition.step is JobStep.TERMINAL:
                self._check_terminal(job_task.job)
        else:
            # A later report on a task that has failed.
            self.mirror.record_status(event.call, answer, event.text)

    def _place_again(self, job_task: JobTask, transition: Transition) -> None:
        """A placed task that was lost is queued again, with its whole wait time."""
        now = self.core.now()
        job_task.wait_until_ms, job_task.round_count, job_task.final_answer = (
            now + transition.pause_ms + job_task.job.wait_ms(),
            0,
            None,
        )
        self._apply_transition(
            job_task, transition, StatusAnswer(TaskState.DROPPED, RetryAdvice.HARMLESS), FinalAnswer.REJECTED
        )
        self._schedule_expiry([job_task])

    # ---- timers ----

    def _schedule_expiry(self, job_tasks: list[JobTask]) -> None:
        until = job_tasks[0].wait_until_ms

        def expire() -> None:
            for job_task in job_tasks:
                if job_task.step in (JobStep.QUEUED, JobStep.PAUSED) and job_task.wait_until_ms <= until:
                    self._reject_task(job_task, rejection_answer(False))

        margin = self.core.options.answer_margin_ms
        self.core.timing.call_in(max(0.0, until - margin - self.core.now()), expire)

    def _check_terminal(self, job: JobState) -> None:
        """Records whether the job has ended; a cancelled job is then removed."""
        self.mirror.mark_job_dirty(job)
        if not job.is_terminal():
            return
        job.terminal_at_ms = self.core.now()
        self.terminal_jobs[job] = None
        if job.is_cancelled:
            self.core.timing.call_in(0.0, lambda: self._remove_job(job))

    def _remove_job(self, job: JobState) -> None:
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
        for job_task in job.tasks:
            key = self.view_of(job_task).key
            self.mirror.flush_task(key)  # watchers see the last state before the deletion
            self.mirror.remove_task(key)
        self.mirror.flush_job(job)

    def _sweep(self) -> None:
        self.core.timing.call_in(self.limits.sweep_interval_ms, self._sweep)
        self.mirror.refresh_causes()
        now = self.core.now()
        while self.terminal_jobs:
            job = next(iter(self.terminal_jobs))
            is_nearly_full = len(self.jobs_by_name) > 0.9 * self.limits.gate.max_jobs
            if job.terminal_at_ms is None or not (
                is_nearly_full or now - job.terminal_at_ms > self.limits.job_retention_ms
            ):
                break
            self._remove_job(job)
        for watcher in self.channels.mark_stalled(now):
            self.close_watcher(watcher)

    def _schedule_flush(self) -> None:
        if not self.is_flush_scheduled:
            self.is_flush_scheduled = True
            self.core.timing.call_in(FLUSH_DELAY_MS, self._flush)

    def _flush(self) -> None:
        self.is_flush_scheduled = False
        if self.mirror.flush(MAX_FLUSHED_PER_TURN):
            self._schedule_flush()
        self.schedule_wake()

    def schedule_wake(self) -> None:
        """Wakes ready watchers, a few per turn of the loop, so that placements don't wait for all of them."""
        if self.channels.ready_watchers and not self.is_wake_scheduled:
            self.is_wake_scheduled = True
            self.core.timing.call_in(WAKE_INTERVAL_MS, self._wake_watchers)

    def _wake_watchers(self) -> None:
        self.is_wake_scheduled = False
        allowed = self.wake_budget.allowed_count(self.core.timing.now())
        if allowed:
            self.channels.wake_watchers(allowed)
        self.schedule_wake()

    def shut_down(self) -> None:
        """Answers the tasks without a round in progress on SIGTERM; the core answers the others."""
        for job in list(self.jobs_by_name.values()):
            for job_task in job.tasks:
                if job_task.step in (JobStep.QUEUED, JobStep.PAUSED):
                    self._reject_task(
                        job_task,
                        StatusAnswer(TaskState.DROPPED, RetryAdvice.HARMLESS),
                        "the allocator is shutting down",
                    )


WAITING_STEPS = (JobStep.QUEUED, JobStep.IN_ROUND, JobStep.PAUSED)


def framework_id(tenant: str) -> str:
    """The framework id of the tenant's jobs; frameworks can't subscribe with such an id."""
    return f"{PREFIX}:{tenant}"
