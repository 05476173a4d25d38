"""Clients on plain sockets, for races with the node.

Their actions reach the node's kernel at once and need no iteration of its event loop.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

from loadbalancer.node.listener.connection import ServerConnection
from loadbalancer.node.node import Node
from tests.support.loopback import Message, StubServer, http_response, request, wait_until


def connect(node: Node, receive_buffer_bytes: int | None = None) -> socket.socket:
    """Return a client; its actions between two awaits take effect before the node's loop runs again."""
    client = socket.socket()
    client.settimeout(20.0)
    if receive_buffer_bytes is not None:  # else the kernel adapts it
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    client.connect(node.listener.address)
    return client


def half_close(client: socket.socket) -> None:
    client.shutdown(socket.SHUT_WR)


def reset(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


MIB = 1024 * 1024
RESPONSE_BODY = bytes(range(256)) * 240  # 60 KiB: not streamed, and exceeds the small buffers


class NullSource:
    """The source of a response body that the test feeds directly; flow control is ignored."""

    def pause(self) -> None:
        """Ignored."""

    def resume(self) -> None:
        """Ignored."""

    def abandon(self) -> None:
        """Ignored."""


class DiscardingSink:
    """A body's sink that discards all data."""

    def write(self, data: bytes) -> None:
        """Discarded."""

    def end(self) -> None:
        """Ignored."""

    def fail(self) -> None:
        """Ignored."""


DISCONNECTS = [socket.socket.close, half_close, reset]
Disconnect = Callable[[socket.socket], None]


async def start_slow_reader(
    node: Node, server: StubServer, **headers: str
) -> tuple[socket.socket, ServerConnection]:
    """Return a client whose response has been written and is mostly in the node's write buffer."""

    async def respond(_message: Message) -> bytes:
        return http_response(body=RESPONSE_BODY)

    server.script = respond
    client = socket.socket()
    client.settimeout(20.0)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    client.connect(node.listener.address)
    await wait_until(lambda: node.listener.connections)
    (connection,) = node.listener.connections
    connection._transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    client.sendall(request(**headers))
    await wait_until(lambda: node.event_counts["responses 200"])
    assert connection._transport.get_write_buffer_size() > 20_000
    return client, connection


async def read_until_close(client: socket.socket, responses: int | None = None, close: bool = True) -> bytes:
    """Read until the node closes the connection, or until `responses` complete responses have arrived."""
    client.setblocking(False)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    data = b""
    async with asyncio.timeout(20):
        while data.count(RESPONSE_BODY) != responses and (
            piece := await asyncio.get_running_loop().sock_recv(client, 65_536)
        ):
            data += piece
    if close:
        client.close()
    return data


async def run_loop(iterations: int = 1000) -> None:
    """Run the event loop for more iterations than any pending work of the node needs."""
    for _ in range(iterations):
        await asyncio.sleep(0)
