"""A client's request, and the connection that its response goes to."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from loadbalancer.node.http.body import Body


class RequestConnection(Protocol):
    """What a request and its response need of the client's connection."""

    def respond(self, request: InboundRequest, status: int, body: bytes, retry_after_ms: float) -> None:
        """Write the response."""

    def begin_stream(
        self,
        request: InboundRequest,
        content_length: int | None,
        body: Body,
        on_end: Callable[[bool], None],
    ) -> None:
        """Write a 200 whose body is streamed; `on_end` is called with whether it was complete."""

    def close_if_disconnected(self) -> bool:
        """Whether the client has disconnected; its requests are over then."""
        ...

    def abort_if_silent(self, request: InboundRequest, silent_s: float) -> bool:
        """Abort the streamed response if no byte has arrived for so long though the client would take it;
        return whether that was so."""
        ...

    def write(self, data: bytes) -> None:
        """Write a part of the streamed response."""

    def finish_stream(self, close: bool) -> None:
        """Go on after a streamed response that has been written."""

    def abort_stream(self) -> None:
        """Show the client that the streamed response is not complete."""


@dataclass(slots=True, eq=False)
class InboundRequest:
    """A client's request. One with a long body is dispatched while it is being received."""

    connection: RequestConnection
    body: Body
    received_at: float = 0.0  # loop time (s) of its last byte
    method: bytes = b""
    target: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)  # by lower-case name
    content_length: int | None = None  # as declared
    receiving: bool = True  # its last byte has yet to come
    version: str = "1.1"
    keep_alive: bool = True
    dispatched: bool = False
    answered: bool = False
    on_disconnected: Callable[[], None] | None = None
    on_received: Callable[[], None] | None = None  # for one that is dispatched before its last byte

    def respond(self, status: int, body: bytes = b"", retry_after_ms: float = 0.0) -> None:
        """Send the response; a second one is ignored."""
        if not self.answered:
            self.answered = True
            self.connection.respond(self, status, body, retry_after_ms)

    def begin_stream(self, content_length: int | None, body: Body, on_end: Callable[[bool], None]) -> None:
        """Send a 200 whose body is streamed; `on_end` is called with whether it was complete."""
        if self.answered:
            body.discard()
            on_end(False)
        else:
            self.answered = True
            self.connection.begin_stream(self, content_length, body, on_end)

    def abort_if_silent(self, silent_s: float) -> bool:
        """Abort the streamed response if no byte has arrived for so long though the client would take it;
        return whether that was so."""
        return self.connection.abort_if_silent(self, silent_s)
