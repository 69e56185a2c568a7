"""Translates the platform's settings object and load reports into the types of the interface.

The simulator's wire and the platform's sockets share these formats and both read them here. The only values
that this module adds are defaults of optional settings.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final, TypeVar

from glencleat import interface as api

T = TypeVar("T")

PHASES: Final = {
    "SERVING": api.MachinePhase.SERVING,
    "DRAINING": api.MachinePhase.DRAINING,
    "DELETED": api.MachinePhase.REMOVED,
}
IDEMPOTENCY_BY_EFFECT: Final = {
    "pure": api.Idempotency.IDEMPOTENT,
    "token": api.Idempotency.IDEMPOTENCY_KEY,
    "side_effect": api.Idempotency.NON_IDEMPOTENT,
}
ANY_KIND: Final = -1  # instead of a machine kind's index


def read_settings(raw: Mapping[str, Any]) -> api.Settings:
    """Reads the settings of an allocator from the platform's object.

    Raises:
        KeyError: a required setting is missing, or a class's effect is unknown.
    """
    domain = raw["domain"]
    limits = raw["limits"]
    rules = raw["rules"]
    prices = raw.get("prices", {})
    kinds = raw.get("kinds", [])
    return api.Settings(
        allocator_index=raw.get("position", 0),
        allocator_count=raw["peers-total"],
        zone=raw.get("az", ""),
        classes=tuple(_read_task_class(raw, index) for index in range(len(raw["classes"]))),
        machine_sizes=_read_machine_sizes(domain, kinds),
        cores_overcommit=domain.get("cpu-booking", 1.0),
        memory_overcommit=domain.get("accepts-memory", 1.0),
        list_has_free_capacity=domain.get("view", False),
        watch_on_request=raw.get("discovery") == "ask",
        reports_count_usage=domain.get("report-counts") == "used",
        reports_on_probe=raw.get("feedback", {}).get("how") == "on_probe",
        probes_allowed=limits.get("probes", False),
        reports_pressure=domain.get("tells-pressure", False),
        acceptance_means_running=domain.get("says-yes") == "running",
        max_attempts=limits["max-attempts"],
        max_retry_after_ms=limits.get("max-retry-after-ms", 0.0) if limits.get("retry-after") else 0.0,
        drain_grace_ms=rules["stop-sending-within-ms"],
        warm_up_ms=rules["warm-within-ms"],
        warm_up_window_ms=rules["overload-for-ms"],
        warm_up_offers=domain.get("fresh-offers", 0.0),
        settle_ms=domain.get("settle-ms", 0.0),
        tick_ms=raw.get("resolution-ms", 1.0),
        machine_price=prices.get("fleet", 0.0),
        cross_zone_price=prices.get("cross-zone", 0.0),
        over_quota_weight=raw.get("over-share-worth", 1.0),
        tenant_quota_cores=_read_tenant_quotas(raw, domain),
    )


def _read_task_class(raw: Mapping[str, Any], index: int) -> api.TaskClass:
    """Reads one class; some of its settings are arrays in the domain, with one value for each class."""
    item = raw["classes"][index]

    def from_column(key: str, default: T) -> T:
        values: list[T] = raw["domain"].get(key) or []
        return values[index] if index < len(values) else default

    kind = from_column("needs-kind", ANY_KIND)
    return api.TaskClass(
        name=item["name"],
        idempotency=IDEMPOTENCY_BY_EFFECT[item["effect"]],
        latency_objective_ms=item["goal-time-ms"],
        deadline_ms=item["deadline-ms"],
        weight=item.get("worth", 1.0),
        late_start_weight=item.get("late-worth", 0.0),
        deduplication_scope=item.get("group") or "all",
        deduplication_window_ms=item.get("memory-span-ms", 0.0),
        start_weight_s=from_column("start-seconds", 0.0),
        spread_by=from_column("spread-by", "off"),
        max_per_domain=from_column("class-most", 0),
        machine_kind=raw.get("kinds", [])[kind] if kind >= 0 else None,
        priority=from_column("precedence", 0),
        saturation_threshold=from_column("calm-level", 1.0),
        degradation_range=from_column("class-fade", 1.0),
    )


def _read_machine_sizes(domain: Mapping[str, Any], kinds: list[str]) -> dict[str, api.MachineSize]:
    """Reads sizes by machine kind; a kind without a size is left out."""
    rows = zip(kinds, domain["cores-by-kind"], domain["kind-memory"], strict=False)
    return {kind: api.MachineSize(cores, memory) for kind, cores, memory in rows}


def _read_tenant_quotas(raw: Mapping[str, Any], domain: Mapping[str, Any]) -> dict[str, float] | None:
    """Reads quotas of cores by tenant; None if there are none."""
    quotas = domain.get("tenant-quota-cores") or []
    tenants = [item["name"] for item in raw.get("customers", [])]
    return dict(zip(tenants, quotas, strict=False)) if tenants and quotas else None


def read_report(raw: Mapping[str, float] | None) -> api.LoadReport | None:
    """Reads a load report; None if it is missing or empty. Unknown fields are ignored."""
    if not raw:
        return None
    return api.LoadReport(
        free_cores=raw.get("x0"),
        free_memory=raw.get("x1"),
        busy_share=raw.get("busy"),
        queue_length=raw.get("q"),
    )
