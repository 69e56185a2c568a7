"""Metrics at /metrics, in Prometheus' text format by its own client library; whether owners should come at
/ready, 200 or 503 with the reason.

Each scrape reads the core between two events, so that taken = served + refused + failed + open holds in
it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from glencleat.allocator.agent_membership import AgentState
from glencleat.allocator.call_table import FinalAnswer
from glencleat.allocator.core import Core
from glencleat.mesos.http import HttpError, Request, Response
from glencleat.rest.service import RestService
from glencleat.servers.rest_api import RestApi

RETRY_AFTER = "1"  # seconds; nothing that it waits for comes in steps longer than this


class Collector:
    def __init__(self, core: Core) -> None:
        self.core = core

    def collect(self) -> Iterator[Metric]:
        figures = self.core.counters
        taken = CounterMetricFamily("glencleat_tasks_taken", "Tasks taken from owners", labels=["class"])
        for name, value in sorted(figures.received_by_class.items()):
            taken.add_metric([name], value)
        yield taken
        given = CounterMetricFamily("glencleat_tasks_answered", "Final answers", labels=["class", "answer"])
        for name in sorted(figures.received_by_class):
            for answer in FinalAnswer:
                given.add_metric([name, answer.value], figures.answers_by_class[name, answer.value])
        yield given
        still = GaugeMetricFamily("glencleat_tasks_open", "Tasks without an answer yet", labels=["class"])
        open_now = figures.count_open_by_class()
        for name in sorted(figures.received_by_class):
            still.add_metric([name], open_now[name])
        yield still
        yield from self._others(open_now)

    def _others(self, open_now: Counter[str]) -> Iterator[Metric]:
        figures, core = self.core.counters, self.core
        off = GaugeMetricFamily("glencleat_tasks_mismatch", "Taken less answered less open: 0, or a fault")
        off.add_metric([], sum(abs(v) for v in figures.find_mismatches(open_now).values()))
        yield off
        attempts = CounterMetricFamily("glencleat_attempts", "Attempts back, by outcome", labels=["outcome"])
        for name, value in sorted(figures.attempts_by_outcome.items()):
            attempts.add_metric([name], value)
        yield attempts
        events = CounterMetricFamily("glencleat_events", "Things worth a count", labels=["event"])
        for name, value in sorted(figures.counts_by_event.items()):
            events.add_metric([name], value)
        yield events
        agents = GaugeMetricFamily("glencleat_agents", "Agents by state", labels=["state"])
        for state in AgentState:
            members = core.membership.members_by_agent.values()
            agents.add_metric([state.value], sum(member.state is state for member in members))
        yield agents
        frameworks = GaugeMetricFamily("glencleat_frameworks", "Owners' frameworks", labels=["connected"])
        for connected in (True, False):
            known = core.frameworks.frameworks_by_id.values()
            frameworks.add_metric(
                [str(connected).lower()], sum((f.session is not None) is connected for f in known)
            )
        yield frameworks
        module = CounterMetricFamily("glencleat_module_cpu_seconds", "CPU time inside the decision module")
        module.add_metric([], core.module.module_cpu_s)
        yield module


class RestCollector:
    """The REST front's: what it holds, what it turned away, who watches."""

    def __init__(self, plane: RestService, api: RestApi) -> None:
        self.rest_service, self.rest_api = plane, api

    def collect(self) -> Iterator[Metric]:
        plane = self.rest_service
        answers = CounterMetricFamily("glencleat_rest_requests", "Requests, by status", labels=["status"])
        for status, value in sorted(self.rest_api.counts_by_status.items()):
            answers.add_metric([str(status)], value)
        yield answers
        turned = CounterMetricFamily("glencleat_rest_turned_away", "By which bound", labels=["bound"])
        for name, value in sorted(plane.gate.rejections_by_reason.items()):
            turned.add_metric([name], value)
        yield turned
        held = GaugeMetricFamily("glencleat_rest_resources", "Resources shown", labels=["kind"])
        for name, kind in plane.versions.stores_by_kind.items():
            held.add_metric([name], kind.live_count)
        yield held
        for name, text, number in (
            ("watches", "Watches open", plane.channels.watcher_count),
            ("waiting_tasks", "Tasks of jobs that wait", plane.waiting_by_tenant.total()),
            ("queued_tasks", "Of these, without a round yet", plane.round_queue.queued_count),
            ("version", "Changes published since the start", plane.versions.current_version),
            ("round_rate", "Tasks a second that get their round when many wait", plane.pace.rounds_per_s),
        ):
            gauge = GaugeMetricFamily(f"glencleat_rest_{name}", text)
            gauge.add_metric([], number)
            yield gauge


class MetricsApi:
    def __init__(self, core: Core) -> None:
        self.core = core
        self.registry = CollectorRegistry(auto_describe=False)
        self.registry.register(Collector(core))

    def add_rest_service(self, plane: RestService, api: RestApi) -> None:
        self.registry.register(RestCollector(plane, api))

    def handle(self, request: Request) -> Response:
        target = request.target.split("?")[0]
        if target not in ("/metrics", "/ready"):
            raise HttpError(404, f"{request.target[:80]}: no such resource; expected /metrics or /ready")
        if request.method != "GET":
            raise HttpError(405, f"{request.method[:20]}: expected GET")
        if target == "/ready":
            return self._ready()
        return Response(200, generate_latest(self.registry), CONTENT_TYPE_LATEST)

    def _ready(self) -> Response:
        why = self.core.find_unready_reason()
        if why is None:
            return Response(200, b"ready\n")
        return Response(503, f"{why}\n".encode(), headers={"retry-after": RETRY_AFTER})
