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
    CallAnswered,
    CallForgotten,
    CallTaken,
    DomainEvent,
    MachineListChanged,
    TaskStatusReported,
)
from glencleat.allocator.pending_reasons import PendingReasons
from glencleat.allocator.ports import CorePort
from glencleat.allocator.startup_gate import StartupGate
from glencleat.allocator.status_mapping import RUNNING, STAGING, STARTING, UNREACHABLE, StatusAnswer
from glencleat.rest import reasons
from glencleat.rest import schema as s
from glencleat.rest.jobs import JobState, JobStep, Slot
from glencleat.rest.version_store import Key, VersionEvent, Versions
from glencleat.rest.watches import WatchChannels

LIVE = (STAGING, STARTING, RUNNING, UNREACHABLE)
NO_TENANT = "*"  # Mesos' default role


@dataclass(slots=True, eq=False)
class Seen:
    """What is known of one task, of either front."""

    key: Key  # tenant, framework, task id
    labels: dict[str, str]
    created_wall: float
    call: Call | None = None
    slot: Slot | None = None
    state: str = STAGING
    answer: str | None = None
    retry: str | None = None
    reason: str | None = None
    message: str | None = None
    machine: str | None = None
    counted: tuple[str, str, str] | None = None  # service, "waiting" or the hall, machine
    shape: reasons.Shape | None = None  # while it waits

    def tell(self, answer: StatusAnswer, text: str | None, machine: str | None) -> None:
        self.state, self.retry, self.reason = answer.state, answer.retry.value, answer.reason
        self.message, self.machine = text, machine

    def wait(self) -> None:
        """It waits for a place, for the first time or again."""
        self.state, self.answer, self.retry = STAGING, None, None
        self.reason = self.message = self.machine = None


@dataclass(slots=True)
class Tally:
    """The tasks of one service of a tenant."""

    waiting: int = 0
    zones: Counter[str] = field(default_factory=Counter)


