"""The endpoint snapshot: what is read of files that are whole, torn, corrupt, old or another pool's."""

import pytest

from glencleat import endpoint_snapshot
from glencleat import interface as api
from glencleat.allocator.endpoint_list import MachineListing
from glencleat.servers.endpoint_snapshot_file import REWRITE_INTERVAL_MS, EndpointSnapshotFile
from tests.support.core_world import Timing
from tests.support.daemon_world import World

WALL = 1.7e12
SERVING, DRAINING, REMOVED = api.MachinePhase.SERVING, api.MachinePhase.DRAINING, api.MachinePhase.REMOVED


def machine(name, phase=SERVING, ready=None):
    return api.Machine(name, "std", "hall-a", 2, phase, 3.5, 70.0, ready)


def written_lines():
    """A whole list, then a drain and a removal."""
    first = endpoint_snapshot.encode_snapshot(
        "p", [machine("a"), machine("b"), machine("c", ready=400.0)], 1_000.0, WALL
    )
    return [first, endpoint_snapshot.encode_delta(machine("a", DRAINING), 2_000.0, WALL + 1_000.0),
            endpoint_snapshot.encode_delta(machine("b", REMOVED), 3_000.0, WALL + 2_000.0)]  # fmt: skip


def restored_phases(data, now=50.0, wall=WALL + 5_000.0):
    return {
        machine.name: machine.phase
        for machine in endpoint_snapshot.restore_machines(endpoint_snapshot.parse_snapshot(data), now, wall)
    }


def test_a_snapshot_with_deltas_is_restored_as_it_was_written():
    snapshot = endpoint_snapshot.parse_snapshot(b"".join(written_lines()))
    restored = endpoint_snapshot.restore_machines(snapshot, 50.0, WALL + 5_000.0)
    assert {one.name: one for one in restored} == {
        "a": machine("a", DRAINING), "c": machine("c", ready=50.0 - 5_600.0),  # of the new monotonic clock
    }  # fmt: skip
    assert snapshot.at_ms == WALL + 2_000.0


def test_a_file_cut_anywhere_holds_the_whole_lines_before():
    lines = written_lines()
    data, ends = b"".join(lines), [len(lines[0]), len(lines[0] + lines[1])]
    for length in range(len(data)):
        if length < ends[0]:
            with pytest.raises(endpoint_snapshot.EndpointSnapshotError, match="no whole line"):
                endpoint_snapshot.parse_snapshot(data[:length])
        else:
            assert restored_phases(data[:length])["a"] is (DRAINING if length >= ends[1] else SERVING)


def test_a_flipped_bit_is_an_error():
    data = b"".join(written_lines())
    for position in range(len(data) - 1):
        corrupt = bytearray(data)
        corrupt[position] ^= 4
        with pytest.raises(endpoint_snapshot.EndpointSnapshotError):
            endpoint_snapshot.parse_snapshot(bytes(corrupt))


@pytest.mark.parametrize(
    "data",
    [b"", b"\n", b"garbage\n", b"%08x {}\n" % 0, written_lines()[1], written_lines()[0] * 2,
     endpoint_snapshot._encode_line(endpoint_snapshot.SnapshotRecord(9, "p", WALL, []))],
    ids=["empty", "blank", "garbage", "no checksum", "delta first", "two snapshots", "other format"],
)  # fmt: skip
def test_malformed_data_is_an_error(data):
    with pytest.raises(endpoint_snapshot.EndpointSnapshotError):
        endpoint_snapshot.parse_snapshot(data)


def test_an_unknown_phase_is_an_error():
    record = endpoint_snapshot.make_machine_record(machine("a"), 0.0, WALL)
    record.phase = "dancing"
    with pytest.raises(endpoint_snapshot.EndpointSnapshotError, match="dancing"):
        endpoint_snapshot.restore_machines(
            endpoint_snapshot.EndpointSnapshot("p", WALL, {"a": record}), 0.0, WALL
        )


@pytest.mark.parametrize(
    ("pool", "wall_ms", "reason"),
    [
        ("p", WALL, None),
        ("p", WALL + 600_000.0, None),
        ("p", WALL + 600_001.0, "600 s old"),
        ("q", WALL, "of pool p"),
        ("p", WALL - 900.0, None),
        ("p", WALL - 90_000.0, "90 s ahead"),
    ],
    ids=["new", "as old as allowed", "too old", "another pool", "clock little ahead", "clock far ahead"],
)
def test_pool_and_age_decide_whether_a_snapshot_is_usable(pool, wall_ms, reason):
    found = endpoint_snapshot.find_rejection_reason(
        endpoint_snapshot.EndpointSnapshot("p", WALL), pool, wall_ms, 600_000.0
    )
    assert found is None if reason is None else reason in found


