"""Errors of route versions."""

from __future__ import annotations


class RoutingError(ValueError):
    """Base class of this package's errors."""


class RouteTableError(RoutingError):
    """A route table's text is not valid; the message is one line that names the key and its line."""


class MalformedAnnouncementError(RoutingError):
    """The `routes` of a lease answer do not have the form of an announcement."""

    def __init__(self, cause: Exception, max_chars: int) -> None:
        super().__init__(f"malformed routes: {type(cause).__name__}: {cause}"[:max_chars])
        self.cause = cause