class Mirror:
    def __init__(
        self,
        core: CorePort,
        opening: Callable[[], StartupGate],
        versions: Versions,
        channels: WatchChannels,
        wall: Callable[[], float],
        ended_most: int = 10_000,
    ) -> None:
        self.core, self.opening, self.wall = core, opening, wall
        self.versions, self.channels, self.ended_most = versions, channels, ended_most
        self.tasks: dict[Key, Seen] = {}
        self.ended: OrderedDict[Key, None] = OrderedDict()  # of frameworks; a job's go with their job
        self.machines: dict[str, api.Machine] = {}
        self.agents: dict[str, str] = {}
        self.placed: dict[str, Counter[str]] = {}  # service -> machine -> our placed tasks
        self.tallies: dict[tuple[str, str], Tally] = {}
        self.silent: dict[str, int] = {}  # machine -> attempts unanswered since it was last heard
        self.shapes: dict[reasons.Shape, dict[Key, None]] = {}  # waiting tasks
        self.common: dict[reasons.Shape, list[s.Cause]] = {}  # their causes, as of the last sweep
        self.dirty_tasks: dict[Key, None] = {}
        self.dirty_jobs: dict[JobState, None] = {}
        self.dirty_services: dict[tuple[str, str], None] = {}
        self.dirty_machines: dict[str, None] = {}
        self.stir: Callable[[], None] = lambda: None  # something is dirty: flush soon

    # ---- hearing ----

    def hear(self, what: DomainEvent) -> None:
        """What happened to tasks of frameworks, and to machines; a job's tasks are the plane's matter."""
        if isinstance(what, TaskStatusReported):
            self.told(what.call, what.answer, what.text)
        elif isinstance(what, AttemptSent):
            self.touch_call(what.attempt.call)
        elif isinstance(what, AttemptConcluded):
            self._back(what)
        elif isinstance(what, CallAnswered):
            seen = self.of(what.call)
            if seen is not None and seen.call is what.call and seen.slot is None:
                seen.answer = what.final_answer.value
        elif isinstance(what, CallTaken):
            self.taken(what.call)
        elif isinstance(what, CallForgotten):
            seen = self.of(what.call)
            if seen is not None and seen.call is what.call and seen.slot is None:
                self.drop(seen.key)
        elif isinstance(what, MachineListChanged):
            self._machines(what.update)
        elif isinstance(what, AgentStateChanged):
            self.agents[what.agent_id] = what.state
            self.silent.pop(what.agent_id, None)
            self.touch_machine(what.agent_id)

    @staticmethod
    def key(call: Call) -> Key:
        return call.tenant or NO_TENANT, call.framework, call.task_id

    def of(self, call: Call) -> Seen | None:
        return self.tasks.get(self.key(call))

    def taken(self, call: Call) -> Seen:
        key = self.key(call)
        seen = self.tasks.get(key)
        if seen is None:
            seen = self.tasks[key] = Seen(key, task_labels(call), self.wall())
        seen.call = call
        if seen.slot is None:
            seen.wait()
            self.ended.pop(key, None)
            if call.final_answer is not None:
                seen.answer = call.final_answer.value
        self.touch(key)
        return seen

    def told(self, call: Call, answer: StatusAnswer, text: str | None) -> None:
        seen = self.of(call)
        if seen is None or seen.call is not call:
            return
        last = call.last_attempt()
        seen.tell(answer, text, last.machine if last is not None and answer.state in LIVE else None)
        if last is not None and answer.state in (STARTING, RUNNING):
            self.silent.pop(last.machine, None)
        if seen.state not in LIVE and seen.slot is None:
            self.ended[seen.key] = None
            while len(self.ended) > self.ended_most:
                self.drop(next(iter(self.ended)))
        self.touch(seen.key)

    def _back(self, what: AttemptConcluded) -> None:
        machine = what.attempt.machine
        if what.outcome is api.Outcome.TIMED_OUT:
            self.silent[machine] = self.silent.get(machine, 0) + 1
        elif what.outcome in (api.Outcome.REJECTED, api.Outcome.COMPLETED):
            self.silent.pop(machine, None)
        self.touch_call(what.attempt.call)

    def _machines(self, news: api.MachineListUpdated) -> None:
        if news.kind is api.ListUpdateKind.FAILED:
            return
        told = {machine.name: machine for machine in news.machines}
        gone = set(self.machines) - set(told) if news.kind is api.ListUpdateKind.SNAPSHOT else set()
        gone |= {name for name, machine in told.items() if machine.phase is api.MachinePhase.REMOVED}
        self.machines.update(told)
        for name in gone:
            self.machines.pop(name, None)
            self.silent.pop(name, None)
        for name in (*told, *gone):
            self.touch_machine(name)

    # ---- what is to be flushed ----

    def touch(self, key: Key) -> None:
        self.dirty_tasks[key] = None
        self.stir()

    def touch_call(self, call: Call) -> None:
        seen = self.of(call)
        if seen is not None and seen.call is call:
            self.touch(seen.key)

    def touch_job(self, job: JobState) -> None:
        self.dirty_jobs[job] = None
        self.stir()

    def touch_machine(self, name: str) -> None:
        self.dirty_machines[name] = None
        self.stir()

    def drop(self, key: Key) -> None:
        """The task is no longer shown."""
        seen = self.tasks.pop(key, None)
        self.ended.pop(key, None)
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
            self._flush_task(self.tasks[key])

    def _publish(self, event: VersionEvent | None) -> None:
        if event is not None:
            self.channels.publish(event, self.core.now())
            if self.channels.awake:
                self.stir()

    def _flush_task(self, seen: Seen) -> None:
        call, slot = seen.call, seen.slot
        if slot is not None:
            spec = slot.job.spec
            shape = (slot.job.cls.name, spec.service, spec.cores, spec.memory)
            attempts = sum(reason.count for reason in slot.record.reasons.values())
        elif call is not None:
            ask = call.request
            shape, attempts = (ask.task_class, ask.service, ask.cores, ask.memory), len(call.attempts)
        else:
            return
        waits = seen.state == STAGING
        self._wait(seen, shape if waits else None)
        placed = call is not None and seen.state in (STARTING, RUNNING) and seen.machine is not None
        at = seen.machine if placed else None
        if waits:
            self._count(seen, (shape[1], "waiting", ""))
        elif at is not None:
            machine = self.machines.get(at)
            self._count(seen, (shape[1], machine.zone if machine is not None else "", at))
        else:
            self._count(seen, None)
        tenant, framework, name = seen.key
        task = s.Task(
            labels=seen.labels,
            created_at_ms=seen.created_wall,
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
            retry=seen.retry,  # type: ignore[arg-type]
            reason=seen.reason,
            message=seen.message,
            machine=seen.machine,
            attempts=attempts,
            why=self.why(seen) if waits else None,
        )
        if slot is not None:
            self.dirty_jobs[slot.job] = None
        self._publish(self.versions.put("tasks", seen.key, task, task_fields(task)))

    def flush_job(self, job: JobState) -> None:
        """Publishes one job now."""
        self.dirty_jobs.pop(job, None)
        if job.gone:
            self._publish(self.versions.delete("jobs", (job.tenant, job.name)))
            return
        told = s.Job(
            labels=job.labels,
            created_at_ms=job.created_wall,
            tenant=job.tenant,
            name=job.name,
            uid=job.uid,
            spec=job.spec,
            status=job.status(),
        )
        fields = {".class": job.spec.task_class, ".service": job.spec.service, ".phase": told.status.phase}
        self._publish(self.versions.put("jobs", (job.tenant, job.name), told, job.labels | fields))

    def _flush_service(self, name: tuple[str, str]) -> None:
        tally = self.tallies.get(name)
        if tally is None or not (tally.waiting or tally.zones):
            self.tallies.pop(name, None)
            self._publish(self.versions.delete("services", name))
            return
        placed = sum(tally.zones.values())
        told = s.Service(
            tenant=name[0], name=name[1], waiting=tally.waiting, placed=placed, zones=dict(tally.zones)
        )
        self._publish(self.versions.put("services", name, told, {".service": name[1]}))

    def _flush_machine(self, name: str) -> None:
        machine = self.machines.get(name)
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
            agent=self.agents.get(name, "unknown"),  # type: ignore[arg-type]
            cores_left=round(machine.free_cores, 3) if view else None,
            memory_left=round(machine.free_memory, 1) if view else None,
        )
        fields = {".kind": told.kind, ".zone": told.zone, ".phase": told.phase, ".agent": told.agent}
        self._publish(self.versions.put("machines", (name,), told, fields))

    # ---- counts ----

    def _count(self, seen: Seen, now: tuple[str, str, str] | None) -> None:
        """The task counts with its service under its hall, or as waiting; None: not any more."""
        if seen.counted == now:
            return
        tenant = seen.key[0]
        for told, change in ((seen.counted, -1), (now, 1)):
            if told is None:
                continue
            service, zone, machine = told
            tally = self.tallies.setdefault((tenant, service), Tally())
            if not machine:
                tally.waiting += change
            else:
                tally.zones[zone] += change
                there = self.placed.setdefault(service, Counter())
                there[machine] += change
                if not tally.zones[zone]:
                    del tally.zones[zone]
                if not there[machine]:
                    del there[machine]
                if not there:
                    del self.placed[service]
            self.dirty_services[tenant, service] = None
        seen.counted = now
        self.stir()

    def _wait(self, seen: Seen, shape: reasons.Shape | None) -> None:
        if seen.shape == shape:
            return
        if seen.shape is not None:
            there = self.shapes[seen.shape]
            del there[seen.key]
            if not there:
                del self.shapes[seen.shape]
                self.common.pop(seen.shape, None)
        if shape is not None:
            self.shapes.setdefault(shape, {})[seen.key] = None
        seen.shape = shape

    # ---- why ----

    def wall_of(self, at: float) -> float:
        return self.wall() - (self.core.now() - at)

    def stage(self, seen: Seen) -> s.Cause | None:
        """What the task waits for just now, as far as that is ours."""
        slot, call = seen.slot, seen.call
        if not self.opening().is_open:
            return reasons.OPENING
        if slot is not None and slot.step is not JobStep.ASKED:
            return reasons.PAUSE if slot.step is JobStep.PAUSED else reasons.QUEUE
        last = call.active_attempt() if call is not None else None
        return reasons.out(last.machine, last.number) if last is not None else None

    def why(self, seen: Seen) -> s.Why:
        if seen.slot is not None:
            record = seen.slot.record
        else:
            record = seen.call.pending_reasons if seen.call is not None else PendingReasons()
        common = self.common.get(seen.shape, []) if seen.shape is not None else []
        return reasons.why(self.stage(seen), record, common, self.wall_of)

    def sweep(self) -> None:
        """Looks at the cluster anew for all that wait; where the causes have changed, they are told anew."""
        if not self.shapes:
            return
        facts = reasons.Facts(
            self.core.settings,
            self.machines,
            self.agents,
            self.placed,
            self.silent,
            self.core.now(),
            self.common,
        )
        for shape, keys in self.shapes.items():
            causes = facts.common(shape)
            if causes is not self.common.get(shape):
                self.dirty_tasks.update(keys)
        self.common = facts.known
        if self.dirty_tasks:
            self.stir()


def task_labels(call: Call) -> dict[str, str]:
    """A framework's labels, as far as they are as short and few as a job's may be."""
    told = call.info.labels.labels if call.info.labels is not None else []
    most = s.LABEL_CHARS
    short = [x for x in told if x.value is not None and len(x.key) <= most and len(x.value) <= most]
    return {x.key: x.value or "" for x in short[: s.LABELS_MOST] if not x.key.startswith(".")}


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
