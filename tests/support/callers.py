"""Callers whose acts cross the node's: plain sockets, so that what they do takes no turn of its loop."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

from loadbalancer.node.listener.connection import ServerConnection
from loadbalancer.node.node import Node
from tests.support.loopback import Message, StubServer, http_response, request, wait_until


def connect(node: Node) -> socket.socket:
    """A caller whose acts take no turn of the node's loop: all that it does between two awaits crosses."""
    return socket.create_connection(node.listener.address, timeout=20.0)


def half_close(caller: socket.socket) -> None:
    caller.shutdown(socket.SHUT_WR)


def reset(caller: socket.socket) -> None:
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.close()


MIB = 1024 * 1024
ANSWER = bytes(range(256)) * 240  # 60 KiB: held whole, and far more than the small buffers take


class Ends:
    """A server's end of an answer that is passed on: the test gives the bytes itself."""

    def pause(self) -> None:
        """As many as may come are given."""

    def resume(self) -> None:
        """So too."""

    def abandon(self) -> None:
        """Nobody else is told."""


class Taken:
    """A server that takes all of a body."""

    def write(self, data: bytes) -> None:
        """It goes nowhere."""

    def end(self) -> None:
        """Nothing waits for it."""

    def fail(self) -> None:
        """Nor for this."""


LEAVING = [socket.socket.close, half_close, reset]
Leave = Callable[[socket.socket], None]


async def slow_reader(
    node: Node, server: StubServer, **headers: str
) -> tuple[socket.socket, ServerConnection]:
    """A caller whose answer is written, and for the most part still in the node's write buffer."""

    async def answer(_message: Message) -> bytes:
        return http_response(body=ANSWER)

    server.script = answer
    caller = socket.socket()
    caller.settimeout(20.0)
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    caller.connect(node.listener.address)
    await wait_until(lambda: node.listener.connections)
    (connection,) = node.listener.connections
    connection._transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    caller.sendall(request(**headers))
    await wait_until(lambda: node.event_counts["responses 200"])
    assert connection._transport.get_write_buffer_size() > 20_000
    return caller, connection


async def read_to_the_end(caller: socket.socket, answers: int | None = None, close: bool = True) -> bytes:
    """All that comes, or so many of the answers."""
    caller.setblocking(False)
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    data = b""
    async with asyncio.timeout(20):
        while data.count(ANSWER) != answers and (
            piece := await asyncio.get_running_loop().sock_recv(caller, 65_536)
        ):
            data += piece
    if close:
        caller.close()
    return data


async def turns(count: int = 1000) -> None:
    """Far more of the node's loop than what could still happen takes."""
    for _ in range(count):
        await asyncio.sleep(0)
