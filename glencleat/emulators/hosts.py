"""Stand-in hosts: a machine each, with an agent that keeps a session to every allocator (Executor API)."""

from __future__ import annotations

import uuid
from base64 import b64encode
from collections import OrderedDict
from collections.abc import Callable
from random import Random

from glencleat.checker.trace import TraceRecorder
from glencleat.emulators.client import Address, CallQueue, ReconnectingSession, Subscription
from glencleat.emulators.machine import EmulatedMachine, HeldTask, MachineProfile, TaskOffer
from glencleat.event_loop import Loop
from glencleat.event_loop.loop import Coroutine
from glencleat.mesos import messages as m

TARGET = "/api/v1/executor"
RECONNECT_BACKOFF_MS = 100.0, 1_000.0  # between two tries to subscribe: the first, the longest
PAUSE_POLL_MS, BACKLOG_READ_MS = 20.0, 200.0


class Session(ReconnectingSession):
    """One host's agent towards one allocator, over reconnects. Updates are kept until acknowledged."""

    def __init__(self, host: EmulatedHost, allocator: str, address: Address) -> None:
        self.host, self.allocator = host, allocator
        self.unacknowledged: OrderedDict[str, m.TaskStatus] = OrderedDict()
        self.task_infos: dict[str, m.TaskInfo] = {}
        self.recorded_uuids: set[str | None] = set()
        self.last_subscribe = m.SubscribeExecutor()  # by the latest subscription
        self.is_paused = False  # heartbeats stop, nothing is sent: a network that swallows
        self.paused_at, self.resumed_at = 0.0, -1e18
        super().__init__(
            host.loop, host.random, address, TARGET, f"{host.name} to {allocator}", RECONNECT_BACKOFF_MS
        )

    def subscribe_body(self) -> bytes:
        call = self._hello()
        self.last_subscribe = call.subscribe or m.SubscribeExecutor()
        self._list(self.last_subscribe)
        return m.encode(call)

    def _hello(self) -> m.ExecutorCall:
        """All living tasks of this allocator's: it may be a new incarnation that knows none of them."""
        living = set(self.host.machine.tasks_by_id) | {o.id for o in self.host.machine.offer_queue}
        tasks = [info for name, info in self.task_infos.items() if name in living]
        updates = [m.UpdateCall(status) for status in self.unacknowledged.values()]
        return self._call("SUBSCRIBE", subscribe=m.SubscribeExecutor(tasks, updates))

    def _list(self, told: m.SubscribeExecutor) -> None:
        ids = [task.task_id.value for task in told.unacknowledged_tasks]
        ids += [update.status.task_id.value for update in told.unacknowledged_updates]
        host = self.host
        host.recorder.add("listed", who=host.name, allocator=self.allocator, text=host.incarnation, ids=ids)

    def _call(self, kind: str, **parts: object) -> m.ExecutorCall:
        ids = m.Value(self.host.executor_id()), m.Value("glencleat")
        return m.ExecutorCall(kind, *ids, **parts)  # type: ignore[arg-type]

    def read_events(self, stream: Subscription) -> Coroutine:
        for update in self.last_subscribe.unacknowledged_updates:
            self._said(update.status)
        while True:
            records = yield from stream.read_records()
            if not records:
                return
            for record in records:
                while self.is_paused:  # what came lies unread, and is read in order later
                    yield from self.host.loop.sleep(PAUSE_POLL_MS)
                event = m.decode(m.ExecutorEvent, record)
                if event.type == "ERROR":
                    return
                self._event(event)

    def _event(self, event: m.ExecutorEvent) -> None:
        host = self.host
        if event.type == "SUBSCRIBED":
            self.calls = CallQueue(host.loop, self.address, TARGET, self._rejected)
        elif event.type == "LAUNCH" and event.launch is not None:
            host.handle_launch(self, event.launch.task)
        elif event.type == "KILL" and event.kill is not None:
            host.recorder.add(
                "kill", who=host.name, allocator=self.allocator, attempt=event.kill.task_id.value
            )
            if not host.machine.faults.is_silent:
                host.machine.kill_task(event.kill.task_id.value)
        elif event.type == "ACKNOWLEDGED" and event.acknowledged is not None:
            self.unacknowledged.pop(event.acknowledged.uuid, None)
        elif event.type == "MESSAGE" and event.message is not None:
            payload = m.decode_payload(event.message.data)
            if payload.kind == "probe" and not host.machine.faults.is_silent:
                self.send_report(payload.probe)

    def _rejected(self, status: int) -> None:
        if status == 403 and self.active_subscription is not None:
            self.active_subscription.close()  # not subscribed any more: begin again

    def send_call(self, call: m.ExecutorCall, wrote: Callable[[], None] | None = None) -> None:
        if self.calls is not None and not self.is_paused:
            self.calls.send(m.encode(call), None, wrote)

    def send_update(self, task: str, state: str, reason: str | None, cause: str | None) -> None:
        host = self.host
        token = b64encode(uuid.UUID(int=host.random.getrandbits(128), version=4).bytes).decode()
        status = m.TaskStatus(
            m.Value(task),
            state,
            "SOURCE_EXECUTOR",
            reason,
            timestamp=host.loop.clock.wall() / 1000.0,
            uuid=token,
            data=m.encode_payload(host.load_report()),
            labels=m.Labels([m.Label("cause", cause)]) if cause is not None else None,
        )
        self.unacknowledged[token] = status
        if state not in ("TASK_STARTING", "TASK_RUNNING"):
            self.task_infos.pop(task, None)
        self.send_call(self._call("UPDATE", update=m.UpdateCall(status)), lambda: self._said(status))

    def _said(self, status: m.TaskStatus) -> None:
        """Records an update when it is first written, by a call or in a subscription."""
        if status.uuid not in self.recorded_uuids:
            self.recorded_uuids.add(status.uuid)
            self.host.recorder.add(
                "said",
                who=self.host.name,
                allocator=self.allocator,
                attempt=status.task_id.value,
                state=status.state,
                reason=status.reason or "",
                text=m.find_label(status.labels, "cause") or "",
            )

    def send_report(self, probe: int | None) -> None:
        payload = self.host.load_report()
        payload.probe = probe
        payload.tasks = [
            m.TaskUse(h.id, *h.usage, served=self.host.served_share())
            for h in self.host.machine.tasks_by_id.values()
            if h.is_running and h.allocator == self.allocator
        ]
        self.send_call(self._call("MESSAGE", message=m.Message(m.encode_payload(payload))))

    def send_heartbeat(self) -> None:
        self.send_call(self._call("HEARTBEAT"))

    def pause(self) -> None:
        self.is_paused, self.paused_at = True, self.host.loop.now()

    def resume(self) -> None:
        """Speaks again; what it held back is told by a new subscription."""
        self.is_paused, self.resumed_at = False, self.host.loop.now()
        if self.active_subscription is not None and self.unacknowledged:
            self.active_subscription.close()

    def unread_since(self) -> float:
        """Since when a record that is read now may have lain unread; 0 if it has not."""
        return self.paused_at if self.host.loop.now() - self.resumed_at < BACKLOG_READ_MS else 0.0


