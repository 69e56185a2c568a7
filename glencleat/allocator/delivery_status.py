"""Decides about attempts whose fate is unsure: time-outs, lost sessions, late yeses, agents that come back.

Pure: no I/O, no clock. The core asks and does as told. The module knows an attempt as out, accepted or back;
what the network leaves open in between is settled here, always on the side of the second rule: an attempt
counts as not having run only when that is known.

Known not to have run: its LAUNCH's last byte was never handed to the socket (an agent can't act on a part of
a record), the agent dropped it, or the same run of the agent lists its tasks without it. A new run of the
agent proves nothing: the old one may have started it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from glencleat import interface as api
from glencleat.allocator.status_mapping import AttemptStep, ExecutionStatus


class DeliveryStatus(Enum):
    """How much of an attempt's LAUNCH had been handed to the socket."""

    NOT_SENT = "nothing"  # not one byte of it
    PARTIALLY_SENT = "part"
    SENT = "whole"


class DeliveryAction(Enum):
    """What the core does about an attempt."""

    WAIT = "wait"  # goes on being out: its time-out decides, or what the agent says till then
    CONCLUDE = "return"  # tell the module the outcome
    CLOSE_SESSION = (
        "cut"  # end the agent's session first, so that the rest of the LAUNCH can never arrive; then return
    )
    IGNORE = "ignore"


@dataclass(frozen=True, slots=True)
class DeliveryDecision:
    action: DeliveryAction
    outcome: api.Outcome = api.Outcome.NOT_SENT
    may_have_run: bool = False


def classify_delivery(written: int, begin: int, end: int) -> DeliveryStatus:
    """From the stream's count of written bytes and the LAUNCH's place in it."""
    if written >= end:
        return DeliveryStatus.SENT
    return DeliveryStatus.NOT_SENT if written <= begin else DeliveryStatus.PARTIALLY_SENT


def decide_on_session_lost(
    step: AttemptStep, delivery: DeliveryStatus, idempotency: api.Idempotency
) -> DeliveryDecision:
    """The agent's session ended while the attempt was out or its task ran.

    Unsent is known not to have run. A safe task tries elsewhere at once. Others wait for the agent to come
    back and tell, as long as their time-out lets them: answering now would turn a short cut into a
    failure."""
    if step is not AttemptStep.DISPATCHED:
        return DeliveryDecision(DeliveryAction.WAIT)  # members decide when a silent agent's tasks are lost
    if delivery is not DeliveryStatus.SENT:
        return DeliveryDecision(DeliveryAction.CONCLUDE, api.Outcome.UNREACHABLE)
    if idempotency is api.Idempotency.IDEMPOTENT:
        return DeliveryDecision(DeliveryAction.CONCLUDE, api.Outcome.LOST, may_have_run=True)
    return DeliveryDecision(DeliveryAction.WAIT)


def decide_on_timeout(step: AttemptStep, delivery: DeliveryStatus) -> DeliveryDecision:
    """The attempt's time-out. If the agent does not even read, its session is cut: a LAUNCH that lies in our
    buffer must not be sent after the module was told that the attempt is back."""
    if step is not AttemptStep.DISPATCHED:
        return DeliveryDecision(DeliveryAction.IGNORE)
    if delivery is DeliveryStatus.SENT:
        return DeliveryDecision(DeliveryAction.CONCLUDE, api.Outcome.TIMED_OUT, may_have_run=True)
    return DeliveryDecision(DeliveryAction.CLOSE_SESSION, api.Outcome.UNREACHABLE)


def decide_on_resubscribe(step: AttemptStep, is_listed: bool, is_same_incarnation: bool) -> DeliveryDecision:
    """The agent subscribed again; `listed`: among the tasks or updates that it told."""
    if is_listed:
        return DeliveryDecision(DeliveryAction.IGNORE)  # its own statuses follow and say all
    if step is AttemptStep.DISPATCHED and is_same_incarnation:
        return DeliveryDecision(DeliveryAction.CONCLUDE, api.Outcome.NOT_SENT)
    return DeliveryDecision(DeliveryAction.CONCLUDE, api.Outcome.LOST, may_have_run=True)


class LateAcceptance(Enum):
    """What becomes of a copy that an agent says it holds although the module has given up on it."""

    ADOPT = "adopt"
    KILL = "kill"


def decide_late_acceptance(
    answered: str | None, was_placed: bool, other_out: bool, other_placed: bool, owner_gone: bool
) -> LateAcceptance:
    """A machine accepted or runs an attempt that was given up.

    With another attempt out or placed it is a second copy, which only a class that bears one can have got
    here; it is stopped. An owner that was told `failed` reconciles, and learns that its task runs: adopted.
    So is the placed task (`was_placed`) of an agent that was away and is back. One that was told `refused`
    asks again and must not find two; an owner that left or is gone wants none."""
    if other_out or other_placed or owner_gone:
        return LateAcceptance.KILL
    return LateAcceptance.ADOPT if was_placed or answered == "failed" else LateAcceptance.KILL


def decide_unknown_task(is_live_elsewhere: bool) -> LateAcceptance:
    """An agent lists a task that the ledger does not know: placed by our former incarnation, most likely.

    It is adopted, also when its owner has not come back yet: what it did so far is worth keeping."""
    return LateAcceptance.KILL if is_live_elsewhere else LateAcceptance.ADOPT


def combine_execution_statuses(statuses: list[ExecutionStatus]) -> ExecutionStatus:
    """What is known of a task from the fates of all its attempts."""
    for fate in (ExecutionStatus.RUNNING, ExecutionStatus.UNCERTAIN, ExecutionStatus.ENDED):
        if fate in statuses:
            return fate
    return ExecutionStatus.NEVER_RAN
