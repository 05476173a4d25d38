"""Errors of service discovery."""

from __future__ import annotations

import reprlib


class DiscoveryError(ValueError):
    """An answer of discovery that can't be used."""


class MalformedListError(DiscoveryError):
    """An endpoint list is not of the form that PROTOCOL, "Discovery" gives it."""


class NotAListError(MalformedListError):
    """An endpoint list is no JSON object at all."""

    def __init__(self) -> None:
        super().__init__("a list is not an object")


class ListFieldError(MalformedListError):
    """A field of an endpoint list holds a value of another kind."""

    def __init__(self, field: str, value: object, expected: str) -> None:
        super().__init__(f"{field} {reprlib.repr(value)} is not {expected}")  # a value may be of any length
        self.field = field
        self.value = value
        self.expected = expected


class StaleListError(DiscoveryError):
    """An endpoint list is of an older revision than one that has been received."""

    def __init__(self, revision: int, minimum: int) -> None:
        super().__init__(f"stale list, revision {revision} after {minimum}")
        self.revision = revision
        self.minimum = minimum


class DiscoveryStatusError(DiscoveryError):
    """Discovery answered with an HTTP status other than 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"discovery answered {status}")
        self.status = status


class DiscoveryConnectionError(ConnectionError):
    """Discovery closed the connection before its answer was complete."""

    def __init__(self) -> None:
        super().__init__("discovery closed the connection")
