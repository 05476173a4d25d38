"""Writes a streamed response to a client."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from loadbalancer.node.http.body import Body
from loadbalancer.node.http.client_connection import LAST_CHUNK, encode_chunk
from loadbalancer.node.listener.inbound_request import InboundRequest, RequestConnection
from loadbalancer.node.listener.stream_progress import StreamProgress

HTTP_1_0 = "1.0"


class StreamedResponse:
    """The sink of a response's body, which writes it to the client's connection.

    HTTP/1.0 has no chunked encoding, so a body of unknown length to such a client ends with the connection.
    `on_end` is called once, with whether the response was completed.
    """

    def __init__(
        self,
        connection: RequestConnection,
        request: InboundRequest,
        body: Body,
        content_length: int | None,
        close: bool,
        on_end: Callable[[bool], None],
        progress: StreamProgress,
    ) -> None:
        self.request = request
        self.progress = progress
        self.body = body
        self._connection = connection
        self._content_length = content_length
        self.ends_with_connection = content_length is None and request.version == HTTP_1_0
        self._chunked = content_length is None and not self.ends_with_connection
        self._close = close or self.ends_with_connection
        self._on_end = on_end
        self._ended = False

    def head(self) -> bytes:
        """Return the response head."""
        if self.ends_with_connection:
            return b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
        return response_head(HTTPStatus.OK, self._content_length, self._close, 0.0)

    def write(self, data: bytes) -> None:
        """Write the next bytes of the body."""
        self._connection.write(encode_chunk(data) if self._chunked else data)

    def end(self) -> None:
        """Complete the response."""
        if self._chunked:
            self._connection.write(LAST_CHUNK)
        self._connection.finish_stream(self._close)
        self._report_end(complete=True)

    def fail(self) -> None:
        """Reset the connection, so that the client detects that the response is incomplete."""
        self._connection.abort_stream()
        self._report_end(complete=False)

    def on_client_lost(self) -> None:
        """Stop consuming the body, as the client has disconnected."""
        self.body.detach(self)
        self._report_end(complete=False)

    def _report_end(self, complete: bool) -> None:
        if not self._ended:
            self._ended = True
            self._on_end(complete)


def response_head(status: int, content_length: int | None, close: bool, retry_after_ms: float) -> bytes:
    """Return a response head; if `content_length` is None, the body uses chunked encoding."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    if content_length is not None:
        lines.append(f"Content-Length: {content_length}")
    else:
        lines.append("Transfer-Encoding: chunked")
    if retry_after_ms > 0.0:
        lines.append(f"Retry-After: {retry_after_ms / 1000.0:.3f}")
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
