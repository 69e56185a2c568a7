"""The resources as clients see them, derived from the core's domain events (domain_events.py).

Events only mark what has changed. `flush` then builds each changed resource once, from the current state of
the call table, stores it as a new version and publishes the event. So the cost of a burst depends on how
many resources changed and not on how often, and placements never wait for a watcher. No I/O.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from glencleat import interface as api
from glencleat.allocator.call_table import Call
from glencleat.allocator.domain_events import (
    AgentStateChanged,
    AttemptConcluded,
    AttemptSent,
    CallAdded,
    CallAnswered,
    CallForgotten,
    DomainEvent,
    MachineListChanged,
    TaskStatusReported,
)
from glencleat.allocator.pending_reasons import PendingReasons
from glencleat.allocator.ports import CorePort
from glencleat.allocator.startup_gate import StartupGate
from glencleat.allocator.status_mapping import StatusAnswer, TaskState
from glencleat.rest import reasons
from glencleat.rest import schema as s
from glencleat.rest.jobs import JobState, JobStep, JobTask
from glencleat.rest.version_store import Key, VersionEvent, VersionStore
from glencleat.rest.watches import WatchChannels

LIVE = (TaskState.STAGING, TaskState.STARTING, TaskState.RUNNING, TaskState.UNREACHABLE)
NO_TENANT = "*"  # the default role of Mesos


@dataclass(slots=True, eq=False)
class TaskView:
    """What is known of one task, of a job or of a framework."""

    key: Key  # tenant, framework, task id
    labels: dict[str, str]
    created_at_ms: float
    call: Call | None = None
    job_task: JobTask | None = None
    state: str = TaskState.STAGING
    answer: str | None = None
    retry_advice: str | None = None
    reason: str | None = None
    message: str | None = None
    machine: str | None = None
    counted_as: tuple[str, str, str] | None = None  # service, "waiting" or the zone, machine
    shape: reasons.Shape | None = None  # set while the task waits

    def apply_status(self, answer: StatusAnswer, text: str | None, machine: str | None) -> None:
        """Takes over a status reported by the core."""
        self.state, self.retry_advice, self.reason = answer.state, answer.retry_advice.value, answer.reason
        self.message, self.machine = text, machine

    def mark_waiting(self) -> None:
        """The task waits to be placed, for the first time or again."""
        self.state, self.answer, self.retry_advice = TaskState.STAGING, None, None
        self.reason = self.message = self.machine = None


@dataclass(slots=True)
class ServiceCounts:
    """Counts of the tasks of one service of a tenant."""

    waiting_count: int = 0
    placed_by_zone: Counter[str] = field(default_factory=Counter)


class ResourceMirror:
    """The published resources, and which of them have changed since the last flush."""

    def __init__(
        self,
        core: CorePort,
        get_startup_gate: Callable[[], StartupGate],
        versions: VersionStore,
        channels: WatchChannels,
        wall_ms: Callable[[], float],
        max_ended_tasks: int = 10_000,
    ) -> None:
        self.core, self.get_startup_gate, self.wall_ms = core, get_startup_gate, wall_ms
        self.versions, self.channels, self.max_ended_tasks = versions, channels, max_ended_tasks
        self.views_by_key: dict[Key, TaskView] = {}
        # Ended tasks of frameworks, oldest first; a job's tasks are removed with the job.
        self.ended_task_keys: OrderedDict[Key, None] = OrderedDict()
        self.machines_by_name: dict[str, api.Machine] = {}
        self.agent_state_by_machine: dict[str, str] = {}
        # Service -> machine -> placed tasks of this allocator.
        self.placed_by_service: dict[str, Counter[str]] = {}
        self.counts_by_service: dict[tuple[str, str], ServiceCounts] = {}
        # Attempts without an answer since the machine last reported something.
        self.unanswered_by_machine: dict[str, int] = {}
        self.waiting_by_shape: dict[reasons.Shape, dict[Key, None]] = {}  # keys of waiting tasks
        self.causes_by_shape: dict[reasons.Shape, list[s.Cause]] = {}  # as of the last refresh
        self.dirty_tasks: dict[Key, None] = {}
        self.dirty_jobs: dict[JobState, None] = {}
        self.dirty_services: dict[tuple[str, str], None] = {}
        self.dirty_machines: dict[str, None] = {}
        self.schedule_flush: Callable[[], None] = lambda: None  # requests a flush; set by RestService

    # ---- domain events ----

    def on_domain_event(self, event: DomainEvent) -> None:
        """Applies an event about machines or a framework's task; `RestService` handles those of job tasks."""
        if isinstance(event, TaskStatusReported):
            self.record_status(event.call, event.answer, event.text)
        elif isinstance(event, AttemptSent):
            self.mark_call_dirty(event.attempt.call)
        elif isinstance(event, AttemptConcluded):
            self._record_conclusion(event)
        elif isinstance(event, CallAnswered):
            view = self.find_view(event.call)
            if view is not None and view.call is event.call and view.job_task is None:
                view.answer = event.final_answer.value
        elif isinstance(event, CallAdded):
            self.record_call(event.call)
        elif isinstance(event, CallForgotten):
            view = self.find_view(event.call)
            if view is not None and view.call is event.call and view.job_task is None:
                self.remove_task(view.key)
        elif isinstance(event, MachineListChanged):
            self._apply_machine_list(event.update)
        elif isinstance(event, AgentStateChanged):
            self.agent_state_by_machine[event.agent] = event.state
            self.unanswered_by_machine.pop(event.agent, None)
            self.mark_machine_dirty(event.agent)

    @staticmethod
    def task_key(call: Call) -> Key:
        """The key of a call's task."""
        return call.tenant or NO_TENANT, call.framework_id, call.task_id

    def find_view(self, call: Call) -> TaskView | None:
        """The view of a call's task; None if there is none."""
        return self.views_by_key.get(self.task_key(call))

    def record_call(self, call: Call) -> TaskView:
        """Links a new call to the view of its task, which is created if absent."""
        key = self.task_key(call)
        view = self.views_by_key.get(key)
        if view is None:
            view = self.views_by_key[key] = TaskView(key, task_labels(call), self.wall_ms())
        view.call = call
        if view.job_task is None:
            view.mark_waiting()
            self.ended_task_keys.pop(key, None)
            if call.final_answer is not None:
                view.answer = call.final_answer.value
        self.mark_task_dirty(key)
        return view

    def record_status(self, call: Call, answer: StatusAnswer, text: str | None) -> None:
        """Applies a status to the task's view, unless a later call has replaced this one."""
        view = self.find_view(call)
        if view is None or view.call is not call:
            return
        last = call.last_attempt()
        view.apply_status(answer, text, last.machine if last is not None and answer.state in LIVE else None)
        if last is not None and answer.state in (TaskState.STARTING, TaskState.RUNNING):
            self.unanswered_by_machine.pop(last.machine, None)
        if view.state not in LIVE and view.job_task is None:
            self.ended_task_keys[view.key] = None
            while len(self.ended_task_keys) > self.max_ended_tasks:
                self.remove_task(next(iter(self.ended_task_keys)))
        self.mark_task_dirty(view.key)

    def _record_conclusion(self, event: AttemptConcluded) -> None:
        machine = event.attempt.machine
        if event.outcome is api.Outcome.TIMED_OUT:
            self.unanswered_by_machine[machine] = self.unanswered_by_machine.get(machine, 0) + 1
        elif event.outcome in (api.Outcome.REJECTED, api.Outcome.COMPLETED):
            self.unanswered_by_machine.pop(machine, None)
        self.mark_call_dirty(event.attempt.call)

    def _apply_machine_list(self, update: api.MachineListUpdated) -> None:
        if update.kind is api.ListUpdateKind.FAILED:
            return
        updated = {machine.name: machine for machine in update.machines}
        removed = (
            set(self.machines_by_name) - set(updated) if update.kind is api.ListUpdateKind.SNAPSHOT else set()
        )
        removed |= {name for name, machine in updated.items() if machine.phase is api.MachinePhase.REMOVED}
        self.machines_by_name.update(updated)
        for name in removed:
            self.machines_by_name.pop(name, None)
            self.unanswered_by_machine.pop(name, None)
        for name in (*updated, *removed):
            self.mark_machine_dirty(name)

    # ---- changed resources ----

    def mark_task_dirty(self, key: Key) -> None:
        """Marks a task to be published."""
        self.dirty_tasks[key] = None
        self.schedule_flush()

    def mark_call_dirty(self, call: Call) -> None:
        """Marks the call's task to be published."""
        view = self.find_view(call)
        if view is not None and view.call is call:
            self.mark_task_dirty(view.key)

    def mark_job_dirty(self, job: JobState) -> None:
        """Marks a job to be published."""
        self.dirty_jobs[job] = None
        self.schedule_flush()

    def mark_machine_dirty(self, name: str) -> None:
        """Marks a machine to be published."""
        self.dirty_machines[name] = None
        self.schedule_flush()

    def remove_task(self, key: Key) -> None:
        """Deletes the task's resource."""
        view = self.views_by_key.pop(key, None)
        self.ended_task_keys.pop(key, None)
        self.dirty_tasks.pop(key, None)
        if view is not None:
            self._update_counts(view, None)
            self._update_waiting_shape(view, None)
            self._publish(self.versions.delete("tasks", key))

    # ---- flush ----

    def flush(self, max_count: int) -> bool:
        """Publishes up to `max_count` changed resources; returns whether the limit was reached."""
        remaining = max_count
        while self.dirty_tasks and remaining:
            self.flush_task(next(iter(self.dirty_tasks)))
            remaining -= 1
        while self.dirty_jobs and remaining:
            self.flush_job(next(iter(self.dirty_jobs)))
            remaining -= 1
        while self.dirty_services and remaining:
            name = next(iter(self.dirty_services))
            del self.dirty_services[name]
            self._flush_service(name)
            remaining -= 1
        while self.dirty_machines and remaining:
            machine = next(iter(self.dirty_machines))
            del self.dirty_machines[machine]
            self._flush_machine(machine)
            remaining -= 1
        return not remaining

    def flush_task(self, key: Key) -> None:
        """Publishes one task at once, if it has changed."""
        if key in self.dirty_tasks:
            del self.dirty_tasks[key]
            self._flush_task(self.views_by_key[key])

    def _publish(self, event: VersionEvent | None) -> None:
        if event is not None:
            self.channels.publish(event, self.core.now())
            if self.channels.ready_watchers:
                self.schedule_flush()

    def _flush_task(self, view: TaskView) -> None:
        call, job_task = view.call, view.job_task
        if job_task is not None:
            spec = job_task.job.spec
            shape = (job_task.job.task_class.name, spec.service, spec.cores, spec.memory)
            attempts = sum(reason.count for reason in job_task.pending_reasons.reasons_by_kind.values())
        elif call is not None:
            request = call.task_request
            shape, attempts = (
                (request.task_class, request.service, request.cores, request.memory),
                len(call.attempts),
            )
        else:
            return
        is_waiting = view.state == TaskState.STAGING
        self._update_waiting_shape(view, shape if is_waiting else None)
        placed = (
            call is not None
            and view.state in (TaskState.STARTING, TaskState.RUNNING)
            and view.machine is not None
        )
        placed_on = view.machine if placed else None
        if is_waiting:
            self._update_counts(view, (shape[1], "waiting", ""))
        elif placed_on is not None:
            machine = self.machines_by_name.get(placed_on)
            self._update_counts(view, (shape[1], machine.zone if machine is not None else "", placed_on))
        else:
            self._update_counts(view, None)
        tenant, framework, name = view.key
        task = s.Task(
            labels=view.labels,
            created_at_ms=view.created_at_ms,
            tenant=tenant,
            framework=framework,
            name=name,
            job=job_task.job.name if job_task is not None else None,
            task_class=shape[0],
            service=shape[1],
            cores=shape[2],
            memory=shape[3],
            state=view.state,
            answer=view.answer,  # type: ignore[arg-type]
            retry=view.retry_advice,  # type: ignore[arg-type]
            reason=view.reason,
            message=view.message,
            machine=view.machine,
            attempts=attempts,
            why=self.explain_wait(view) if is_waiting else None,
        )
        if job_task is not None:
            self.dirty_jobs[job_task.job] = None
        self._publish(self.versions.put("tasks", view.key, task, task_fields(task)))

    def flush_job(self, job: JobState) -> None:
        """Publishes one job at once."""
        self.dirty_jobs.pop(job, None)
        if job.is_removed:
            self._publish(self.versions.delete("jobs", (job.tenant, job.name)))
            return
        resource = s.Job(
            labels=job.labels,
            created_at_ms=job.created_at_ms,
            tenant=job.tenant,
            name=job.name,
            uid=job.uid,
            spec=job.spec,
            status=job.status(),
        )
        fields = {
            ".class": job.spec.task_class,
            ".service": job.spec.service,
            ".phase": resource.status.phase,
        }
        self._publish(self.versions.put("jobs", (job.tenant, job.name), resource, job.labels | fields))

    def _flush_service(self, name: tuple[str, str]) -> None:
        counts = self.counts_by_service.get(name)
        if counts is None or not (counts.waiting_count or counts.placed_by_zone):
            self.counts_by_service.pop(name, None)
            self._publish(self.versions.delete("services", name))
            return
        placed = sum(counts.placed_by_zone.values())
        resource = s.Service(
            tenant=name[0],
            name=name[1],
            waiting=counts.waiting_count,
            placed=placed,
            zones=dict(counts.placed_by_zone),
        )
        self._publish(self.versions.put("services", name, resource, {".service": name[1]}))

    def _flush_machine(self, name: str) -> None:
        machine = self.machines_by_name.get(name)
        if machine is None:
            self._publish(self.versions.delete("machines", (name,)))
            return
        has_free_capacity = self.core.settings.list_has_free_capacity
        resource = s.Machine(
            name=name,
            kind=machine.kind,
            zone=machine.zone,
            cell=machine.cell,
            phase=machine.phase.value,
            agent=self.agent_state_by_machine.get(name, "unknown"),  # type: ignore[arg-type]
            cores_left=round(machine.free_cores, 3) if has_free_capacity else None,
            memory_left=round(machine.free_memory, 1) if has_free_capacity else None,
        )
        fields = {
            ".kind": resource.kind,
            ".zone": resource.zone,
            ".phase": resource.phase,
            ".agent": resource.agent,
        }
        self._publish(self.versions.put("machines", (name,), resource, fields))

    # ---- counts ----

    def _update_counts(self, view: TaskView, bucket: tuple[str, str, str] | None) -> None:
        """Moves the task to another count of its service; None: it is no longer counted."""
        if view.counted_as == bucket:
            return
        tenant = view.key[0]
        for entry, change in ((view.counted_as, -1), (bucket, 1)):
            if entry is None:
                continue
            service, zone, machine = entry
            counts = self.counts_by_service.setdefault((tenant, service), ServiceCounts())
            if not machine:
                counts.waiting_count += change
            else:
                counts.placed_by_zone[zone] += change
                placed_by_machine = self.placed_by_service.setdefault(service, Counter())
                placed_by_machine[machine] += change
                if not counts.placed_by_zone[zone]:
                    del counts.placed_by_zone[zone]
                if not placed_by_machine[machine]:
                    del placed_by_machine[machine]
                if not placed_by_machine:
                    del self.placed_by_service[service]
            self.dirty_services[tenant, service] = None
        view.counted_as = bucket
        self.schedule_flush()

    def _update_waiting_shape(self, view: TaskView, shape: reasons.Shape | None) -> None:
        if view.shape == shape:
            return
        if view.shape is not None:
            keys = self.waiting_by_shape[view.shape]
            del keys[view.key]
            if not keys:
                del self.waiting_by_shape[view.shape]
                self.causes_by_shape.pop(view.shape, None)
        if shape is not None:
            self.waiting_by_shape.setdefault(shape, {})[view.key] = None
        view.shape = shape

    # ---- reasons for waiting ----

    def to_wall_ms(self, at_ms: float) -> float:
        """Converts a time of the core's clock to wall-clock time."""
        return self.wall_ms() - (self.core.now() - at_ms)

    def current_cause(self, view: TaskView) -> s.Cause | None:
        """What the task waits for at the moment; None if the policy holds it."""
        job_task, call = view.job_task, view.call
        if not self.get_startup_gate().is_open:
            return reasons.STARTUP_CAUSE
        if job_task is not None and job_task.step is not JobStep.IN_ROUND:
            return reasons.PAUSE_CAUSE if job_task.step is JobStep.PAUSED else reasons.QUEUE_CAUSE
        last = call.active_attempt() if call is not None else None
        return reasons.in_flight_cause(last.machine, last.number) if last is not None else None

    def explain_wait(self, view: TaskView) -> s.Why:
        """Why the task waits."""
        if view.job_task is not None:
            record = view.job_task.pending_reasons
        else:
            record = view.call.pending_reasons if view.call is not None else PendingReasons()
        common = self.causes_by_shape.get(view.shape, []) if view.shape is not None else []
        return reasons.explain_wait(self.current_cause(view), record, common, self.to_wall_ms)

    def refresh_causes(self) -> None:
        """Recomputes the causes of all waiting tasks and marks the tasks whose causes changed as dirty."""
        if not self.waiting_by_shape:
            return
        facts = reasons.ClusterFacts(
            self.core.settings,
            self.machines_by_name,
            self.agent_state_by_machine,
            self.placed_by_service,
            self.unanswered_by_machine,
            self.core.now(),
            self.causes_by_shape,
        )
        for shape, keys in self.waiting_by_shape.items():
            causes = facts.common_causes(shape)
            if causes is not self.causes_by_shape.get(shape):
                self.dirty_tasks.update(keys)
        self.causes_by_shape = facts.causes_by_shape
        if self.dirty_tasks:
            self.schedule_flush()


def task_labels(call: Call) -> dict[str, str]:
    """A framework's task labels within the limits that apply to a job's labels."""
    labels = call.info.labels.labels if call.info.labels is not None else []
    max_length = s.MAX_LABEL_CHARACTERS
    kept = [
        label
        for label in labels
        if label.value is not None and len(label.key) <= max_length and len(label.value) <= max_length
    ]
    return {label.key: label.value or "" for label in kept[: s.MAX_LABELS] if not label.key.startswith(".")}


def task_fields(task: s.Task) -> dict[str, str]:
    """The labels and fields of a task that selectors can match."""
    fields = {
        ".state": task.state,
        ".class": task.task_class,
        ".service": task.service,
        ".framework": task.framework,
        ".machine": task.machine,
        ".job": task.job,
        ".answer": task.answer,
    }
    return task.labels | {name: value for name, value in fields.items() if value is not None}
