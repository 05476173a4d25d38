"""Stub servers on a thread, for tests of processes: they record every request and fail on demand."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, Literal

from tests.support.faults import LoopThread
from tests.support.loopback import Message, StubServer, http_response, targets

Behaviour = Literal["respond", "hang", "fail", "drop"]


class ThreadedServer:
    """A loopback server, started on a thread of its own."""

    def __init__(self, peer: StubServer) -> None:
        self.peer = peer
        self._loops = LoopThread()
        self.port = self._loops.run(peer.start()).port

    def close(self) -> None:
        self._loops.call(self.peer.stop)
        self._loops.close()


@dataclass
class _Server:
    """One stub server; hanging requests wait for `behaviour_changed`."""

    uid: str
    latency_ms: float
    capacity: int | None
    peer: StubServer = field(default_factory=StubServer)
    behaviour: Behaviour = "respond"
    behaviour_changed: asyncio.Event = field(default_factory=asyncio.Event)
    in_flight: int = 0


class StubServerPool:
    """`count` stub servers, named s0, s1 and so on.

    Each responds with 200 after its latency, and with 503 at once to requests beyond `capacity` concurrent
    ones. Its behaviour can be changed: "hang" blocks each request until the next change, "fail" responds with
    500, "drop" closes the connection without a response.
    """

    def __init__(self, count: int, latency_ms: float = 0.0, capacity: int | None = None) -> None:
        self._loops = LoopThread()
        self._servers_reached: dict[str, list[str]] = {}
        self._request_counts: Counter[str] = Counter()
        self._servers = [_Server(f"s{index}", latency_ms, capacity) for index in range(count)]
        self._loops.run(self._start())

    async def _start(self) -> None:
        for server in self._servers:
            server.peer.script = lambda message, server=server: self._respond(server, message)
            await server.peer.start()

    async def _respond(self, server: _Server, message: Message) -> bytes | None:
        server.peer.seen.clear()  # requests are recorded below by id, so that long runs retain no bodies
        self._request_counts[server.uid] += 1
        self._servers_reached.setdefault(message.headers.get("req-id", message.start_line[1]), []).append(
            server.uid
        )
        if server.capacity is not None and server.in_flight >= server.capacity:
            return http_response(503, b"")
        server.in_flight += 1
        try:
            await asyncio.sleep(server.latency_ms / 1000.0)
            while server.behaviour == "hang":
                await server.behaviour_changed.wait()
        finally:
            server.in_flight -= 1
        if server.behaviour == "drop":
            return None
        return http_response(500, b"") if server.behaviour == "fail" else http_response()

    def set_behaviour(
        self, index: int, behaviour: Behaviour = "respond", latency_ms: float | None = None
    ) -> None:
        """Change a server's behaviour, also for requests in flight, and its latency for new requests."""

        def change() -> None:
            server = self._servers[index]
            server.behaviour = behaviour
            server.latency_ms = server.latency_ms if latency_ms is None else latency_ms
            server.behaviour_changed.set()
            server.behaviour_changed = asyncio.Event()

        self._loops.call(change)

    def port(self, index: int = 0) -> int:
        return self._servers[index].peer.port

    def known_targets(self, *indexes: int) -> list[dict[str, Any]]:
        """Return these servers (default: all) as targets for the `known` setting of a node."""
        servers = [self._servers[index] for index in indexes] if indexes else self._servers
        return targets(**{server.uid: (server.peer.endpoint, "Ready") for server in servers})

    @property
    def request_counts(self) -> Counter[str]:
        """The number of requests received so far, by server."""
        return self._loops.call(self._request_counts.copy)

    @property
    def servers_reached(self) -> dict[str, list[str]]:
        """The servers that received each request, by request id; one entry per attempt, in order."""
        return self._loops.call(lambda: {name: list(uids) for name, uids in self._servers_reached.items()})

    def max_attempts(self) -> int:
        """The highest number of attempts received for one request; 0 if no request was received."""
        return max((len(uids) for uids in self.servers_reached.values()), default=0)

    def close(self) -> None:
        def stop() -> None:
            for server in self._servers:
                server.peer.stop()

        self._loops.call(stop)
        self._loops.close()
