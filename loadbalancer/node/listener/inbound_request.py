"""One request as it comes from a caller, and the ways in which its answer goes out."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Protocol

from loadbalancer.node.http.body import Body
from loadbalancer.node.http.client_connection import LAST_CHUNK, encode_chunk


class RequestConnection(Protocol):
    """What a call and its answer ask of the connection that the request came on."""

    def respond(self, call: InboundRequest, status: int, body: bytes, retry_after_ms: float) -> None:
        """Write the final answer."""

    def begin_stream(
        self, call: InboundRequest, length: int | None, rest: Body, on_end: Callable[[bool], None]
    ) -> None:
        """Write a 200 that is passed on as it comes; `on_end` is told whether all of it was."""

    def close_if_disconnected(self) -> bool:
        """Whether the caller has gone; what it asked for is then over."""
        ...

    def abort_if_silent(self, call: InboundRequest, silent_s: float) -> bool:
        """End the long answer if nothing of it has come for so long, though the caller would take it; whether
        that was so."""
        ...

    def write(self, data: bytes) -> None:
        """Write a part of the long answer."""

    def finish_stream(self, close: bool) -> None:
        """The long answer has been written."""

    def abort_stream(self) -> None:
        """The rest of the long answer will not come: the caller has to see that it is not whole."""


@dataclass(slots=True, eq=False)
class InboundRequest:
    """One request as it comes, and where its answer goes. A long one is handed on before its end."""

    connection: RequestConnection
    body: Body
    received_at: float = 0.0  # the loop's time of its last byte
    method: bytes = b""
    target: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)  # by lower-case name
    content_length: int | None = None  # of the body, as declared
    receiving: bool = True  # its last byte has yet to come
    version: str = "1.1"
    keep_alive: bool = True
    dispatched: bool = False  # to be answered
    answered: bool = False
    on_disconnected: Callable[[], None] | None = None
    on_received: Callable[[], None] | None = None  # for one that was handed on before

    def respond(self, status: int, body: bytes = b"", retry_after_ms: float = 0.0) -> None:
        """The final answer; a second one is ignored."""
        if not self.answered:
            self.answered = True
            self.connection.respond(self, status, body, retry_after_ms)

    def begin_stream(self, length: int | None, rest: Body, on_end: Callable[[bool], None]) -> None:
        """The final answer, a 200 that is passed on as it comes; `on_end` is told whether all of it was."""
        if self.answered:
            rest.discard()
            on_end(False)
        else:
            self.answered = True
            self.connection.begin_stream(self, length, rest, on_end)

    def abort_if_silent(self, silent_s: float) -> bool:
        """End a long answer of which nothing has come for so long, though its caller would take it; whether
        that was so."""
        return self.connection.abort_if_silent(self, silent_s)


class StreamedResponse:
    """A long answer on its way to a caller."""

    def __init__(
        self,
        connection: RequestConnection,
        call: InboundRequest,
        rest: Body,
        length: int | None,
        close: bool,
        on_end: Callable[[bool], None],
    ) -> None:
        self.request = call
        self.body = rest
        self._connection = connection
        self._length = length
        # Guard: a caller of HTTP/1.0 knows no chunks; a length that is not known ends with its connection.
        self.ends_with_connection = length is None and call.version == "1.0"
        self._chunked = length is None and not self.ends_with_connection
        self._close = close or self.ends_with_connection
        self._on_end = on_end
        self._ended = False
        self.last_data_at = 0.0  # the loop's time of the last piece, or since when its caller takes more

    def head(self) -> bytes:
        if self.ends_with_connection:
            return b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
        return response_head(200, self._length, self._close, 0.0)

    def write(self, data: bytes) -> None:
        self._connection.write(encode_chunk(data) if self._chunked else data)

    def end(self) -> None:
        if self._chunked:
            self._connection.write(LAST_CHUNK)
        self._connection.finish_stream(self._close)
        self._report_end(True)

    def fail(self) -> None:
        self._connection.abort_stream()
        self._report_end(False)

    def on_client_lost(self) -> None:
        """The caller has gone."""
        self.body.detach(self)
        self._report_end(False)

    def _report_end(self, whole: bool) -> None:
        if not self._ended:
            self._ended = True
            self._on_end(whole)


def response_head(status: int, length: int | None, close: bool, retry_after_ms: float) -> bytes:
    """An answer's head; one with no length goes in chunks."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    else:
        lines.append("Transfer-Encoding: chunked")
    if retry_after_ms > 0.0:
        lines.append(f"Retry-After: {retry_after_ms / 1000.0:.3f}")
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
