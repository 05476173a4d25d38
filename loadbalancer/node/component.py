"""Interface of a node's optional components."""

from __future__ import annotations

from typing import Protocol


class Component(Protocol):
    """A part of the node that starts, stops and reports metrics together with it."""

    async def start(self) -> None:
        """Start; the node already serves clients."""

    async def stop(self) -> None:
        """Release what another process of this node needs; called once no request is served any more.

        Responses may still be in progress until `close`, so the event loop must not be blocked.
        """

    def close(self) -> None:
        """Release timers, sockets and files immediately, even if `stop` or `start` has not run."""

    def metrics(self) -> str:
        """Return this component's lines of GET /status/metrics, each `proxy.NAME=VALUE` plus a newline."""
        ...
