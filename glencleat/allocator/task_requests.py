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

MAX_TEXT_CHARACTERS = 256  # characters of an id, a service or a key


class TaskRequestError(Exception):
    """The owner's fault; the text names the field and what was expected."""


def read_duration_ms(info: TaskInfo, key: str) -> float | None:
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


def read_resource(info: TaskInfo, name: str) -> float:
    value = scalar(info.resources, name)
    if value is None or not math.isfinite(value) or value < 0.0:
        raise TaskRequestError(f"resource {name} is {value}; expected a SCALAR of 0 or more")
    return value


def read_text(info: TaskInfo, key: str, default: str) -> str:
    value = label(info.labels, key) or default
    if len(value) > MAX_TEXT_CHARACTERS:
        raise TaskRequestError(
            f"label {key} has {len(value)} characters; expected at most {MAX_TEXT_CHARACTERS}"
        )
    return value


def read_task_request(
    info: TaskInfo, classes: Mapping[str, api.TaskClass], default_class: str | None, answer_margin_ms: float
) -> TaskRequest:
    """The ask; raises BadAsk. `margin_ms` is kept back of the owner's time, for the answer's way to it."""
    if not info.task_id.value or len(info.task_id.value) > MAX_TEXT_CHARACTERS:
        raise TaskRequestError(
            f"task_id has {len(info.task_id.value)} characters; expected 1 to {MAX_TEXT_CHARACTERS}"
        )
    name = label(info.labels, "class") or default_class
    if name is None or name not in classes:
        raise TaskRequestError(f"label class is {name!r}; expected one of {', '.join(classes)}")
    told = read_duration_ms(info, "time_left_ms")
    left = classes[name].deadline_ms if told is None else min(told, classes[name].deadline_ms)
    if left <= answer_margin_ms:
        raise TaskRequestError(
            f"label time_left_ms is {left:g}; expected more than {answer_margin_ms:g}, which an answer takes"
        )
    return TaskRequest(
        task_class=name,
        service=read_text(info, "service", info.name or info.task_id.value),
        key=read_text(info, "key", info.task_id.value),
        cores=read_resource(info, "cpus"),
        memory=read_resource(info, "mem"),
        left_ms=left - answer_margin_ms,
        life_ms=read_duration_ms(info, "life_ms"),
        again=label(info.labels, "again") == "true",
        key_told=bool(label(info.labels, "key")),
    )
