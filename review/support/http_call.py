"""One HTTP call on a connection of its own."""

from __future__ import annotations

import http.client
import json
from dataclasses import dataclass
from typing import Any

LOOPBACK = "127.0.0.1"
TIMEOUT_S = 4.0


@dataclass(frozen=True)
class Answer:
    """Status and body of a response."""

    status: int
    body: bytes

    def json(self) -> Any:  # noqa: ANN401  # JSON has any form
        """Return the decoded body."""
        return json.loads(self.body)


def call(
    port: int,
    method: str,
    target: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = TIMEOUT_S,
) -> Answer:
    """Return the response of the program at this port; raise OSError or HTTPException without one."""
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=timeout_s)
    try:
        connection.request(method, target, body=body, headers=headers or {})
        response = connection.getresponse()
        return Answer(response.status, response.read())
    finally:
        connection.close()
