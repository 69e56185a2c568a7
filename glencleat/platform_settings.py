"""The simulator's settings object, and what else the wire and the sockets name alike, in the module's types.

Imports the interface only. The bench adapter and the live path read settings here; no value is of its own."""

from __future__ import annotations

from typing import Any

from glencleat import interface as api

PHASES = {"SERVING": api.Phase.SERVING, "DRAINING": api.Phase.DRAINING, "DELETED": api.Phase.GONE}
EFFECTS = {"pure": api.Effect.SAFE, "token": api.Effect.KEYED, "side_effect": api.Effect.UNSAFE}


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
                effect=EFFECTS[item["effect"]],
                aim_ms=item["goal-time-ms"],
                deadline_ms=item["deadline-ms"],
                worth=item.get("worth", 1.0),
                late_worth=item.get("late-worth", 0.0),
                group=item.get("group") or "all",
                window_ms=item.get("memory-span-ms", 0.0),
                start_s=per_class("start-seconds", i, 0.0),
                spread=per_class("spread-by", i, "off"),
                most=per_class("class-most", i, 0),
                kind=kinds[kind] if kind >= 0 else None,
                priority=per_class("precedence", i, 0),
                calm=per_class("calm-level", i, 1.0),
                fade=per_class("class-fade", i, 1.0),
            )
        )
    quotas = domain.get("tenant-quota-cores") or []
    tenants = [item["name"] for item in raw.get("customers", [])]
    return api.Settings(
        me=raw.get("position", 0),
        peers=raw["peers-total"],
        zone=raw.get("az", ""),
        classes=tuple(classes),
        kinds={
            name: api.Size(cores, memory)
            for name, cores, memory in zip(
                kinds, domain["cores-by-kind"], domain["kind-memory"], strict=False
            )
        },
        accept_cores=domain.get("cpu-booking", 1.0),
        accept_memory=domain.get("accepts-memory", 1.0),
        view=domain.get("view", False),
        must_ask=raw.get("discovery") == "ask",
        reports_used=domain.get("report-counts") == "used",
        reports_on_probe=feedback.get("how") == "on_probe",
        probes=limits.get("probes", False),
        notes_pressure=domain.get("tells-pressure", False),
        yes_means_runs=domain.get("says-yes") == "running",
        max_attempts=limits["max-attempts"],
        max_retry_after_ms=limits.get("max-retry-after-ms", 0.0) if limits.get("retry-after") else 0.0,
        drain_ms=rules["stop-sending-within-ms"],
        cold_ms=rules["warm-within-ms"],
        cold_window_ms=rules["overload-for-ms"],
        cold_offers=domain.get("fresh-offers", 0.0),
        settle_ms=domain.get("settle-ms", 0.0),
        tick_ms=raw.get("resolution-ms", 1.0),
        fleet_price=prices.get("fleet", 0.0),
        cross_zone_price=prices.get("cross-zone", 0.0),
        over_share_worth=raw.get("over-share-worth", 1.0),
        tenant_cores=dict(zip(tenants, quotas, strict=False)) if tenants and quotas else None,
    )


def read_report(raw: dict[str, float] | None) -> api.Report | None:
    if not raw:
        return None
    return api.Report(raw.get("x0"), raw.get("x1"), raw.get("busy"), raw.get("q"))
