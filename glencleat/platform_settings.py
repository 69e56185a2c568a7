"""The simulator's settings object, and what else the wire and the sockets name alike, in the module's types.

Imports the interface only. The bench adapter and the live path read settings here; no value is of its own."""

from __future__ import annotations

from typing import Any

from glencleat import interface as api

PHASES = {
    "SERVING": api.MachinePhase.SERVING,
    "DRAINING": api.MachinePhase.DRAINING,
    "DELETED": api.MachinePhase.REMOVED,
}
EFFECTS = {
    "pure": api.Idempotency.IDEMPOTENT,
    "token": api.Idempotency.IDEMPOTENCY_KEY,
    "side_effect": api.Idempotency.NON_IDEMPOTENT,
}


def read_settings(raw: dict[str, Any]) -> api.Settings:
    domain, limits, rules = raw["domain"], raw["limits"], raw["rules"]
    prices, feedback = raw.get("prices", {}), raw.get("feedback", {})
    kinds = raw.get("kinds", [])

    def per_class(key: str, index: int, default: Any) -> Any:
        values = domain.get(key) or []
        return values[index] if index < len(values) else default

    classes = []
    for i, item in enumerate(raw["classes"]):
        kind = per_class("needs-kind", i, -1)
        classes.append(
            api.TaskClass(
                name=item["name"],
                idempotency=EFFECTS[item["effect"]],
                latency_objective_ms=item["goal-time-ms"],
                deadline_ms=item["deadline-ms"],
                weight=item.get("worth", 1.0),
                late_start_weight=item.get("late-worth", 0.0),
                deduplication_scope=item.get("group") or "all",
                deduplication_window_ms=item.get("memory-span-ms", 0.0),
                start_weight_s=per_class("start-seconds", i, 0.0),
                spread_by=per_class("spread-by", i, "off"),
                max_per_domain=per_class("class-most", i, 0),
                machine_kind=kinds[kind] if kind >= 0 else None,
                priority=per_class("precedence", i, 0),
                saturation_threshold=per_class("calm-level", i, 1.0),
                degradation_range=per_class("class-fade", i, 1.0),
            )
        )
    quotas = domain.get("tenant-quota-cores") or []
    tenants = [item["name"] for item in raw.get("customers", [])]
    return api.Settings(
        allocator_index=raw.get("position", 0),
        allocator_count=raw["peers-total"],
        zone=raw.get("az", ""),
        classes=tuple(classes),
        machine_sizes={
            name: api.MachineSize(cores, memory)
            for name, cores, memory in zip(
                kinds, domain["cores-by-kind"], domain["kind-memory"], strict=False
            )
        },
        cores_overcommit=domain.get("cpu-booking", 1.0),
        memory_overcommit=domain.get("accepts-memory", 1.0),
        list_has_free_capacity=domain.get("view", False),
        watch_on_request=raw.get("discovery") == "ask",
        reports_count_usage=domain.get("report-counts") == "used",
        reports_on_probe=feedback.get("how") == "on_probe",
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
        tenant_quota_cores=dict(zip(tenants, quotas, strict=False)) if tenants and quotas else None,
    )


def read_report(raw: dict[str, float] | None) -> api.LoadReport | None:
    if not raw:
        return None
    return api.LoadReport(raw.get("x0"), raw.get("x1"), raw.get("busy"), raw.get("q"))
