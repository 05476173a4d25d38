"""Errors of the listener."""

from __future__ import annotations


class ListenerError(Exception):
    """An error of the listener."""


class BadRequestError(ListenerError):
    """A request that is rejected before the balancer handles it; `status` is the response's status."""

    def __init__(self, status: int) -> None:
        super().__init__(f"the request is rejected with status {status:d}")
        self.status = status


class InheritedSocketError(ListenerError, OSError):
    """An inherited descriptor is not a listening TCP socket."""

    def __init__(self, descriptor: str, reason: str) -> None:
        super().__init__(f"descriptor {descriptor!r} is {reason}")
        self.descriptor = descriptor
