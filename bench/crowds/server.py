"""A stub server for crowds: silent for /post/hang, a long response for /post/long, else a short one.

For /post/chunks the response has chunks of one byte and no end.
"""

from __future__ import annotations

import asyncio
from multiprocessing.connection import Connection

import httptools

from tests.support.parent_death import end_with_parent

LONG_RESPONSE_BYTES = 8 * 1024 * 1024
PIECE_BYTES = 64 * 1024
LATENCY_S = 0.005
TINY_CHUNKS = b"1\r\nx\r\n" * 10_000


class _Exchange(asyncio.Protocol):
    """One connection to the node."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._writable = asyncio.Event()
        self._writable.set()
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def on_url(self, url: bytes) -> None:
        self._target = url

    def on_message_complete(self) -> None:
        if self._target != b"/post/hang":
            self._task = asyncio.create_task(self._respond(self._target))

    async def _respond(self, target: bytes) -> None:
        await asyncio.sleep(LATENCY_S)
        if target == b"/post/chunks":
            await self._send_chunks()
        if target != b"/post/long":
            self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
            return
        self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_RESPONSE_BYTES)
        for _ in range(LONG_RESPONSE_BYTES // PIECE_BYTES):
            await self._writable.wait()
            self._transport.write(bytes(PIECE_BYTES))

    async def _send_chunks(self) -> None:
        self._transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while not self._transport.is_closing():
            await self._writable.wait()
            self._transport.write(TINY_CHUNKS)
            await asyncio.sleep(0)


async def _serve(ports: Connection) -> None:
    server = await asyncio.get_running_loop().create_server(_Exchange, "127.0.0.1", 0, backlog=1024)
    ports.send(server.sockets[0].getsockname()[1])
    await server.serve_forever()


def run_server(ports: Connection) -> None:
    """Serve until the process is ended; send the port first."""
    end_with_parent()
    asyncio.run(_serve(ports))
