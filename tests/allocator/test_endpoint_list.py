"""Agents of the Operator API as machines, and the list that removals are reported from."""

from glencleat import interface as api
from glencleat.allocator.endpoint_list import MachineListing
from glencleat.mesos import messages as m


def agent(name="h", up_ns=0, drain=False, **more):
    info = m.AgentInfo(name, m.Value(name), [], [m.Attribute("kind", text=m.Text("std"))])
    return m.Agent(
        info,
        registered_time=m.TimeInfo(up_ns),
        drain_info=m.DrainInfo("DRAINING") if drain else None,
        total_resources=m.resources(16.0, 100.0),
        allocated_resources=m.resources(18.0, 40.0),
        **more,
    )


def test_agents_become_machines():
    listing = MachineListing()
    (told,) = listing.replace_all([agent(up_ns=int(50e6))], 1_000.0, 60.0).machines
    assert (told.name, told.kind, told.phase) == ("h", "std", api.MachinePhase.SERVING)
    assert told.free_cores == -2.0 and told.free_memory == 60.0 and told.ready_at_ms == 990.0
    (noisy,) = listing.record_change(agent(up_ns=int(50e6)), 2_000.0, 1_061.0).machines
    assert noisy.ready_at_ms == 990.0  # the clocks drifted by a millisecond: no restart
    (restarted,) = listing.record_change(agent(up_ns=int(1_000e6)), 2_000.0, 1_060.0).machines
    assert restarted.ready_at_ms == 1_940.0
    assert listing.record_change(agent(drain=True), 0.0, 0.0).machines[0].phase is api.MachinePhase.DRAINING
    (gone,) = listing.record_removal("h").machines
    assert gone.phase is api.MachinePhase.REMOVED and gone.kind == "std"
    assert listing.record_removal("never").machines[0].phase is api.MachinePhase.REMOVED
    assert (
        listing.replace_all([agent(up_ns=int(9e15))], 5.0, 6.0).machines[0].ready_at_ms == 5.0
    )  # its clock is ahead
