"""The allocator's own settings, beside those of the policy."""

from __future__ import annotations

from dataclasses import dataclass

from glencleat.allocator.admission import AdmissionLimits


@dataclass(frozen=True, slots=True)
class Options:
    """Settings of one allocator; times are in milliseconds."""

    name: str = "a0"  # of this allocator; part of its attempts' ids
    pool: str = "pool"  # agent id and host name in the offers to frameworks
    default_class: str | None = None  # of tasks without a label `class`; None: such a task is an error
    answer_margin_ms: float = 50.0  # the answer is due so long before the owner's time is over
    heartbeat_interval_ms: float = 15_000.0  # towards owners and agents
    max_missed_heartbeats: int = 3
    agent_return_timeout_ms: float = 10_000.0  # an agent away for longer is lost
    probe_timeout_ms: float = 1_000.0
    offer_interval_ms: float = 1_000.0  # between an accepted offer and the next
    sweep_interval_ms: float = 250.0  # between looks for silent agents and overdue updates
    max_unacknowledged_updates: int = 20_000  # of one framework
    max_closed_calls: int = 50_000  # remembered for late reports and RECONCILE
    max_frameworks: int = 20_000
    max_agents: int = 20_000
    update_retry_ms: float = 10_000.0  # after which an unacknowledged update is sent again
    startup_grace_ms: float = 2_000.0  # after the start, for agents to list what they run
    admission_limits: AdmissionLimits = AdmissionLimits()
