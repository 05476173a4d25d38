"""The metrics that a node reports at its admin server."""

from __future__ import annotations

import asyncio

import orjson

from loadbalancer.__main__ import reload
from loadbalancer.balancing.actions import Reject
from loadbalancer.balancing.events import Request
from loadbalancer.node.admin.metrics import NodeMetrics
from loadbalancer.node.node import Node
from tests.node.admin.test_admin_server import ADMIN_SETTINGS, encode_request, send_request, status
from tests.support.loopback import (
    BlockedServer,
    Client,
    ScriptedBalancer,
    StubServer,
    config_document,
    exchange,
    http_response,
    loopback_node,
    request,
    wait_until,
)


async def read_metrics(node: Node) -> dict[str, int]:
    response = await send_request(node, encode_request("GET", "/status/metrics"))
    assert response.status == 200
    pairs = (line.split("=") for line in response.body.decode().splitlines())
    return {name.removeprefix("proxy."): int(value) for name, value in pairs}


def test_text_has_all_classes_and_kinds_even_at_zero():
    metrics = NodeMetrics(["read", "post"])
    metrics.count_response("read", 200)
    for code in (429, 503):
        metrics.count_response("post", code)
    metrics.count_response("post", 504)
    assert metrics.render(3, 12, 1).decode().splitlines() == [
        "proxy.replies.read.success=1",
        "proxy.replies.read.overload=0",
        "proxy.replies.read.error=0",
        "proxy.replies.post.success=0",
        "proxy.replies.post.overload=2",
        "proxy.replies.post.error=1",
        "proxy.reload_success=0",
        "proxy.reload_failure=0",
        "proxy.dispatches=0",
        "proxy.concurrent=3",
        "proxy.targets=12",
        "proxy.targets_disabled=1",
    ]


def test_reloads_are_counted_by_success_and_failure(tmp_path, monkeypatch):
    async def main():
        async with loopback_node(StubServer(), **ADMIN_SETTINGS) as node:
            path = tmp_path / "config.json"
            monkeypatch.setenv("PROXY_CONFIG", str(path))
            path.write_text("{")
            reload(node)
            path.write_bytes(orjson.dumps(config_document("127.0.0.1:1")))
            reload(node)
            reload(node)
            metrics = await read_metrics(node)
            assert (metrics["reload_success"], metrics["reload_failure"]) == (2, 1)

    asyncio.run(main())


def test_responses_of_server_and_node_are_counted_by_class_and_kind():
    async def main():
        async def script(message):
            return http_response(200 if message.headers["req-id"].startswith("q") else 500)

        async with loopback_node(StubServer(script), settings={"tier": 1}, **ADMIN_SETTINGS) as node:
            for at in range(3):
                assert (await exchange(node, request(name=f"q{at}"))).status == 200
            assert (await exchange(node, request("post", name="x"))).status == 502
            assert (await exchange(node, b"GET /nothing HTTP/1.1\r\nReq-Id: z\r\n\r\n")).status == 404
            metrics = await read_metrics(node)
            assert metrics["replies.read.success"] == 3
            assert metrics["replies.post.error"] == 1
            assert sum(value for name, value in metrics.items() if name.startswith("replies")) == 4
            assert metrics["dispatches"] == 4

    asyncio.run(main())


def test_rejections_by_balancer_and_request_limit_count_as_overload():
    async def main():
        server = BlockedServer()
        async with loopback_node(server, bounds={"maxOpen": 1}, **ADMIN_SETTINGS) as node:
            client = await Client.connect(node)
            client.writer.write(request(name="held"))
            await wait_until(lambda: server.seen)
            assert (await exchange(node, request("post", name="more"))).status == 503
            assert (await read_metrics(node))["replies.post.overload"] == 1
            server.release.set()
            await client.read_response()
            node.driver.balancer = ScriptedBalancer(
                lambda event: [Reject("no")] if isinstance(event, Request) else []
            )
            assert (await exchange(node, request(name="no"))).status == 503
            assert (await read_metrics(node))["replies.read.overload"] == 1

    asyncio.run(main())


def test_concurrent_and_targets_show_current_values():
    async def main():
        server = BlockedServer()
        async with loopback_node(server, StubServer(), **ADMIN_SETTINGS) as node:
            assert await status(node, "PUT", "/maintenance/enter", b"s1") == 200
            clients = [await Client.connect(node) for _ in range(3)]
            for index, client in enumerate(clients):
                client.writer.write(request(name=f"q{index}"))
            await wait_until(lambda: len(server.seen) == 3)
            metrics = await read_metrics(node)
            assert (metrics["concurrent"], metrics["targets"], metrics["targets_disabled"]) == (3, 2, 1)
            server.release.set()
            for client in clients:
                await client.read_response()
            assert await status(node, "PUT", "/maintenance/exit", b"s1") == 200
            metrics = await read_metrics(node)
            assert (metrics["concurrent"], metrics["targets"], metrics["targets_disabled"]) == (0, 2, 0)

    asyncio.run(main())


def test_attempt_without_connection_is_not_counted_as_dispatch():
    async def main():
        closed = StubServer()
        async with loopback_node(closed, **ADMIN_SETTINGS) as node:
            closed._server.close()
            await closed._server.wait_closed()
            assert (await exchange(node, request(name="q"))).status == 503
            assert (await read_metrics(node))["dispatches"] == 0

    asyncio.run(main())
