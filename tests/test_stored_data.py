"""Data that an earlier version stored is still readable; commit 8cdb288 wrote the files."""

import gzip
from pathlib import Path

import pytest
from click.testing import CliRunner

from glencleat import endpoint_snapshot
from glencleat import interface as api
from glencleat.cli.main import main
from glencleat.scale import report

ROOT = Path(__file__).parent.parent
STORED = Path(__file__).parent / "data" / "stored"
WALL_MS = 1.7e12 + 5_000.0


def test_endpoint_snapshot_is_read():
    snapshot = endpoint_snapshot.decode_snapshot((STORED / "endpoint-list").read_bytes())
    assert endpoint_snapshot.unusable_reason(snapshot, "pool", WALL_MS, 10_000.0) is None
    machines = endpoint_snapshot.restore_machines(snapshot, 50.0, WALL_MS)
    serving, draining = api.MachinePhase.SERVING, api.MachinePhase.DRAINING
    assert machines == (
        api.Machine("a", "std", "hall-a", 2, draining, 3.5, 70.0, None),
        api.Machine("c", "std", "hall-a", 2, serving, 3.5, 70.0, 50.0 - 5_600.0),
        api.Machine("d", "std", "hall-a", 2, serving, -1.25, 70.0, None),
    )


def test_endpoint_snapshot_is_written_to_the_same_bytes():
    machine = api.Machine("a", "std", "hall-a", 2, api.MachinePhase.DRAINING, 3.5, 70.0)
    line = endpoint_snapshot.encode_change(machine, 2_000.0, 1.7e12 + 1_000.0)
    assert line in (STORED / "endpoint-list").read_bytes().splitlines(keepends=True)


def test_trace_of_a_play_gets_the_same_report(tmp_path):
    record = tmp_path / "record.jsonl"
    record.write_bytes(gzip.decompress((STORED / "short-day-record.jsonl.gz").read_bytes()))
    campus = ROOT / "examples" / "campus-short.conf"
    result = CliRunner().invoke(main, ["report", str(record), str(campus)])
    assert result.exit_code == 0
    expected = (STORED / "short-day-report.txt").read_text()
    assert result.output.split() == expected.split()  # the widths of the tables may differ


@pytest.mark.parametrize(
    "path", sorted((ROOT / "docs" / "results" / "scale").glob("*.json")), ids=lambda path: path.stem
)
def test_result_of_a_scale_run_is_read(path):
    assert report.load_results(path).phases
