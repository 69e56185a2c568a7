"""The machine list over a restart: what is read of files that are whole, torn, wrong, old or another's."""

import pytest

from glencleat import endpoint_snapshot
from glencleat import interface as api
from glencleat.allocator.endpoint_list import MachineListing
from glencleat.servers.endpoint_snapshot_file import REWRITE_INTERVAL_MS, EndpointSnapshotFile
from tests.support.core_world import Timing
from tests.support.daemon_world import World

WALL = 1.7e12
SERVING, DRAINING, GONE = api.MachinePhase.SERVING, api.MachinePhase.DRAINING, api.MachinePhase.REMOVED


def machine(name, phase=SERVING, ready=None):
    return api.Machine(name, "std", "hall-a", 2, phase, 3.5, 70.0, ready)


def written():
    """A whole list, then a drain and one that is gone."""
    first = endpoint_snapshot.encode_snapshot(
        "p", [machine("a"), machine("b"), machine("c", ready=400.0)], 1_000.0, WALL
    )
    return [first, endpoint_snapshot.encode_change(machine("a", DRAINING), 2_000.0, WALL + 1_000.0),
            endpoint_snapshot.encode_change(machine("b", GONE), 3_000.0, WALL + 2_000.0)]  # fmt: skip


def phases(data, now=50.0, wall=WALL + 5_000.0):
    return {
        told.name: told.phase
        for told in endpoint_snapshot.restore_machines(endpoint_snapshot.decode_snapshot(data), now, wall)
    }


def test_it_comes_back_as_it_was_told():
    found = endpoint_snapshot.decode_snapshot(b"".join(written()))
    told = {one.name: one for one in endpoint_snapshot.restore_machines(found, 50.0, WALL + 5_000.0)}
    assert told == {
        "a": machine("a", DRAINING), "c": machine("c", ready=50.0 - 5_600.0),  # of the new monotonic clock
    }  # fmt: skip
    assert found.at_ms == WALL + 2_000.0


def test_a_file_cut_anywhere_tells_what_was_whole_before():
    lines = written()
    data, ends = b"".join(lines), [len(lines[0]), len(lines[0] + lines[1])]
    for length in range(len(data)):
        if length < ends[0]:
            with pytest.raises(endpoint_snapshot.EndpointSnapshotError, match="no complete line"):
                endpoint_snapshot.decode_snapshot(data[:length])
        else:
            assert phases(data[:length])["a"] is (DRAINING if length >= ends[1] else SERVING)


def test_a_flipped_bit_is_told_and_never_read():
    data = b"".join(written())
    for place in range(len(data) - 1):
        wrong = bytearray(data)
        wrong[place] ^= 4
        with pytest.raises(endpoint_snapshot.EndpointSnapshotError):
            endpoint_snapshot.decode_snapshot(bytes(wrong))


@pytest.mark.parametrize(
    "data",
    [b"", b"\n", b"garbage\n", b"%08x {}\n" % 0, written()[1], written()[0] * 2,
     endpoint_snapshot._encode_line(endpoint_snapshot.SnapshotRecord(9, "p", WALL, []))],
    ids=["empty", "blank", "garbage", "no checksum", "change first", "twice", "format"],
)  # fmt: skip
def test_what_is_no_list_is_refused(data):
    with pytest.raises(endpoint_snapshot.EndpointSnapshotError):
        endpoint_snapshot.decode_snapshot(data)


def test_a_phase_that_nobody_knows_is_refused():
    one = endpoint_snapshot.to_record(machine("a"), 0.0, WALL)
    one.phase = "dancing"
    with pytest.raises(endpoint_snapshot.EndpointSnapshotError, match="dancing"):
        endpoint_snapshot.restore_machines(
            endpoint_snapshot.EndpointSnapshot("p", WALL, {"a": one}), 0.0, WALL
        )


@pytest.mark.parametrize(
    ("pool", "wall", "why"),
    [("p", WALL, None), ("p", WALL + 600_000.0, None), ("p", WALL + 600_001.0, "600 s old"), ("q", WALL, "of pool p"),
     ("p", WALL - 900.0, None), ("p", WALL - 90_000.0, "90 s ahead")],
)  # fmt: skip
def test_when_it_may_be_used(pool, wall, why):
    told = endpoint_snapshot.unusable_reason(
        endpoint_snapshot.EndpointSnapshot("p", WALL), pool, wall, 600_000.0
    )
    assert told is None if why is None else why in told


