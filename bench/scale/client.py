"""A client with persistent connections that times requests at the socket, for the latency a node adds.

The time of a request ends in `data_received`, so that later iterations of the event loop don't count.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

END_OF_HEAD = b"\r\n\r\n"
OK = b"HTTP/1.1 200 "
RESPONSE_TIMEOUT_S = 5.0

Address = tuple[str, int]
CoreWaitClock = Callable[[], int]  # ns that the processes on the request's path have waited for a core so far


class FailedCallError(Exception):
    """A request whose response is not a 200, or that got none."""


@dataclass(frozen=True)
class CallTime:
    """The latency of a request, and how long processes on its path waited for a core meanwhile."""

    latency_ns: int
    core_wait_ns: int  # summed over the processes


def no_core_waits() -> int:
    """Return 0, where waits for a core are not measured."""
    return 0


def request(name: str) -> bytes:
    """Return an idempotent GET with this request id."""
    return f"GET /read/{name} HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {name}\r\n\r\n".encode()


def is_complete(response: bytes) -> bool:
    """Whether the response's head and all of the body by its Content-Length were received."""
    head, found, body = response.partition(END_OF_HEAD)
    if not found:
        return False
    length_lines = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
    return len(body) >= (int(length_lines[0].partition(b":")[2]) if length_lines else 0)


class Connection(asyncio.Protocol):
    """A persistent connection that carries one request at a time."""

    def __init__(self, waits: CoreWaitClock) -> None:
        self.open = True
        self._waits = waits
        self._response = b""
        self._sent_ns, self._core_wait_ns = 0, 0
        self._result: asyncio.Future[CallTime] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        self.open = False
        self._end(FailedCallError("the connection was closed"))

    def data_received(self, data: bytes) -> None:
        latency_ns = time.perf_counter_ns() - self._sent_ns
        self._response += data
        if not is_complete(self._response):
            return
        if self._response.startswith(OK):
            self._end(CallTime(latency_ns, self._waits() - self._core_wait_ns))
        else:
            self._end(FailedCallError(self._response.split(b"\r\n")[0].decode("latin-1")))

    async def call(self, data: bytes) -> CallTime:
        """Send a request and return its latency; raise FailedCallError unless the response is a 200."""
        self._response = b""
        self._result = asyncio.get_running_loop().create_future()
        self._core_wait_ns = self._waits()
        self._sent_ns = time.perf_counter_ns()
        self._transport.write(data)
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                return await self._result
        except TimeoutError as error:
            self.close()
            raise FailedCallError("no response in time") from error

    def close(self) -> None:
        self.open = False
        self._transport.close()

    def _end(self, result: CallTime | FailedCallError) -> None:
        result_future, self._result = self._result, None
        if result_future is None or result_future.done():
            return
        if isinstance(result, FailedCallError):
            result_future.set_exception(result)
        else:
            result_future.set_result(result)


class Client:
    """Sends requests to random addresses; opens connections on demand and reuses them."""

    def __init__(self, addresses: Sequence[Address], seed: int, waits: CoreWaitClock = no_core_waits) -> None:
        self._addresses, self._waits = list(addresses), waits
        self._random = Random(seed)
        self._idle: dict[Address, list[Connection]] = {address: [] for address in addresses}

    async def call(self, name: str) -> CallTime:
        """Send a request and return its latency, without the time to open a connection."""
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
