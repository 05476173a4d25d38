"""The admin server and its requests, over real connections."""

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


def encode_request(method: str, path: str, body: bytes = b"") -> bytes:
    return f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


async def send_request(node: Node, data: bytes) -> Message:
    reader, writer = await asyncio.open_connection(*node.admin_server.address)
    writer.write(data)
    try:
        return await read_message(reader)
    finally:
        writer.close()


async def status(node: Node, method: str, path: str, body: bytes = b"") -> int:
    return (await send_request(node, encode_request(method, path, body))).status


def test_status_is_200_only_with_endpoint():
    async def main():
        async with loopback_node(**ADMIN_SETTINGS) as node:
            assert await status(node, "GET", "/status") == 503
        async with loopback_node(StubServer(), **ADMIN_SETTINGS) as node:
            assert await status(node, "GET", "/status") == 200

    asyncio.run(main())


def test_node_without_admin_address_has_no_admin_server():
    async def main():
        async with loopback_node(StubServer()) as node:
            with pytest.raises(AssertionError):
                _ = node.admin_server.address

    asyncio.run(main())


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (encode_request("GET", "/nothing"), 404),
        (encode_request("POST", "/standby"), 405),
        (encode_request("GET", "/status?verbose=1"), 200),
        (b"NOT HTTP\r\n\r\n", 400),
        (encode_request("PUT", "/standby", b"x" * 40_000), 413),
        (b"PUT /active HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200),
        (b"GET /status HTTP/1.1\r\nHost: x\r\n\r\ntrailing nonsense", 200),
    ],
)
def test_status_depends_on_method_path_and_body_of_request(data, expected):
    async def main():
        async with loopback_node(StubServer(), **ADMIN_SETTINGS) as node:
            assert (await send_request(node, data)).status == expected

    asyncio.run(main())


@pytest.mark.parametrize(
    "framed_body",
    [b"Content-Length: 2\r\n\r\ns0", b"Transfer-Encoding: chunked\r\n\r\n2\r\ns0\r\n0\r\n\r\n"],
)
@pytest.mark.parametrize("pieces", [1, 2])
def test_operator_request_that_offers_an_upgrade_is_handled_with_its_body(framed_body, pieces):
    """Regression: the operator's request was handled without its body, so no endpoint was ejected."""

    async def main():
        async with loopback_node(StubServer(), **ADMIN_SETTINGS) as node:
            head = b"PUT /maintenance/enter HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n"
            reader, writer = await asyncio.open_connection(*node.admin_server.address)
            data = head + framed_body
            for start in range(0, len(data), size := len(data) // pieces + 1):
                writer.write(data[start : start + size])
                await asyncio.sleep(0.05)
            assert (await read_message(reader)).status == 200
            assert node.driver.balancer.ejected_count == 1
            writer.close()

    asyncio.run(main())


def test_handler_exception_returns_500_and_server_stays_open(caplog):
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


@pytest.mark.parametrize("disconnect_client", DISCONNECTS)
@pytest.mark.parametrize("later", [False, True])
def test_client_disconnect_before_response_logs_nothing(disconnect_client: Disconnect, later: bool, caplog):
    async def main():
        client, disconnects = socket.socket(), []

        def disconnect(_: bytes) -> AdminResponse:  # in the loop iteration that handles the request
            disconnects.append(disconnect_client(client))
            return AdminResponse(200)

        async def disconnect_later(body: bytes) -> AdminResponse:
            return disconnect(body)

        server = AdminServer({(b"GET", b"/closed"): disconnect_later if later else disconnect})
        await server.open(("127.0.0.1", 0))
        client.connect(server.address)
        client.sendall(encode_request("GET", "/closed"))
        await wait_until(lambda: disconnects and not server._connections)
        server.close()
        client.close()

    asyncio.run(main())
    assert not caplog.records


def test_incomplete_requests_do_not_block_others_and_time_out(monkeypatch):
    async def main():
        async with loopback_node(StubServer(), **ADMIN_SETTINGS) as node:
            idle = [
                await asyncio.open_connection(*node.admin_server.address) for _ in range(MAX_CONNECTIONS + 4)
            ]
            assert await status(node, "GET", "/status") == 200
            assert await idle[0][0].read() == b""  # the oldest connection was closed
            monkeypatch.setattr(admin_connection, "REQUEST_TIMEOUT_S", 0.0)
            reader, _ = await asyncio.open_connection(*node.admin_server.address)
            assert (await read_message(reader)).status == 408
            for _, writer in idle:
                writer.close()

    asyncio.run(main())


def test_node_start_fails_if_admin_address_is_in_use():
    async def main():
        other = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        with pytest.raises(OSError, match="address already in use"):
            async with loopback_node(StubServer(), operator=f"127.0.0.1:{other.sockets[0].getsockname()[1]}"):
                pass
        other.close()

    asyncio.run(main())


def test_admin_address_of_environment_overrides_file_and_is_validated():
    config = orjson.dumps(config_document("127.0.0.1:1", operator="127.0.0.1:7"))
    assert parse_config(config).admin_address == ("127.0.0.1", 7)
    assert parse_config(config, {"PROXY_OPERATOR": "127.0.0.1:8"}).admin_address == ("127.0.0.1", 8)
    with pytest.raises(ValueError, match="'nowhere' is not an address"):
        parse_config(config, {"PROXY_OPERATOR": "nowhere"})


def test_standby_rejects_new_closes_idle_and_finishes_in_flight_requests():
    async def main():
        server = BlockedServer()
        async with loopback_node(server, **ADMIN_SETTINGS) as node:
            idle, busy = await Client.connect(node), await Client.connect(node)
            assert (await idle.exchange(UP)).status == 200
            busy.writer.write(request())
            await wait_until(lambda: server.requests)
            assert await status(node, "PUT", "/standby") == 200
            assert await status(node, "PUT", "/standby") == 200  # a repetition has no effect
            assert await status(node, "GET", "/status") == 503
            assert await idle.reader.read() == b""
            late = await Client.connect(node)
            response = await late.exchange(UP)
            assert (response.status, response.headers["connection"]) == (503, "close")
            server.release.set()
            response = await busy.read_response()
            assert (response.status, response.headers["connection"]) == (200, "close")
            await wait_until(lambda: not node.listener.connections)

    asyncio.run(main())


def test_active_ends_standby_and_connections_stay_open():
    async def main():
        async with loopback_node(StubServer(), **ADMIN_SETTINGS) as node:
            await status(node, "PUT", "/standby")
            assert await status(node, "PUT", "/active") == 200
            assert await status(node, "GET", "/status") == 200
            client = await Client.connect(node)
            assert (await client.exchange(UP)).status == 200
            assert node.listener._drain_timer is None  # would close the connection
            assert (await client.exchange(request())).status == 200

    asyncio.run(main())


def test_active_is_rejected_while_node_stops():
    async def main():
        server = BlockedServer()
        async with loopback_node(server, **ADMIN_SETTINGS) as node:
            client = await Client.connect(node)
            client.writer.write(request())
            await wait_until(lambda: server.requests)
            stopping = asyncio.create_task(node.stop())
            await wait_until(lambda: node.stopping)
            assert await status(node, "PUT", "/active") == 503
            assert await status(node, "GET", "/status") == 503
            server.release.set()
            assert (await client.read_response()).status == 200
            await stopping

    asyncio.run(main())
