"""Errors of the state that a node stores in files."""

from __future__ import annotations

from pathlib import Path

from loadbalancer.node.state.rules import Rule


class StateError(ValueError):
    """Stored state that can't be used."""


class StateRejectedError(StateError):
    """A stored file violates `rule`."""

    def __init__(self, rule: Rule) -> None:
        super().__init__(f"{rule.label} ({rule.description})")
        self.rule = rule


class StoredValueError(StateError):
    """A field of a stored file has an invalid value."""

    def __init__(self, field: str, value: object, expected: str) -> None:
        super().__init__(f"{field}: {value!r} is not {expected}")
        self.field = field
        self.value = value
        self.expected = expected


class StoredValueMissingError(StateError):
    """A stored file lacks a field."""

    def __init__(self, field: str) -> None:
        super().__init__(f"{field}: missing")
        self.field = field


class StateFileClosedError(OSError):
    """A write began after the state file had been closed."""

    def __init__(self, path: Path) -> None:
        super().__init__(f"{path} was closed before the write began")
        self.path = path
