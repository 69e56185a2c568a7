"""What operators and clients hold on to is what it was at commit 8cdb288: the golden files tell it."""

import json
from pathlib import Path

import pytest

from glencleat.rest import openapi
from glencleat.rest.routes import ROUTES
from tests.support import public_surface

DATA = Path(__file__).parent / "data" / "surface"
EXAMPLES = Path(__file__).parent.parent / "examples"


def golden(name):
    return json.loads((DATA / name).read_text())


def plain(value):
    """As JSON tells it: tuples are lists."""
    return json.loads(json.dumps(value))


def test_commands_and_their_options_are_kept():
    assert plain(public_surface.commands()) == golden("commands.json")


def test_metric_names_kinds_and_labels_are_kept():
    assert public_surface.metrics(EXAMPLES / "allocator.conf") == golden("metrics.json")


def test_the_openapi_document_is_kept():
    assert plain(openapi.document(ROUTES, ["pull-front", "repo-copy"])) == golden("openapi.json")


@pytest.mark.parametrize("conf", sorted(EXAMPLES.glob("*.conf")), ids=lambda conf: conf.stem)
def test_an_example_is_parsed_to_the_same_values(conf):
    assert plain(public_surface.configuration(conf)) == golden("configurations.json")[conf.name]


def test_each_recorded_example_is_still_there():
    assert set(golden("configurations.json")) == {conf.name for conf in EXAMPLES.glob("*.conf")}
