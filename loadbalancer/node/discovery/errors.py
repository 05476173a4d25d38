"""Errors of service discovery."""

from __future__ import annotations

import reprlib


class DiscoveryError(ValueError):
    """A response of discovery can't be used."""


class MalformedListError(DiscoveryError):
    """An endpoint list does not have the form defined in PROTOCOL, "Discovery"."""


class NotAListError(MalformedListError):
    """An endpoint list is not a JSON object."""

    def __init__(self) -> None:
        super().__init__("a list is not an object")


class ListFieldError(MalformedListError):
    """A field of an endpoint list has an invalid value."""

    def __init__(self, field: str, value: object, expected: str) -> None:
        super().__init__(f"{field} {reprlib.repr(value)} is not {expected}")  # reprlib truncates long values
        self.field = field
        self.value = value
        self.expected = expected


class StaleListError(DiscoveryError):
    """An endpoint list has an older revision than one received before."""

    def __init__(self, revision: int, minimum: int) -> None:
        super().__init__(f"stale list, revision {revision} after {minimum}")
        self.revision = revision
        self.minimum = minimum


class DiscoveryStatusError(DiscoveryError):
    """Discovery responded with an HTTP status other than 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"discovery responded with HTTP status {status}")
        self.status = status


class DiscoveryConnectionError(ConnectionError):
    """Discovery closed the connection before its response was complete."""

    def __init__(self) -> None:
        super().__init__("discovery closed the connection before its response was complete")
