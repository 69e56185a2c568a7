"""Reads what a TaskInfo asks for, and says plainly what is wrong with one. Pure.

Labels: `class`, `service`, `key` (the idempotency key; the task's id if absent), `time_left_ms` (until the
owner gives up; the class's deadline if absent), `life_ms` (expected, optional), `again` ("true" on a retry).
Resources: `cpus` (cores) and `mem` (MB, as in Mesos).
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from glencleat import interface as api
from glencleat.allocator.call_table import TaskRequest
from glencleat.allocator.errors import AllocatorError
from glencleat.mesos.messages import TaskInfo, find_label, sum_scalar

MAX_TEXT_CHARACTERS = 256  # of an id, a service or a key
MAX_QUOTED_CHARACTERS = 40  # of a wrong value, in the text of an error


class TaskRequestError(AllocatorError):
    """A task that can't be read, by its owner's fault; the text says what was expected.

    Attributes:
        field: the part of the TaskInfo that is wrong, such as "label time_left_ms".

    """

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field} {problem}")
        self.field = field


def read_duration_ms(info: TaskInfo, key: str) -> float | None:
    """A label with a time in milliseconds, None if it is absent; raises TaskRequestError."""
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
    """The amount of a resource that a task asks for; raises TaskRequestError."""
    amount = sum_scalar(info.resources, name)
    if amount is None or not math.isfinite(amount) or amount < 0.0:
        raise TaskRequestError(f"resource {name}", f"is {amount}; expected a SCALAR of 0 or more")
    return amount


def read_text(info: TaskInfo, key: str, default: str) -> str:
    """A label with a text, or the default if it is absent or empty; raises TaskRequestError."""
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
    name = find_label(info.labels, "class") or default_class
    if name is None or name not in classes:
        raise TaskRequestError("label class", f"is {name!r}; expected one of {', '.join(classes)}")
    return classes[name]


def _read_remaining_ms(info: TaskInfo, task_class: api.TaskClass, answer_margin_ms: float) -> float:
    """The time in which the task is to be placed: the owner's, bounded by the class, less the margin."""
    remaining_ms = task_class.deadline_ms
    owner_remaining_ms = read_duration_ms(info, "time_left_ms")
    if owner_remaining_ms is not None:
        remaining_ms = min(owner_remaining_ms, remaining_ms)
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
    """What a task asks for.

    Args:
        info: the task.
        classes: the task classes that there are, by name.
        default_class: the class of a task that names none.
        answer_margin_ms: what is kept back of the owner's time, for the answer's way to it.

    Raises:
        TaskRequestError: the task can't be read.

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
