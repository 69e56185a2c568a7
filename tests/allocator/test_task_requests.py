"""Reading of a TaskInfo's requirements: defaults, limits, and errors that name the invalid field."""

import pytest

from glencleat import interface as api
from glencleat.allocator.task_requests import TaskRequestError, read_task_request
from glencleat.mesos import messages as m

CLASSES = {"batch": api.TaskClass("batch", api.Idempotency.IDEMPOTENT, 1_000.0, 8_000.0, 1.0)}


def read(task_id="t", cores=1.0, memory=100.0, default_class=None, **labels):
    info = m.TaskInfo(
        "name",
        m.Value(task_id),
        resources=m.make_resources(cores, memory),
        labels=m.Labels([m.Label(key, value) for key, value in labels.items()]),
    )
    return read_task_request(info, CLASSES, default_class=default_class, answer_margin_ms=50.0)


def test_absent_fields_get_their_defaults():
    request = read(default_class="batch")
    assert (request.task_class, request.service, request.idempotency_key) == ("batch", "name", "t")
    assert request.remaining_ms == 7_950.0  # the deadline of the class minus the margin
    assert request.expected_run_ms is None


@pytest.mark.parametrize(
    ("label_ms", "expected_ms"), [("100", 50.0), ("9000", 7_950.0)], ids=["less", "more"]
)
def test_the_clients_time_is_limited_by_the_class(label_ms, expected_ms):
    labels = {"class": "batch", "time_left_ms": label_ms}
    assert read(**labels).remaining_ms == expected_ms


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"task_id": ""}, "task_id"),
        ({"task_id": "t" * 257}, "task_id"),
        ({"class": "odd"}, "label class"),
        ({"time_left_ms": "50"}, "label time_left_ms"),
        ({"time_left_ms": "soon"}, "label time_left_ms"),
        ({"life_ms": "-1"}, "label life_ms"),
        ({"life_ms": "inf"}, "label life_ms"),
        ({"service": "s" * 257}, "label service"),
        ({"key": "k" * 257}, "label key"),
        ({"cores": -1.0}, "resource cpus"),
        ({"memory": float("nan")}, "resource mem"),
    ],
)
def test_an_error_names_the_invalid_field(changes, field):
    with pytest.raises(TaskRequestError, match=f"^{field} ") as raised:
        read(**({"class": "batch"} | changes))
    assert raised.value.field == field
