"""Each rule on leases, broken on purpose, is found by a play: so the plays can see what they look for."""

from dataclasses import replace
from itertools import product

import pytest

from benchmarks.host_faults import list_cells
from glencleat import interface as api
from glencleat.platform_server import process_evidence, task_leases
from glencleat.platform_server.failure_detector import NEVER
from glencleat.platform_server.host_maintenance import HostMaintenance
from glencleat.platform_server.reachability import ReachabilityHistory
from glencleat.platform_server.task_leases import TaskLeases
from tests.support.lease_search import Search
from tests.support.lease_world import LeaseWorld
from tests.support.process_hosts import VanishingHost
from tests.support.socket_world import pass_time

SEEDS = range(4)
LONG_MS = 40_000.0


def ignore_outages(monkeypatch):
    """A connected task whose host is reachable again has no due time."""
    change_evidence(monkeypatch, is_restored=False)


def ignore_failing_connects(monkeypatch):
    """With a silent list, a connected task is not due while connects fail."""
    change_evidence(monkeypatch, is_failing=False)


def hold_what_is_not_connected(monkeypatch):
    """A task without a connection to its process has no due time."""
    change_evidence(monkeypatch, is_connected=True)


def believe_a_silent_list(monkeypatch):
    """A list that is silent vouches for processes."""
    monkeypatch.setattr(TaskLeases, "_watch_list", lambda self: None)
    monkeypatch.setattr(task_leases, "HANG_LEASE_MS", NEVER)


def ignore_other_processes(monkeypatch):
    """The list's word on another process ends nothing."""
    for module in (task_leases, process_evidence):
        monkeypatch.setattr(module, "is_process_listed", lambda host, call: True)


def believe_the_list_at_once(monkeypatch):
    """A connection counts as one to the listed process as soon as it opens."""
    monkeypatch.setattr(TaskLeases, "_settled_until_ms", property(lambda self: self.pool.loop.now()))


def forget_failures(monkeypatch):
    """A connection that opens after failures counts as one to the former process."""
    record_opened = ReachabilityHistory.record_opened
    monkeypatch.setattr(
        ReachabilityHistory,
        "record_opened",
        lambda self, now_ms, *, is_after_failure: record_opened(self, now_ms, is_after_failure=False),
    )


def send_no_health_checks(monkeypatch):
    """Nothing is sent on the connection of a silent process."""
    monkeypatch.setattr(TaskLeases, "_check_process", lambda self, host, call: NEVER)


def lengthen_leases(monkeypatch):
    """A lease is 2 s longer."""
    for name in ("LEASE_MS", "RESTORED_LEASE_MS"):
        monkeypatch.setattr(task_leases, name, getattr(task_leases, name) + 2_000.0)


def shorten_hang_lease(monkeypatch):
    """A process that does not answer is given up as soon as one without a connection."""
    monkeypatch.setattr(TaskLeases, "_does_list_vouch", lambda self, evidence: False)
    monkeypatch.setattr(task_leases, "HANG_LEASE_MS", task_leases.LEASE_MS)


def change_evidence(monkeypatch, **changes):
    collect = task_leases.collect_evidence
    monkeypatch.setattr(
        task_leases,
        "collect_evidence",
        lambda *arguments, **options: replace(collect(*arguments, **options), **changes),
    )


def play_cells(*words, seeds=SEEDS):
    """Returns whether the search finds a fault in the cells whose ids have all of the words."""
    cells = [cell for cell in list_cells() if all(word in str(cell) for word in words)]
    return any(Search(seed, iter([cell])).run_cell() for seed, cell in product(seeds, cells))


def play_quiet_process(*, hangs):
    """Returns whether a quiet task is kept for long enough, and no longer than that if its host hangs.

    The list has removed a host that answers; one that hangs is listed, and the list is silent.
    """
    world = LeaseWorld(VanishingHost)
    world.place(1)
    pass_time(world, 5_000.0)
    if hangs:
        world.host.fall_silent(do_connects_come_up=True)
        world.is_list_up = False
    else:
        world.list(("h1", world.host.address, 1.0), phase=api.MachinePhase.REMOVED)
    pass_time(world, LONG_MS)
    is_kept = world.placed_tasks() == {1}
    world.host.close()
    for sock in world.clients:
        sock.close()
    return is_kept == (not hangs)


# The broken rule, and the play that finds it.
RULES = (
    (ignore_outages, lambda: play_cells("machine_vanishes", "-5-8s", "list_up")),
    (ignore_failing_connects, lambda: play_cells("vanishes_too-0.05-5s-list_silent", seeds=(21,))),
    (hold_what_is_not_connected, lambda: play_cells("process_ends", "other_name")),
    (believe_a_silent_list, lambda: not play_quiet_process(hangs=True)),
    (ignore_other_processes, lambda: play_cells("process_ends", "other_name")),
    (believe_the_list_at_once, lambda: play_cells("machine_vanishes", "-5-8s", "list_up")),
    (forget_failures, lambda: play_cells("machine_vanishes", "-5-8s", "list_up")),
    (send_no_health_checks, lambda: not play_quiet_process(hangs=False)),
    (lengthen_leases, lambda: play_cells("machine_vanishes", "-5-8s", "list_up")),
    (shorten_hang_lease, lambda: play_cells("hangs", "list_up")),
)


@pytest.mark.parametrize(("break_rule", "finds_fault"), RULES, ids=[rule.__name__ for rule, _ in RULES])
def test_a_broken_lease_rule_is_found(monkeypatch, break_rule, finds_fault):
    # Otherwise the self-check may fail first.
    monkeypatch.setattr(HostMaintenance, "_check_skipped_hosts", lambda self, now_ms: None)
    break_rule(monkeypatch)
    assert finds_fault()


@pytest.mark.parametrize("finds_fault", [play for _, play in RULES], ids=[rule.__name__ for rule, _ in RULES])
def test_the_plays_that_find_broken_rules_find_nothing_else(finds_fault):
    assert not finds_fault()
