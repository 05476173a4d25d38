"""Responses in progress when a node is told to end: those that make progress are completed, and nothing else
keeps the process."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import Any

import pytest

from loadbalancer.node import shutdown
from loadbalancer.node.listener import stream_progress
from loadbalancer.node.node import Node
from tests.support.clocks import run
from tests.support.loopback import SETTINGS, Client, config, request, wait_until
from tests.support.paced_server import (
    PIECE,
    SMALL_RECEIVE_BUFFER_BYTES,
    PacedServer,
    hang_at_once,
    running_node,
)
from tests.support.raw_clients import connect

QUIET_S = 0.002  # the drain's timers are due every 10 ms
DRAIN_S = shutdown.MAX_DEADLINE_S + shutdown.DRAIN_SLACK_S
LATEST_EXIT_S = DRAIN_S + shutdown.REJECTION_TIMEOUT_S  # with a peer that hangs, or an idle client
SLACK_S = 0.3
LOOP_SLACK_S = 0.05  # some iterations of the event loop
STREAM_CLASSES = {"categories": [row | {"stream": True} for row in SETTINGS["categories"]]}


async def stop_time(node: Node) -> float:
    """Stop the node as SIGTERM does; return how long it took (s)."""
    began = node.loop.time()
    await node.stop()
    return node.loop.time() - began


def body_of(response: bytes) -> bytes:
    """Return the body, without the chunked transfer coding; raise AssertionError if it is incomplete."""
    head, _, body = response.partition(b"\r\n\r\n")
    if b"chunked" not in head:
        return body
    assert body.endswith(b"0\r\n\r\n")
    decoded = bytearray()
    while body:
        size, _, body = body.partition(b"\r\n")
        decoded += body[: int(size, 16)]
        body = body[int(size, 16) + 2 :]
    return bytes(decoded)


async def read_response(client: socket.socket, data: bytes, size: int) -> bytes:
    """Send a request and return the body of its response, which has `size` bytes."""
    loop, read = asyncio.get_running_loop(), b""
    client.setblocking(False)
    await loop.sock_sendall(client, data)
    with contextlib.suppress(ConnectionError):
        while piece := await loop.sock_recv(client, 1 << 20):
            read += piece
            if b"Content-Length" in read and len(read.partition(b"\r\n\r\n")[2]) == size:
                break
    return body_of(read)


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
@pytest.mark.parametrize("begins", ["before", "after"])
def test_response_in_progress_at_sigterm_is_complete(framing: str, version: str, begins: str):
    """Regression: the process ended 8.6 s after SIGTERM and cut it off."""

    async def main():
        server = PacedServer(30, 0.5, framing, delay_s=0.0 if begins == "before" else 1.5)
        async with running_node(server) as node:
            client = connect(node)
            data = request().replace(b"HTTP/1.1", f"HTTP/{version}".encode())
            body = asyncio.create_task(read_response(client, data, 30 * len(PIECE)))
            if begins == "before":
                await wait_until(lambda: node.request_registry.streaming)
            else:
                await wait_until(lambda: node.request_registry.unanswered)
            stopping = asyncio.create_task(stop_time(node))
            assert len(await body) == 30 * len(PIECE)
            client.close()
            assert 14.0 < await stopping < 17.0
            assert node.event_counts["aborted streams"] == 0

    run(main(), QUIET_S)


def test_responses_of_several_clients_at_sigterm_are_complete():
    async def main():
        server = PacedServer(24, 0.5)
        async with running_node(server) as node:
            clients = [connect(node) for _ in range(6)]
            bodies = []
            for index, client in enumerate(clients):
                data = request(name=f"long{index}")
                bodies.append(asyncio.create_task(read_response(client, data, 24 * len(PIECE))))
                await asyncio.sleep(0.4)
            stopping = asyncio.create_task(stop_time(node))
            assert [len(body) for body in await asyncio.gather(*bodies)] == [24 * len(PIECE)] * 6
            for client in clients:
                client.close()
            assert await stopping < 14.0

    run(main(), QUIET_S)


def test_response_in_progress_is_complete_after_a_standby():
    async def main():
        async with running_node(PacedServer(30, 0.5)) as node:
            client = connect(node)
            body = asyncio.create_task(read_response(client, request(), 30 * len(PIECE)))
            await wait_until(lambda: node.request_registry.streaming)
            node.standby()
            await asyncio.sleep(1.0)
            stopping = asyncio.create_task(stop_time(node))
            assert len(await body) == 30 * len(PIECE)
            client.close()
            await stopping

    run(main(), QUIET_S)


def test_slow_client_receives_its_response_however_long_after_sigterm():
    """The server has sent all of it; the client reads 1 MiB each 3 s."""

    async def main():
        count = 256  # 16 MiB, more than the kernel's buffers hold
        async with running_node(PacedServer(count, 0.0)) as node:
            client, loop, received = connect(node), asyncio.get_running_loop(), 0
            client.setblocking(False)
            await loop.sock_sendall(client, request())
            await wait_until(lambda: node.request_registry.streaming)
            stopping = asyncio.create_task(stop_time(node))
            while piece := await loop.sock_recv(client, 1 << 20):
                received += len(piece)
                await asyncio.sleep(3.0 * len(piece) / (1 << 20))
            assert received > count * len(PIECE)  # with the head
            client.close()
            assert await stopping > LATEST_EXIT_S
            assert node.listener.closed_stalled == 0

    run(main(), QUIET_S)


def test_request_after_a_response_that_outlasted_the_drain_is_rejected():
    async def main():
        async with running_node(PacedServer(24, 0.5)) as node:
            client = await Client.connect(node)
            client.writer.write(request())
            await wait_until(lambda: node.request_registry.streaming)
            stopping = asyncio.create_task(stop_time(node))
            assert len((await client.read_response()).body) == 24 * len(PIECE)
            response = await client.exchange(request(name="next"))
            assert (response.status, response.headers["connection"]) == (503, "close")
            assert await client.reader.read() == b""  # closed, not reset
            await stopping

    run(main(), QUIET_S)


async def read_for(node: Node, duration_s: float) -> None:
    """A client that reads its response for a time. What its kernel takes afterwards counts as received."""
    client = connect(node, SMALL_RECEIVE_BUFFER_BYTES)
    task = asyncio.create_task(read_response(client, request(), 1 << 40))
    await wait_until(lambda: node.request_registry.streaming)
    node.loop.call_later(duration_s, task.cancel)
    node.loop.call_later(100.0, client.close)


@pytest.mark.parametrize(
    ("server", "client"),
    [
        (PacedServer(4, 0.5, hangs=True), lambda node: read_for(node, 100.0)),
        (PacedServer(400, 0.0), hang_at_once),
        (PacedServer(400, 0.1), hang_at_once),  # the kernel's buffers hold what the client doesn't read
        (PacedServer(400, 0.1), lambda node: read_for(node, 3.0)),
    ],
    ids=["hanging server", "hanging client", "hanging client of slow server", "client that stops reading"],
)
def test_peer_that_hangs_keeps_the_process_no_longer_than_before(
    server: PacedServer, client: Callable[[Node], Any]
):
    async def main():
        async with running_node(server, settings=STREAM_CLASSES) as node:
            await client(node)
            assert await stop_time(node) < LATEST_EXIT_S + LOOP_SLACK_S

    run(main(), QUIET_S)


def test_server_that_hangs_after_the_drain_ends_its_response():
    async def main():
        async with running_node(PacedServer(24, 0.5, hangs=True), settings=STREAM_CLASSES) as node:
            await read_for(node, 100.0)
            stopped_s = await stop_time(node)
            assert 12.0 < stopped_s < 12.0 + stream_progress.MAX_SILENCE_S + SLACK_S
            assert node.event_counts["aborted streams"] == 1

    run(main(), QUIET_S)


@pytest.mark.parametrize("sends", [b"", b"GET /re"])
def test_idle_client_and_partial_request_keep_the_process_no_longer_than_before(sends: bytes):
    async def main():
        async with running_node(PacedServer(1, 0.0)) as node:
            client = connect(node)
            client.sendall(sends)
            await wait_until(lambda: node.listener.connections)
            assert await stop_time(node) < LATEST_EXIT_S + SLACK_S
            client.close()

    run(main(), QUIET_S)


def test_response_without_end_is_cut_off_at_last(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(shutdown, "DELIVERY_TIMEOUT_S", 3.0)

    async def main():
        async with running_node(PacedServer(400, 0.1), settings=STREAM_CLASSES) as node:
            await read_for(node, 100.0)
            assert await stop_time(node) == pytest.approx(LATEST_EXIT_S + 3.0, abs=SLACK_S)

    run(main(), QUIET_S)


def test_longest_body_at_the_lowest_rate_fits_into_the_delivery_timeout():
    assert shutdown.DELIVERY_TIMEOUT_S >= 32 * 1024 * 1024 / 64_000


# ------------------------------------------------------------ what the process releases before its exit


def test_process_that_only_completes_responses_holds_nothing_that_requests_need(tmp_path):
    """Each is released when requests end, not at the exit."""

    async def main():
        more = {"state": str(tmp_path / "state"), "operator": "127.0.0.1:0", "tmpdir": str(tmp_path)}
        raw = socket.create_server(("127.0.0.1", 0))
        more["accept_fd"] = str(raw.detach())
        async with running_node(PacedServer(24, 0.5), **more) as node:
            order = await Client.connect(node)
            assert (await order.exchange(request("post", "order1"))).status == 200
            assert len(node.request_registry.executed_ids) == 1
            order.writer.close()
            client = connect(node)
            body = asyncio.create_task(read_response(client, request(), 24 * len(PIECE)))
            await wait_until(lambda: node.request_registry.streaming == 1)
            stopping = asyncio.create_task(stop_time(node))
            await asyncio.sleep(DRAIN_S + SLACK_S)
            assert not body.done()
            admin = await node.loop.create_server(asyncio.Protocol, *node.config.admin_address)
            admin.close()
            assert not node.listener.is_listening
            assert node.watcher._task is None
            assert len(node.request_registry.executed_ids) == 0
            assert node.memory.executed_ids.reserved_bytes == 0
            assert not list((tmp_path / "orchidledge-handover").iterdir())
            successor = Node(config("127.0.0.1:1", state=str(tmp_path / "state")))
            await successor.state_writer.start()
            await wait_until(lambda: successor.state_writer._file.writes)
            successor.close()
            assert not body.done()
            assert len(await body) == 24 * len(PIECE)
            client.close()
            await stopping

    run(main(), QUIET_S)
