"""The endpoint snapshot: reading files that are complete, truncated, damaged, old or of another pool."""

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
    """A complete list, then a drain and a removal."""
    first = endpoint_snapshot.encode_snapshot(
        "p", [machine("a"), machine("b"), machine("c", ready=400.0)], 1_000.0, WALL
    )
    return [first, endpoint_snapshot.encode_change(machine("a", DRAINING), 2_000.0, WALL + 1_000.0),
            endpoint_snapshot.encode_change(machine("b", REMOVED), 3_000.0, WALL + 2_000.0)]  # fmt: skip


def phases(data, now=50.0, wall=WALL + 5_000.0):
    return {
        machine.name: machine.phase
        for machine in endpoint_snapshot.restore_machines(endpoint_snapshot.decode_snapshot(data), now, wall)
    }


def test_the_list_is_restored_as_it_was_received():
    snapshot = endpoint_snapshot.decode_snapshot(b"".join(written_lines()))
    restored = {one.name: one for one in endpoint_snapshot.restore_machines(snapshot, 50.0, WALL + 5_000.0)}
    assert restored == {
        "a": machine("a", DRAINING), "c": machine("c", ready=50.0 - 5_600.0),  # of the new monotonic clock
    }  # fmt: skip
    assert snapshot.at_ms == WALL + 2_000.0


def test_a_file_truncated_anywhere_restores_its_complete_lines():
    lines = written_lines()
    data, ends = b"".join(lines), [len(lines[0]), len(lines[0] + lines[1])]
    for length in range(len(data)):
        if length < ends[0]:
            with pytest.raises(endpoint_snapshot.EndpointSnapshotError, match="no complete line"):
                endpoint_snapshot.decode_snapshot(data[:length])
        else:
            assert phases(data[:length])["a"] is (DRAINING if length >= ends[1] else SERVING)


def test_a_flipped_bit_is_detected_everywhere():
    data = b"".join(written_lines())
    for position in range(len(data) - 1):
        damaged = bytearray(data)
        damaged[position] ^= 4
        with pytest.raises(endpoint_snapshot.EndpointSnapshotError):
            endpoint_snapshot.decode_snapshot(bytes(damaged))


@pytest.mark.parametrize(
    "data",
    [b"", b"\n", b"garbage\n", b"%08x {}\n" % 0, written_lines()[1], written_lines()[0] * 2,
     endpoint_snapshot._encode_line(endpoint_snapshot.SnapshotRecord(9, "p", WALL, []))],
    ids=["empty", "blank", "garbage", "no checksum", "change first", "twice", "format"],
)  # fmt: skip
def test_invalid_files_are_rejected(data):
    with pytest.raises(endpoint_snapshot.EndpointSnapshotError):
        endpoint_snapshot.decode_snapshot(data)


def test_an_unknown_phase_is_rejected():
    record = endpoint_snapshot.to_record(machine("a"), 0.0, WALL)
    record.phase = "dancing"
    with pytest.raises(endpoint_snapshot.EndpointSnapshotError, match="dancing"):
        endpoint_snapshot.restore_machines(
            endpoint_snapshot.EndpointSnapshot("p", WALL, {"a": record}), 0.0, WALL
        )


@pytest.mark.parametrize(
    ("pool", "wall", "why"),
    [("p", WALL, None), ("p", WALL + 600_000.0, None), ("p", WALL + 600_001.0, "600 s old"), ("q", WALL, "of pool p"),
     ("p", WALL - 900.0, None), ("p", WALL - 90_000.0, "90 s ahead")],
)  # fmt: skip
def test_a_snapshot_is_used_only_for_its_pool_and_within_its_age(pool, wall, why):
    reason = endpoint_snapshot.unusable_reason(
        endpoint_snapshot.EndpointSnapshot("p", WALL), pool, wall, 600_000.0
    )
    assert reason is None if why is None else why in reason


class SnapshotFile(EndpointSnapshotFile):
    """A snapshot file with a clock of its own and a recorded log."""

    def __init__(self, path):
        self.logs = []
        listing = MachineListing()
        super().__init__(
            Timing(), path, "p", 600_000.0, listing, lambda event, **more: self.logs.append(event)
        )

    def publish_snapshot(self, *machines):
        self.listing.machines_by_name = {one.name: one for one in machines}
        self.record_update(api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, machines))

    def publish_change(self, one):
        self.listing.machines_by_name[one.name] = one
        self.record_update(api.MachineListUpdated(api.ListUpdateKind.DELTA, (one,)))


