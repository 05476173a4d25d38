"""Load from clients with persistent connections, like the protocol's clients."""

from __future__ import annotations

import http.client
import threading
import time
from typing import Any

from tests.support.load import Load, Outcome

Connections = dict[int, http.client.HTTPConnection]  # by the node's port


class KeepAliveLoad(Load):
    """A load whose workers keep a persistent connection to each node for as long as it stays open.

    If a reused connection ends without a response, the request is sent once more on a new connection under
    a new id. `crossed` has the original ids: the node may have closed the connection before reading them.
    """

    def __init__(self, *arguments: Any, **more: Any) -> None:
        self.crossed: dict[str, Outcome] = {}
        self._thread_state = threading.local()
        super().__init__(*arguments, **more)

    def _send(self, port: int, name: str) -> int:
        connections: Connections = self._thread_state.__dict__.setdefault("connections", {})
        reused, sent_s = connections.pop(port, None), time.monotonic()
        if reused is not None:
            status = self._exchange(reused, name)
            if status:
                self._keep(connections, port, reused)
                return status
            self.crossed[name] = Outcome(port, 0, sent_s, time.monotonic() - sent_s)
            name = f"{name}x"
        fresh = http.client.HTTPConnection("127.0.0.1", port, timeout=self.timeout_s)
        status = self._exchange(fresh, name)
        self._keep(connections, port, fresh)
        return status

    def _keep(self, connections: Connections, port: int, connection: http.client.HTTPConnection) -> None:
        if connection.sock is not None:  # neither side has closed it
            connections[port] = connection

    def _exchange(self, connection: http.client.HTTPConnection, name: str) -> int:
        try:
            method = "GET" if self.kind == "read" else "POST"
            connection.request(method, f"/{self.kind}/{name}", headers={"Req-Id": name})
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            return 0
        return response.status
