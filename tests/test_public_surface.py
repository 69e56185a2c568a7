"""The public surface is that of commit 8cdb288, which wrote the golden files."""

import json
from pathlib import Path

import pytest

from glencleat.rest import openapi
from glencleat.rest.routes import ROUTES
from tests.support import public_surface

DATA = Path(__file__).parent / "data" / "surface"
EXAMPLES = Path(__file__).parent.parent / "examples"


def read_golden(name):
    return json.loads((DATA / name).read_text())


def through_json(value):
    """The value as JSON represents it, where tuples are lists."""
    return json.loads(json.dumps(value))


def test_commands_and_their_options_are_unchanged():
    assert through_json(public_surface.read_commands()) == read_golden("commands.json")


def test_metric_names_kinds_and_labels_are_unchanged():
    assert public_surface.read_metrics(EXAMPLES / "allocator.conf") == read_golden("metrics.json")


def test_openapi_document_is_unchanged():
    assert through_json(openapi.document(ROUTES, ["pull-front", "repo-copy"])) == read_golden("openapi.json")


@pytest.mark.parametrize("conf", sorted(EXAMPLES.glob("*.conf")), ids=lambda conf: conf.stem)
def test_example_is_parsed_to_the_same_values(conf):
    assert (
        through_json(public_surface.read_configuration(conf)) == read_golden("configurations.json")[conf.name]
    )


def test_golden_examples_are_those_that_exist():
    assert set(read_golden("configurations.json")) == {conf.name for conf in EXAMPLES.glob("*.conf")}
