"""The resources as clients see them, made from what the core tells of itself (seam.py).

Hearing marks what changed; `flush` then makes each changed resource once from the ledger's state of that
moment, puts it among the versions and publishes the event. So a burst costs what changed and not how often,
and a decision never waits for a watcher. No I/O."""

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
NO_TENANT = "*"  # Mesos' default role


@dataclass(slots=True, eq=False)
class TaskView:
    """What is known of one task, of either front."""

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
    counted_as: tuple[str, str, str] | None = None  # service, "waiting" or the hall, machine
    shape: reasons.Shape | None = None  # while it waits

    def apply_status(self, answer: StatusAnswer, text: str | None, machine: str | None) -> None:
        self.state, self.retry_advice, self.reason = answer.state, answer.retry_advice.value, answer.reason
        self.message, self.machine = text, machine

    def mark_waiting(self) -> None:
        """It waits for a place, for the first time or again."""
        self.state, self.answer, self.retry_advice = TaskState.STAGING, None, None
        self.reason = self.message = self.machine = None


@dataclass(slots=True)
class ServiceCounts:
    """The tasks of one service of a tenant."""

    waiting_count: int = 0
    placed_by_zone: Counter[str] = field(default_factory=Counter)


class ResourceMirror:
    def __init__(
        self,
        core: CorePort,
        opening: Callable[[], StartupGate],
        versions: VersionStore,
        channels: WatchChannels,
        wall: Callable[[], float],
        ended_most: int = 10_000,
    ) -> None:
        self.core, self.get_startup_gate, self.wall_ms = core, opening, wall
        self.versions, self.channels, self.max_ended_tasks = versions, channels, ended_most
        self.views_by_key: dict[Key, TaskView] = {}
        self.ended_task_keys: OrderedDict[Key, None] = (
            OrderedDict()
        )  # of frameworks; a job's go with their job
        self.machines_by_name: dict[str, api.Machine] = {}
        self.agent_state_by_machine: dict[str, str] = {}
        self.placed_by_service: dict[str, Counter[str]] = {}  # service -> machine -> our placed tasks
        self.counts_by_service: dict[tuple[str, str], ServiceCounts] = {}
        self.unanswered_by_machine: dict[
            str, int
        ] = {}  # machine -> attempts unanswered since it was last heard
        self.waiting_by_shape: dict[reasons.Shape, dict[Key, None]] = {}  # waiting tasks
        self.causes_by_shape: dict[reasons.Shape, list[s.Cause]] = {}  # their causes, as of the last sweep
        self.dirty_tasks: dict[Key, None] = {}
        self.dirty_jobs: dict[JobState, None] = {}
        self.dirty_services: dict[tuple[str, str], None] = {}
        self.dirty_machines: dict[str, None] = {}
        self.schedule_flush: Callable[[], None] = lambda: None  # something is dirty: flush soon

    # ---- hearing ----

    def on_domain_event(self, what: DomainEvent) -> None:
        """What happened to tasks of frameworks, and to machines; a job's tasks are the plane's matter."""
        if isinstance(what, TaskStatusReported):
            self.record_status(what.call, what.answer, what.text)
        elif isinstance(what, AttemptSent):
            self.mark_call_dirty(what.attempt.call)
        elif isinstance(what, AttemptConcluded):
            self._back(what)
        elif isinstance(what, CallAnswered):
            seen = self.find_view(what.call)
            if seen is not None and seen.call is what.call and seen.job_task is None:
                seen.answer = what.final_answer.value
        elif isinstance(what, CallAdded):
            self.record_call(what.call)
        elif isinstance(what, CallForgotten):
            seen = self.find_view(what.call)
            if seen is not None and seen.call is what.call and seen.job_task is None:
                self.remove_task(seen.key)
        elif isinstance(what, MachineListChanged):
            self._machines(what.update)
        elif isinstance(what, AgentStateChanged):
            self.agent_state_by_machine[what.agent] = what.state
            self.unanswered_by_machine.pop(what.agent, None)
            self.mark_machine_dirty(what.agent)

    @staticmethod
    def task_key(call: Call) -> Key:
        return call.tenant or NO_TENANT, call.framework_id, call.task_id

    def find_view(self, call: Call) -> TaskView | None:
        return self.views_by_key.get(self.task_key(call))

    def record_call(self, call: Call) -> TaskView:
        key = self.task_key(call)
        seen = self.views_by_key.get(key)
        if seen is None:
            seen = self.views_by_key[key] = TaskView(key, task_labels(call), self.wall_ms())
        seen.call = call
        if seen.job_task is None:
            seen.mark_waiting()
            self.ended_task_keys.pop(key, None)
            if call.final_answer is not None:
                seen.answer = call.final_answer.value
        self.mark_task_dirty(key)
        return seen

    def record_status(self, call: Call, answer: StatusAnswer, text: str | None) -> None:
        seen = self.find_view(call)
        if seen is None or seen.call is not call:
            return
        last = call.last_attempt()
        seen.apply_status(answer, text, last.machine if last is not None and answer.state in LIVE else None)
        if last is not None and answer.state in (TaskState.STARTING, TaskState.RUNNING):
            self.unanswered_by_machine.pop(last.machine, None)
        if seen.state not in LIVE and seen.job_task is None:
            self.ended_task_keys[seen.key] = None
            while len(self.ended_task_keys) > self.max_ended_tasks:
                self.remove_task(next(iter(self.ended_task_keys)))
        self.mark_task_dirty(seen.key)

    def _back(self, what: AttemptConcluded) -> None:
        machine = what.attempt.machine
        if what.outcome is api.Outcome.TIMED_OUT:
            self.unanswered_by_machine[machine] = self.unanswered_by_machine.get(machine, 0) + 1
        elif what.outcome in (api.Outcome.REJECTED, api.Outcome.COMPLETED):
            self.unanswered_by_machine.pop(machine, None)
        self.mark_call_dirty(what.attempt.call)

    def _machines(self, news: api.MachineListUpdated) -> None:
        if news.kind is api.ListUpdateKind.FAILED:
            return
        told = {machine.name: machine for machine in news.machines}
        gone = set(self.machines_by_name) - set(told) if news.kind is api.ListUpdateKind.SNAPSHOT else set()
        gone |= {name for name, machine in told.items() if machine.phase is api.MachinePhase.REMOVED}
        self.machines_by_name.update(told)
        for name in gone:
            self.machines_by_name.pop(name, None)
            self.unanswered_by_machine.pop(name, None)
        for name in (*told, *gone):
            self.mark_machine_dirty(name)

    # ---- what is to be flushed ----

    def mark_task_dirty(self, key: Key) -> None:
        self.dirty_tasks[key] = None
        self.schedule_flush()

    def mark_call_dirty(self, call: Call) -> None:
        seen = self.find_view(call)
        if seen is not None and seen.call is call:
            self.mark_task_dirty(seen.key)

    def mark_job_dirty(self, job: JobState) -> None:
        self.dirty_jobs[job] = None
        self.schedule_flush()

    def mark_machine_dirty(self, name: str) -> None:
        self.dirty_machines[name] = None
        self.schedule_flush()

    def remove_task(self, key: Key) -> None:
        """The task is no longer shown."""
        seen = self.views_by_key.pop(key, None)
        self.ended_task_keys.pop(key, None)
        self.dirty_tasks.pop(key, None)
        if seen is not None:
            self._count(seen, None)
            self._wait(seen, None)
            self._publish(self.versions.delete("tasks", key))

    # ---- flush ----

    def flush(self, most: int) -> bool:
        """Publishes up to so many changed resources; gives whether some are left."""
        left = most
        while self.dirty_tasks and left:
            self.flush_task(next(iter(self.dirty_tasks)))
            left -= 1
        while self.dirty_jobs and left:
            self.flush_job(next(iter(self.dirty_jobs)))
            left -= 1
        while self.dirty_services and left:
            name = next(iter(self.dirty_services))
            del self.dirty_services[name]
            self._flush_service(name)
            left -= 1
        while self.dirty_machines and left:
            machine = next(iter(self.dirty_machines))
            del self.dirty_machines[machine]
            self._flush_machine(machine)
            left -= 1
        return not left

    def flush_task(self, key: Key) -> None:
        """Publishes one task now, if it has changed."""
        if key in self.dirty_tasks:
            del self.dirty_tasks[key]
            self._flush_task(self.views_by_key[key])

    def _publish(self, event: VersionEvent | None) -> None:
        if event is not None:
            self.channels.publish(event, self.core.now())
            if self.channels.ready_watchers:
                self.schedule_flush()

    def _flush_task(self, seen: TaskView) -> None:
        call, slot = seen.call, seen.job_task
        if slot is not None:
            spec = slot.job.spec
            shape = (slot.job.task_class.name, spec.service, spec.cores, spec.memory)
            attempts = sum(reason.count for reason in slot.pending_reasons.reasons_by_kind.values())
        elif call is not None:
            ask = call.task_request
            shape, attempts = (ask.task_class, ask.service, ask.cores, ask.memory), len(call.attempts)
        else:
            return
        waits = seen.state == TaskState.STAGING
        self._wait(seen, shape if waits else None)
        placed = (
            call is not None
            and seen.state in (TaskState.STARTING, TaskState.RUNNING)
            and seen.machine is not None
        )
        at = seen.machine if placed else None
        if waits:
            self._count(seen, (shape[1], "waiting", ""))
        elif at is not None:
            machine = self.machines_by_name.get(at)
            self._count(seen, (shape[1], machine.zone if machine is not None else "", at))
        else:
            self._count(seen, None)
        tenant, framework, name = seen.key
        task = s.Task(
            labels=seen.labels,
            created_at_ms=seen.created_at_ms,
            tenant=tenant,
            framework=framework,
            name=name,
            job=slot.job.name if slot is not None else None,
            task_class=shape[0],
            service=shape[1],
            cores=shape[2],
            memory=shape[3],
            state=seen.state,
            answer=seen.answer,  # type: ignore[arg-type]
            retry=seen.retry_advice,  # type: ignore[arg-type]
            reason=seen.reason,
            message=seen.message,
            machine=seen.machine,
            attempts=attempts,
            why=self.explain_wait(seen) if waits else None,
        )
        if slot is not None:
            self.dirty_jobs[slot.job] = None
        self._publish(self.versions.put("tasks", seen.key, task, task_fields(task)))

    def flush_job(self, job: JobState) -> None:
        """Publishes one job now."""
        self.dirty_jobs.pop(job, None)
        if job.is_removed:
            self._publish(self.versions.delete("jobs", (job.tenant, job.name)))
            return
        told = s.Job(
            labels=job.labels,
            created_at_ms=job.created_at_ms,
            tenant=job.tenant,
            name=job.name,
            uid=job.uid,
            spec=job.spec,
            status=job.status(),
        )
        fields = {".class": job.spec.task_class, ".service": job.spec.service, ".phase": told.status.phase}
        self._publish(self.versions.put("jobs", (job.tenant, job.name), told, job.labels | fields))

    def _flush_service(self, name: tuple[str, str]) -> None:
        tally = self.counts_by_service.get(name)
        if tally is None or not (tally.waiting_count or tally.placed_by_zone):
            self.counts_by_service.pop(name, None)
            self._publish(self.versions.delete("services", name))
            return
        placed = sum(tally.placed_by_zone.values())
        told = s.Service(
            tenant=name[0],
            name=name[1],
            waiting=tally.waiting_count,
            placed=placed,
            zones=dict(tally.placed_by_zone),
        )
        self._publish(self.versions.put("services", name, told, {".service": name[1]}))

    def _flush_machine(self, name: str) -> None:
        machine = self.machines_by_name.get(name)
        if machine is None:
            self._publish(self.versions.delete("machines", (name,)))
            return
        view = self.core.settings.list_has_free_capacity
        told = s.Machine(
            name=name,
            kind=machine.kind,
            zone=machine.zone,
            cell=machine.cell,
            phase=machine.phase.value,
            agent=self.agent_state_by_machine.get(name, "unknown"),  # type: ignore[arg-type]
            cores_left=round(machine.free_cores, 3) if view else None,
            memory_left=round(machine.free_memory, 1) if view else None,
        )
        fields = {".kind": told.kind, ".zone": told.zone, ".phase": told.phase, ".agent": told.agent}
        self._publish(self.versions.put("machines", (name,), told, fields))

    # ---- counts ----

    def _count(self, seen: TaskView, now: tuple[str, str, str] | None) -> None:
        """The task counts with its service under its hall, or as waiting; None: not any more."""
        if seen.counted_as == now:
            return
        tenant = seen.key[0]
        for told, change in ((seen.counted_as, -1), (now, 1)):
            if told is None:
                continue
            service, zone, machine = told
            tally = self.counts_by_service.setdefault((tenant, service), ServiceCounts())
            if not machine:
                tally.waiting_count += change
            else:
                tally.placed_by_zone[zone] += change
                there = self.placed_by_service.setdefault(service, Counter())
                there[machine] += change
                if not tally.placed_by_zone[zone]:
                    del tally.placed_by_zone[zone]
                if not there[machine]:
                    del there[machine]
                if not there:
                    del self.placed_by_service[service]
            self.dirty_services[tenant, service] = None
        seen.counted_as = now
        self.schedule_flush()

    def _wait(self, seen: TaskView, shape: reasons.Shape | None) -> None:
        if seen.shape == shape:
            return
        if seen.shape is not None:
            there = self.waiting_by_shape[seen.shape]
            del there[seen.key]
            if not there:
                del self.waiting_by_shape[seen.shape]
                self.causes_by_shape.pop(seen.shape, None)
        if shape is not None:
            self.waiting_by_shape.setdefault(shape, {})[seen.key] = None
        seen.shape = shape

    # ---- why ----

    def to_wall_ms(self, at: float) -> float:
        return self.wall_ms() - (self.core.now() - at)

    def current_cause(self, seen: TaskView) -> s.Cause | None:
        """What the task waits for just now, as far as that is ours."""
        slot, call = seen.job_task, seen.call
        if not self.get_startup_gate().is_open:
            return reasons.STARTUP_CAUSE
        if slot is not None and slot.step is not JobStep.IN_ROUND:
            return reasons.PAUSE if slot.step is JobStep.PAUSED else reasons.QUEUE
        last = call.active_attempt() if call is not None else None
        return reasons.in_flight_cause(last.machine, last.number) if last is not None else None

    def explain_wait(self, seen: TaskView) -> s.Why:
        if seen.job_task is not None:
            record = seen.job_task.pending_reasons
        else:
            record = seen.call.pending_reasons if seen.call is not None else PendingReasons()
        common = self.causes_by_shape.get(seen.shape, []) if seen.shape is not None else []
        return reasons.explain_wait(self.current_cause(seen), record, common, self.to_wall_ms)

    def refresh_causes(self) -> None:
        """Looks at the cluster anew for all that wait; where the causes have changed, they are told anew."""
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
    """A framework's labels, as far as they are as short and few as a job's may be."""
    told = call.info.labels.labels if call.info.labels is not None else []
    most = s.MAX_LABEL_CHARACTERS
    short = [x for x in told if x.value is not None and len(x.key) <= most and len(x.value) <= most]
    return {x.key: x.value or "" for x in short[: s.MAX_LABELS] if not x.key.startswith(".")}


def task_fields(task: s.Task) -> dict[str, str]:
    """What selectors see of a task."""
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
