"""The pool's state of one endpoint."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from loadbalancer.node.address import Address
from loadbalancer.node.http.client_connection import ClientConnection


class ConnectingAttempt(Protocol):
    """Interface of an attempt that waits for a new connection."""

    def withdraw(self) -> None:
        """End the attempt, as nothing has been written."""


@dataclass(slots=True, eq=False)
class PooledEndpoint:
    """An endpoint's address, its idle connections, and the attempts that wait for a new connection."""

    address: Address
    launched_ms: float | None  # Unix time at which its process started, if known
    idle: list[ClientConnection] = field(default_factory=list)  # most recently used last
    waiting: set[ConnectingAttempt] = field(default_factory=set)

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in self.idle:
            connection.abort()
        self.idle.clear()
