"""Decisions about attempts whose execution is uncertain.

They are taken when an attempt times out, a session is lost, an acceptance comes late or an agent subscribes
again. The module has no I/O and no clock; the core calls it and carries out the decision. To the policy an
attempt is dispatched, accepted or concluded. This module resolves the uncertainty that the network adds, and
errs on the safe side: an attempt counts as not having run only when that is known.

That is known in three cases: the last byte of the LAUNCH was never written to the socket (an agent can't act
on part of a record), the agent dropped the task, or the same incarnation of the agent reports its tasks and
the task is not among them. A new incarnation proves nothing, as the old one may have started the task.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType

from glencleat import interface as api
from glencleat.allocator.call_table import FinalAnswer
from glencleat.allocator.status_mapping import AttemptStep


class DeliveryStatus(Enum):
    """How much of an attempt's LAUNCH was written to the socket."""

    NOT_SENT = "nothing"  # not a single byte
    PARTIALLY_SENT = "part"
    SENT = "whole"


class DeliveryAction(Enum):
    """What the core does with an attempt."""

    WAIT = "wait"  # it stays dispatched until the agent reports it or its time-out passes
    CONCLUDE = "return"  # report the outcome to the policy
    # Close the agent's session so that the rest of the LAUNCH can't arrive, then conclude.
    CLOSE_SESSION = "cut"
    IGNORE = "ignore"


@dataclass(frozen=True, slots=True)
class DeliveryDecision:
    """What to do with an attempt; `outcome` and `may_have_run` apply where the attempt is concluded."""

    action: DeliveryAction
    outcome: api.Outcome = api.Outcome.NOT_SENT
    may_have_run: bool = False


def classify_delivery(written_bytes: int, begin_byte: int, end_byte: int) -> DeliveryStatus:
    """Returns how much of a record was written to the socket.

    The socket has taken `written_bytes` bytes of the stream, in which the record occupies `begin_byte` to
    `end_byte` (exclusive).
    """
    if written_bytes >= end_byte:
        return DeliveryStatus.SENT
    return DeliveryStatus.NOT_SENT if written_bytes <= begin_byte else DeliveryStatus.PARTIALLY_SENT


_WAIT = DeliveryDecision(DeliveryAction.WAIT)
_IGNORE = DeliveryDecision(DeliveryAction.IGNORE)
_UNREACHABLE = DeliveryDecision(DeliveryAction.CONCLUDE, outcome=api.Outcome.UNREACHABLE)
_CLOSE_SESSION = DeliveryDecision(DeliveryAction.CLOSE_SESSION, outcome=api.Outcome.UNREACHABLE)
_NOT_SENT = DeliveryDecision(DeliveryAction.CONCLUDE, outcome=api.Outcome.NOT_SENT)
_LOST = DeliveryDecision(DeliveryAction.CONCLUDE, outcome=api.Outcome.LOST, may_have_run=True)
_TIMED_OUT = DeliveryDecision(DeliveryAction.CONCLUDE, outcome=api.Outcome.TIMED_OUT, may_have_run=True)

# Decisions for a dispatched attempt whose agent's session ended. An attempt that was not sent in full is
# known not to have run. An idempotent task is retried elsewhere at once. Any other waits, up to its time-out,
# for the agent to subscribe again and report: answering now would turn a short interruption into a failure.
SESSION_LOST_DECISIONS: Mapping[tuple[DeliveryStatus, api.Idempotency], DeliveryDecision] = MappingProxyType(
    {
        (DeliveryStatus.NOT_SENT, api.Idempotency.IDEMPOTENT): _UNREACHABLE,
        (DeliveryStatus.NOT_SENT, api.Idempotency.IDEMPOTENCY_KEY): _UNREACHABLE,
        (DeliveryStatus.NOT_SENT, api.Idempotency.NON_IDEMPOTENT): _UNREACHABLE,
        (DeliveryStatus.PARTIALLY_SENT, api.Idempotency.IDEMPOTENT): _UNREACHABLE,
        (DeliveryStatus.PARTIALLY_SENT, api.Idempotency.IDEMPOTENCY_KEY): _UNREACHABLE,
        (DeliveryStatus.PARTIALLY_SENT, api.Idempotency.NON_IDEMPOTENT): _UNREACHABLE,
        (DeliveryStatus.SENT, api.Idempotency.IDEMPOTENT): _LOST,
        (DeliveryStatus.SENT, api.Idempotency.IDEMPOTENCY_KEY): _WAIT,
        (DeliveryStatus.SENT, api.Idempotency.NON_IDEMPOTENT): _WAIT,
    }
)

