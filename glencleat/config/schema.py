"""The schema of an allocator's configuration: a pydantic model for each kind of line.

A time is written 250ms, 8s, 5m or 1h and becomes milliseconds; memory is written 512MB, 48GB or 1TB and
becomes megabytes; the unit is required. An address is HOST:PORT with a loopback HOST; port 0 binds any free
port. The names of the fields are the words of the file, with underscores for hyphens.
"""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated, Any, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, model_validator

from glencleat import interface as api

MS_BY_UNIT = {"ms": 1.0, "s": 1_000.0, "m": 60_000.0, "h": 3_600_000.0}
MB_BY_UNIT = {"MB": 1.0, "GB": 1_024.0, "TB": 1_048_576.0}


def parse_unit(value: Any, units: dict[str, float], example: str) -> Any:
    """The quantity that a text such as 250ms states, in the unit whose factor is 1.

    A value that is not a string is returned as it is. Raises ValueError for any other text; its message
    shows `example`.
    """
    if not isinstance(value, str):
        return value
    match = re.fullmatch(r"([0-9]+(?:\.[0-9]+)?)([A-Za-z]+)", value)
    if match is None or match[2] not in units:
        raise ValueError(f"is {value!r}; expected a number with one of {', '.join(units)}, as in {example}")
    return float(match[1]) * units[match[2]]


def _parse_address(value: Any) -> Any:
    """Host and port of the text HOST:PORT; a value that is not a string is returned as it is."""
    if not isinstance(value, str):
        return value
    host, _, port = value.rpartition(":")
    try:
        address = ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        raise ValueError(f"is {value!r}; expected HOST:PORT, as in 127.0.0.1:5050") from None
    if not address.is_loopback or address.version != 4:
        raise ValueError(f"is {value!r}; expected a loopback host, 127.0.0.1")
    if not 0 <= number <= 65535:
        raise ValueError(f"is {value!r}; expected a port from 0 to 65535")
    return host, number


