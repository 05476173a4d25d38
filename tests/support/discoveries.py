"""A discovery that does to each call what a test says, and a watcher that follows it."""

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
from tests.support.loopback import read_message, reply

PROPAGATION_DEADLINE_S = 6.0  # by the operators' terms, not by the program's own constant
ADDRESS_CHANGE_DEADLINE_S = 4.0  # so too, from SIGHUP on
PUSH_BACKOFF_S, POLL_BACKOFF_S = 0.5, 5.0  # the longest pause that a node's settings leave it
MODES = pytest.mark.parametrize("pause_s", [PUSH_BACKOFF_S, POLL_BACKOFF_S], ids=["push", "ask"])


class Luck(Random):
    """Every draw at one end of its range."""

    def __init__(self, end: float) -> None:
        super().__init__(0)
        self.end = end

    def uniform(self, a: float, b: float) -> float:
        return a + (b - a) * self.end


def row(rev: int, whole: bool = True, **more: Any) -> bytes:
    return orjson.dumps({"rev": rev, "all": whole, "targets": []} | more)


@dataclass
class Source:
    """A discovery that holds a version, and does to each call what the test has set."""

    rev: int = 1
    act: str = "answer"
    text: bytes = b""  # of a 200 that is spoilt
    calls: list[str] = field(default_factory=list)
    connections: int = 0

    def __post_init__(self) -> None:
        self.news = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()
        self.lost: dict[asyncio.StreamWriter, str] = {}  # connections on which nothing good comes any more

    async def open(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = self.server.sockets[0].getsockname()[:2]

    def change(self, rev: int | None = None) -> float:
        """Something new is there from now on; when."""
        self.rev = self.rev + 1 if rev is None else rev
        self.news.set()
        self.news = asyncio.Event()
        return now()

    def close(self) -> None:
        """Its listener and what is open: as a process that dies."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                target = (await read_message(reader)).first[1]
                self.calls.append(target)
                await self._answer(target, writer)

    def fall_silent(self, how: str) -> float:
        """What is open now brings nothing whole any more; what is opened anew is served. When."""
        self.lost |= dict.fromkeys(self.writers, how)
        return now()

    async def _answer(self, target: str, writer: asyncio.StreamWriter) -> None:
        asked = "since" in target
        since, _, wait = target.partition("since=")[2].partition("&timeout_ms=")
        if self.act == "answer" and asked and int(since) >= self.rev:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.news.wait(), int(wait) / 1000.0)
        act = self.lost.get(writer, self.act)
        if act == "answer":
            writer.write(reply(200, row(self.rev, not asked)))
        elif act == "silent":
            await asyncio.Event().wait()
        elif act == "drip":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
            while not writer.is_closing():
                writer.write(b" ")
                await asyncio.sleep(0.1)
        elif act == "cut":
            writer.write(reply(200, row(self.rev))[:-9])
            writer.close()
        elif act == "reset":
            writer.transport.abort()
        elif act == "no length":
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + row(self.rev))
            writer.close()
        elif act == "spoilt":
            writer.write(reply(200, self.text))
        else:
            writer.write(reply(int(act), Location="http://127.0.0.1:1/"))


def now() -> float:
    return asyncio.get_running_loop().time()


class Listener:
    """What the node hears, and when; raises at what it hears if told to."""

    def __init__(self) -> None:
        self.heard: list[tuple[float, EndpointListKind, int]] = []
        self.raises: dict[EndpointListKind, BaseException] = {}  # once each
        self.more = asyncio.Event()

    def __call__(self, form: EndpointListKind, news: DiscoveryResponse | None) -> None:
        if (error := self.raises.pop(form, None)) is not None:
            raise error
        self.more.set()
        self.heard.append((now(), form, 0 if news is None else news.revision))

    async def learned(self, rev: int) -> float:
        """When this version, or a later one, was heard."""
        while not (at := [at for at, _, had in self.heard if had >= rev]):
            await self.next()
        return at[0]

    async def next(self) -> None:
        """Until something is heard; a watch that has ended fails the test by this limit."""
        self.more.clear()
        await asyncio.wait_for(self.more.wait(), 60.0)


@contextlib.asynccontextmanager
async def watching(
    source: Source, pause_s: float = PUSH_BACKOFF_S, known: int = 1, luck: float = 1.0
) -> AsyncIterator[tuple[EndpointListWatcher, Listener]]:
    listener = Listener()
    watcher = EndpointListWatcher(source.address, known, PollPolicy(20.0, pause_s, Luck(luck)), listener)
    watcher.start()
    try:
        yield watcher, listener
    finally:
        watcher.close()
        source.close()
