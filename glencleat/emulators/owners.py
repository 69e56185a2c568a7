"""Stand-in owners: member pipelines that subscribe, ask, wait, give up and ask again (Scheduler API).

What an owner does with each answer follows docs/protocol.md: a refusal is asked again after a pause, a
failure only when RECONCILE says that nothing ran, and a task that was once placed is not placed anew if it is
unsafe."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from glencleat.checker.trace import TraceRecorder
from glencleat.emulators.client import Address, Calls, Reconnecting, Subscription
from glencleat.event_loop import Loop
from glencleat.event_loop.loop import Coroutine
from glencleat.event_loop.timers import Timer
from glencleat.mesos import messages as m

TARGET = "/api/v1/scheduler"
AGAIN_MS = 200.0, 2_000.0  # between two tries to subscribe: the first, the longest
PAUSE_MS = (1_100.0, 2_900.0)  # before a refused task is asked for again
SETTLE_MS = 3_000.0  # before an owner reconciles a task that may have run
ASKS_MOST = 6


@dataclass(frozen=True, slots=True)
class Want:
    """One kind of task that owners ask for."""

    cls: str
    effect: str
    deadline_ms: float
    sizes: tuple[tuple[float, float], ...]  # cores and MB
    life_ms: tuple[float, float]


@dataclass(slots=True, eq=False)
class OwnerJob:
    """One task from its owner's view."""

    id: str
    want: Want
    service: str
    cores: float
    memory: float
    life_ms: float
    state: str = "new"  # new, asked, placed, waits, doubt, done
    asks: int = 0
    asked_at: float = 0.0
    first_at: float = 0.0
    end: str = ""  # placed, refused, failed, unanswered: how the last ask ended
    timer: Timer | None = None


