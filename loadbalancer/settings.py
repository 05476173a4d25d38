"""Decoders of settings and load reports. They map the names on the wire to the names in the code."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any, TypeVar

from loadbalancer.errors import SettingChoiceError, SettingItemError, SettingMissingError, SettingTypeError
from loadbalancer.service_settings import DeduplicationScope, Effect, ServiceClass, Settings, Tenant

JsonObject = dict[str, Any]
Item = TypeVar("Item")
Choice = TypeVar("Choice")

EFFECTS = {"free": Effect.IDEMPOTENT, "guarded": Effect.IDEMPOTENCY_KEY, "single_shot": Effect.NON_IDEMPOTENT}
DEDUPLICATION_SCOPES = {scope.value: scope for scope in DeduplicationScope}
POLLS_DISCOVERY = {"push": False, "ask": True}
WEIGHTS_BY_WORK = {"request": False, "work": True}
DEFAULT_CHOICES = {"registryMode": "push", "valueBy": "request"}
LOAD_REPORT_NAMES = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}
LOAD_REPORT_PREFIX = "TEXT"
TYPE_NAMES: dict[type, str] = {dict: "an object", str: "a string"}  # names of types in error messages


def section(row: JsonObject, key: str) -> JsonObject:
    """Return the object under this key, empty if absent; raise SettingTypeError if it is not an object."""
    value = row.get(key)
    if not isinstance(value, dict | None):
        raise SettingTypeError(key, value, "an object")
    return value or {}


def list_of(row: JsonObject, key: str, item_type: type[Item]) -> list[Item]:
    """Return the list under this key, empty if absent; raise SettingError if it or an item is malformed."""
    value = row.get(key)
    if not isinstance(value, list | None):
        raise SettingTypeError(key, value, "a list")
    for item in value or ():
        if not isinstance(item, item_type):
            raise SettingItemError(key, item, TYPE_NAMES[item_type])
    return value or []


def text_of(row: JsonObject, key: str, prefix: str = "") -> str:
    """Return the string under this key; raise SettingError, naming `prefix` + `key`, if absent or empty."""
    value = row.get(key)
    if value is None:
        raise SettingMissingError(prefix + key)
    if not isinstance(value, str) or not value:
        raise SettingTypeError(prefix + key, value, "a string")
    return value


def choice_of(row: JsonObject, key: str, choices: Mapping[str, Choice], prefix: str = "") -> Choice:
    """Return the choice for the word under this key; raise SettingChoiceError, naming `prefix` + `key`."""
    value = row.get(key)
    if not isinstance(value, str) or value not in choices:
        raise SettingChoiceError(prefix + key, value, choices)
    return choices[value]


def _present(row: JsonObject) -> JsonObject:
    """Return the row without keys whose value is null: they count as absent and get the default."""
    return {key: value for key, value in row.items() if value is not None}


def parse_settings(config: JsonObject) -> Settings:
    """Decode the settings of a node; raise SettingError if one is invalid. Unknown keys are ignored."""
    bounds, invariants = section(config, "bounds"), section(config, "invariants")
    fields = list_of(section(config, "feedback"), "fields", str)
    choices = DEFAULT_CHOICES | _present(config)
    given: JsonObject = {
        "zone": config.get("locality"),
        "tier": config.get("tier"),
        "siblings": config.get("siblings"),
        "poll_discovery": choice_of(choices, "registryMode", POLLS_DISCOVERY),
        "weight_by_work": choice_of(choices, "valueBy", WEIGHTS_BY_WORK),
        "over_quota_weight": config.get("overShareWorth"),
        "load_report_fields": tuple(LOAD_REPORT_NAMES.get(name, name) for name in fields),
        "may_cancel": bounds.get("cancel"),
        "retry_after": bounds.get("retryAfter"),
        "max_retry_after_ms": bounds.get("maxRetryAfterMs"),
        "max_attempts": bounds.get("maxAttempts"),
        "cross_zone_price": section(config, "prices").get("crossZone"),
        "slow_start_from": invariants.get("coldFrom"),
        "slow_start_ms": invariants.get("coldMs"),
        "overload_factor": invariants.get("overloadFactor"),
    }
    return Settings(
        classes=tuple(_service_class(row) for row in list_of(config, "categories", dict)),
        tenants=tuple(
            Tenant(text_of(row, "name", "accounts."), row["quotaPerS"])
            for row in list_of(config, "accounts", dict)
            if row.get("quotaPerS") is not None
        ),
        **_present(given),
    )


def _service_class(row: JsonObject) -> ServiceClass:
    for key in ("aimMs", "giveUpMs"):
        if row.get(key) is None:
            raise SettingMissingError(setting=f"categories.{key}")
    given: JsonObject = {
        "priority_weight": row.get("credit"),
        "late_weight": row.get("lateWorth"),
        "latency_objective_stretch": row.get("aimStretch"),
        "deduplication_window_ms": row.get("memorySpanMs"),
        "stream": row.get("stream"),
    }
    scope_row = {"keyScope": DeduplicationScope.ALL.value} | _present(row)
    return ServiceClass(
        name=text_of(row, "name", "categories."),
        latency_objective_ms=row["aimMs"],
        client_timeout_ms=row["giveUpMs"],
        effect=choice_of(row, "effect", EFFECTS, "categories."),
        deduplication_scope=choice_of(scope_row, "keyScope", DEDUPLICATION_SCOPES, "categories."),
        **_present(given),
    )


def parse_load_report(text: str, fields: tuple[str, ...]) -> dict[str, float] | None:
    """Decode a load report, `TEXT name=value, name=value`, and keep the fields that the settings name.

    A pair whose value is not a finite number is ignored. Return None if no pair remains.
    """
    report: dict[str, float] = {}
    for pair in text.removeprefix(LOAD_REPORT_PREFIX).split(","):
        name, _, number = pair.strip().partition("=")
        name = LOAD_REPORT_NAMES.get(name, name)
        try:
            value = float(number)
        except ValueError:
            continue
        if name in fields and math.isfinite(value):
            report[name] = value
    return report or None
