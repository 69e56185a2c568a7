"""Metrics at /metrics in the Prometheus text format, and readiness at /ready: 200, or 503 with the reason.

Each scrape reads the core between two events, so that taken = served + refused + failed + open holds in it.
"""

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

RETRY_AFTER_S = "1"  # the conditions for readiness progress in steps of at most a second


class Collector:
    """Collects the metrics of the allocator core."""

    def __init__(self, core: Core) -> None:
        self.core = core

    def collect(self) -> Iterator[Metric]:
        """Yields one metric family after another, as the client library requires."""
        counters = self.core.counters
        received = CounterMetricFamily("glencleat_tasks_taken", "Tasks taken from owners", labels=["class"])
        for name, value in sorted(counters.received_by_class.items()):
            received.add_metric([name], value)
        yield received
        answered = CounterMetricFamily(
            "glencleat_tasks_answered", "Final answers", labels=["class", "answer"]
        )
        for name in sorted(counters.received_by_class):
            for answer in FinalAnswer:
                answered.add_metric([name, answer.value], counters.answers_by_class[name, answer.value])
        yield answered
        open_tasks = GaugeMetricFamily(
            "glencleat_tasks_open", "Tasks without an answer yet", labels=["class"]
        )
        open_now = counters.count_open_by_class()
        for name in sorted(counters.received_by_class):
            open_tasks.add_metric([name], open_now[name])
        yield open_tasks
        yield from self._collect_totals(open_now)

    def _collect_totals(self, open_now: Counter[str]) -> Iterator[Metric]:
        counters, core = self.core.counters, self.core
        mismatch = GaugeMetricFamily(
            "glencleat_tasks_mismatch", "Taken less answered less open: 0, or a fault"
        )
        mismatch.add_metric([], sum(abs(v) for v in counters.find_mismatches(open_now).values()))
        yield mismatch
        attempts = CounterMetricFamily("glencleat_attempts", "Attempts back, by outcome", labels=["outcome"])
        for name, value in sorted(counters.attempts_by_outcome.items()):
            attempts.add_metric([name], value)
        yield attempts
        events = CounterMetricFamily("glencleat_events", "Things worth a count", labels=["event"])
        for name, value in sorted(counters.counts_by_event.items()):
            events.add_metric([name], value)
        yield events
        agents = GaugeMetricFamily("glencleat_agents", "Agents by state", labels=["state"])
        for state in AgentState:
            members = core.membership.members_by_agent.values()
            agents.add_metric([state.value], sum(member.state is state for member in members))
        yield agents
        frameworks = GaugeMetricFamily("glencleat_frameworks", "Owners' frameworks", labels=["connected"])
        for connected in (True, False):
            all_frameworks = core.frameworks.frameworks_by_id.values()
            frameworks.add_metric(
                [str(connected).lower()], sum((f.session is not None) is connected for f in all_frameworks)
            )
        yield frameworks
        module = CounterMetricFamily("glencleat_module_cpu_seconds", "CPU time inside the decision module")
        module.add_metric([], core.module.module_cpu_s)
        yield module


class RestCollector:
    """Collects the metrics of the REST API: requests, rejections, resources and watches."""

    def __init__(self, rest_service: RestService, api: RestApi) -> None:
        self.rest_service, self.rest_api = rest_service, api

    def collect(self) -> Iterator[Metric]:
        """Yields one metric family after another, as the client library requires."""
        rest_service = self.rest_service
        answers = CounterMetricFamily("glencleat_rest_requests", "Requests, by status", labels=["status"])
        for status, value in sorted(self.rest_api.counts_by_status.items()):
            answers.add_metric([str(status)], value)
        yield answers
        rejections = CounterMetricFamily("glencleat_rest_turned_away", "By which bound", labels=["bound"])
        for name, value in sorted(rest_service.gate.rejections_by_reason.items()):
            rejections.add_metric([name], value)
        yield rejections
        resources = GaugeMetricFamily("glencleat_rest_resources", "Resources shown", labels=["kind"])
        for name, kind in rest_service.versions.stores_by_kind.items():
            resources.add_metric([name], kind.live_count)
        yield resources
        for name, text, number in (
            ("watches", "Watches open", rest_service.channels.watcher_count),
            ("waiting_tasks", "Tasks of jobs that wait", rest_service.waiting_by_tenant.total()),
            ("queued_tasks", "Of these, without a round yet", rest_service.round_queue.queued_count),
            ("version", "Changes published since the start", rest_service.versions.current_version),
            (
                "round_rate",
                "Tasks a second that get their round when many wait",
                rest_service.pace.rounds_per_s,
            ),
        ):
            gauge = GaugeMetricFamily(f"glencleat_rest_{name}", text)
            gauge.add_metric([], number)
            yield gauge


class MetricsApi:
    """Request handler of /metrics and /ready."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.registry = CollectorRegistry(auto_describe=False)
        self.registry.register(Collector(core))

    def add_rest_service(self, rest_service: RestService, api: RestApi) -> None:
        """Adds the metrics of the REST API."""
        self.registry.register(RestCollector(rest_service, api))

    def handle(self, request: Request) -> Response:
        """Returns the metrics or the readiness. Raises HttpError for another target or method."""
        target = request.target.split("?")[0]
        if target not in ("/metrics", "/ready"):
            raise HttpError(404, f"{request.target[:80]}: no such resource; expected /metrics or /ready")
        if request.method != "GET":
            raise HttpError(405, f"{request.method[:20]}: expected GET")
        if target == "/ready":
            return self._ready()
        return Response(200, generate_latest(self.registry), CONTENT_TYPE_LATEST)

    def _ready(self) -> Response:
        reason = self.core.find_unready_reason()
        if reason is None:
            return Response(200, b"ready\n")
        return Response(503, f"{reason}\n".encode(), headers={"retry-after": RETRY_AFTER_S})