class Keeper(EndpointSnapshotFile):
    """On a clock of its own, with a log."""

    def __init__(self, path):
        self.logs = []
        listing = MachineListing()
        super().__init__(
            Timing(), path, "p", 600_000.0, listing, lambda event, **more: self.logs.append(event)
        )

    def whole(self, *machines):
        self.listing.machines_by_name = {one.name: one for one in machines}
        self.record_update(api.MachineListUpdated(api.ListUpdateKind.SNAPSHOT, machines))

    def change(self, one):
        self.listing.machines_by_name[one.name] = one
        self.record_update(api.MachineListUpdated(api.ListUpdateKind.DELTA, (one,)))


def test_a_drain_is_in_the_file_before_the_module_hears_of_it(tmp_path):
    path = tmp_path / "a.list"
    keeper = Keeper(path)
    keeper.whole(machine("a"), machine("b"))
    keeper.change(machine("a", DRAINING))
    assert {one.name: one.phase for one in Keeper(path).load()} == {"a": DRAINING, "b": SERVING}
    size = path.stat().st_size
    for _ in range(50):
        keeper.change(machine("a", DRAINING))  # room changes all the time; that is no line
    assert path.stat().st_size == size


def test_its_age_is_renewed_only_while_the_directory_tells_it(tmp_path):
    keeper = Keeper(tmp_path / "a.list")
    keeper.whole(machine("a"))
    keeper.start()
    keeper.loop.advance(2.5 * REWRITE_INTERVAL_MS)
    at = endpoint_snapshot.decode_snapshot(keeper.path.read_bytes()).at_ms
    keeper.record_update(api.MachineListUpdated(api.ListUpdateKind.FAILED))
    keeper.loop.advance(5.0 * REWRITE_INTERVAL_MS)
    assert (
        endpoint_snapshot.decode_snapshot(keeper.path.read_bytes()).at_ms
        == at
        >= keeper.loop.wall() - 5.6 * REWRITE_INTERVAL_MS
    )


def test_an_empty_list_takes_the_place_of_none(tmp_path):
    keeper = Keeper(tmp_path / "a.list")
    keeper.whole(machine("a"))
    keeper.whole()
    assert [one.name for one in Keeper(keeper.path).load()] == ["a"]


def test_what_can_not_be_written_is_not_left_to_be_read(tmp_path, monkeypatch):
    keeper = Keeper(tmp_path / "a.list")
    keeper.whole(machine("a"))
    keeper.file.close()
    keeper.file = open("/dev/full", "wb")  # noqa: SIM115
    keeper.change(machine("a", DRAINING))
    assert not keeper.path.exists() and keeper.logs == ["kept list not written, removed"]
    keeper.change(machine("a", GONE))  # and nothing is added to what is gone
    keeper.whole(machine("b"))
    assert [one.name for one in Keeper(keeper.path).load()] == ["b"]
    nowhere = Keeper(tmp_path / "none" / "a.list")
    nowhere.whole(machine("a"))
    assert nowhere.load() == () and nowhere.logs == ["kept list not written, removed"]


def test_a_bad_file_is_told_and_the_start_goes_on(tmp_path):
    path = tmp_path / "a.list"
    path.write_bytes(b"no list\n")
    keeper = Keeper(path)
    assert keeper.load() == () and keeper.logs == ["kept list not used"]


def test_a_restart_places_by_the_kept_list_while_the_directory_is_down(tmp_path):
    """And not where it drains: the file knows what the former process was told."""
    file = tmp_path / "a0.list"
    day = World(tmp_path, conf=f"keep-list {file}\n")
    drained = day.hosts[0]
    drained.machine.drain()
    day.until(lambda: b"draining" in file.read_bytes())
    day.close()
    (tmp_path / "again").mkdir()
    again = World(tmp_path / "again", conf=f"keep-list {file}\n", down=True)
    assert again.core.serving_machines == {host.name for host in again.hosts} - {drained.name}
    owner = again.owner()
    for number in range(6):
        owner.request_task(again.job(f"t{number}"))
    again.until(lambda: all("TASK_STARTING" in again.states(owner, f"t{i}") for i in range(6)))
    assert not any(e.who == drained.name for e in again.recorder.entries if e.kind == "offered")
    assert not again.directory.watchers and again.broken() == []
    again.directory.recover()
    again.until(lambda: again.daemon.directory_client.subscribed_at_ms is not None)
    again.until(lambda: drained.name in again.core.serving_machines)  # the directory's first word replaces it
    again.close()
