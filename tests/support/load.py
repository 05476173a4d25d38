"""Load from client threads: requests with unique ids through nodes, and the outcome of each."""

from __future__ import annotations

import http.client
import threading
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random


@dataclass(frozen=True, slots=True)
class Outcome:
    port: int  # of the node
    status: int  # 0: no complete response
    sent_s: float  # monotonic time
    duration_s: float


class Load:
    """Sends requests to nodes from `workers` threads until `finish`; each worker has one request in flight.

    A request's id is `{prefix}{number}` for the first worker and `{prefix}{worker}-{number}` for the others,
    its path is `/{kind}/{id}`. Successive loads need different prefixes to keep their ids unique.
    Each worker draws the node for each request with a random generator of its own, seeded by the prefix.
    """

    def __init__(
        self,
        ports: Sequence[int] | int,
        prefix: str = "q",
        workers: int = 1,
        kind: str = "read",
        pause_s: float = 0.0,
        timeout_s: float = 5.0,
    ) -> None:
        self.ports = [ports] if isinstance(ports, int) else list(ports)
        self.prefix, self.kind, self.pause_s, self.timeout_s = prefix, kind, pause_s, timeout_s
        self.outcomes: dict[str, Outcome] = {}
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._work, args=(worker,), daemon=True) for worker in range(workers)
        ]
        for thread in self._threads:
            thread.start()

    def _work(self, worker: int) -> None:
        rng, number = Random(f"{self.prefix}/{worker}"), 0
        while not self._stop.is_set():
            number += 1
            name = f"{self.prefix}{f'{worker}-' if worker else ''}{number}"
            port, sent_s = rng.choice(self.ports), time.monotonic()
            status = self._send(port, name)
            self.outcomes[name] = Outcome(port, status, sent_s, time.monotonic() - sent_s)
            self._stop.wait(self.pause_s)

    def _send(self, port: int, name: str) -> int:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=self.timeout_s)
        try:
            method = "GET" if self.kind == "read" else "POST"
            connection.request(method, f"/{self.kind}/{name}", headers={"Req-Id": name})
            response = connection.getresponse()
            response.read()
            return response.status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def finish(self) -> Counter[int]:
        """Stop after the requests in flight have ended; return the number of outcomes by status."""
        self._stop.set()
        for thread in self._threads:
            thread.join(self.timeout_s + 5.0)
        return Counter(outcome.status for outcome in self.outcomes.copy().values())
