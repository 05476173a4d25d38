"""The stored form of `LearnedState`, in handover files and in the state file."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from loadbalancer.balancing.events import LearnedState
from loadbalancer.node.state.errors import StoredValueError, StoredValueMissingError

# The field of `LearnedState` for each stored key.
LEARNED_FIELDS = {
    "base": "baseline_ratio",
    "level": "latency_ratio",
    "cursor": "cursor",
    "rate": "completion_rate",
    "peak": "peak_completion_rate",
    "sends": "send_rate",
    "mean_aim": "mean_latency_objective_ms",
    "class_ms": "class_latency_ms",
    "slow": "endpoint_latency_ratios",
}


def encode_learned(learned: LearnedState) -> dict[str, object]:
    """Return the stored form of what a process has learned."""
    return {key: getattr(learned, field) for key, field in LEARNED_FIELDS.items()}


def decode_learned(row: object) -> LearnedState:
    """Return what a process had learned, from its stored form; raise StateError where that is malformed."""
    stored = mapping_of(row, "learned")
    return LearnedState(
        baseline_ratio=None if _value(stored, "base") is None else number_in(stored, "base"),
        latency_ratio=number_in(stored, "level"),
        cursor=int(number_in(stored, "cursor")),
        completion_rate=number_in(stored, "rate"),
        send_rate=number_in(stored, "sends"),
        peak_completion_rate=number_in(stored, "peak"),
        mean_latency_objective_ms=number_in(stored, "mean_aim"),
        class_latency_ms=numbers_in(stored, "class_ms"),
        endpoint_latency_ratios=numbers_in(stored, "slow"),
    )


def mapping_of(value: object, name: str) -> Mapping[str, Any]:
    """Return a stored object as it is; raise StoredValueError if it is of another kind."""
    if not isinstance(value, dict):
        raise StoredValueError(name, value, "an object")
    return value


def number_in(row: Mapping[str, Any], key: str) -> float:
    """Return the finite number under a key; raise StateError where there is none."""
    return _number(key, _value(row, key))


def numbers_in(row: Mapping[str, Any], key: str) -> dict[str, float]:
    """Return the named numbers under a key, negative ones as 0; raise StateError on any other kind."""
    named = mapping_of(_value(row, key), key)
    return {name: max(0.0, _number(key, value)) for name, value in named.items()}


def _value(row: Mapping[str, Any], key: str) -> object:
    if key not in row:
        raise StoredValueMissingError(key)
    return row[key]


def _number(key: str, value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise StoredValueError(key, value, "a finite number")
    return float(value)