class RecordedSnapshotFile(EndpointSnapshotFile):
    """A snapshot file on a virtual clock, with its log events."""

    def __init__(self, path):
        self.logs = []
        listing = MachineListing()
        super().__init__(
            Timing(), path, "p", 600_000.0, listing, lambda event, **more: self.logs.append(event)
        )

    def replace_list(self, *machines):
        self.listing.machines_by_name = {one.name: one for one in machines}
        self.record_update(api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, machines))

    def change_machine(self, one):
        self.listing.machines_by_name[one.name] = one
        self.record_update(api.MachineListUpdated(api.ListUpdateKind.DELTA, (one,)))


def test_a_drain_is_in_the_file_before_the_policy_learns_of_it(tmp_path):
    path = tmp_path / "a.list"
    stored = RecordedSnapshotFile(path)
    stored.replace_list(machine("a"), machine("b"))
    stored.change_machine(machine("a", DRAINING))
    assert {one.name: one.phase for one in RecordedSnapshotFile(path).load()} == {"a": DRAINING, "b": SERVING}
    size = path.stat().st_size
    for _ in range(50):
        stored.change_machine(machine("a", DRAINING))  # free capacity changes all the time; that adds no line
    assert path.stat().st_size == size


def test_the_age_is_renewed_only_while_the_directory_is_up(tmp_path):
    stored = RecordedSnapshotFile(tmp_path / "a.list")
    stored.replace_list(machine("a"))
    stored.start()
    stored.loop.advance(2.5 * REWRITE_INTERVAL_MS)
    at = endpoint_snapshot.parse_snapshot(stored.path.read_bytes()).at_ms
    stored.record_update(api.MachineListUpdated(api.ListUpdateKind.FAILED))
    stored.loop.advance(5.0 * REWRITE_INTERVAL_MS)
    assert (
        endpoint_snapshot.parse_snapshot(stored.path.read_bytes()).at_ms
        == at
        >= stored.loop.wall() - 5.6 * REWRITE_INTERVAL_MS
    )


def test_an_empty_list_does_not_replace_the_file(tmp_path):
    stored = RecordedSnapshotFile(tmp_path / "a.list")
    stored.replace_list(machine("a"))
    stored.replace_list()
    assert [one.name for one in RecordedSnapshotFile(stored.path).load()] == ["a"]


def test_a_file_that_cannot_be_written_is_removed(tmp_path, monkeypatch):
    stored = RecordedSnapshotFile(tmp_path / "a.list")
    stored.replace_list(machine("a"))
    stored.file.close()
    stored.file = open("/dev/full", "wb")  # noqa: SIM115
    stored.change_machine(machine("a", DRAINING))
    assert not stored.path.exists() and stored.logs == ["kept list not written, removed"]
    stored.change_machine(machine("a", REMOVED))  # and nothing is added to what is gone
    stored.replace_list(machine("b"))
    assert [one.name for one in RecordedSnapshotFile(stored.path).load()] == ["b"]
    nowhere = RecordedSnapshotFile(tmp_path / "none" / "a.list")
    nowhere.replace_list(machine("a"))
    assert nowhere.load() == () and nowhere.logs == ["kept list not written, removed"]


def test_a_malformed_file_is_logged_and_loads_nothing(tmp_path):
    path = tmp_path / "a.list"
    path.write_bytes(b"no list\n")
    stored = RecordedSnapshotFile(path)
    assert stored.load() == () and stored.logs == ["kept list not used"]


def test_a_restart_places_by_the_snapshot_while_the_directory_is_down(tmp_path):
    """And not where it drains: the file knows what the former process was told."""
    file = tmp_path / "a0.list"
    day = World(tmp_path, conf=f"keep-list {file}\n")
    drained = day.hosts[0]
    drained.machine.drain()
    day.until(lambda: b"draining" in file.read_bytes())
    day.close()
    (tmp_path / "again").mkdir()
    again = World(tmp_path / "again", conf=f"keep-list {file}\n", down=True)
    assert again.core.listed_machines == {host.name for host in again.hosts} - {drained.name}
    owner = again.owner()
    for number in range(6):
        owner.ask(again.job(f"t{number}"))
    again.until(lambda: all("TASK_STARTING" in again.states(owner, f"t{i}") for i in range(6)))
    assert not any(e.who == drained.name for e in again.recorder.entries if e.kind == "offered")
    assert not again.directory.watchers and again.broken() == []
    again.directory.mend()
    again.until(lambda: again.daemon.directory.up_at is not None)
    again.until(lambda: drained.name in again.core.listed_machines)  # the directory's first word replaces it
    again.close()
