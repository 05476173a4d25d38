"""Stored form of `LearnedState`, used in handover files and in the state file."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from loadbalancer.balancing.events import LearnedState
from loadbalancer.node.state.errors import StoredValueError, StoredValueMissingError

# Field of `LearnedState` by the stored key.
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
    """Return the stored form of a process's learned state."""
    return {key: getattr(learned, field) for key, field in LEARNED_FIELDS.items()}


def decode_learned(value: object) -> LearnedState:
    """Return the learned state from its stored form; raise StateError if that is malformed."""
    stored = mapping_of(value, "learned")
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
    """Return `value` if it is an object; otherwise raise StoredValueError with `name`."""
    if not isinstance(value, dict):
        raise StoredValueError(name, value, "an object")
    return value


def number_in(stored: Mapping[str, Any], key: str) -> float:
    """Return the finite number under a key; raise StateError if there is none."""
    return _number(key, _value(stored, key))


def numbers_in(stored: Mapping[str, Any], key: str) -> dict[str, float]:
    """Return the numbers by name under a key, negative ones as 0; raise StateError for any other value."""
    numbers = mapping_of(_value(stored, key), key)
    return {name: max(0.0, _number(key, value)) for name, value in numbers.items()}


def _value(stored: Mapping[str, Any], key: str) -> object:
    if key not in stored:
        raise StoredValueMissingError(key)
    return stored[key]


def _number(key: str, value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise StoredValueError(key, value, "a finite number")
    return float(value)
