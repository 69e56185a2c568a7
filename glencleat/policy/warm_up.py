"""Machines that came up lately: how cold they are, and time-sliced admission of starts to them."""

from __future__ import annotations

from glencleat.policy.cluster_state import MachineState
from glencleat.policy.policy_state import PolicyState

WINDOW_MARGIN = 1.25  # the window that the settings name, and a part for clocks and lines between us


def coldness(state: PolicyState, machine: MachineState) -> float:
    """How cold a machine is that came up lately, from 1 to 0: it bears few starts and holds no programs."""
    warm_up_ms = state.settings.warm_up_ms
    left_ms = machine.up_since_ms() + warm_up_ms - state.now_ms
    return min(1.0, left_ms / max(1.0, warm_up_ms)) if left_ms > 0.0 else 0.0


def may_start(state: PolicyState, machine: MachineState) -> bool:
    """Whether the offers that a cold machine bears leave one for us now: a bound on the joint sum.

    Each peer keeps to its part of them in a window. Where there are more peers than offers, half of the
    offers are handed out in each window, in turns that all compute alike from the machine's start: any
    stretch of a window's length touches two turns, so no more than all. (One each was 300 at once.)
    What an earlier incarnation of ours sent there is forgotten: its part is taken as used up for a window.
    """
    settings = state.settings
    window_ms = settings.warm_up_window_ms * WINDOW_MARGIN
    offers = int(settings.warm_up_offers)
    if state.now_ms < state.started_at_ms + window_ms and machine.up_since_ms() < state.started_at_ms:
        return False
    machine.warm_up_sends_ms = [at for at in machine.warm_up_sends_ms if state.now_ms - at < window_ms]
    quota = offers // settings.allocator_count
    if quota == 0:
        turn = int((state.now_ms - (machine.entry.ready_at_ms or 0.0)) // max(1.0, window_ms))
        half = max(1, offers // 2)
        place = (settings.allocator_index + machine.hash - turn * half) % settings.allocator_count
        quota = int(place < half)
    return len(machine.warm_up_sends_ms) < quota
