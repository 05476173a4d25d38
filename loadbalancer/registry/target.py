"""Targets: the servers that the service lists, in the form in which they are stored and sent."""

from __future__ import annotations

from typing import Any

from loadbalancer.registry.errors import InvalidFieldError

# One entry as PROTOCOL ("Discovery") shows it. Targets are part of Raft's log and of snapshots, so they are
# plain maps with the keys of the protocol: uid, endpoint, az, model, pod_group, state, capacity_hint and
# boot_ms.
Target = dict[str, Any]

READY, TERMINATING, GONE = "Ready", "Terminating", "Gone"
REGISTERED_STATES = (READY, TERMINATING)  # a tombstone is Gone; no server registers as such
MAX_UID_CHARACTERS = 200


def validate_target(row: object) -> Target:
    """The target to store for a decoded body; InvalidFieldError names the field that is wrong."""
    if not isinstance(row, dict):
        raise InvalidFieldError("target", row, "an object")
    return {
        "uid": _uid(row.get("uid")),
        "endpoint": _endpoint(row.get("endpoint")),
        "az": str(row.get("az", "")),
        "model": str(row.get("model", "")),
        "pod_group": _integer(row, "pod_group"),
        "state": _state(row.get("state", READY)),
        "capacity_hint": _capacity_hint(row.get("capacity_hint", 1.0)),
        "boot_ms": _integer(row, "boot_ms"),
    }


def _uid(value: object) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_UID_CHARACTERS:
        raise InvalidFieldError("uid", value, f"a text of 1 to {MAX_UID_CHARACTERS} characters")
    return value


def _endpoint(value: object) -> str:
    if not isinstance(value, str) or ":" not in value:
        raise InvalidFieldError("endpoint", value, "host:port")
    return value


def _state(value: object) -> object:
    if value not in REGISTERED_STATES:
        raise InvalidFieldError("state", value, f"one of {', '.join(REGISTERED_STATES)}")
    return value


def _capacity_hint(value: object) -> float:
    if not isinstance(value, int | float):
        raise InvalidFieldError("capacity_hint", value, "a number")
    return float(value)


def _integer(row: dict[str, Any], field: str) -> int:
    value = row.get(field, 0)
    if not isinstance(value, int):
        raise InvalidFieldError(field, value, "an integer")
    return value
