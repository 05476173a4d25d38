"""Targets: the servers in the list service's catalog, in their stored and sent form."""

from __future__ import annotations

from typing import Any

from loadbalancer.registry.errors import InvalidFieldError, InvalidTargetError

# An entry of the list as defined in PROTOCOL ("Discovery"). Targets are part of Raft's log and of snapshots,
# so they are plain dicts with the protocol's keys: uid, endpoint, az, model, pod_group, state, capacity_hint
# and boot_ms.
Target = dict[str, Any]

READY, TERMINATING, GONE = "Ready", "Terminating", "Gone"
REGISTERED_STATES = (READY, TERMINATING)  # excludes Gone, the state of tombstones
MAX_UID_CHARACTERS = 200


def validate_target(body: object) -> Target:
    """Return the target to store for a decoded body; raise InvalidTargetError or InvalidFieldError."""
    if not isinstance(body, dict):
        raise InvalidTargetError
    uid, endpoint, state = body.get("uid"), body.get("endpoint"), body.get("state", READY)
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
    hint, boot_ms, group = body.get("capacity_hint", 1.0), body.get("boot_ms", 0), body.get("pod_group", 0)
    if not isinstance(hint, int | float) or not isinstance(boot_ms, int) or not isinstance(group, int):
        fields = "capacity_hint, boot_ms or pod_group"
        raise InvalidFieldError(field=fields, value=(hint, boot_ms, group), problem="not a number")
    return {
        "uid": uid,
        "endpoint": endpoint,
        "az": str(body.get("az", "")),
        "model": str(body.get("model", "")),
        "pod_group": group,
        "state": state,
        "capacity_hint": float(hint),
        "boot_ms": boot_ms,
    }
