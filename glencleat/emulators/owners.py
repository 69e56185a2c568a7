"""Stand-in owners: member pipelines that subscribe, ask, wait, give up and ask again (Scheduler API).

What an owner does with each answer follows docs/protocol.md: a refusal is asked again after a pause, a
failure only when RECONCILE says that nothing ran, and a task that was once placed is not placed anew if it is
unsafe."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from glencleat.checker.trace import TraceRecorder
from glencleat.emulators.client import Address, CallQueue, ReconnectingSession, Subscription
from glencleat.event_loop import Loop
from glencleat.event_loop.loop import Coroutine
from glencleat.event_loop.timers import Timer
from glencleat.mesos import messages as m

TARGET = "/api/v1/scheduler"
RECONNECT_BACKOFF_MS = 200.0, 2_000.0  # between two tries to subscribe: the first, the longest
RETRY_DELAY_MS = (1_100.0, 2_900.0)  # before a refused task is asked for again
RECONCILE_DELAY_MS = 3_000.0  # before an owner reconciles a task that may have run
MAX_REQUESTS = 6


@dataclass(frozen=True, slots=True)
class TaskTemplate:
    """One kind of task that owners ask for."""

    task_class: str
    effect: str
    deadline_ms: float
    sizes: tuple[tuple[float, float], ...]  # cores and MB
    life_range_ms: tuple[float, float]


@dataclass(slots=True, eq=False)
class OwnerJob:
    """One task from its owner's view."""

    id: str
    template: TaskTemplate
    service: str
    cores: float
    memory: float
    life_ms: float
    state: str = "new"  # new, asked, placed, waits, doubt, done
    request_count: int = 0
    requested_at: float = 0.0
    first_requested_at: float = 0.0
    outcome: str = ""  # placed, refused, failed, unanswered: how the last ask ended
    timer: Timer | None = None


