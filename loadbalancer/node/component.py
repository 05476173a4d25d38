"""Components that run beside a node's service to callers."""

from __future__ import annotations

from typing import Protocol


class Component(Protocol):
    """Starts, stops and reports metrics with the node."""

    async def start(self) -> None:
        """Start; the node serves callers already."""

    async def stop(self) -> None:
        """Shut down gracefully: every request has been answered, and `close` follows."""

    def close(self) -> None:
        """Release timers, sockets and files at once, whether or not `stop` or even `start` has run."""

    def metrics(self) -> str:
        """The component's lines of GET /status/metrics, each `proxy.NAME=VALUE` and a line end."""
        ...
