"""Long answers whose servers hang past their callers' time: the callers see that they are not whole."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import pytest

from loadbalancer.node.node import Node
from loadbalancer.node.upstream.attempt import STREAM_IDLE_TIMEOUT_S
from tests.support.callers import connect
from tests.support.clocks import run
from tests.support.loopback import SETTINGS, request, running_node, targets, wait_until

DEADLINE_S = 1.0
LATE_S = 0.5  # past its time by so much a request is lost, by the operators' terms
BEGUN = bytes(100_000)
HEADS = {
    "by length": b"HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\n" + BEGUN,
    "in chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7a120\r\n" + BEGUN,
    "to the close": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + BEGUN,
}


class Hanging:
    """A server that begins each answer, goes on byte by byte for so long, and then hangs."""

    def __init__(self, head: bytes, drips_s: float = 0.0) -> None:
        self._head = head
        self._drips_s = drips_s
        self.left = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._head)
            loop = asyncio.get_running_loop()
            end = loop.time() + self._drips_s
            while loop.time() < end:
                await asyncio.sleep(0.05)
                writer.write(b"x")
            await reader.read()
        self.left += 1
        writer.close()

    @contextlib.asynccontextmanager
    async def before(self, **more: Any) -> AsyncIterator[Node]:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        endpoint = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with running_node(known=targets(s0=(endpoint, "Ready")), **more) as node:
            yield node
        server.close()


async def read_to_an_end(node: Node) -> tuple[float, bytes]:
    """How long after its sending a request's connection ended, with what of an answer."""
    caller, loop = connect(node), asyncio.get_running_loop()
    caller.setblocking(False)
    await loop.sock_sendall(caller, request(Req_Deadline_Ms="1000"))
    began, read = loop.time(), b""
    with contextlib.suppress(ConnectionError):
        async with asyncio.timeout(20):
            while piece := await loop.sock_recv(caller, 65_536):
                read += piece
    caller.close()
    return loop.time() - began, read


@pytest.mark.parametrize("drips_s", [0.0, 0.9])
@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS)
def test_a_long_answer_whose_server_hangs_is_broken_off_in_time(head: bytes, drips_s: float):
    """Guard: its caller was held for 10 s."""

    async def main():
        server = Hanging(head, drips_s)
        async with server.before() as node:
            took_s, read = await read_to_an_end(node)
            assert DEADLINE_S < took_s < DEADLINE_S + LATE_S
            assert b" 200 " in read
            assert not read.endswith(b"0\r\n\r\n")  # no end of its own
            await wait_until(lambda: server.left and not node.pool.connection_count)
            assert node.request_registry.streaming == 0
            assert node.event_counts["aborted streams"] == 1

    run(main())


def test_one_that_still_comes_past_its_callers_time_goes_on_until_its_server_hangs():
    async def main():
        async with Hanging(HEADS["by length"], drips_s=5.0).before() as node:
            took_s, _ = await read_to_an_end(node)
            assert 5.0 < took_s < 6.0

    run(main())


def test_a_stream_has_no_such_time():
    async def main():
        kinds = [kind | {"stream": True} for kind in SETTINGS["categories"]]
        async with Hanging(HEADS["by length"]).before(settings={"categories": kinds}) as node:
            took_s, _ = await read_to_an_end(node)
            assert took_s == pytest.approx(STREAM_IDLE_TIMEOUT_S, abs=0.1)

    run(main())
