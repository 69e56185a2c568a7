"""Why a task is not placed: what became of its attempts, as the machines last said it. Pure, bounded.

It repeats what was told, also where that was wrong (a machine that refuses falsely): an owner can then see
which machine said it. The core notes each attempt that is back; answers carry the text, and whoever asks gets
the record."""

from __future__ import annotations

from dataclasses import dataclass, field

from glencleat import interface as api

OUTCOME_TEXTS = {
    api.Outcome.REJECTED: "refused",
    api.Outcome.TIMED_OUT: "no answer in time",
    api.Outcome.UNREACHABLE: "not reachable",
    api.Outcome.NOT_SENT: "not sent",
    api.Outcome.LOST: "lost on the way",
    api.Outcome.ERROR: "answered with an error",
}
REASON_TEXTS = {
    api.OutcomeReason.INSUFFICIENT_CORES: "cores",
    api.OutcomeReason.INSUFFICIENT_MEMORY: "memory",
    api.OutcomeReason.QUEUE_FULL: "too many asks wait there",
    api.OutcomeReason.NOT_ELIGIBLE: "not here",
}


@dataclass(slots=True)
class PendingReason:
    """One kind of end of an attempt: how often, and by which machine and when the last time."""

    outcome: api.Outcome
    outcome_reason: api.OutcomeReason
    count: int
    machine: str
    reported_at_ms: float

    def __str__(self) -> str:
        cause = f" ({REASON_TEXTS[self.outcome_reason]})" if self.outcome_reason in REASON_TEXTS else ""
        times = f" {self.count} times, last" if self.count > 1 else ""
        return f"{OUTCOME_TEXTS.get(self.outcome, self.outcome.value)}{cause}{times} by {self.machine}"


@dataclass(slots=True)
class PendingReasons:
    """Reasons of one task, at most one for each outcome and cause."""

    reasons_by_kind: dict[tuple[api.Outcome, api.OutcomeReason], PendingReason] = field(default_factory=dict)

    def record(self, outcome: api.Outcome, why: api.OutcomeReason, machine: str, at: float) -> None:
        reason = self.reasons_by_kind.pop((outcome, why), None)
        count = reason.count + 1 if reason is not None else 1
        self.reasons_by_kind[outcome, why] = PendingReason(outcome, why, count, machine, at)

    def describe(self, machines: int) -> str:
        """Newest first; without any attempt, whether a machine was known at all (`machines` serving)."""
        if self.reasons_by_kind:
            return "; ".join(map(str, reversed(self.reasons_by_kind.values())))
        if not machines:
            return "no machine is known"
        return f"none of the {machines} machines known was offered it: none that fits showed room"
