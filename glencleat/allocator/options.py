"""Options of the allocator process beside the policy's settings. Times in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass

from glencleat.allocator.admission import AdmissionLimits


@dataclass(frozen=True, slots=True)
class Options:
    """Names, intervals, timeouts and limits of one allocator."""

    name: str = "a0"  # of this allocator; part of its attempts' ids
    pool: str = "pool"
    default_class: str | None = None
    answer_margin_ms: float = 50.0
    heartbeat_ms: float = 15_000.0  # interval of heartbeats to clients and agents
    max_missed_heartbeats: int = 3
    reregistration_timeout_ms: float = 10_000.0
    probe_timeout_ms: float = 1_000.0
    offer_interval_ms: float = 1_000.0
    sweep_interval_ms: float = 250.0
    max_unacknowledged: int = 20_000
    max_closed_calls: int = 50_000
    max_frameworks: int = 20_000
    max_agents: int = 20_000
    update_retry_ms: float = 10_000.0
    startup_grace_ms: float = 2_000.0  # after the start, for agents to report the tasks they run
    limits: AdmissionLimits = AdmissionLimits()
