"""The threaded HTTP server of the stand-ins."""

from __future__ import annotations

import socket
from http.server import ThreadingHTTPServer
from typing import Any


class HttpServer(ThreadingHTTPServer):
    """A server with a thread for each connection; peers that close or reset are no errors."""

    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: socket.socket | tuple[bytes, socket.socket], client_address: Any) -> None:  # noqa: ANN401  # as the base class has it
        """Pass over a connection that broke."""
