"""The capacity page follows from the runs; fits find the curves that data were made by; the worker is repeatable."""

import json
import math
import os
import re
import subprocess
import sys
from pathlib import Path
from statistics import median

import numpy as np
import pytest

from benchmarks import capacity, slopes
from benchmarks import capacity_lines as lines
from benchmarks import capacity_roles as roles
from benchmarks.slope_fits import fit, mean_interval

ROOT = Path(__file__).resolve().parent.parent.parent
PAGE, RUNS = (ROOT / "docs" / "CAPACITY.md").read_text(), capacity.load()
NEWEST = list(RUNS["versions"])[-1]
SIZES = (400, 1_600, 3_200, 6_300, 12_600)


def medians(quantity, hosts=6_300):
    """Without the page's own code."""
    usual = {"hosts": hosts, "tasks": 2_050, "peers": 20}
    return median(
        run["figures"][quantity]
        for run in RUNS["runs"]
        if run["version"] == NEWEST and quantity in run["figures"]
        if all(run[name] == value for name, value in usual.items())
        if run["services"] == (660 if run["kind"] in ("module", "zone", "memory") else 100)
    )


def anew():
    """What a placement costs more after the list changed; 38% of placements meet one since their service's last:
    3 x 504 changes a day against 18.5 placements a second of 660 services."""
    return medians("module.place_after_event") - medians("module.place")


def cell(table, what, column):
    """Of the page: a row by its first words, a column by its head."""
    body = re.search(rf"<!-- table: {table} -->\n(.*?)<!-- end -->", PAGE, re.DOTALL)[1].strip()
    rows = [[part.strip() for part in line.strip("|").split(" | ")] for line in body.splitlines()]
    (row,) = [row for row in rows if row[0].strip() == what]
    return row[[head.strip() for head in rows[0]].index(column)]


def number(text):
    return float(re.match(r"\**([\d,.]+)", text)[1].replace(",", ""))


def test_the_page_follows_from_the_runs():
    assert capacity.page(PAGE, RUNS) == PAGE


def test_the_sizes_that_the_page_rests_on_stand_in_it():
    assert set(lines.SIZE_MEANINGS) == set(lines.SIZES)
    assert [cell("sizes", f"`{name}`", "value") for name in lines.SIZES] == [
        f"{size:,}" for size in lines.SIZES.values()
    ]
    assert cell("sizes", "`jobs_day`", "value") == "32,000"
    assert cell("sizes", "`restart_day`", "value") == "470"


def test_a_figure_that_was_changed_by_hand_is_found():
    figure = cell("top", "CPU: placements", NEWEST)
    assert capacity.page(PAGE.replace(figure, "1.00%"), RUNS) == PAGE != PAGE.replace(figure, "1.00%")


def test_a_run_that_changes_changes_the_page():
    other = json.loads(json.dumps(RUNS))
    for run in other["runs"]:
        if "module.place" in run["figures"]:
            run["figures"]["module.place"] *= 2.0
    assert capacity.page(PAGE, other) != PAGE


@pytest.mark.parametrize(
    "what, worked, scale",
    [
        (
            "CPU: placements",
            lambda: 18.5 * (medians("module.place") + 0.38436 * max(0.0, anew())),
            100.0,
        ),
        ("CPU: idle control", lambda: medians("node.idle"), 100.0),
        ("CPU: liveness checks of quiet hosts", lambda: medians("looks.cpu") - medians("node.idle"), 100.0),
        ("bytes: what hosts have free, by the list", lambda: 740 * medians("bytes.entry"), 1e-3),
        ("bytes: liveness checks of quiet hosts", lambda: 328 * medians("looks.connections"), 1e-3),
        ("zone lost, one event a host", lambda: medians("node.zone_each"), 1.0),
        ("a gang of 512 placed one by one", lambda: 512 * medians("module.place"), 1.0),
        (
            "memory: list, own tasks, connections, orders",
            lambda: medians("looks.resident") + medians("memory.orders"),
            1e-6,
        ),
    ],
)
def test_the_top_figures_worked_out_again_by_hand(what, worked, scale):
    assert number(cell("top", what, NEWEST)) == pytest.approx(scale * worked(), rel=0.006)


def test_the_worst_ratio_comes_first():
    body = re.search(r"<!-- table: top -->\n(.*?)<!-- end -->", PAGE, re.DOTALL)[1].strip().splitlines()
    place = [head.strip() for head in body[0].strip("|").split(" | ")].index("ratio")
    ratios = [number(line.strip("|").split(" | ")[place].strip()) for line in body[2:]]
    assert ratios == sorted(ratios, reverse=True) and len(ratios) == len(lines.TOP)


def formulas():
    for bound in lines.TOP:
        yield bound.formula
    for line in (*roles.PROCESSOR, *roles.TRAFFIC):
        yield from (line.formula(situation) for situation in roles.SITUATIONS)
    for kept in roles.STATES.values():
        yield from (part for state in kept for part in (state.count, state.each))
    for sent in roles.FLOWS.values():
        yield from (part for flow in sent for part in (flow.ordinary, flow.peak, flow.count, flow.each))


def test_every_formula_is_of_known_names_and_comes_to_a_figure():
    size = capacity.Size(RUNS, NEWEST)
    known = {*lines.SIZES, *lines.ASSUMED, *capacity.GROUPS, "exp", "max", "min"}
    for formula in formulas():
        assert capacity.names_in(formula) <= known, formula
        assert math.isfinite(size.value(formula)) and size.value(formula) >= 0.0, formula
        low, high = size.interval(formula)
        assert low <= size.value(formula) * 1.5 and high >= size.value(formula) / 1.5, formula


