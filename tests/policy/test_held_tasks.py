"""Passes over held tasks: a class without room holds back no other, at a bounded cost."""

import pytest

from glencleat import interface as api
from glencleat.policy.attempts import HELD_TASK_INTERVAL_MS, MAX_FAILED_PLACEMENTS
from tests.support.policy_world import PolicyWorld, binds, machine

CLASSES_WITHOUT_ROOM = ("big-only", "safe", "unsafe")


def hold_tasks(world, task_class, count):
    """Requests that find no machine."""
    return [world.request(task_class)[0] for _ in range(count)]


def test_a_class_without_room_does_not_hold_back_another():
    """Guards against tasks that are refused after their time beside empty machines: three tasks of a class
    without room, ahead of them by weight or arrival, ended each pass."""
    world = PolicyWorld()
    hold_tasks(world, "big-only", MAX_FAILED_PLACEMENTS)
    small = hold_tasks(world, "safe", 8)
    world.handle(api.MachineListUpdated(api.ListUpdateKind.DELTA, (machine("m"), machine("n"))))
    placed = {action.call_id for action in binds(world.run_for(2_000.0))}
    assert placed == set(small)


def test_a_class_with_room_is_placed_as_before():
    world = PolicyWorld()
    small = hold_tasks(world, "safe", 8)
    world.handle(api.MachineListUpdated(api.ListUpdateKind.DELTA, (machine("m"), machine("n"))))
    assert {action.call_id for action in binds(world.run_for(2_000.0))} == set(small)


@pytest.mark.parametrize("held_count", [10, 100, 1_000])
def test_a_pass_looks_for_a_machine_for_a_few_tasks_of_each_class(held_count):
    world, looks = PolicyWorld(), []
    for index in range(held_count):
        hold_tasks(world, CLASSES_WITHOUT_ROOM[index % len(CLASSES_WITHOUT_ROOM)], 1)
    placement = world.scheduler.placement
    original = placement.choose_machine
    placement.choose_machine = lambda task: looks.append(task) or original(task)
    for _ in range(5):
        looks.clear()
        assert not binds(world.run_for(HELD_TASK_INTERVAL_MS))
        assert len(looks) <= MAX_FAILED_PLACEMENTS * len(CLASSES_WITHOUT_ROOM)
