"""Slow start of recently started machines: their remaining warm-up, and time-sliced admission of starts."""

from __future__ import annotations

from glencleat.policy.cluster_state import MachineState
from glencleat.policy.policy_state import PolicyState

WINDOW_FACTOR = 1.25  # lengthens the configured window for clock differences and network delay


def remaining_warm_up_share(state: PolicyState, machine: MachineState) -> float:
    """Share of the machine's warm-up that remains, from 1 at its start to 0.

    A machine that warms up handles few starts and has no programs cached.
    """
    warm_up_ms = state.settings.warm_up_ms
    remaining_ms = machine.up_since_ms() + warm_up_ms - state.now_ms
    return min(1.0, remaining_ms / max(1.0, warm_up_ms)) if remaining_ms > 0.0 else 0.0


def may_start(state: PolicyState, machine: MachineState) -> bool:
    """Whether this scheduler may send a start to the warming-up machine now.

    Bounds the offers of all schedulers together: each keeps to its quota in a window. With more schedulers
    than offers, each window admits as many schedulers as half of the offers, one offer each, by a rotation
    that all compute alike from the machine's start. Any interval of a window's length overlaps two windows,
    so it never holds more than all offers. (One offer for each scheduler was 300 at once.)

    What an earlier incarnation of this scheduler sent is not known, so its quota counts as used for the first
    window after a restart.
    """
    settings = state.settings
    window_ms = settings.warm_up_window_ms * WINDOW_FACTOR
    max_offers = int(settings.warm_up_offers)
    if state.now_ms < state.started_at_ms + window_ms and machine.up_since_ms() < state.started_at_ms:
        return False
    machine.warm_up_sends_ms = [
        sent_at_ms for sent_at_ms in machine.warm_up_sends_ms if state.now_ms - sent_at_ms < window_ms
    ]
    quota = max_offers // settings.allocator_count
    if quota == 0:
        window_number = int((state.now_ms - (machine.entry.ready_at_ms or 0.0)) // max(1.0, window_ms))
        schedulers_per_window = max(1, max_offers // 2)
        position = (
            settings.allocator_index + machine.hash - window_number * schedulers_per_window
        ) % settings.allocator_count
        quota = int(position < schedulers_per_window)
    return len(machine.warm_up_sends_ms) < quota
