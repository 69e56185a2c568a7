"""The startup gate: opens when every listed machine has subscribed, or after its grace period."""

from glencleat.allocator.startup_gate import StartupGate


def test_the_gate_waits_for_all_machines_or_for_its_grace_period():
    assert not StartupGate(0.0, 100.0, 1_000.0).try_open(50.0, ["a"], ["a"])
    assert StartupGate(0.0, 100.0, 1_000.0).try_open(100.0, ["a"], ["a", "b"])
    assert not StartupGate(0.0, 100.0, 1_000.0).try_open(100.0, [], [])
    gate = StartupGate(0.0, 100.0, 1_000.0)
    assert not gate.try_open(999.0, ["a", "b"], ["a"]) and not gate.try_open(999.0, None, [])
    assert gate.try_open(1_000.0, None, []) and gate.try_open(0.0, ["a"], [])
