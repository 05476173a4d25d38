"""What a node runs beside its service to callers, in the form that its assembly asks for."""

from __future__ import annotations

from typing import Protocol


class Component(Protocol):
    """Begins, ends and reports with the node that lists it in `Node.parts`."""

    async def start(self) -> None:
        """The node serves callers from here on."""

    async def stop(self) -> None:
        """The node leaves service in an orderly way: all requests have their answers, `close` comes next."""

    def close(self) -> None:
        """Let go of timers, sockets and files at once, whether or not `stop` or even `start` has run."""

    def metrics(self) -> str:
        """Its lines of GET /status/metrics, `proxy.NAME=VALUE` each and each with its line end."""
        ...