def test_what_has_no_run_is_marked():
    assert "*assumed*: note_s" in cell("top", "bytes: observations", "without a run")
    assert cell("top", "CPU: idle control", "without a run") == ""
    assert capacity.assumed("rack * node.event") == "*assumed*: rack"


def test_a_quantity_that_was_not_run_is_no_figure():
    bare = {**RUNS, "runs": [run for run in RUNS["runs"] if "node.idle" not in run["figures"]]}
    assert capacity.told(capacity.Size(bare, NEWEST), "node.idle", "core").startswith("not run")


@pytest.mark.parametrize(
    "law, curve",
    [
        (lambda x: 5.0 + 0.0 * x, "flat"),
        (lambda x: 2.0 + 0.01 * x, "line"),
        (lambda x: 1.0 + 3.0 * np.log(x), "log"),
        (lambda x: 0.02 * x**1.4, "power"),
    ],
)
def test_the_curve_that_data_were_made_by_is_found_and_held(law, curve):
    """Of 60 draws with 2% of noise; 57 of 60 would be 95%, and the curve is chosen by the data too."""
    found = held = 0
    for seed in range(60):
        drawn = np.random.default_rng(seed)
        one = fit([(x, float(law(x) * drawn.normal(1.0, 0.02))) for x in map(float, SIZES) for _ in range(4)])
        low, high = one.interval(6_300.0)
        found += one.curve == curve
        held += low <= law(6_300.0) <= high
        assert (high - low) / law(6_300.0) < 0.06 and one.worst < 0.06
        assert one.stretched(25_200.0) == 2.0 and one.stretched(6_300.0) == 1.0
    assert found >= 42 and held >= 52


def test_too_few_sizes_are_no_curve():
    assert fit([(400.0, 1.0), (1_600.0, 2.0), (400.0, 1.1)]) is None
    assert mean_interval([3.0]) == (3.0, 3.0, 3.0)


def test_cells_reach_every_size_and_a_quick_run_is_a_part():
    kinds = {"module", "zone", "memory", "channel", "wire", "node", "looks"}
    whole, quick = dict(slopes.cells(False, kinds)), dict(slopes.cells(True, kinds))
    assert {one.hosts for one in whole} == set(SIZES) and {one.tasks for one in whole} == {250, 1_000, 2_050}
    assert set(quick) <= set(whole) and min(whole.values()) >= 2
    assert {one.hosts for one, seeds in quick.items() if seeds < 2} == {6_300, 12_600}
    single = [one for one, seeds in quick.items() if seeds < 2]
    assert all(one.hosts == 12_600 or one.tasks < 2_050 or one.services < 660 for one in single)


def work(kind, seed=3, hosts=30):
    command = [sys.executable, str(ROOT / "benchmarks" / "slope_worker.py"), kind, "--hosts", str(hosts)]
    command += ["--tasks", "60", "--services", "5", "--seed", str(seed)]
    done = subprocess.run(
        command, env={**os.environ, "PYTHONPATH": str(ROOT)}, cwd=ROOT, capture_output=True, check=True
    )
    return json.loads(done.stdout)


def worker_that_says(folder, figure):
    (folder / "benchmarks").mkdir(parents=True)
    code = f"import json, sys\nprint(json.dumps({{'module.place': {figure}, 'hosts': float(sys.argv[5])}}))\n"
    (folder / "benchmarks" / "slope_worker.py").write_text(code)


def test_each_tree_is_measured_by_its_own_worker(tmp_path):
    for name, figure in (("before", 1.0), ("now", 2.0)):
        worker_that_says(tmp_path / name, figure)
    found = [slopes.measure(slopes.Cell("module", 400), 1, tmp_path / name) for name in ("before", "now")]
    assert found == [{"module.place": 1.0, "hosts": 400.0}, {"module.place": 2.0, "hosts": 400.0}]


def test_a_tree_without_a_worker_is_measured_by_this_trees(tmp_path):
    assert slopes.worker_of(tmp_path) == ROOT / "benchmarks" / "slope_worker.py"
    (tmp_path / "glencleat").symlink_to(ROOT / "glencleat")
    found = slopes.measure(slopes.Cell("channel", 30, tasks=60, services=5), 3, tmp_path)
    assert found["channel.whole"] > 0.0


def test_a_worker_that_fails_is_told_with_its_last_words(tmp_path):
    (tmp_path / "benchmarks").mkdir()
    (tmp_path / "benchmarks" / "slope_worker.py").write_text("raise SystemExit('no such field')\n")
    with pytest.raises(slopes.RunFailedError, match="no such field"):
        slopes.measure(slopes.Cell("module", 400), 1, tmp_path)


def test_one_seed_gives_one_stream_of_events():
    first, again, other = work("zone"), work("zone"), work("zone", seed=4)
    assert first["module.zone_tasks"] == again["module.zone_tasks"] > 0.0
    assert first["module.zone_tasks"] != other["module.zone_tasks"]


@pytest.mark.parametrize("kind", ["module", "memory", "channel", "wire"])
def test_the_worker_measures_what_the_table_names(kind):
    found = work(kind)
    assert found and all(math.isfinite(value) and value >= 0.0 for value in found.values())
    documented = {
        name for name in found if not name.startswith(("wire.", "bytes.")) and name != "memory.base"
    }
    assert documented <= set(slopes.WHAT)
