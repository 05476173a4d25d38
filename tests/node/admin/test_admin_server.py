"""The admin server, and the requests that it answers."""

from __future__ import annotations

import asyncio
import socket

import orjson
import pytest

from loadbalancer.node.admin import connection as admin_connection
from loadbalancer.node.admin.messages import AdminResponse
from loadbalancer.node.admin.server import MAX_CONNECTIONS, AdminServer
from loadbalancer.node.config import parse_config
from loadbalancer.node.node import Node
from tests.support.loopback import (
    BlockedServer,
    Client,
    Message,
    StubServer,
    config_document,
    loopback_node,
    read_message,
    request,
    wait_until,
)
from tests.support.raw_clients import DISCONNECTS, Disconnect

UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
ADMIN_SETTINGS = {"operator": "127.0.0.1:0"}


def call(method: str, path: str, body: bytes = b"") -> bytes:
    return f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


async def send_request(node: Node, data: bytes) -> Message:
    reader, writer = await asyncio.open_connection(*node.admin_server.address)
    writer.write(data)
    try:
        return await read_message(reader)
    finally:
        writer.close()


async def status(node: Node, method: str, path: str, body: bytes = b"") -> int:
    return (await send_request(node, call(method, path, body))).status


def test_status_is_yes_once_there_is_a_server_to_send_to():
    async def main():
        async with loopback_node(**ADMIN_SETTINGS) as node:
            assert await status(node, "GET", "/status") == 503
        async with loopback_node(StubServer(), **ADMIN_SETTINGS) as node:
            assert await status(node, "GET", "/status") == 200

    asyncio.run(main())


def test_without_an_operators_address_there_is_no_door():
    async def main():
        async with loopback_node(StubServer()) as node:
            with pytest.raises(AssertionError):
                _ = node.admin_server.address

    asyncio.run(main())


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (call("GET", "/nothing"), 404),
        (call("POST", "/standby"), 405),
        (call("GET", "/status?verbose=1"), 200),
        (b"NOT HTTP\r\n\r\n", 400),
        (call("PUT", "/standby", b"x" * 40_000), 413),
        (b"PUT /active HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200),
        (b"GET /status HTTP/1.1\r\nHost: x\r\n\r\ntrailing nonsense", 200),
    ],
)
def test_calls_get_a_yes_or_a_no(data, expected):
    async def main():
        async with loopback_node(StubServer(), **ADMIN_SETTINGS) as node:
            assert (await send_request(node, data)).status == expected

    asyncio.run(main())


def test_a_fault_behind_a_call_is_a_no_and_the_door_stays_open(caplog):
    async def main():
        def broken(_: bytes) -> AdminResponse:
            raise KeyError("x")

        server = AdminServer({(b"PUT", b"/broken"): broken, (b"GET", b"/fine"): lambda _: AdminResponse(200)})
        await server.open(("127.0.0.1", 0))
        assert server.dispatch(b"PUT", b"/broken", b"").status == 500
        assert server.dispatch(b"GET", b"/fine", b"").status == 200
        server.close()

    asyncio.run(main())
    assert "failed" in caplog.text


@pytest.mark.parametrize("leave", DISCONNECTS)
@pytest.mark.parametrize("later", [False, True])
def test_an_operator_that_leaves_as_its_answer_goes_out_is_no_fault(leave: Disconnect, later: bool, caplog):
    async def main():
        caller, gone = socket.socket(), []

        def left(_: bytes) -> AdminResponse:  # between the call and its answer, with no turn of the loop
            gone.append(leave(caller))
            return AdminResponse(200)

        async def left_later(body: bytes) -> AdminResponse:
            return left(body)

        server = AdminServer({(b"GET", b"/left"): left_later if later else left})
        await server.open(("127.0.0.1", 0))
        caller.connect(server.address)
        caller.sendall(call("GET", "/left"))
        await wait_until(lambda: gone and not server._connections)
        server.close()
        caller.close()

    asyncio.run(main())
    assert not caplog.records


def test_callers_that_finish_no_call_keep_nobody_out_and_are_closed(monkeypatch):
    async def main():
        async with loopback_node(StubServer(), **ADMIN_SETTINGS) as node:
            held = [
                await asyncio.open_connection(*node.admin_server.address) for _ in range(MAX_CONNECTIONS + 4)
            ]
            assert await status(node, "GET", "/status") == 200
            assert await held[0][0].read() == b""  # the oldest went
            monkeypatch.setattr(admin_connection, "REQUEST_TIMEOUT_S", 0.0)
            reader, _ = await asyncio.open_connection(*node.admin_server.address)
            assert (await read_message(reader)).status == 408
            for _, writer in held:
                writer.close()

    asyncio.run(main())


def test_an_address_in_use_is_a_failed_start():
    async def main():
        other = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        with pytest.raises(OSError, match="address already in use"):
            async with loopback_node(StubServer(), operator=f"127.0.0.1:{other.sockets[0].getsockname()[1]}"):
                pass
        other.close()

    asyncio.run(main())


def test_the_environments_address_comes_before_the_files_and_a_bad_one_is_said():
    row = orjson.dumps(config_document("127.0.0.1:1", operator="127.0.0.1:7"))
    assert parse_config(row).admin_address == ("127.0.0.1", 7)
    assert parse_config(row, {"PROXY_OPERATOR": "127.0.0.1:8"}).admin_address == ("127.0.0.1", 8)
    with pytest.raises(ValueError, match="'nowhere' is not an address"):
        parse_config(row, {"PROXY_OPERATOR": "nowhere"})


def test_standby_says_no_lets_idle_callers_go_and_finishes_what_is_held():
    async def main():
        server = BlockedServer()
        async with loopback_node(server, **ADMIN_SETTINGS) as node:
            idle, busy = await Client.connect(node), await Client.connect(node)
            assert (await idle.exchange(UP)).status == 200
            busy.writer.write(request())
            await wait_until(lambda: server.seen)
            assert await status(node, "PUT", "/standby") == 200
            assert await status(node, "PUT", "/standby") == 200  # said twice is said once
            assert await status(node, "GET", "/status") == 503
            assert await idle.reader.read() == b""
            late = await Client.connect(node)
            answer = await late.exchange(UP)
            assert (answer.status, answer.headers["connection"]) == (503, "close")
            server.release.set()
            answer = await busy.read_response()
            assert (answer.status, answer.headers["connection"]) == (200, "close")
            await wait_until(lambda: not node.listener.connections)

    asyncio.run(main())


def test_active_ends_the_drain_and_connections_are_kept_again():
    async def main():
        async with loopback_node(StubServer(), **ADMIN_SETTINGS) as node:
            await status(node, "PUT", "/standby")
            assert await status(node, "PUT", "/active") == 200
            assert await status(node, "GET", "/status") == 200
            caller = await Client.connect(node)
            assert (await caller.exchange(UP)).status == 200
            assert node.listener._drain_timer is None  # which would have closed it
            assert (await caller.exchange(request())).status == 200

    asyncio.run(main())


def test_a_node_that_leaves_service_does_not_become_active_again():
    async def main():
        server = BlockedServer()
        async with loopback_node(server, **ADMIN_SETTINGS) as node:
            caller = await Client.connect(node)
            caller.writer.write(request())
            await wait_until(lambda: server.seen)
            stopping = asyncio.create_task(node.stop())
            await wait_until(lambda: node.stopping)
            assert await status(node, "PUT", "/active") == 503
            assert await status(node, "GET", "/status") == 503
            server.release.set()
            assert (await caller.read_response()).status == 200
            await stopping

    asyncio.run(main())
