"""Reads what a TaskInfo asks for, and says plainly what is wrong with one. Pure.

Labels: `class`, `service`, `key` (what repeats are told by; the task's id if absent), `time_left_ms` (until
the owner gives up; the class's deadline if absent), `life_ms` (expected, optional), `again` ("true" on a
return). Resources: `cpus` (cores) and `mem` (MB, as in Mesos)."""

from __future__ import annotations

import math
from collections.abc import Mapping

from glencleat import interface as api
from glencleat.allocator.call_table import TaskRequest
from glencleat.mesos.messages import TaskInfo, label, scalar

TEXT_MOST = 256  # characters of an id, a service or a key


class TaskRequestError(Exception):
    """The owner's fault; the text names the field and what was expected."""


def number(info: TaskInfo, key: str) -> float | None:
    text = label(info.labels, key)
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value) or value < 0.0:
        raise TaskRequestError(f"label {key} is {text[:40]!r}; expected milliseconds, 0 or more")
    return value


def amount(info: TaskInfo, name: str) -> float:
    value = scalar(info.resources, name)
    if value is None or not math.isfinite(value) or value < 0.0:
        raise TaskRequestError(f"resource {name} is {value}; expected a SCALAR of 0 or more")
    return value


def text(info: TaskInfo, key: str, default: str) -> str:
    value = label(info.labels, key) or default
    if len(value) > TEXT_MOST:
        raise TaskRequestError(f"label {key} has {len(value)} characters; expected at most {TEXT_MOST}")
    return value


def read(
    info: TaskInfo, classes: Mapping[str, api.TaskClass], default_class: str | None, margin_ms: float
) -> TaskRequest:
    """The ask; raises BadAsk. `margin_ms` is kept back of the owner's time, for the answer's way to it."""
    if not info.task_id.value or len(info.task_id.value) > TEXT_MOST:
        raise TaskRequestError(f"task_id has {len(info.task_id.value)} characters; expected 1 to {TEXT_MOST}")
    name = label(info.labels, "class") or default_class
    if name is None or name not in classes:
        raise TaskRequestError(f"label class is {name!r}; expected one of {', '.join(classes)}")
    told = number(info, "time_left_ms")
    left = classes[name].deadline_ms if told is None else min(told, classes[name].deadline_ms)
    if left <= margin_ms:
        raise TaskRequestError(
            f"label time_left_ms is {left:g}; expected more than {margin_ms:g}, which an answer takes"
        )
    return TaskRequest(
        task_class=name,
        service=text(info, "service", info.name or info.task_id.value),
        key=text(info, "key", info.task_id.value),
        cores=amount(info, "cpus"),
        memory=amount(info, "mem"),
        remaining_ms=left - margin_ms,
        expected_run_ms=number(info, "life_ms"),
        is_retry=label(info.labels, "again") == "true",
        has_explicit_key=bool(label(info.labels, "key")),
    )
