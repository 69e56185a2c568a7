"""The search for tasks that stand too long or are released while their process runs; see `lease_search.py`."""

import pytest

from benchmarks.host_faults import list_cells
from tests.support.lease_search import Search

SEEDS = (*range(8), 102, 114, 119, 131, 180, 193, 200, 205, 254, 300, 342, 402, 490, 512, 604, 610, 636)
CELL_SEEDS = 2


@pytest.mark.parametrize("seed", SEEDS)
def test_every_task_has_evidence_of_its_process_or_ends_in_time(seed):
    assert Search(seed).run() == []


@pytest.mark.parametrize("seed", range(CELL_SEEDS))
@pytest.mark.parametrize("cell", list_cells(), ids=str)
def test_every_task_ends_in_time_after_each_fault_of_the_table(cell, seed):
    search = Search(seed, iter([cell]))
    assert search.run_cell() == []
    assert search.played == [cell]
