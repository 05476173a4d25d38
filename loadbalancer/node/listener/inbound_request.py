"""A request received from a client, and the connection that receives its response."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from loadbalancer.node.http.body import Body


class RequestConnection(Protocol):
    """Interface of a client connection, as requests and streamed responses use it."""

    def respond(self, request: InboundRequest, status: int, body: bytes, retry_after_ms: float) -> None:
        """Write the complete response."""

    def begin_stream(
        self,
        request: InboundRequest,
        content_length: int | None,
        body: Body,
        on_end: Callable[[bool], None],
    ) -> None:
        """Write a 200 response with a streamed body; call `on_end` with whether the body was completed."""

    def close_if_disconnected(self) -> bool:
        """Return whether the client has disconnected; if so, end its unanswered requests."""
        ...

    def abort_if_hanging(self, request: InboundRequest) -> float | None:
        """Abort the streamed response if its server hangs, or return the loop time (s) of the next check."""
        ...

    def earliest_end(self, now: float) -> float:
        """Return the earliest loop time (s) at which the client may have sent the last byte of the request
        that is being received; `now` if it can't have."""
        ...

    def write(self, data: bytes) -> None:
        """Write the next bytes of the streamed response."""

    def finish_stream(self, close: bool) -> None:
        """Finish a streamed response that has been written completely, and continue with the next request."""

    def abort_stream(self) -> None:
        """Reset the connection, so that the client detects that the streamed response is incomplete."""


@dataclass(slots=True, eq=False)
class InboundRequest:
    """A request received from a client. One with a long body is dispatched while it is being received."""

    connection: RequestConnection
    body: Body
    received_at: float = 0.0  # loop time (s) at which its last byte arrived
    method: bytes = b""
    target: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)  # keyed by lower-case name
    content_length: int | None = None  # from the Content-Length header
    receiving: bool = True  # its last byte has not arrived yet
    version: str = "1.1"
    keep_alive: bool = True
    dispatched: bool = False
    answered: bool = False
    on_disconnected: Callable[[], None] | None = None
    on_received: Callable[[], None] | None = None  # called if dispatched before its last byte
    head_bytes: int = 0  # memory of its head, objects included

    @property
    def memory_bytes(self) -> int:
        """The memory of its head and of the part of its body that has been received."""
        return self.head_bytes + self.body.size

    def respond(self, status: int, body: bytes = b"", retry_after_ms: float = 0.0) -> None:
        """Send the response; ignore it if the request already has one."""
        if not self.answered:
            self.answered = True
            self.connection.respond(self, status, body, retry_after_ms)

    def begin_stream(self, content_length: int | None, body: Body, on_end: Callable[[bool], None]) -> None:
        """Send a 200 response with a streamed body; call `on_end` with whether the body was completed."""
        if self.answered:
            body.discard()
            on_end(False)
        else:
            self.answered = True
            self.connection.begin_stream(self, content_length, body, on_end)

    def abort_if_hanging(self) -> float | None:
        """Abort the streamed response if its server hangs, or return the loop time (s) of the next check."""
        return self.connection.abort_if_hanging(self)
