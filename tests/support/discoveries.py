"""A stub discovery with configurable faults, and a running watcher with a recorder of its updates."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from random import Random
from typing import Any

import orjson
import pytest

from loadbalancer.endpoints import EndpointListKind
from loadbalancer.node.discovery.poll_policy import PollPolicy
from loadbalancer.node.discovery.response import DiscoveryResponse
from loadbalancer.node.discovery.watcher import EndpointListWatcher
from tests.support.loopback import http_response, read_message

# Deadlines from PROTOCOL, on purpose not taken from the program's constants.
PROPAGATION_DEADLINE_S = 6.0
ADDRESS_CHANGE_DEADLINE_S = 4.0  # from SIGHUP on
PUSH_BACKOFF_S, POLL_BACKOFF_S = 0.5, 5.0  # maximum backoff by a node's settings in each registry mode
MODES = pytest.mark.parametrize("max_backoff_s", [PUSH_BACKOFF_S, POLL_BACKOFF_S], ids=["push", "ask"])


class FixedUniform(Random):
    """A generator whose `uniform` always returns the same position in the range, from 0.0 to 1.0."""

    def __init__(self, position: float) -> None:
        super().__init__(0)
        self.position = position

    def uniform(self, a: float, b: float) -> float:
        return a + (b - a) * self.position


def list_body(rev: int, complete: bool = True, **fields: Any) -> bytes:
    return orjson.dumps({"rev": rev, "all": complete, "targets": []} | fields)


@dataclass
class StubDiscovery:
    """A discovery with a list of one revision, which handles each poll by `behavior`."""

    rev: int = 1
    behavior: str = "respond"  # or a fault, or an HTTP status; see `_respond`
    body: bytes = b""  # of the 200 response of "given body"
    polls: list[str] = field(default_factory=list)
    connections: int = 0

    def __post_init__(self) -> None:
        self.changed = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()
        self.faulty: dict[asyncio.StreamWriter, str] = {}  # behavior by connection, instead of `behavior`

    async def open(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = self.server.sockets[0].getsockname()[:2]

    def change(self, rev: int | None = None) -> float:
        """Change the list's revision; return the time."""
        self.rev = self.rev + 1 if rev is None else rev
        self.changed.set()
        self.changed = asyncio.Event()
        return now()

    def close(self) -> None:
        """Close the listener and abort all connections, as when the process ends."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                target = (await read_message(reader)).start_line[1]
                self.polls.append(target)
                await self._respond(target, writer)

    def break_connections(self, behavior: str) -> float:
        """Give all open connections this faulty behavior; new connections work. Return the time."""
        self.faulty |= dict.fromkeys(self.writers, behavior)
        return now()

    async def _respond(self, target: str, writer: asyncio.StreamWriter) -> None:
        is_long_poll = "since" in target
        since, _, wait = target.partition("since=")[2].partition("&timeout_ms=")
        if self.behavior == "respond" and is_long_poll and int(since) >= self.rev:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), int(wait) / 1000.0)
        behavior = self.faulty.get(writer, self.behavior)
        if behavior == "respond":
            writer.write(http_response(200, list_body(self.rev, not is_long_poll)))
        elif behavior == "silent":
            await asyncio.Event().wait()
        elif behavior == "drip":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
            while not writer.is_closing():
                writer.write(b" ")
                await asyncio.sleep(0.1)
        elif behavior == "cut":
            writer.write(http_response(200, list_body(self.rev))[:-9])
            writer.close()
        elif behavior == "reset":
            writer.transport.abort()
        elif behavior == "no length":
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + list_body(self.rev))
            writer.close()
        elif behavior == "given body":
            writer.write(http_response(200, self.body))
        else:
            writer.write(http_response(int(behavior), Location="http://127.0.0.1:1/"))


def now() -> float:
    return asyncio.get_running_loop().time()


class UpdateRecorder:
    """Records the watcher's updates with their times; raises the errors set in `errors`."""

    def __init__(self) -> None:
        self.updates: list[tuple[float, EndpointListKind, int]] = []
        self.errors: dict[EndpointListKind, BaseException] = {}  # by kind of update, each raised once
        self.received = asyncio.Event()

    def __call__(self, kind: EndpointListKind, response: DiscoveryResponse | None) -> None:
        if (error := self.errors.pop(kind, None)) is not None:
            raise error
        self.received.set()
        self.updates.append((now(), kind, 0 if response is None else response.revision))

    async def wait_for_revision(self, rev: int) -> float:
        """Return the time of the first update with this revision or a later one."""
        while not (times := [time for time, _, revision in self.updates if revision >= rev]):
            await self.next()
        return times[0]

    async def next(self) -> None:
        """Wait for the next update; fails after 60 s, as when the watch has ended."""
        self.received.clear()
        await asyncio.wait_for(self.received.wait(), 60.0)


@contextlib.asynccontextmanager
async def running_watcher(
    discovery: StubDiscovery, max_backoff_s: float = PUSH_BACKOFF_S, known: int = 1, jitter: float = 1.0
) -> AsyncIterator[tuple[EndpointListWatcher, UpdateRecorder]]:
    """A watcher that starts with revision `known`; `jitter`: position in the range of the backoff jitter."""
    recorder = UpdateRecorder()
    watcher = EndpointListWatcher(
        discovery.address, known, PollPolicy(20.0, max_backoff_s, FixedUniform(jitter)), recorder
    )
    watcher.start()
    try:
        yield watcher, recorder
    finally:
        watcher.close()
        discovery.close()