# Decisions for a dispatched attempt that timed out. If the LAUNCH was not sent in full, the agent does not
# read its stream: its session is closed, as a buffered LAUNCH must not be sent after the conclusion.
TIMEOUT_DECISIONS: Mapping[DeliveryStatus, DeliveryDecision] = MappingProxyType(
    {
        DeliveryStatus.NOT_SENT: _CLOSE_SESSION,
        DeliveryStatus.PARTIALLY_SENT: _CLOSE_SESSION,
        DeliveryStatus.SENT: _TIMED_OUT,
    }
)

# Decisions for an attempt that its agent did not report when it subscribed again. The key is the attempt's
# step and whether the agent is the same incarnation.
NOT_LISTED_DECISIONS: Mapping[tuple[AttemptStep, bool], DeliveryDecision] = MappingProxyType(
    {
        (AttemptStep.DISPATCHED, True): _NOT_SENT,
        (AttemptStep.DISPATCHED, False): _LOST,
        (AttemptStep.ACCEPTED, True): _LOST,
        (AttemptStep.ACCEPTED, False): _LOST,
        (AttemptStep.RUNNING, True): _LOST,
        (AttemptStep.RUNNING, False): _LOST,
        (AttemptStep.ENDED, True): _LOST,
        (AttemptStep.ENDED, False): _LOST,
    }
)


def decide_on_session_lost(
    step: AttemptStep, delivery: DeliveryStatus, idempotency: api.Idempotency
) -> DeliveryDecision:
    """Decides about an attempt whose agent's session ended."""
    if step is not AttemptStep.DISPATCHED:
        return _WAIT  # the reregistration time-out decides when the tasks of an agent that is away are lost
    return SESSION_LOST_DECISIONS[delivery, idempotency]


def decide_on_timeout(step: AttemptStep, delivery: DeliveryStatus) -> DeliveryDecision:
    """Decides about an attempt whose time-out passed."""
    return TIMEOUT_DECISIONS[delivery] if step is AttemptStep.DISPATCHED else _IGNORE


def decide_on_resubscribe(
    step: AttemptStep, *, is_listed: bool, is_same_incarnation: bool
) -> DeliveryDecision:
    """Decides about an attempt whose agent subscribed again.

    `is_listed` tells whether the attempt is among the tasks and updates that the agent reported.
    """
    if is_listed:
        return _IGNORE  # the statuses that the agent reports decide
    return NOT_LISTED_DECISIONS[step, is_same_incarnation]


class LateAcceptance(Enum):
    """What is done with a task that an agent holds although its attempt was concluded."""

    ADOPT = "adopt"
    KILL = "kill"


@dataclass(frozen=True, slots=True, kw_only=True)
class LateAcceptanceCase:
    """Facts on a task that an agent accepted or runs after its attempt was concluded."""

    answer: FinalAnswer | None  # the answer that the client got
    was_placed: bool  # the attempt was accepted in time; its agent was away and has subscribed again
    has_other_dispatched: bool = False  # another attempt of the task is dispatched
    has_other_placed: bool = False  # another attempt of the task is placed
    is_framework_gone: bool = False  # the client cancelled the task or is no longer known


def decide_late_acceptance(case: LateAcceptanceCase) -> LateAcceptance:
    """Decides whether a task that was accepted late is adopted or killed.

    If another attempt is dispatched or placed, the task is a duplicate and is killed. A client that was
    answered `failed` reconciles and then learns that its task runs, so the task is adopted; so is a placed
    task whose agent was away and subscribed again. A client that was answered `rejected` retries, which must
    not lead to two running copies, and one that cancelled or is gone needs none, so the task is killed.
    """
    if case.has_other_dispatched or case.has_other_placed or case.is_framework_gone:
        return LateAcceptance.KILL
    if case.was_placed or case.answer is FinalAnswer.FAILED:
        return LateAcceptance.ADOPT
    return LateAcceptance.KILL


def decide_unknown_task(*, is_live_elsewhere: bool) -> LateAcceptance:
    """Decides about a task that an agent reports and the call table does not contain.

    Most likely an earlier incarnation of this allocator placed it. It is adopted, even if its client has not
    reconnected yet, so that its work is not lost, unless another attempt of the same task is open or placed
    (`is_live_elsewhere`).
    """
    return LateAcceptance.KILL if is_live_elsewhere else LateAcceptance.ADOPT
