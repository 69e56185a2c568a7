"""Reads and validates the requirements of a task from its TaskInfo, without I/O.

Labels: `class`, `service`, `key` (the idempotency key; defaults to the task's id), `time_left_ms` (until the
client gives up; defaults to the deadline of the class), `life_ms` (expected run time, optional) and `again`
("true" on a retry). Resources: `cpus` (cores) and `mem` (MB, as in Mesos).
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from glencleat import interface as api
from glencleat.allocator.call_table import TaskRequest
from glencleat.allocator.errors import AllocatorError
from glencleat.mesos.messages import TaskInfo, find_label, sum_scalar

MAX_TEXT_CHARACTERS = 256  # limit of a task id, a service or an idempotency key
MAX_QUOTED_CHARACTERS = 40  # longest part of an invalid value that an error quotes


class TaskRequestError(AllocatorError):
    """A TaskInfo from a client is invalid; the message tells what was found and what was expected.

    Attributes:
        field: the invalid part of the TaskInfo, such as "label time_left_ms".

    """

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field} {problem}")
        self.field = field


def read_duration_ms(info: TaskInfo, key: str) -> float | None:
    """Reads a label with a time in milliseconds; returns None if absent; raises TaskRequestError."""
    text = find_label(info.labels, key)
    if text is None:
        return None
    try:
        duration_ms = float(text)
    except ValueError:
        duration_ms = math.nan
    if not math.isfinite(duration_ms) or duration_ms < 0.0:
        quoted = repr(text[:MAX_QUOTED_CHARACTERS])
        raise TaskRequestError(f"label {key}", f"is {quoted}; expected milliseconds, 0 or more")
    return duration_ms


def read_resource(info: TaskInfo, name: str) -> float:
    """Reads the requested amount of a resource; raises TaskRequestError."""
    amount = sum_scalar(info.resources, name)
    if amount is None or not math.isfinite(amount) or amount < 0.0:
        raise TaskRequestError(f"resource {name}", f"is {amount}; expected a SCALAR of 0 or more")
    return amount


def read_text(info: TaskInfo, key: str, default: str) -> str:
    """Reads a text label, or returns the default if it is absent or empty; raises TaskRequestError."""
    text = find_label(info.labels, key) or default
    if len(text) > MAX_TEXT_CHARACTERS:
        raise TaskRequestError(
            f"label {key}", f"has {len(text)} characters; expected at most {MAX_TEXT_CHARACTERS}"
        )
    return text


def _check_task_id(info: TaskInfo) -> None:
    length = len(info.task_id.value)
    if not 1 <= length <= MAX_TEXT_CHARACTERS:
        raise TaskRequestError("task_id", f"has {length} characters; expected 1 to {MAX_TEXT_CHARACTERS}")


def _read_task_class(
    info: TaskInfo, classes: Mapping[str, api.TaskClass], default_class: str | None
) -> api.TaskClass:
    class_name = find_label(info.labels, "class") or default_class
    if class_name is None or class_name not in classes:
        raise TaskRequestError("label class", f"is {class_name!r}; expected one of {', '.join(classes)}")
    return classes[class_name]


def _read_remaining_ms(info: TaskInfo, task_class: api.TaskClass, answer_margin_ms: float) -> float:
    """Returns the time left to place the task: the client's, limited by the class, minus the margin."""
    remaining_ms = task_class.deadline_ms
    client_remaining_ms = read_duration_ms(info, "time_left_ms")
    if client_remaining_ms is not None:
        remaining_ms = min(client_remaining_ms, remaining_ms)
    if remaining_ms <= answer_margin_ms:
        raise TaskRequestError(
            "label time_left_ms",
            f"is {remaining_ms:g}; expected more than {answer_margin_ms:g}, which an answer takes",
        )
    return remaining_ms - answer_margin_ms


def read_task_request(
    info: TaskInfo,
    classes: Mapping[str, api.TaskClass],
    default_class: str | None,
    answer_margin_ms: float,
) -> TaskRequest:
    """Reads the requirements of a task.

    Args:
        info: the task.
        classes: the task classes, by name.
        default_class: name of the class of a task without the label `class`.
        answer_margin_ms: part of the client's time that is reserved for the answer to reach it.

    Raises:
        TaskRequestError: the TaskInfo is invalid.

    """
    _check_task_id(info)
    task_class = _read_task_class(info, classes, default_class)
    remaining_ms = _read_remaining_ms(info, task_class, answer_margin_ms)
    return TaskRequest(
        task_class=task_class.name,
        service=read_text(info, "service", info.name or info.task_id.value),
        idempotency_key=read_text(info, "key", info.task_id.value),
        cores=read_resource(info, "cpus"),
        memory=read_resource(info, "mem"),
        remaining_ms=remaining_ms,
        expected_run_ms=read_duration_ms(info, "life_ms"),
        is_retry=find_label(info.labels, "again") == "true",
        has_explicit_key=bool(find_label(info.labels, "key")),
    )
