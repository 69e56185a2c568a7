"""Stand-in owners that come by the REST front: jobs of one task, followed by a watch.

Each keeps one watch over its own tasks, resumed at the version that it last read, and a connection for its
requests. A creation whose answer did not come is sent again under the same Idempotency-Key. What it does with
each state of a task is what an owner of the Scheduler API does; so are the entries that it records."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import msgspec

from glencleat.checker.trace import TraceRecorder
from glencleat.emulators.client import Address, HttpAnswer, LineDecoder, RequestQueue, Subscription
from glencleat.emulators.owners import EmulatedOwner, OwnerJob
from glencleat.event_loop import Loop
from glencleat.event_loop.loop import Coroutine
from glencleat.mesos import messages as m

PLACED_STATES = ("TASK_STARTING", "TASK_RUNNING")
RECONCILIATION_REASON = "REASON_RECONCILIATION"
RESEND_DELAY_MS = 300.0  # before a request whose answer did not come is sent again


@dataclass(slots=True, eq=False)
class RestTaskRequest:
    method: str
    target: str
    body: bytes
    headers: dict[str, str]
    on_done: Callable[[HttpAnswer], None]
    on_written: Callable[[], None] = lambda: None
    resend_until: float = 0.0  # it is sent again till then, if no answer comes


class RestRequestQueue(RequestQueue[RestTaskRequest]):
    """Requests of the REST front; one whose answer did not come is sent again."""

    def __init__(self, loop: Loop, address: Address) -> None:
        super().__init__(loop, address, "requests")

    def _send(self, item: RestTaskRequest) -> Coroutine:
        while True:
            answer = yield from self.exchange(
                item.method, item.target, item.headers, item.body, item.on_written
            )
            if answer is not None or self.loop.now() >= item.resend_until:
                break
            yield from self.loop.sleep(RESEND_DELAY_MS)
        item.on_done(answer or HttpAnswer())


class RestOwner(EmulatedOwner):
    """One pipeline at one allocator's REST front."""

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
        self.request_queue = RestRequestQueue(loop, address)
        self.resource_version = ""
        self.has_subscribed = False
        self.recorded_state_by_job: dict[str, str] = {}  # last state recorded of each task
        self.timeout_ms_by_job: dict[str, float] = {}  # job -> longer patience than the class's deadline
        self.reason_by_job: dict[str, Any] = {}  # job -> its last reason record
        super().__init__(loop, recorder, name, role, allocator, address, seed, done)
        self.framework_id = f"rest:{role}"
        self.tenant_path = f"/v1/tenants/{quote(role, safe='')}"

    # ---- the watch ----

    def make_subscription(self) -> Subscription:
        selector = quote(f"owner={self.name}", safe="")
        target = f"{self.tenant_path}/tasks?watch=1&labelSelector={selector}"
        if self.resource_version:
            target += f"&resourceVersion={self.resource_version}"
        return Subscription(self.loop, self.address, target, "GET", LineDecoder())

    def subscribe_body(self) -> bytes:
        return b""

    def on_rejected(self, status: int) -> None:
        if status == 410:
            self.resource_version = ""  # too old, or another incarnation's: all that is there is told anew

    def read_events(self, stream: Subscription) -> Coroutine:
        if not self.has_subscribed:
            self.has_subscribed, self.offer_id = True, "rest"  # it may ask from here on
            waiting, self.unsent_jobs = self.unsent_jobs, []
            for job in waiting:
                self._send(job)
        while True:
            while self.is_slow:
                yield from self.loop.sleep(50.0)
            lines = yield from stream.read_records()
            if not lines:
                return
            for line in lines:
                event = msgspec.json.decode(line)
                if event["type"] == "ERROR":
                    self.resource_version = ""
                    return
                self.resource_version = event["object"]["resourceVersion"]
                if event["type"] in ("ADDED", "MODIFIED"):
                    self._task(event["object"])

    def on_disconnected(self) -> None:
        if (
            self.has_subscribed
            and self.active_subscription is not None
            and self.active_subscription.stream is not None
        ):
            self.recorder.add("cut", who=self.name, allocator=self.allocator)

    def _task(self, task: dict[str, Any]) -> None:
        job = self.jobs_by_id.get(task["job"]) if "job" in task else None
        if job is None:
            return
        state, retry, reason = task["state"], task.get("retry", ""), task.get("reason", "")
        if state == "TASK_STAGING":
            self.reason_by_job[job.id] = task.get("why")
            self.recorded_state_by_job.pop(job.id, None)
            return
        if self.recorded_state_by_job.get(job.id) == state:
            return
        self.recorded_state_by_job[job.id] = state
        if task.get("answer") == "served" and job.state == "asked" and state not in PLACED_STATES:
            # A watch tells states and not each step: one that was placed and over between two looks of the
            # front comes as over, and `answer` says that it was placed.
            self._answered(job, "TASK_RUNNING", "never", "", f"{task['resourceVersion']} answer")
        self._answered(job, state, retry, reason, task["resourceVersion"])

    def _answered(self, job: OwnerJob, state: str, retry: str, reason: str, text: str) -> None:
        self.recorder.add(
            "answer", who=self.name, allocator=self.allocator, task=self.task_name(job),
            state=state, retry=retry, reason=reason, text=text,
        )  # fmt: skip
        self._heard(job, state, retry)

    # ---- asking ----

    def task_name(self, job: OwnerJob) -> str:
        return f"{self.framework_id}/{job.id}.0"

    def request_task(self, job: OwnerJob) -> None:
        self.jobs_by_id[job.id] = job
        job.first_requested_at = job.first_requested_at or self.loop.now()
        job.state = "waits"
        if self.has_subscribed:
            self._send(job)
        else:
            self.unsent_jobs.append(job)

    def _send(self, job: OwnerJob) -> None:
        if job.state != "waits":
            return
        job.state, job.requested_at, job.outcome = "asked", self.loop.now(), "unanswered"
        job.request_count += 1
        if job.request_count > 1:
            self._request(
                "DELETE", f"{self.tenant_path}/jobs/{job.id}", b"", lambda answer: self._post_job(job)
            )
        else:
            self._post_job(job)

    def _request(
        self, method: str, target: str, body: bytes, done: Callable[[HttpAnswer], None], **more: Any
    ) -> None:
        headers = {"content-type": "application/json"} if body else {}
        headers |= more.pop("headers", {})
        self.request_queue.put(RestTaskRequest(method, target, body, headers, done, **more))

    def _post_job(self, job: OwnerJob) -> None:
        if job.state != "asked":
            return
        patience = self.timeout_ms_by_job.get(job.id, job.template.deadline_ms)
        spec = {
            "class": job.template.task_class, "service": job.service, "cores": job.cores,
            "memory": job.memory, "waitMs": patience, "lifeMs": job.life_ms, "key": job.id,
        }  # fmt: skip
        body = msgspec.json.encode({"name": job.id, "labels": {"owner": self.name}, "spec": spec})
        self.recorded_state_by_job.pop(job.id, None)
        begun = False

        def wrote() -> None:
            nonlocal begun
            if not begun:  # a repeat under the same key is the same ask
                begun = True
                self._wrote(job)
                self._wait(job, patience, lambda: self._gave_up(job))

        key = {"idempotency-key": f"{job.id}-{job.request_count}"}
        until = self.loop.now() + patience
        self._request(
            "POST", f"{self.tenant_path}/jobs", body, lambda answer: self._posted(job, answer),
            headers=key, on_written=wrote, resend_until=until,
        )  # fmt: skip

    def _posted(self, job: OwnerJob, answer: HttpAnswer) -> None:
        if answer.status in (429, 503) and job.state == "asked":
            self._answered(job, "TASK_DROPPED", "harmless", f"HTTP {answer.status}", "")
        elif answer.status == 422 and job.state == "asked":
            self._answered(job, "TASK_ERROR", "never", "HTTP 422", "")

    def _reconcile(self, ids: list[str]) -> None:
        for name in ids:
            target = f"{self.tenant_path}/tasks/{quote(self.framework_id, safe='')}/{name}.0"
            self._request("GET", target, b"", lambda answer, name=name: self._got(name, answer))  # type: ignore[misc]

    def _got(self, name: str, answer: HttpAnswer) -> None:
        job = self.jobs_by_id.get(name)
        if job is None or answer.status != 200:
            return
        task = msgspec.json.decode(answer.body)
        self._answered(job, task["state"], task.get("retry", ""), RECONCILIATION_REASON, "")

    def _post(self, kind: str, wrote: Callable[[], None] | None = None, **parts: object) -> None:
        raise AssertionError(f"{kind} is no call of this front")

    def cancel_job(self, job: OwnerJob) -> None:
        """Asks that the job be stopped."""
        self._request("DELETE", f"{self.tenant_path}/jobs/{job.id}", b"", lambda answer: None)

    def _event(self, event: m.SchedulerEvent) -> None:
        raise AssertionError("no event of this front")

    def close(self) -> None:
        super().close()
        self.request_queue.close()