def test_a_drain_is_in_the_file_before_the_policy_learns_of_it(tmp_path):
    path = tmp_path / "a.list"
    snapshot_file = SnapshotFile(path)
    snapshot_file.publish_snapshot(machine("a"), machine("b"))
    snapshot_file.publish_change(machine("a", DRAINING))
    assert {one.name: one.phase for one in SnapshotFile(path).load()} == {"a": DRAINING, "b": SERVING}
    size = path.stat().st_size
    for _ in range(50):
        # Only the free capacity changes, which writes no line.
        snapshot_file.publish_change(machine("a", DRAINING))
    assert path.stat().st_size == size


def test_the_age_is_renewed_only_while_the_directory_sends_the_list(tmp_path):
    snapshot_file = SnapshotFile(tmp_path / "a.list")
    snapshot_file.publish_snapshot(machine("a"))
    snapshot_file.start()
    snapshot_file.loop.advance(2.5 * REWRITE_INTERVAL_MS)
    at = endpoint_snapshot.decode_snapshot(snapshot_file.path.read_bytes()).at_ms
    snapshot_file.record_update(api.MachineListUpdated(api.ListUpdateKind.FAILED))
    snapshot_file.loop.advance(5.0 * REWRITE_INTERVAL_MS)
    assert (
        endpoint_snapshot.decode_snapshot(snapshot_file.path.read_bytes()).at_ms
        == at
        >= snapshot_file.loop.wall() - 5.6 * REWRITE_INTERVAL_MS
    )


def test_an_empty_list_does_not_replace_the_file(tmp_path):
    snapshot_file = SnapshotFile(tmp_path / "a.list")
    snapshot_file.publish_snapshot(machine("a"))
    snapshot_file.publish_snapshot()
    assert [one.name for one in SnapshotFile(snapshot_file.path).load()] == ["a"]


def test_a_file_that_cannot_be_written_is_removed(tmp_path, monkeypatch):
    snapshot_file = SnapshotFile(tmp_path / "a.list")
    snapshot_file.publish_snapshot(machine("a"))
    snapshot_file.file.close()
    snapshot_file.file = open("/dev/full", "wb")  # noqa: SIM115
    snapshot_file.publish_change(machine("a", DRAINING))
    assert not snapshot_file.path.exists() and snapshot_file.logs == ["kept list not written, removed"]
    snapshot_file.publish_change(machine("a", REMOVED))  # nothing is appended to a removed file
    snapshot_file.publish_snapshot(machine("b"))
    assert [one.name for one in SnapshotFile(snapshot_file.path).load()] == ["b"]
    missing_folder = SnapshotFile(tmp_path / "none" / "a.list")
    missing_folder.publish_snapshot(machine("a"))
    assert missing_folder.load() == () and missing_folder.logs == ["kept list not written, removed"]


def test_an_invalid_file_is_logged_and_the_start_continues(tmp_path):
    path = tmp_path / "a.list"
    path.write_bytes(b"no list\n")
    snapshot_file = SnapshotFile(path)
    assert snapshot_file.load() == () and snapshot_file.logs == ["kept list not used"]


def test_a_restart_places_by_the_snapshot_while_the_directory_is_down(tmp_path):
    """It places nothing on a draining host: the file has what the former process received."""
    file = tmp_path / "a0.list"
    former = World(tmp_path, conf=f"keep-list {file}\n")
    drained = former.hosts[0]
    drained.machine.drain()
    former.until(lambda: b"draining" in file.read_bytes())
    former.close()
    (tmp_path / "again").mkdir()
    restarted = World(tmp_path / "again", conf=f"keep-list {file}\n", down=True)
    assert restarted.core.serving_machines == {host.name for host in restarted.hosts} - {drained.name}
    framework = restarted.owner()
    for number in range(6):
        framework.request_task(restarted.job(f"t{number}"))
    restarted.until(lambda: all("TASK_STARTING" in restarted.states(framework, f"t{i}") for i in range(6)))
    assert not any(e.who == drained.name for e in restarted.recorder.entries if e.kind == "offered")
    assert not restarted.directory.watchers and restarted.broken() == []
    restarted.directory.recover()
    restarted.until(lambda: restarted.daemon.directory_client.subscribed_at_ms is not None)
    # The directory's first update replaces the snapshot.
    restarted.until(lambda: drained.name in restarted.core.serving_machines)
    restarted.close()
