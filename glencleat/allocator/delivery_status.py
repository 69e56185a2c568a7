"""Decisions about attempts whose execution is uncertain.

They are those at a time-out, at a lost session, at a late acceptance and when an agent comes back. Pure: no
I/O, no clock; the core asks and carries out the decision. The decision module knows an attempt as dispatched,
accepted or concluded; what the network leaves open in between is settled here, always on the safe side: an
attempt counts as not having run only when that is known.

It is known where the LAUNCH's last byte was never handed to the socket (an agent can't act on a part of a
record), where the agent dropped the task, and where the same incarnation of the agent lists its tasks without
it. A new incarnation of the agent proves nothing: the old one may have started the task.
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
    """How much of an attempt's LAUNCH had been handed to the socket."""

    NOT_SENT = "nothing"  # not one byte of it
    PARTIALLY_SENT = "part"
    SENT = "whole"


class DeliveryAction(Enum):
    """What the core does about an attempt."""

    WAIT = "wait"  # it stays dispatched: its time-out decides, or what the agent says till then
    CONCLUDE = "return"  # report the outcome to the decision module
    CLOSE_SESSION = (
        "cut"  # end the agent's session first, so that the rest of the LAUNCH can't arrive; conclude
    )
    IGNORE = "ignore"


@dataclass(frozen=True, slots=True)
class DeliveryDecision:
    """What to do about an attempt; `outcome` and `may_have_run` count where it is concluded."""

    action: DeliveryAction
    outcome: api.Outcome = api.Outcome.NOT_SENT
    may_have_run: bool = False


def classify_delivery(written: int, begin: int, end: int) -> DeliveryStatus:
    """How much of a record was handed to the socket.

    `written` is how many bytes of the stream were; the record lies at `begin` to `end` (exclusive) in it.
    """
    if written >= end:
        return DeliveryStatus.SENT
    return DeliveryStatus.NOT_SENT if written <= begin else DeliveryStatus.PARTIALLY_SENT


_WAIT = DeliveryDecision(DeliveryAction.WAIT)
_IGNORE = DeliveryDecision(DeliveryAction.IGNORE)
_UNREACHABLE = DeliveryDecision(DeliveryAction.CONCLUDE, outcome=api.Outcome.UNREACHABLE)
_CLOSE_SESSION = DeliveryDecision(DeliveryAction.CLOSE_SESSION, outcome=api.Outcome.UNREACHABLE)
_NOT_SENT = DeliveryDecision(DeliveryAction.CONCLUDE, outcome=api.Outcome.NOT_SENT)
_LOST = DeliveryDecision(DeliveryAction.CONCLUDE, outcome=api.Outcome.LOST, may_have_run=True)
_TIMED_OUT = DeliveryDecision(DeliveryAction.CONCLUDE, outcome=api.Outcome.TIMED_OUT, may_have_run=True)

# A dispatched attempt whose agent's session ended. What was not sent in full is known not to have run. An
# idempotent task is retried elsewhere at once. The others wait for the agent to come back and report, as
# long as their time-out lets them: an answer now would turn a short interruption into a failure.
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

# A dispatched attempt that timed out. Where the agent does not even read, its session is closed: a LAUNCH
# that lies in our buffer must not be sent after the attempt was concluded.
TIMEOUT_DECISIONS: Mapping[DeliveryStatus, DeliveryDecision] = MappingProxyType(
    {
        DeliveryStatus.NOT_SENT: _CLOSE_SESSION,
        DeliveryStatus.PARTIALLY_SENT: _CLOSE_SESSION,
        DeliveryStatus.SENT: _TIMED_OUT,
    }
)

# An attempt that its agent did not list when it subscribed again, by step and by whether it is the same
# incarnation of the agent.
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
    """The agent's session ended while the attempt was dispatched or its task ran."""
    if step is not AttemptStep.DISPATCHED:
        return _WAIT  # the membership decides when the tasks of an absent agent are lost
    return SESSION_LOST_DECISIONS[delivery, idempotency]


def decide_on_timeout(step: AttemptStep, delivery: DeliveryStatus) -> DeliveryDecision:
    """The attempt's time-out passed."""
    return TIMEOUT_DECISIONS[delivery] if step is AttemptStep.DISPATCHED else _IGNORE


def decide_on_resubscribe(
    step: AttemptStep, *, is_listed: bool, is_same_incarnation: bool
) -> DeliveryDecision:
    """The agent subscribed again; `is_listed`: the attempt is among the tasks or updates that it reported."""
    if is_listed:
        return _IGNORE  # its own statuses follow and say all
    return NOT_LISTED_DECISIONS[step, is_same_incarnation]


class LateAcceptance(Enum):
    """What becomes of a task that an agent holds although its attempt was concluded."""

    ADOPT = "adopt"
    KILL = "kill"


@dataclass(frozen=True, slots=True, kw_only=True)
class LateAcceptanceCase:
    """What is known when an agent accepts or runs a task whose attempt was concluded."""

    answer: FinalAnswer | None  # what the task's owner was answered
    was_placed: bool  # the attempt had been accepted in time; its agent was away and is back
    has_other_dispatched: bool = False  # another attempt of the task is dispatched
    has_other_placed: bool = False  # another attempt of the task is placed
    is_framework_gone: bool = False  # the owner cancelled the task or is not known any more


def decide_late_acceptance(case: LateAcceptanceCase) -> LateAcceptance:
    """Whether a task that was accepted late is adopted or killed.

    With another attempt dispatched or placed it is a second copy, and is killed. An owner that was answered
    `failed` reconciles, and learns that its task runs: it is adopted. So is the placed task of an agent that
    was away and is back. An owner that was answered `refused` asks again and must not find two; one that
    cancelled the task or is gone wants none.
    """
    if case.has_other_dispatched or case.has_other_placed or case.is_framework_gone:
        return LateAcceptance.KILL
    if case.was_placed or case.answer is FinalAnswer.FAILED:
        return LateAcceptance.ADOPT
    return LateAcceptance.KILL


def decide_unknown_task(*, is_live_elsewhere: bool) -> LateAcceptance:
    """An agent lists a task that the call table does not know.

    Most likely a former incarnation of this allocator placed it.
    It is adopted, also when its owner has not come back yet, so that its work is not lost; unless another
    attempt of the same task is open or placed (`is_live_elsewhere`).
    """
    return LateAcceptance.KILL if is_live_elsewhere else LateAcceptance.ADOPT