Milliseconds = Annotated[float, BeforeValidator(lambda v: parse_unit(v, MS_BY_UNIT, "250ms")), Field(ge=0)]
Megabytes = Annotated[float, BeforeValidator(lambda v: parse_unit(v, MB_BY_UNIT, "48GB")), Field(gt=0)]
Address = Annotated[tuple[str, int], BeforeValidator(_parse_address)]
Name = Annotated[str, Field(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9_-]*$")]
Count = Annotated[int, Field(ge=1, le=10_000_000)]


class StrictModel(BaseModel):
    """Base of the sections: unknown fields are rejected, and values can't be changed."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class AllocatorSection(StrictModel):
    """This allocator: its index `number` among the `of` allocators of the cluster, its zone and its seed."""

    name: Name
    number: Annotated[int, Field(ge=0)]
    of: Annotated[int, Field(ge=1, le=100_000)]
    zone: Name
    seed: Annotated[int, Field(ge=0)] = 1

    @model_validator(mode="after")
    def _check_number(self) -> AllocatorSection:
        if self.number >= self.of:
            raise ValueError(f"number is {self.number} of {self.of}; expected 0 to {self.of - 1}")
        return self


class TaskClassSection(StrictModel):
    """A class of tasks; `interface.TaskClass` says more of each field."""

    name: Name
    effect: Literal["safe", "keyed", "unsafe"]  # idempotent, with an idempotency key, non-idempotent
    aim: Milliseconds  # the latency objective
    deadline: Milliseconds
    worth: Annotated[float, Field(ge=0)] = 1.0  # the weight
    late_worth: Annotated[float, Field(ge=0)] = 0.0  # part of a start's weight after the latency objective
    group: Literal["all", "zone", "cell"] = "all"  # the machines that share one deduplication scope
    window: Milliseconds = 0.0  # the deduplication window
    start_worth: Milliseconds = 0.0  # the service time that has the same worth as a start in time
    spread: Literal["off", "machine", "cell", "zone"] = "off"
    most: Annotated[int, Field(ge=0)] = 0  # tasks of a service in one domain of spread
    kind: Name | None = None  # of machine; None: any
    priority: Annotated[int, Field(ge=0, le=3)] = 0
    calm: Annotated[float, Field(gt=0, le=4)] = 1.0  # the saturation threshold
    fade: Annotated[float, Field(ge=0, le=4)] = 1.0  # the degradation range

    @model_validator(mode="after")
    def _check_combinations(self) -> TaskClassSection:
        if self.spread != "off" and self.most < 1:
            raise ValueError(f"spread is {self.spread} and most is {self.most}; expected most of 1 or more")
        if self.effect == "keyed" and self.window <= 0:
            raise ValueError(
                "effect is keyed without a window; expected the time for which machines remember a key"
            )
        if self.deadline <= 0 or self.aim > self.deadline:
            raise ValueError(
                f"aim is {self.aim:g}ms, deadline {self.deadline:g}ms; expected 0 < aim <= deadline"
            )
        return self


class MachineKindSection(StrictModel):
    """A kind of machine, and the cores and memory that each machine of it has."""

    name: Name
    cores: Annotated[float, Field(gt=0)]
    memory: Megabytes


class OvercommitSection(StrictModel):
    """The multiples of its cores and memory up to which a machine accepts requests."""

    cores: Annotated[float, Field(gt=0)] = 1.0
    memory: Annotated[float, Field(gt=0)] = 1.0


class ReportsSection(StrictModel):
    """What load reports and the machine list contain, and when load reports are sent."""

    counts: Literal["used", "asked"] = "asked"  # what reported free capacity leaves out: usage, or requests
    come: Literal["with-answers", "on-probe"] = "with-answers"
    probes: Literal["yes", "no"] = "no"  # whether probes are allowed
    list_tells_room: Literal["yes", "no"] = "yes"  # whether entries of the machine list carry free capacity
    pressure: Literal["yes", "no"] = "no"  # whether the service level and machine memory are observed


class WarmUpSection(StrictModel):
    """Slow start of machines."""

    warm: Milliseconds = 0.0  # the time from its start until a machine is warm
    window: Milliseconds = 0.0  # over which `offers` are counted
    offers: Annotated[float, Field(ge=0)] = 0.0  # to a machine that is warming up, of all allocators


class HeartbeatSection(StrictModel):
    """Heartbeats of agents, and how long an agent may be disconnected."""

    every: Annotated[Milliseconds, Field(ge=10)] = 15_000.0
    missed: Annotated[int, Field(ge=1, le=100)] = 3  # heartbeats, after which the agent's session is closed
    agents_return: Milliseconds = 10_000.0  # absence after which an agent's tasks are unreachable


class LimitSection(StrictModel):
    """Bounds on what peers can accumulate."""

    connections: Count = 10_000
    body: Megabytes = 1.0  # of one request
    unsent: Megabytes = 1.0  # queued for one connection
    request: Annotated[Milliseconds, Field(ge=1)] = 10_000.0  # from a request's first byte to its last
    idle: Annotated[Milliseconds, Field(ge=1)] = 60_000.0  # between two requests of a connection
    open_tasks: Count = 100_000
    open_each: Count = 20_000  # of one framework
    placed: Count = 500_000
    unacknowledged: Count = 20_000  # updates of one framework, beyond which its new tasks are rejected
    frameworks: Count = 20_000
    agents: Count = 20_000
    remembered: Count = 50_000  # closed calls


class RestSection(StrictModel):
    """Bounds of the REST interface; rates are per second."""

    requests: Annotated[float, Field(gt=0)] = 500.0  # rate of one connection
    tenant_rate: Annotated[float, Field(gt=0)] = 1_000.0  # tasks that one tenant creates
    tenant_burst: Annotated[float, Field(gt=0)] = 5_000.0
    waiting: Count = 50_000  # tasks
    waiting_each: Count = 10_000  # of one tenant
    jobs: Count = 20_000
    jobs_kept: Milliseconds = 600_000.0  # from the end of a job until it is forgotten
    first_round: Annotated[Milliseconds, Field(ge=1)] = 1_000.0  # from a task's creation to its first round
    keys: Count = 50_000  # idempotency keys
    events: Count = 20_000  # stored of each kind of resource, so that watches can resume
    ended: Count = 10_000  # tasks of frameworks that are shown after their end
    watches: Count = 5_000
    watches_each: Count = 1_000  # of one tenant
    watch_lines: Count = 20_000  # by which a watcher may lag
    watch_stall: Annotated[Milliseconds, Field(ge=1)] = 5_000.0  # for which a watcher may read nothing


class EndpointSnapshotSection(StrictModel):
    """The endpoint snapshot, which keeps the machine list over a restart; off unless it is configured."""

    file: Annotated[str, Field(min_length=1, max_length=4_096)]
    age: Annotated[Milliseconds, Field(ge=1)] = 600_000.0  # of a snapshot; an older one is not used


class LogSection(StrictModel):
    """Form and lowest level of log lines."""

    form: Literal["console", "json"] = "console"
    level: Literal["debug", "info", "warning", "error"] = "info"


class AllocatorConfig(StrictModel):
    """The configuration of one allocator."""

    allocator: AllocatorSection
    owners: Address  # serves frameworks
    agents: Address  # serves agents
    metrics: Address | None = None
    rest_listen: Address | None = None
    directory: Address  # of the server of the machine list
    classes: Annotated[tuple[TaskClassSection, ...], Field(min_length=1)]
    kinds: Annotated[tuple[MachineKindSection, ...], Field(min_length=1)]
    default_class: Name | None = None
    pool: Name = "pool"
    attempts: Annotated[int, Field(ge=1, le=100)] = 4  # of one call
    drain: Milliseconds = 2_000.0  # from learning that a machine drains to the last attempt sent there
    answer_margin: Milliseconds = 50.0  # of a task's remaining time, for its answer to arrive
    shutdown: Milliseconds = 10_000.0  # for open calls to be answered in a graceful shutdown
    grace: Milliseconds = 2_000.0  # after the start, for agents to report the tasks that they run
    probe_timeout: Milliseconds = 1_000.0
    accept: OvercommitSection = OvercommitSection()
    reports: ReportsSection = ReportsSection()
    cold: WarmUpSection = WarmUpSection()
    heartbeat: HeartbeatSection = HeartbeatSection()
    limit: LimitSection = LimitSection()
    rest: RestSection = RestSection()
    log: LogSection = LogSection()
    keep_list: EndpointSnapshotSection | None = None

    @model_validator(mode="after")
    def _check_names(self) -> AllocatorConfig:
        kinds, classes = [kind.name for kind in self.kinds], [section.name for section in self.classes]
        for keyword, names in (("kind", kinds), ("class", classes)):
            duplicates = {name for name in names if names.count(name) > 1}
            if duplicates:
                raise ValueError(f"{keyword} {min(duplicates)} is defined twice; expected each name once")
        for task_class in self.classes:
            if task_class.kind is not None and task_class.kind not in kinds:
                raise ValueError(
                    f"class {task_class.name}: kind is {task_class.kind}; expected one of {', '.join(kinds)}"
                )
        if self.default_class is not None and self.default_class not in classes:
            raise ValueError(f"default-class is {self.default_class}; expected one of {', '.join(classes)}")
        return self

    def settings(self) -> api.Settings:
        """The settings of the scheduling policy."""
        return api.Settings(
            allocator_index=self.allocator.number,
            allocator_count=self.allocator.of,
            zone=self.allocator.zone,
            classes=tuple(
                api.TaskClass(
                    section.name,
                    api.Idempotency(section.effect),
                    section.aim,
                    section.deadline,
                    section.worth,
                    section.late_worth,
                    section.group,
                    section.window,
                    section.start_worth / 1000.0,
                    section.spread,
                    section.most,
                    section.kind,
                    section.priority,
                    section.calm,
                    section.fade,
                )
                for section in self.classes
            ),
            machine_sizes={kind.name: api.MachineSize(kind.cores, kind.memory) for kind in self.kinds},
            cores_overcommit=self.accept.cores,
            memory_overcommit=self.accept.memory,
            list_has_free_capacity=self.reports.list_tells_room == "yes",
            watch_on_request=True,
            reports_count_usage=self.reports.counts == "used",
            reports_on_probe=self.reports.come == "on-probe",
            probes_allowed=self.reports.probes == "yes",
            reports_pressure=self.reports.pressure == "yes",
            acceptance_means_running=False,
            max_attempts=self.attempts,
            drain_grace_ms=self.drain,
            warm_up_ms=self.cold.warm,
            warm_up_window_ms=self.cold.window,
            warm_up_offers=self.cold.offers,
        )
