"""Errors of the listener."""

from __future__ import annotations


class ListenerError(Exception):
    """An error of the listener."""


class BadRequestError(ListenerError):
    """A request that the balancer is not asked about; `status` is that of its response."""

    def __init__(self, status: int) -> None:
        super().__init__(f"the request is answered {status:d}")
        self.status = status


class InheritedSocketError(ListenerError, OSError):
    """A descriptor that the platform has handed over is not a listening TCP socket."""

    def __init__(self, descriptor: str, reason: str) -> None:
        super().__init__(f"descriptor {descriptor!r} is {reason}")
        self.descriptor = descriptor