class EmulatedHost:
    """A host: machine, agent and sessions. `stop` takes it all down without a word."""

    def __init__(
        self,
        loop: Loop,
        recorder: TraceRecorder,
        name: str,
        kind: str,
        size: tuple[float, float],
        zone: str,
        cell: int,
        nature: MachineProfile,
        seed: int,
        heartbeat_ms: float = 1_000.0,
        report_ms: float = 500.0,
    ) -> None:
        self.loop, self.recorder, self.name, self.zone, self.cell = loop, recorder, name, zone, cell
        self.random = Random(seed)
        self.heartbeat_ms, self.report_ms = heartbeat_ms, report_ms
        self.machine = EmulatedMachine(
            loop,
            self.random,
            name,
            kind,
            *size,
            nature,
            self._say,
            self._started,
            lambda: self.stop("fell over"),
        )
        self.sessions_by_allocator: dict[str, Session] = {}
        self.allocator_addresses: dict[str, Address] = {}
        self.is_up = False
        self.started_wall_ms = 0.0
        self.incarnation = ""
        self.overload_crashes = 0

    def executor_id(self) -> str:
        return f"{self.name}.{self.incarnation}"

    def start(self, cold: bool) -> None:
        self.is_up, self.incarnation = True, f"{self.random.getrandbits(32):08x}"
        self.started_wall_ms = self.loop.clock.wall() if cold else 0.0
        self.machine.start(cold)
        self.recorder.add("up", who=self.name, zone=self.zone, cell=self.cell, cold=cold)
        for allocator, address in self.allocator_addresses.items():
            self.sessions_by_allocator[allocator] = Session(self, allocator, address)
        run = self.incarnation
        self.loop.call_in(self.heartbeat_ms * self.random.random(), lambda: self._beat(run))
        self.loop.call_in(self.report_ms * self.random.random(), lambda: self._report(run))

    def stop(self, why: str) -> None:
        if not self.is_up:
            return
        self.is_up = False
        self.overload_crashes += why == "fell over"
        self.recorder.add("down", who=self.name, text=why)
        self.machine.stop()
        for session in self.sessions_by_allocator.values():
            session.close()
        self.sessions_by_allocator.clear()

    def _beat(self, run: str) -> None:
        if run == self.incarnation and self.is_up:
            for session in self.sessions_by_allocator.values():
                session.send_heartbeat()
            self.loop.call_in(self.heartbeat_ms, lambda: self._beat(run))

    def _report(self, run: str) -> None:
        if run == self.incarnation and self.is_up:
            faults = self.machine.faults
            for session in (
                self.sessions_by_allocator.values() if not (faults.is_silent or faults.drops_reports) else ()
            ):
                session.send_report(None)
            self.loop.call_in(self.report_ms, lambda: self._report(run))

    def handle_launch(self, session: Session, info: m.TaskInfo) -> None:
        labels = (
            {item.key: item.value or "" for item in info.labels.labels} if info.labels is not None else {}
        )
        within = float(labels.get("answer_within_ms", "0"))
        self.recorder.add(
            "offered",
            who=self.name,
            allocator=session.allocator,
            attempt=info.task_id.value,
            task=f"{labels.get('framework')}/{labels.get('task')}",
            cls=labels.get("class", ""),
            effect=labels.get("effect", ""),
            service=labels.get("service", ""),
            zone=self.zone,
            cell=self.cell,
            within=within,
            text=self.incarnation,
            since=session.unread_since(),
        )
        session.task_infos[info.task_id.value] = info
        if self.machine.faults.is_silent:
            return
        life = labels.get("life_ms")
        self.machine.receive_offer(
            TaskOffer(
                info.task_id.value,
                session.allocator,
                labels.get("service", ""),
                labels.get("key", ""),
                labels.get("effect", ""),
                int(labels.get("priority", "0")),
                m.sum_scalar(info.resources, "cpus") or 0.0,
                m.sum_scalar(info.resources, "mem") or 0.0,
                float(life) if life else None,
                self.loop.now(),
                within,
            )
        )

    def _say(self, allocator: str, task: str, state: str, reason: str | None, cause: str | None) -> None:
        session = self.sessions_by_allocator.get(allocator)
        if session is not None:
            session.send_update(task, state, reason, cause)

    def _started(self, held: HeldTask) -> None:
        self.recorder.add(
            "started", who=self.name, allocator=held.allocator, attempt=held.id, service=held.service
        )

    def load_report(self) -> m.Payload:
        machine = self.machine
        busy = min(1.0, machine.cores_used() / machine.cores)
        used = machine.memory_used_share()
        return m.Payload(
            "report",
            None,
            max(0.0, machine.cores - machine.cores_used()),
            machine.memory * max(0.0, 1.0 - used),
            busy,
            float(len(machine.offer_queue) + len(machine.start_queue)),
            used,
        )

    def served_share(self) -> float:
        busy = self.machine.cores_used() / self.machine.cores
        return min(1.0, 1.0 / busy) if busy > 0.0 else 1.0
