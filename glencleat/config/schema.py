"""What a configuration may say: one typed record for each kind of line (pydantic).

Times are written 250ms, 8s, 5m; memory 512MB, 48GB (kept as MB); addresses HOST:PORT with a loopback HOST and
port 0 for any. A unit is never left out."""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated, Any, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, model_validator

from glencleat import interface as api

MS_BY_UNIT = {"ms": 1.0, "s": 1_000.0, "m": 60_000.0, "h": 3_600_000.0}
MB_BY_UNIT = {"MB": 1.0, "GB": 1_024.0, "TB": 1_048_576.0}


def parse_unit(value: Any, units: dict[str, float], example: str) -> Any:
    if not isinstance(value, str):
        return value
    match = re.fullmatch(r"([0-9]+(?:\.[0-9]+)?)([A-Za-z]+)", value)
    if match is None or match[2] not in units:
        raise ValueError(f"is {value!r}; expected a number with one of {', '.join(units)}, as in {example}")
    return float(match[1]) * units[match[2]]


def _address(value: Any) -> Any:
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
Address = Annotated[tuple[str, int], BeforeValidator(_address)]
Name = Annotated[str, Field(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9_-]*$")]
Count = Annotated[int, Field(ge=1, le=10_000_000)]


class StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class AllocatorSection(StrictModel):
    name: Name
    number: Annotated[int, Field(ge=0)]
    of: Annotated[int, Field(ge=1, le=100_000)]
    zone: Name
    seed: Annotated[int, Field(ge=0)] = 1

    @model_validator(mode="after")
    def _counted(self) -> AllocatorSection:
        if self.number >= self.of:
            raise ValueError(f"number is {self.number} of {self.of}; expected 0 to {self.of - 1}")
        return self


class TaskClassSection(StrictModel):
    name: Name
    effect: Literal["safe", "keyed", "unsafe"]
    aim: Milliseconds
    deadline: Milliseconds
    worth: Annotated[float, Field(ge=0)] = 1.0
    late_worth: Annotated[float, Field(ge=0)] = 0.0
    group: Literal["all", "zone", "cell"] = "all"
    window: Milliseconds = 0.0
    start_worth: Milliseconds = 0.0  # a start in time is worth so much service
    spread: Literal["off", "machine", "cell", "zone"] = "off"
    most: Annotated[int, Field(ge=0)] = 0
    kind: Name | None = None
    priority: Annotated[int, Field(ge=0, le=3)] = 0
    calm: Annotated[float, Field(gt=0, le=4)] = 1.0
    fade: Annotated[float, Field(ge=0, le=4)] = 1.0

    @model_validator(mode="after")
    def _whole(self) -> TaskClassSection:
        if self.spread != "off" and self.most < 1:
            raise ValueError(f"spread is {self.spread} and most {self.most}; expected most of 1 or more")
        if self.effect == "keyed" and self.window <= 0:
            raise ValueError("effect is keyed without a window; expected how long machines remember a key")
        if self.deadline <= 0 or self.aim > self.deadline:
            raise ValueError(
                f"aim is {self.aim:g}ms, deadline {self.deadline:g}ms; expected 0 < aim <= deadline"
            )
        return self


class MachineKindSection(StrictModel):
    name: Name
    cores: Annotated[float, Field(gt=0)]
    memory: Megabytes


class OvercommitSection(StrictModel):
    cores: Annotated[float, Field(gt=0)] = 1.0
    memory: Annotated[float, Field(gt=0)] = 1.0


class ReportsSection(StrictModel):
    counts: Literal["used", "asked"] = "asked"
    come: Literal["with-answers", "on-probe"] = "with-answers"
    probes: Literal["yes", "no"] = "no"
    list_tells_room: Literal["yes", "no"] = "yes"
    pressure: Literal["yes", "no"] = "no"


class WarmUpSection(StrictModel):
    warm: Milliseconds = 0.0
    window: Milliseconds = 0.0
    offers: Annotated[float, Field(ge=0)] = 0.0


class HeartbeatSection(StrictModel):
    every: Annotated[Milliseconds, Field(ge=10)] = 15_000.0
    missed: Annotated[int, Field(ge=1, le=100)] = 3
    agents_return: Milliseconds = 10_000.0


class LimitSection(StrictModel):
    connections: Count = 10_000
    body: Megabytes = 1.0
    unsent: Megabytes = 1.0
    request: Annotated[Milliseconds, Field(ge=1)] = 10_000.0
    idle: Annotated[Milliseconds, Field(ge=1)] = 60_000.0
    open_tasks: Count = 100_000
    open_each: Count = 20_000
    placed: Count = 500_000
    unacknowledged: Count = 20_000
    frameworks: Count = 20_000
    agents: Count = 20_000
    remembered: Count = 50_000


class RestSection(StrictModel):
    """Bounds of the REST front; rates are a second."""

    requests: Annotated[float, Field(gt=0)] = 500.0  # of one connection
    tenant_rate: Annotated[float, Field(gt=0)] = 1_000.0  # tasks created
    tenant_burst: Annotated[float, Field(gt=0)] = 5_000.0
    waiting: Count = 50_000  # tasks
    waiting_each: Count = 10_000  # of one tenant
    jobs: Count = 20_000
    jobs_kept: Milliseconds = 600_000.0  # after their end
    first_round: Annotated[Milliseconds, Field(ge=1)] = 1_000.0  # a new task must get its first round by then
    keys: Count = 50_000  # idempotency keys
    events: Count = 20_000  # of each kind, to resume watches
    ended: Count = 10_000  # tasks of frameworks shown after their end
    watches: Count = 5_000
    watches_each: Count = 1_000  # of one tenant
    watch_lines: Count = 20_000  # that a watcher may be behind
    watch_stall: Annotated[Milliseconds, Field(ge=1)] = 5_000.0


class EndpointSnapshotSection(StrictModel):
    """The machine list over a restart; off unless there is such a line."""

    file: Annotated[str, Field(min_length=1, max_length=4_096)]
    age: Annotated[Milliseconds, Field(ge=1)] = 600_000.0  # older ones are not used


class LogSection(StrictModel):
    form: Literal["console", "json"] = "console"
    level: Literal["debug", "info", "warning", "error"] = "info"


class AllocatorConfig(StrictModel):
    allocator: AllocatorSection
    owners: Address
    agents: Address
    metrics: Address | None = None
    rest_listen: Address | None = None
    directory: Address
    classes: Annotated[tuple[TaskClassSection, ...], Field(min_length=1)]
    kinds: Annotated[tuple[MachineKindSection, ...], Field(min_length=1)]
    default_class: Name | None = None
    pool: Name = "pool"
    attempts: Annotated[int, Field(ge=1, le=100)] = 4
    drain: Milliseconds = 2_000.0
    answer_margin: Milliseconds = 50.0
    shutdown: Milliseconds = 10_000.0
    grace: Milliseconds = 2_000.0  # after the start, for agents to tell what they hold
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
    def _joined(self) -> AllocatorConfig:
        kinds, classes = [k.name for k in self.kinds], [c.name for c in self.classes]
        for name, all_names in (("kind", kinds), ("class", classes)):
            twice = {n for n in all_names if all_names.count(n) > 1}
            if twice:
                raise ValueError(f"{name} {min(twice)} is there twice; expected each name once")
        for item in self.classes:
            if item.kind is not None and item.kind not in kinds:
                raise ValueError(
                    f"class {item.name}: kind is {item.kind}; expected one of {', '.join(kinds)}"
                )
        if self.default_class is not None and self.default_class not in classes:
            raise ValueError(f"default-class is {self.default_class}; expected one of {', '.join(classes)}")
        return self

    def settings(self) -> api.Settings:
        """The module's settings."""
        return api.Settings(
            allocator_index=self.allocator.number,
            allocator_count=self.allocator.of,
            zone=self.allocator.zone,
            classes=tuple(
                api.TaskClass(
                    c.name,
                    api.Idempotency(c.effect),
                    c.aim,
                    c.deadline,
                    c.worth,
                    c.late_worth,
                    c.group,
                    c.window,
                    c.start_worth / 1000.0,
                    c.spread,
                    c.most,
                    c.kind,
                    c.priority,
                    c.calm,
                    c.fade,
                )
                for c in self.classes
            ),
            machine_sizes={k.name: api.MachineSize(k.cores, k.memory) for k in self.kinds},
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