class EmulatedOwner(ReconnectingSession):
    """One framework at one allocator."""

    def __init__(
        self,
        loop: Loop,
        recorder: TraceRecorder,
        name: str,
        role: str,
        allocator: str,
        address: Address,
        seed: int,
        done: Callable[[OwnerJob], None] = lambda job: None,
    ) -> None:
        self.recorder, self.name, self.role, self.allocator, self.on_done = (
            recorder,
            name,
            role,
            allocator,
            done,
        )
        self.jobs_by_id: dict[str, OwnerJob] = {}
        self.offer_id: str | None = None
        self.stream_id = ""
        self.framework_id: str = f"{name}-framework"
        self.is_closing = False
        self.is_slow = False  # does not read its updates
        self.unsent_jobs: list[OwnerJob] = []
        super().__init__(loop, Random(seed), address, TARGET, name, RECONNECT_BACKOFF_MS)

    # ---- session ----

    def subscribe_body(self) -> bytes:
        told = m.Value(self.framework_id)
        info = m.FrameworkInfo("owner", self.name, told, self.role, failover_timeout=30.0)
        return m.encode(m.SchedulerCall("SUBSCRIBE", told, m.SubscribeFramework(info)))

    def read_events(self, stream: Subscription) -> Coroutine:
        self.stream_id = stream.headers.get("mesos-stream-id", "")
        while True:
            while self.is_slow:
                yield from self.loop.sleep(50.0)
            records = yield from stream.read_records()
            if not records:
                return
            for record in records:
                event = m.decode(m.SchedulerEvent, record)
                if event.type == "ERROR":
                    return
                self._event(event)

    def _event(self, event: m.SchedulerEvent) -> None:
        if event.type == "SUBSCRIBED":
            self.calls = CallQueue(self.loop, self.address, TARGET, lambda status: None)
            doubtful = [j.id for j in self.jobs_by_id.values() if j.state in ("asked", "doubt")]
            if doubtful:
                self._reconcile(doubtful)
        elif event.type == "OFFERS" and event.offers is not None:
            self.offer_id = event.offers.offers[-1].id.value
            waiting, self.unsent_jobs = self.unsent_jobs, []
            for job in waiting:
                self._send(job)
        elif event.type == "RESCIND" and event.rescind is not None:
            if self.offer_id == event.rescind.offer_id.value:
                self.offer_id = None
        elif event.type == "UPDATE" and event.update is not None:
            self._update(event.update.status)

    def on_disconnected(self) -> None:
        if self.offer_id is not None:
            self.recorder.add("cut", who=self.name, allocator=self.allocator)
        self.offer_id = None

    def disconnect(self) -> None:
        """Its connections break."""
        if self.active_subscription is not None:
            self.active_subscription.close()

    def _post(self, kind: str, wrote: Callable[[], None] | None = None, **parts: object) -> None:
        if self.calls is not None:
            call = m.SchedulerCall(kind, m.Value(self.framework_id), **parts)  # type: ignore[arg-type]
            self.calls.send(m.encode(call), {"mesos-stream-id": self.stream_id}, wrote)

    # ---- asking ----

    def task_name(self, job: OwnerJob) -> str:
        """The task as the hosts' labels name it."""
        return f"{self.framework_id}/{job.id}"

    def request_task(self, job: OwnerJob) -> None:
        """Asks for a task, now or as soon as there is an offer."""
        self.jobs_by_id[job.id] = job
        job.first_requested_at = job.first_requested_at or self.loop.now()
        job.state = "waits"
        if self.offer_id is None or self.calls is None:
            self.unsent_jobs.append(job)
        else:
            self._send(job)

    def _send(self, job: OwnerJob) -> None:
        if job.state != "waits" or self.offer_id is None:
            return
        job.state, job.requested_at, job.outcome = "asked", self.loop.now(), "unanswered"
        job.request_count += 1
        labels = {
            "class": job.template.task_class,
            "service": job.service,
            "key": job.id,
            "time_left_ms": f"{job.template.deadline_ms:.0f}",
            "life_ms": f"{job.life_ms:.0f}",
            "again": "true" if job.request_count > 1 else "false",
        }
        info = m.TaskInfo(
            job.service,
            m.Value(job.id),
            resources=m.make_resources(job.cores, job.memory),
            labels=m.Labels([m.Label(k, v) for k, v in labels.items()]),
        )
        operation = m.Operation("LAUNCH", m.Launch([info]))

        self._post("ACCEPT", lambda: self._wrote(job), accept=m.Accept([m.Value(self.offer_id)], [operation]))
        self._wait(job, job.template.deadline_ms, lambda: self._gave_up(job))

    def _wrote(self, job: OwnerJob) -> None:
        job.requested_at = self.loop.now()
        self.recorder.add(
            "asked",
            who=self.name,
            allocator=self.allocator,
            task=self.task_name(job),
            cls=job.template.task_class,
            effect=job.template.effect,
            service=job.service,
            left=job.template.deadline_ms,
        )

    def _wait(self, job: OwnerJob, ms: float, call: Callable[[], None]) -> None:
        if job.timer is not None:
            job.timer.cancel()
        job.timer = self.loop.call_in(ms, call)

    def _gave_up(self, job: OwnerJob) -> None:
        """No answer came in its time: the first rule is broken, unless the allocator or the link was."""
        self.recorder.add("gave up", who=self.name, allocator=self.allocator, task=self.task_name(job))
        self._unsure(job)

    def _unsure(self, job: OwnerJob) -> None:
        if job.template.effect == "safe":
            self._again(job)
            return
        job.state = "doubt"
        self._wait(job, RECONCILE_DELAY_MS, lambda: self._settle(job))

    def _settle(self, job: OwnerJob) -> None:
        if job.state != "doubt":
            return
        if job.request_count > 3 * MAX_REQUESTS:
            self._done(job)
            return
        job.request_count += 1
        self._reconcile([job.id])
        self._wait(job, RECONCILE_DELAY_MS, lambda: self._settle(job))

    def _reconcile(self, ids: list[str]) -> None:
        tasks = [m.ReconcileTask(m.Value(name)) for name in ids]
        self._post("RECONCILE", reconcile=m.Reconcile(tasks))

    def _again(self, job: OwnerJob) -> None:
        if job.request_count >= MAX_REQUESTS or self.is_closing:
            self._done(job)
            return
        job.state = "pause"
        self._wait(job, self.random.uniform(*RETRY_DELAY_MS), lambda: self.request_task(job))

    def _done(self, job: OwnerJob) -> None:
        if job.timer is not None:
            job.timer.cancel()
        job.state = "done"
        self.jobs_by_id.pop(job.id, None)
        self.on_done(job)

    # ---- answers ----

    def _update(self, status: m.TaskStatus) -> None:
        job, retry = self.jobs_by_id.get(status.task_id.value), m.find_label(status.labels, "retry") or ""
        self.recorder.add(
            "answer",
            who=self.name,
            allocator=self.allocator,
            task=f"{self.framework_id}/{status.task_id.value}",
            state=status.state,
            retry=retry,
            reason=status.reason or "",
            text=status.uuid or "",
        )
        if status.uuid is not None and status.agent_id is not None:
            told = m.Acknowledge(status.agent_id, status.task_id, status.uuid)
            self._post("ACKNOWLEDGE", acknowledge=told)
        if job is not None:
            self._heard(job, status.state, retry)

    def _heard(self, job: OwnerJob, state: str, retry: str) -> None:
        """What follows a state of a task, whichever way it was told."""
        if state in ("TASK_STARTING", "TASK_RUNNING"):
            self._placed(job)
        elif state in ("TASK_STAGING", "TASK_UNKNOWN"):
            return  # goes on being asked for, or in doubt
        elif state == "TASK_UNREACHABLE" and retry == "reconcile":
            job.state = "doubt"
            self._wait(job, RECONCILE_DELAY_MS, lambda: self._settle(job))
        elif job.state == "placed":
            self._ended(job, state)
        elif retry == "harmless":
            job.outcome = "refused"
            self._again(job)
        elif retry == "never":
            self._done(job)
        elif job.state == "asked":
            job.outcome = "failed"
            self._unsure(job)

    def _placed(self, job: OwnerJob) -> None:
        if job.state == "asked":
            job.outcome = "placed"
        job.state = "placed"
        if job.timer is not None:
            job.timer.cancel()

    def _ended(self, job: OwnerJob, state: str) -> None:
        if state == "TASK_FINISHED" or job.template.effect == "unsafe":
            self._done(job)
        else:
            self._again(job)  # evicted, stopped or lost: placed anew

    def close(self) -> None:
        self.is_closing = True
        super().close()
