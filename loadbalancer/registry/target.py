"""Targets: the servers that the service lists, in the form in which they are stored and sent."""

from __future__ import annotations

from typing import Any

from loadbalancer.registry.errors import InvalidFieldError, InvalidTargetError

# One entry as PROTOCOL ("Discovery") shows it. Targets are part of Raft's log and of snapshots, so they are
# plain maps with the keys of the protocol: uid, endpoint, az, model, pod_group, state, capacity_hint and
# boot_ms.
Target = dict[str, Any]

READY, TERMINATING, GONE = "Ready", "Terminating", "Gone"
REGISTERED_STATES = (READY, TERMINATING)  # a tombstone is Gone; no server registers as such
MAX_UID_CHARACTERS = 200


def validate_target(row: object) -> Target:
    """The target to store for a decoded body; InvalidTargetError or InvalidFieldError."""
    if not isinstance(row, dict):
        raise InvalidTargetError
    uid, endpoint, state = row.get("uid"), row.get("endpoint"), row.get("state", READY)
    if not isinstance(uid, str) or not 0 < len(uid) <= MAX_UID_CHARACTERS:
        raise InvalidFieldError(
            field="uid", value=uid, problem=f"not a text of 1 to {MAX_UID_CHARACTERS} characters"
        )
    if not isinstance(endpoint, str) or ":" not in endpoint:
        raise InvalidFieldError(field="endpoint", value=endpoint, problem="not host:port")
    if state not in REGISTERED_STATES:
        raise InvalidFieldError(
            field="state", value=state, problem=f"{state!r} is not one of {', '.join(REGISTERED_STATES)}"
        )
    hint, boot_ms, group = row.get("capacity_hint", 1.0), row.get("boot_ms", 0), row.get("pod_group", 0)
    if not isinstance(hint, int | float) or not isinstance(boot_ms, int) or not isinstance(group, int):
        fields = "capacity_hint, boot_ms or pod_group"
        raise InvalidFieldError(field=fields, value=(hint, boot_ms, group), problem="not a number")
    return {
        "uid": uid,
        "endpoint": endpoint,
        "az": str(row.get("az", "")),
        "model": str(row.get("model", "")),
        "pod_group": group,
        "state": state,
        "capacity_hint": float(hint),
        "boot_ms": boot_ms,
    }
