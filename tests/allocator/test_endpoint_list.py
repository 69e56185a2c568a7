"""Conversion of Operator API agents to machines, and the machine list that removals take their data from."""

import pytest

from glencleat import interface as api
from glencleat.allocator.endpoint_list import MachineListing
from glencleat.mesos import messages as m

NS_PER_MS = 1_000_000
# The agent started at 50 ms wall time; the wall clock reads 60 ms when the monotonic clock reads 1_000 ms.
READY_AT_MS = 990.0


def make_agent(name="h", registered_at_ms=0, *, is_draining=False, **fields):
    info = m.AgentInfo(name, m.Value(name), [], [m.Attribute("kind", text=m.Text("std"))])
    return m.Agent(
        info,
        registered_time=m.TimeInfo(registered_at_ms * NS_PER_MS),
        drain_info=m.DrainInfo("DRAINING") if is_draining else None,
        total_resources=m.make_resources(16.0, 100.0),
        allocated_resources=m.make_resources(18.0, 40.0),
        **fields,
    )


@pytest.fixture
def listing():
    """Returns a list with one agent."""
    listing = MachineListing()
    listing.replace_all([make_agent(registered_at_ms=50)], 1_000.0, 60.0)
    return listing


def test_an_agent_is_converted_to_a_machine():
    (machine,) = MachineListing().replace_all([make_agent(registered_at_ms=50)], 1_000.0, 60.0).machines
    assert (machine.name, machine.kind, machine.phase) == ("h", "std", api.MachinePhase.SERVING)
    assert machine.free_cores == -2.0
    assert machine.free_memory == 60.0
    assert machine.ready_at_ms == READY_AT_MS


def test_clock_drift_is_not_a_restart(listing):
    (machine,) = listing.record_change(make_agent(registered_at_ms=50), 2_000.0, 1_061.0).machines
    assert machine.ready_at_ms == READY_AT_MS  # the clocks drifted by a millisecond


def test_a_later_start_is_a_restart(listing):
    (machine,) = listing.record_change(make_agent(registered_at_ms=1_000), 2_000.0, 1_060.0).machines
    assert machine.ready_at_ms == 1_940.0


def test_a_start_time_in_the_future_counts_as_now():
    (machine,) = MachineListing().replace_all([make_agent(registered_at_ms=9_000_000_000)], 5.0, 6.0).machines
    assert machine.ready_at_ms == 5.0


def test_an_agent_with_drain_info_is_draining(listing):
    (machine,) = listing.record_change(make_agent(is_draining=True), 0.0, 0.0).machines
    assert machine.phase is api.MachinePhase.DRAINING


def test_a_removed_machine_keeps_its_kind(listing):
    (machine,) = listing.record_removal("h").machines
    assert machine.phase is api.MachinePhase.REMOVED
    assert machine.kind == "std"


def test_a_removal_of_an_unknown_machine_is_reported(listing):
    (machine,) = listing.record_removal("never").machines
    assert machine.phase is api.MachinePhase.REMOVED
