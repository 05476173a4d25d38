"""Callers that keep their connections, as the protocol's clients do."""

from __future__ import annotations

import http.client
import threading
import time
from typing import Any

from tests.support.load import Load, Outcome

Connections = dict[int, http.client.HTTPConnection]  # by the node's port


class KeepingLoad(Load):
    """A load whose workers keep a connection to each node and use it for as long as it stays open.

    A request that crosses the end of a connection on which another was answered before is sent once more, on
    a new connection and with an id of its own. `crossed` has those: a node may not have read them.
    """

    def __init__(self, *arguments: Any, **more: Any) -> None:
        self.crossed: dict[str, Outcome] = {}
        self._kept = threading.local()
        super().__init__(*arguments, **more)

    def _send(self, port: int, name: str) -> int:
        connections: Connections = self._kept.__dict__.setdefault("connections", {})
        kept, sent_s = connections.pop(port, None), time.monotonic()
        if kept is not None:
            status = self._ask(kept, name)
            if status:
                self._keep(connections, port, kept)
                return status
            self.crossed[name] = Outcome(port, 0, sent_s, time.monotonic() - sent_s)
            name = f"{name}x"
        fresh = http.client.HTTPConnection("127.0.0.1", port, timeout=self.timeout_s)
        status = self._ask(fresh, name)
        self._keep(connections, port, fresh)
        return status

    def _keep(self, connections: Connections, port: int, connection: http.client.HTTPConnection) -> None:
        if connection.sock is not None:  # neither side has closed it
            connections[port] = connection

    def _ask(self, connection: http.client.HTTPConnection, name: str) -> int:
        try:
            method = "GET" if self.kind == "read" else "POST"
            connection.request(method, f"/{self.kind}/{name}", headers={"Req-Id": name})
            answer = connection.getresponse()
            answer.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            return 0
        return answer.status
