"""What both hosts of the decision module, adapter and node, read alike: settings and load reports."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any, TypeVar

from loadbalancer.service_settings import DeduplicationScope, Effect, ServiceClass, Settings, Tenant

JsonObject = dict[str, Any]
T = TypeVar("T")
U = TypeVar("U")

EFFECTS = {"free": Effect.IDEMPOTENT, "guarded": Effect.IDEMPOTENCY_KEY, "single_shot": Effect.NON_IDEMPOTENT}
SCOPES = {scope.value: scope for scope in DeduplicationScope}
KINDS: dict[type, str] = {dict: "an object", str: "a text"}
LOAD_REPORT_NAMES = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}


def section(row: JsonObject, key: str) -> JsonObject:
    """The object under this key; empty where there is none."""
    value = row.get(key)
    if not isinstance(value, dict | None):
        raise ValueError(f"{key}: {value!r} is not an object")
    return value or {}


def list_of(row: JsonObject, key: str, kind: type[T]) -> list[T]:
    """The list under this key, of items of this type; empty where there is none."""
    value = row.get(key)
    if not isinstance(value, list | None):
        raise ValueError(f"{key}: {value!r} is not a list")
    for item in value or ():
        if not isinstance(item, kind):
            raise ValueError(f"{key}: {item!r} in the list is not {KINDS[kind]}")
    return value or []


def text_of(row: JsonObject, key: str, of: str = "") -> str:
    """The text under this key, which has to be there."""
    value = row.get(key)
    if value is None:
        raise ValueError(f"{of}{key}: missing")
    if not isinstance(value, str) or not value:
        raise ValueError(f"{of}{key}: {value!r} is not a text")
    return value


def choice_of(row: JsonObject, key: str, names: Mapping[str, U], of: str = "") -> U:
    """What the word under this key stands for."""
    value = row.get(key)
    if not isinstance(value, str) or value not in names:
        raise ValueError(f"{of}{key}: {value!r} is not one of {', '.join(names)}")
    return names[value]


def _given(row: JsonObject) -> JsonObject:
    """Without what is null, which stands for what is absent: defaults hold for it."""
    return {key: value for key, value in row.items() if value is not None}


def parse_settings(config: JsonObject) -> Settings:
    """The settings of a node from its first message; keys that are not known are ignored."""
    bounds, rules = section(config, "bounds"), section(config, "invariants")
    fields = list_of(section(config, "feedback"), "fields", str)
    modes = {"registryMode": "push", "valueBy": "request"} | _given(config)
    given: JsonObject = {
        "zone": config.get("locality"),
        "tier": config.get("tier"),
        "siblings": config.get("siblings"),
        "poll_discovery": choice_of(modes, "registryMode", {"push": False, "ask": True}),
        "weight_by_work": choice_of(modes, "valueBy", {"request": False, "work": True}),
        "over_quota_weight": config.get("overShareWorth"),
        "load_report_fields": tuple(LOAD_REPORT_NAMES.get(name, name) for name in fields),
        "may_cancel": bounds.get("cancel"),
        "retry_after": bounds.get("retryAfter"),
        "max_retry_after_ms": bounds.get("maxRetryAfterMs"),
        "max_attempts": bounds.get("maxAttempts"),
        "cross_zone_price": section(config, "prices").get("crossZone"),
        "slow_start_from": rules.get("coldFrom"),
        "slow_start_ms": rules.get("coldMs"),
        "overload_factor": rules.get("overloadFactor"),
    }
    return Settings(
        classes=tuple(_service_class(row) for row in list_of(config, "categories", dict)),
        tenants=tuple(
            Tenant(text_of(row, "name", "accounts."), row["quotaPerS"])
            for row in list_of(config, "accounts", dict)
            if row.get("quotaPerS") is not None
        ),
        **_given(given),
    )


def _service_class(row: JsonObject) -> ServiceClass:
    for key in ("aimMs", "giveUpMs"):
        if row.get(key) is None:
            raise ValueError(f"categories.{key}: missing")
    given: JsonObject = {
        "priority_weight": row.get("credit"),
        "late_weight": row.get("lateWorth"),
        "latency_objective_stretch": row.get("aimStretch"),
        "deduplication_window_ms": row.get("memorySpanMs"),
        "stream": row.get("stream"),
    }
    return ServiceClass(
        name=text_of(row, "name", "categories."),
        latency_objective_ms=row["aimMs"],
        client_timeout_ms=row["giveUpMs"],
        effect=choice_of(row, "effect", EFFECTS, "categories."),
        deduplication_scope=choice_of({"keyScope": "all"} | _given(row), "keyScope", SCOPES, "categories."),
        **_given(given),
    )


def parse_load_report(text: str, fields: tuple[str, ...]) -> dict[str, float] | None:
    """A report's text form, `TEXT name=value, name=value`, cut down to the fields that the settings name."""
    report: dict[str, float] = {}
    for pair in text.removeprefix("TEXT").split(","):
        name, _, figure = pair.strip().partition("=")
        name = LOAD_REPORT_NAMES.get(name, name)
        try:
            value = float(figure)
        except ValueError:
            continue
        if name in fields and math.isfinite(value):
            report[name] = value
    return report or None
