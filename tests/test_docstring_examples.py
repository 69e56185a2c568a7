"""The examples in docstrings run, so that a rename can't leave them out of date."""

import doctest
import importlib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
MODULES = sorted(
    ".".join(path.relative_to(ROOT).with_suffix("").parts)
    for path in (ROOT / "glencleat").rglob("*.py")
    if ">>>" in path.read_text()
)


@pytest.mark.parametrize("name", MODULES)
def test_docstring_examples_give_the_output_shown(name):
    result = doctest.testmod(importlib.import_module(name))
    assert result.attempted
    assert not result.failed
