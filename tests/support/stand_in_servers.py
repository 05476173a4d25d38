"""Stand-in servers on a thread, for tests of processes: they note every request, and fail as told."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, Literal

from tests.support.faults import LoopThread
from tests.support.loopback import Message, StubServer, http_response, targets

Conduct = Literal["answer", "hang", "fail", "drop"]


class Served:
    """One of loopback's peers, started on a thread of its own."""

    def __init__(self, peer: StubServer) -> None:
        self.peer = peer
        self._loops = LoopThread()
        self.port = self._loops.run(peer.start()).port

    def close(self) -> None:
        self._loops.call(self.peer.stop)
        self._loops.close()


@dataclass
class _Server:
    """One of a pool; `held` is what a hanging call waits for."""

    uid: str
    latency_ms: float
    room: int | None
    peer: StubServer = field(default_factory=StubServer)
    conduct: Conduct = "answer"
    held: asyncio.Event = field(default_factory=asyncio.Event)
    under_way: int = 0


class ServerPool:
    """So many servers, named s0, s1 and so on.

    Each answers 200 after its latency; over `room` calls at once it answers 503 at once. `conduct` changes
    that: "hang" holds each call until the conduct changes, "fail" answers 500, "drop" closes unanswered.
    """

    def __init__(self, count: int, latency_ms: float = 0.0, room: int | None = None) -> None:
        self._loops = LoopThread()
        self._reached: dict[str, list[str]] = {}
        self._hits: Counter[str] = Counter()
        self._servers = [_Server(f"s{at}", latency_ms, room) for at in range(count)]
        self._loops.run(self._start())

    async def _start(self) -> None:
        for server in self._servers:
            server.peer.script = lambda message, server=server: self._answer(server, message)
            await server.peer.start()

    async def _answer(self, server: _Server, message: Message) -> bytes | None:
        server.peer.seen.clear()  # noted here, by id: a long run keeps no bodies
        self._hits[server.uid] += 1
        self._reached.setdefault(message.headers.get("req-id", message.start_line[1]), []).append(server.uid)
        if server.room is not None and server.under_way >= server.room:
            return http_response(503, b"")
        server.under_way += 1
        try:
            await asyncio.sleep(server.latency_ms / 1000.0)
            while server.conduct == "hang":
                await server.held.wait()
        finally:
            server.under_way -= 1
        if server.conduct == "drop":
            return None
        return http_response(500, b"") if server.conduct == "fail" else http_response()

    def set(self, at: int, conduct: Conduct = "answer", latency_ms: float | None = None) -> None:
        """From now on, for calls under way too (whose latency stays)."""

        def change() -> None:
            server = self._servers[at]
            server.conduct = conduct
            server.latency_ms = server.latency_ms if latency_ms is None else latency_ms
            server.held.set()
            server.held = asyncio.Event()

        self._loops.call(change)

    def port(self, at: int = 0) -> int:
        return self._servers[at].peer.port

    def known(self, *chosen: int) -> list[dict[str, Any]]:
        """These servers (or all) as rows of a node's known list."""
        servers = [self._servers[at] for at in chosen] if chosen else self._servers
        return targets(**{server.uid: (server.peer.endpoint, "Ready") for server in servers})

    @property
    def hits(self) -> Counter[str]:
        """Calls so far, by server."""
        return self._loops.call(self._hits.copy)

    @property
    def reached(self) -> dict[str, list[str]]:
        """For each request's id, the servers it reached, in order: one entry a call."""
        return self._loops.call(lambda: {name: list(uids) for name, uids in self._reached.items()})

    def most(self) -> int:
        """How often the request that reached servers most often did; 0 if none came."""
        return max((len(uids) for uids in self.reached.values()), default=0)

    def close(self) -> None:
        def stop() -> None:
            for server in self._servers:
                server.peer.stop()

        self._loops.call(stop)
        self._loops.close()