class EmulatedOwner(Reconnecting):
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
        self.recorder, self.name, self.role, self.allocator, self.done = recorder, name, role, allocator, done
        self.jobs: dict[str, OwnerJob] = {}
        self.offer: str | None = None
        self.stream_id = ""
        self.framework: str = f"{name}-framework"
        self.ending = False
        self.slow = False  # does not read its updates
        self.unsent: list[OwnerJob] = []
        super().__init__(loop, Random(seed), address, TARGET, name, AGAIN_MS)

    # ---- session ----

    def hello(self) -> bytes:
        told = m.Value(self.framework)
        info = m.FrameworkInfo("owner", self.name, told, self.role, failover_timeout=30.0)
        return m.encode(m.SchedulerCall("SUBSCRIBE", told, m.SubscribeFramework(info)))

    def follow(self, stream: Subscription) -> Coroutine:
        self.stream_id = stream.headers.get("mesos-stream-id", "")
        while True:
            while self.slow:
                yield from self.loop.sleep(50.0)
            records = yield from stream.records()
            if not records:
                return
            for record in records:
                event = m.decode(m.SchedulerEvent, record)
                if event.type == "ERROR":
                    return
                self._event(event)

    def _event(self, event: m.SchedulerEvent) -> None:
        if event.type == "SUBSCRIBED":
            self.calls = Calls(self.loop, self.address, TARGET, lambda status: None)
            doubtful = [j.id for j in self.jobs.values() if j.state in ("asked", "doubt")]
            if doubtful:
                self._reconcile(doubtful)
        elif event.type == "OFFERS" and event.offers is not None:
            self.offer = event.offers.offers[-1].id.value
            waiting, self.unsent = self.unsent, []
            for job in waiting:
                self._send(job)
        elif event.type == "RESCIND" and event.rescind is not None:
            if self.offer == event.rescind.offer_id.value:
                self.offer = None
        elif event.type == "UPDATE" and event.update is not None:
            self._update(event.update.status)

    def left(self) -> None:
        if self.offer is not None:
            self.recorder.add("cut", who=self.name, allocator=self.allocator)
        self.offer = None

    def cut(self) -> None:
        """Its connections break."""
        if self.stream is not None:
            self.stream.close()

    def _post(self, kind: str, wrote: Callable[[], None] | None = None, **parts: object) -> None:
        if self.calls is not None:
            call = m.SchedulerCall(kind, m.Value(self.framework), **parts)  # type: ignore[arg-type]
            self.calls.send(m.encode(call), {"mesos-stream-id": self.stream_id}, wrote)

    # ---- asking ----

    def task_of(self, job: OwnerJob) -> str:
        """The task as the hosts' labels name it."""
        return f"{self.framework}/{job.id}"

    def ask(self, job: OwnerJob) -> None:
        """Asks for a task, now or as soon as there is an offer."""
        self.jobs[job.id] = job
        job.first_at = job.first_at or self.loop.now()
        job.state = "waits"
        if self.offer is None or self.calls is None:
            self.unsent.append(job)
        else:
            self._send(job)

    def _send(self, job: OwnerJob) -> None:
        if job.state != "waits" or self.offer is None:
            return
        job.state, job.asked_at, job.end = "asked", self.loop.now(), "unanswered"
        job.asks += 1
        labels = {
            "class": job.want.cls,
            "service": job.service,
            "key": job.id,
            "time_left_ms": f"{job.want.deadline_ms:.0f}",
            "life_ms": f"{job.life_ms:.0f}",
            "again": "true" if job.asks > 1 else "false",
        }
        info = m.TaskInfo(
            job.service,
            m.Value(job.id),
            resources=m.build_resources(job.cores, job.memory),
            labels=m.Labels([m.Label(k, v) for k, v in labels.items()]),
        )
        operation = m.Operation("LAUNCH", m.Launch([info]))

        self._post("ACCEPT", lambda: self._wrote(job), accept=m.Accept([m.Value(self.offer)], [operation]))
        self._wait(job, job.want.deadline_ms, lambda: self._gave_up(job))

    def _wrote(self, job: OwnerJob) -> None:
        job.asked_at = self.loop.now()
        self.recorder.add(
            "asked",
            who=self.name,
            allocator=self.allocator,
            task=self.task_of(job),
            cls=job.want.cls,
            effect=job.want.effect,
            service=job.service,
            left=job.want.deadline_ms,
        )

    def _wait(self, job: OwnerJob, ms: float, call: Callable[[], None]) -> None:
        if job.timer is not None:
            job.timer.cancel()
        job.timer = self.loop.call_in(ms, call)

    def _gave_up(self, job: OwnerJob) -> None:
        """No answer came in its time: the first rule is broken, unless the allocator or the link was."""
        self.recorder.add("gave up", who=self.name, allocator=self.allocator, task=self.task_of(job))
        self._unsure(job)

    def _unsure(self, job: OwnerJob) -> None:
        if job.want.effect == "safe":
            self._again(job)
            return
        job.state = "doubt"
        self._wait(job, SETTLE_MS, lambda: self._settle(job))

    def _settle(self, job: OwnerJob) -> None:
        if job.state != "doubt":
            return
        if job.asks > 3 * ASKS_MOST:
            self._done(job)
            return
        job.asks += 1
        self._reconcile([job.id])
        self._wait(job, SETTLE_MS, lambda: self._settle(job))

    def _reconcile(self, ids: list[str]) -> None:
        tasks = [m.ReconcileTask(m.Value(name)) for name in ids]
        self._post("RECONCILE", reconcile=m.Reconcile(tasks))

    def _again(self, job: OwnerJob) -> None:
        if job.asks >= ASKS_MOST or self.ending:
            self._done(job)
            return
        job.state = "pause"
        self._wait(job, self.random.uniform(*PAUSE_MS), lambda: self.ask(job))

    def _done(self, job: OwnerJob) -> None:
        if job.timer is not None:
            job.timer.cancel()
        job.state = "done"
        self.jobs.pop(job.id, None)
        self.done(job)

    # ---- answers ----

    def _update(self, status: m.TaskStatus) -> None:
        job, retry = self.jobs.get(status.task_id.value), m.find_label(status.labels, "retry") or ""
        self.recorder.add(
            "answer",
            who=self.name,
            allocator=self.allocator,
            task=f"{self.framework}/{status.task_id.value}",
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
            self._wait(job, SETTLE_MS, lambda: self._settle(job))
        elif job.state == "placed":
            self._ended(job, state)
        elif retry == "harmless":
            job.end = "refused"
            self._again(job)
        elif retry == "never":
            self._done(job)
        elif job.state == "asked":
            job.end = "failed"
            self._unsure(job)

    def _placed(self, job: OwnerJob) -> None:
        if job.state == "asked":
            job.end = "placed"
        job.state = "placed"
        if job.timer is not None:
            job.timer.cancel()

    def _ended(self, job: OwnerJob, state: str) -> None:
        if state == "TASK_FINISHED" or job.want.effect == "unsafe":
            self._done(job)
        else:
            self._again(job)  # evicted, stopped or lost: placed anew

    def end(self) -> None:
        self.ending = True
        super().end()
