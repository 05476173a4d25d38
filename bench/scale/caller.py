"""Calls over kept connections, timed at the socket, for the latency that a node adds.

The time of a call ends in `data_received`, so that no turn of the loop after it counts.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

END_OF_HEAD = b"\r\n\r\n"
OK = b"HTTP/1.1 200 "
ANSWER_LIMIT_S = 5.0

Address = tuple[str, int]
Waits = Callable[[], int]  # ns that the processes on the way have waited for a core so far


class FailedCallError(Exception):
    """A call that was answered by anything but 200, or not at all."""


@dataclass(frozen=True)
class CallTime:
    taken_ns: int
    waited_ns: int  # that processes on the way were ready to run meanwhile without a core, summed


def never_waits() -> int:
    return 0


def request(name: str) -> bytes:
    """A GET that may be repeated freely, under this id."""
    return f"GET /read/{name} HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {name}\r\n\r\n".encode()


def is_whole(answer: bytes) -> bool:
    """Whether the answer's head and the body that its Content-Length tells are there."""
    head, found, body = answer.partition(END_OF_HEAD)
    if not found:
        return False
    lengths = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
    return len(body) >= (int(lengths[0].partition(b":")[2]) if lengths else 0)


class Connection(asyncio.Protocol):
    """One kept connection, which carries one call at a time."""

    def __init__(self, waits: Waits) -> None:
        self.open = True
        self._waits = waits
        self._answer = b""
        self._sent_ns, self._waited_ns = 0, 0
        self._ended: asyncio.Future[CallTime] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        self.open = False
        self._end(FailedCallError("the connection was closed"))

    def data_received(self, data: bytes) -> None:
        taken_ns = time.perf_counter_ns() - self._sent_ns
        self._answer += data
        if not is_whole(self._answer):
            return
        if self._answer.startswith(OK):
            self._end(CallTime(taken_ns, self._waits() - self._waited_ns))
        else:
            self._end(FailedCallError(self._answer.split(b"\r\n")[0].decode("latin-1")))

    async def call(self, data: bytes) -> CallTime:
        """The call's latency; FailedCallError where it was not answered by a 200."""
        self._answer = b""
        self._ended = asyncio.get_running_loop().create_future()
        self._waited_ns = self._waits()
        self._sent_ns = time.perf_counter_ns()
        self._transport.write(data)
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                return await self._ended
        except TimeoutError as error:
            self.close()
            raise FailedCallError("no answer in time") from error

    def close(self) -> None:
        self.open = False
        self._transport.close()

    def _end(self, result: CallTime | FailedCallError) -> None:
        ended, self._ended = self._ended, None
        if ended is None or ended.done():
            return
        if isinstance(result, FailedCallError):
            ended.set_exception(result)
        else:
            ended.set_result(result)


class Caller:
    """Calls to addresses drawn at random, over connections that are opened as they are needed and kept."""

    def __init__(self, addresses: Sequence[Address], seed: int, waits: Waits = never_waits) -> None:
        self._addresses, self._waits = list(addresses), waits
        self._random = Random(seed)
        self._idle: dict[Address, list[Connection]] = {address: [] for address in addresses}

    async def call(self, name: str) -> CallTime:
        """The call's latency, without the opening of a connection."""
        address = self._random.choice(self._addresses)
        connection = await self._connection(address)
        try:
            return await connection.call(request(name))
        finally:
            if connection.open:
                self._idle[address].append(connection)

    async def _connection(self, address: Address) -> Connection:
        idle = self._idle[address]
        while idle:
            connection = idle.pop()
            if connection.open:
                return connection
        loop = asyncio.get_running_loop()
        _, opened = await loop.create_connection(lambda: Connection(self._waits), *address)
        return opened

    def close(self) -> None:
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
