"""Errors of route versions."""

from __future__ import annotations

MAX_ERROR_CHARS = 300


def as_one_line(message: str) -> str:
    """Replace each unprintable character by a space and truncate the message to MAX_ERROR_CHARS."""
    return "".join(char if char.isprintable() else " " for char in message)[:MAX_ERROR_CHARS]


class RoutingError(ValueError):
    """Base class of this package's errors."""


class RouteTableError(RoutingError):
    """A route table's text is invalid.

    The message is one printable line with the key ("text" for the text itself), the line number if known, and
    the problem.
    """

    def __init__(self, key: str, problem: object, line: int | None = None) -> None:
        position = "" if line is None else f" (line {line})"
        super().__init__(as_one_line(f"{key}{position}: {problem}"))
        self.key, self.problem, self.line = key, problem, line


class MalformedAnnouncementError(RoutingError):
    """The `routes` of a lease response are not a valid announcement."""

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"malformed routes: {type(cause).__name__}: {cause}"[:MAX_ERROR_CHARS])
        self.cause = cause
