"""The gate that placement waits at after a start."""

from glencleat.allocator.startup_gate import StartupGate


def test_the_opening_waits_for_all_or_for_its_grace():
    assert not StartupGate(0.0, 100.0, 1_000.0).try_open(50.0, ["a"], ["a"])
    assert StartupGate(0.0, 100.0, 1_000.0).try_open(100.0, ["a"], ["a", "b"])
    assert not StartupGate(0.0, 100.0, 1_000.0).try_open(100.0, [], [])
    opening = StartupGate(0.0, 100.0, 1_000.0)
    assert not opening.try_open(999.0, ["a", "b"], ["a"]) and not opening.try_open(999.0, None, [])
    assert opening.try_open(1_000.0, None, []) and opening.try_open(0.0, ["a"], [])
