"""A stub server that sends long responses in pieces, at a steady pace."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

from loadbalancer.node.http.client_connection import LAST_CHUNK, encode_chunk
from loadbalancer.node.node import Node
from tests.support.loopback import http_response, loopback_node, request, targets, wait_until
from tests.support.raw_clients import connect

PIECE = bytes(64 * 1024)
SMALL_RECEIVE_BUFFER_BYTES = 64 * 1024


class PacedServer:
    """Responds to a GET in `count` pieces, `pause_s` apart, the first after `delay_s`; then it may hang.

    Any other request gets a short response at once.
    """

    def __init__(
        self, count: int, pause_s: float, framing: str = "length", delay_s: float = 0.0, hangs: bool = False
    ) -> None:
        self._count = count
        self._pause_s = pause_s
        self._framing = framing
        self._delay_s = delay_s
        self._hangs = hangs
        self._writers: list[asyncio.StreamWriter] = []
        self.requests = 0  # that are no GET

    async def start(self) -> PacedServer:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port: int = self._server.sockets[0].getsockname()[1]
        return self

    @property
    def endpoint(self) -> str:
        return f"127.0.0.1:{self.port}"

    def stop(self) -> None:
        self._server.close()
        for writer in self._writers:
            writer.close()

    @property
    def _head(self) -> bytes:
        pieces = self._count + self._hangs
        field = {
            "length": b"Content-Length: %d" % (pieces * len(PIECE)),
            "chunked": b"Transfer-Encoding: chunked",
            "close": b"Connection: close",
        }
        return b"HTTP/1.1 200 OK\r\n" + field[self._framing] + b"\r\n\r\n"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while request := await reader.readuntil(b"\r\n\r\n"):
                if not request.startswith(b"GET"):
                    self.requests += 1
                    writer.write(http_response())
                    continue
                await asyncio.sleep(self._delay_s)
                await self._respond(writer)
                if self._hangs:
                    await reader.read()
                if self._framing == "close":
                    break
        writer.close()

    async def _respond(self, writer: asyncio.StreamWriter) -> None:
        writer.write(self._head)
        for _ in range(self._count):
            writer.write(encode_chunk(PIECE) if self._framing == "chunked" else PIECE)
            await writer.drain()
            await asyncio.sleep(self._pause_s)
        if self._framing == "chunked" and not self._hangs:
            writer.write(LAST_CHUNK)


@contextlib.asynccontextmanager
async def running_node(server: PacedServer, **more: Any) -> AsyncIterator[Node]:
    """Run the server, and a node whose only endpoint it is."""
    await server.start()
    async with loopback_node(known=targets(s0=(server.endpoint, "Ready")), **more) as node:
        yield node
    server.stop()


async def hang_at_once(node: Node) -> None:
    """Start a client that reads nothing of its response."""
    client = connect(node, SMALL_RECEIVE_BUFFER_BYTES)
    client.sendall(request())
    await wait_until(lambda: node.request_registry.streaming)
    node.loop.call_later(100.0, client.close)
