"""Translates the platform's settings object to `GatewaySettings`; only this module knows the platform's keys.

The simulator and the limiter process both use it, so that they cannot interpret the same object differently.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import MISSING, fields
from typing import Any, TypeVar

from thymeflow.decision.settings import (
    DiscoveryMode,
    GatewaySettings,
    Idempotency,
    IdempotencyScope,
    Information,
    InvalidSettingError,
    Limits,
    LoadReportMode,
    Plan,
    Prices,
    RequestClass,
    Rules,
)

JsonObject = dict[str, Any]
SectionT = TypeVar("SectionT")

IDEMPOTENCY = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.WITH_KEY,
    "fragile": Idempotency.NOT_IDEMPOTENT,
}
IDEMPOTENCY_SCOPES = {
    "all": IdempotencyScope.ALL,
    "zone": IdempotencyScope.ZONE,
    "cell": IdempotencyScope.CELL,
}
DISCOVERY_MODES = {"pushed": DiscoveryMode.PUSH, "on_request": DiscoveryMode.POLL}
LOAD_REPORT_MODES = {
    "inline": LoadReportMode.RESPONSES,
    "on_probe": LoadReportMode.HEALTH_CHECKS,
    "off": LoadReportMode.NONE,
}

# The fields of each section, and the platform's keys for them.
CLASS_KEYS = {
    "name": "name",
    "latency_objective": "on-time",
    "deadline": "deadline",
    "priority_weight": "credit",
    "late_weight": "late-share",
    "idempotency_window": "window",
    "is_streamed": "stream",
    "latency_objective_stretch": "aim-stretch",
}
PLAN_KEYS = {
    "name": "name",
    "rate": "refill",
    "burst": "most-at-once",
    "max_concurrency": "parallel",
    "price": "pays",
    "over_quota_weight": "over-worth",
    "over_quota_cost": "over-cost",
    "ceiling_rate": "never-over-rate",
    "ceiling_burst": "never-over-depth",
    "ceiling_slack": "cap-slack",
}
RULE_KEYS = {
    "drain_grace": "drain-grace",
    "overload_multiple": "fall-multiple",
    "overload_seconds": "fall",
    "slow_start_fraction": "cold-share",
    "slow_start_seconds": "cold",
    "response_grace": "grace-to-answer",
    "max_poll_interval": "must-ask-in",
}
LIMIT_KEYS = {
    "cancel": "cancel",
    "health_checks": "probes",
    "gossip": "may-tell",
    "hedged_requests": "second-copies",
    "retry_after": "retry-after",
    "max_retry_after": "max-retry-after",
    "max_attempts": "max-attempts",
    "max_concurrent_requests": "open-cap",
    "connect_timeout": "dial-timeout",
    "connection_idle": "conn-idle",
    "streams_per_connection": "multiplex",
}
PRICE_KEYS = {
    "cross_zone": "cross-zone",
    "waste": "waste",
    "late_fail": "late-fail",
    "gossip": "peer",
    "health_check": "probe",
    "counter": "counter-price",
}
INFORMATION_KEYS = {
    "counter": "may-count",
    "counter_timeout": "counter-timeout",
    "meter_period": "meter",
    "max_units": "most-units",
    "max_gossip_per_second": "peer-intake",
    "settles_units": "trued-up",
}


def _build_section(
    section_type: type[SectionT], path: str, source: JsonObject, keys: Mapping[str, str], **extra_fields: object
) -> SectionT:
    """Build one section of the settings.

    :raises ValueError: if a value is invalid or a required key is missing; the text names the key.
    """
    try:
        values = {field: source[key] for field, key in keys.items() if key in source}
        return section_type(**values, **extra_fields)
    except InvalidSettingError as fault:
        message = f"settings.{path}.{keys.get(fault.name, fault.name)}: {fault.value!r} makes no sense"
        raise ValueError(message) from None
    except TypeError as fault:
        required = [field.name for field in fields(section_type) if field.default is MISSING]  # type: ignore[arg-type]  # a dataclass
        missing = [keys[name] for name in required if keys[name] not in source]
        message = f"settings.{path}: {f'{missing[0]} is missing' if missing else fault}"
        raise ValueError(message) from None


def _parse_request_class(number: int, source: JsonObject) -> RequestClass:
    return _build_section(
        RequestClass,
        f"classes[{number}]",
        source,
        CLASS_KEYS,
        idempotency=IDEMPOTENCY.get(source.get("effect", ""), Idempotency.NOT_IDEMPOTENT),
        idempotency_scope=IDEMPOTENCY_SCOPES.get(source.get("key-scope", "all"), IdempotencyScope.CELL),
    )


def _parse_plan(number: int, source: JsonObject) -> Plan:
    return _build_section(Plan, f"tiers-of-service[{number}]", source, PLAN_KEYS)


def parse_platform_settings(source: JsonObject) -> GatewaySettings:
    """Translate the settings object; absent keys get the defaults of `GatewaySettings`.

    :raises ValueError: if a value is invalid or a required key is missing; the text names the key.
    """
    classes = tuple(_parse_request_class(number, item) for number, item in enumerate(source.get("classes", [])))
    plans = tuple(_parse_plan(number, item) for number, item in enumerate(source.get("tiers-of-service", [])))
    rules = _build_section(Rules, "rules", source.get("rules", {}), RULE_KEYS)
    limits = _build_section(Limits, "caps", source.get("caps", {}), LIMIT_KEYS)
    family = source.get("family-info", {})
    costs = {**source.get("costs", {}), "counter-price": family.get("counter-price", 0.0)}
    prices = _build_section(Prices, "costs", costs, PRICE_KEYS)
    information = _build_section(Information, "family-info", family, INFORMATION_KEYS)
    report = source.get("report", {})
    return GatewaySettings(
        index=source.get("index", 0),
        limiter_count=source.get("balancers", 1),
        zone=source.get("zone", ""),
        zones=tuple(source.get("azs", ())),
        classes=classes,
        plans=plans,
        rules=rules,
        limits=limits,
        prices=prices,
        information=information,
        discovery=DISCOVERY_MODES.get(source.get("discovery", "pushed"), DiscoveryMode.PUSH),
        load_report_mode=LOAD_REPORT_MODES.get(report.get("how", "off"), LoadReportMode.NONE),
        load_report_fields=tuple(report.get("fields", ())),
        timer_resolution=source.get("step", 0.001),
    )
