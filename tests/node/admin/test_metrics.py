"""What the node reports of itself at the admin server."""

from __future__ import annotations

import asyncio

import orjson

from loadbalancer.__main__ import reload
from loadbalancer.balancing.actions import Reject
from loadbalancer.balancing.events import Request
from loadbalancer.node.admin.metrics import NodeMetrics
from loadbalancer.node.node import Node
from tests.node.admin.test_admin_server import ADMIN_SETTINGS, call, send_request, status
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


async def figures(node: Node) -> dict[str, int]:
    answer = await send_request(node, call("GET", "/status/metrics"))
    assert answer.status == 200
    pairs = (line.split("=") for line in answer.body.decode().splitlines())
    return {name.removeprefix("proxy."): int(value) for name, value in pairs}


def test_the_text_names_every_class_from_the_start():
    found = NodeMetrics(["read", "post"])
    found.count_response("read", 200)
    for code in (429, 503):
        found.count_response("post", code)
    found.count_response("post", 504)
    assert found.render(3, 12, 1).decode().splitlines() == [
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


def test_reloads_are_counted_good_and_failed(tmp_path, monkeypatch):
    async def main():
        async with loopback_node(StubServer(), **ADMIN_SETTINGS) as node:
            path = tmp_path / "config.json"
            monkeypatch.setenv("PROXY_CONFIG", str(path))
            path.write_text("{")
            reload(node)
            path.write_bytes(orjson.dumps(config_document("127.0.0.1:1")))
            reload(node)
            reload(node)
            found = await figures(node)
            assert (found["reload_success"], found["reload_failure"]) == (2, 1)

    asyncio.run(main())


def test_answers_are_counted_by_class_and_kind_whoever_worded_them():
    async def main():
        async def script(message):
            return http_response(200 if message.headers["req-id"].startswith("q") else 500)

        async with loopback_node(StubServer(script), settings={"tier": 1}, **ADMIN_SETTINGS) as node:
            for at in range(3):
                assert (await exchange(node, request(name=f"q{at}"))).status == 200
            assert (await exchange(node, request("post", name="x"))).status == 502
            assert (await exchange(node, b"GET /nothing HTTP/1.1\r\nReq-Id: z\r\n\r\n")).status == 404
            found = await figures(node)
            assert found["replies.read.success"] == 3
            assert found["replies.post.error"] == 1
            assert sum(value for name, value in found.items() if name.startswith("replies")) == 4
            assert found["dispatches"] == 4

    asyncio.run(main())


def test_refusals_of_the_module_and_over_the_limit_are_overload():
    async def main():
        server = BlockedServer()
        async with loopback_node(server, bounds={"maxOpen": 1}, **ADMIN_SETTINGS) as node:
            caller = await Client.connect(node)
            caller.writer.write(request(name="held"))
            await wait_until(lambda: server.seen)
            assert (await exchange(node, request("post", name="more"))).status == 503
            assert (await figures(node))["replies.post.overload"] == 1
            server.release.set()
            await caller.read_response()
            node.driver.balancer = ScriptedBalancer(
                lambda event: [Reject("no")] if isinstance(event, Request) else []
            )
            assert (await exchange(node, request(name="no"))).status == 503
            assert (await figures(node))["replies.read.overload"] == 1

    asyncio.run(main())


def test_concurrent_and_targets_are_those_of_the_moment():
    async def main():
        server = BlockedServer()
        async with loopback_node(server, StubServer(), **ADMIN_SETTINGS) as node:
            assert await status(node, "PUT", "/maintenance/enter", b"s1") == 200
            callers = [await Client.connect(node) for _ in range(3)]
            for at, caller in enumerate(callers):
                caller.writer.write(request(name=f"q{at}"))
            await wait_until(lambda: len(server.seen) == 3)
            found = await figures(node)
            assert (found["concurrent"], found["targets"], found["targets_disabled"]) == (3, 2, 1)
            server.release.set()
            for caller in callers:
                await caller.read_response()
            assert await status(node, "PUT", "/maintenance/exit", b"s1") == 200
            found = await figures(node)
            assert (found["concurrent"], found["targets"], found["targets_disabled"]) == (0, 2, 0)

    asyncio.run(main())


def test_an_attempt_that_never_connects_is_no_dispatch():
    async def main():
        gone = StubServer()
        async with loopback_node(gone, **ADMIN_SETTINGS) as node:
            gone._server.close()
            await gone._server.wait_closed()
            assert (await exchange(node, request(name="q"))).status == 503
            assert (await figures(node))["dispatches"] == 0

    asyncio.run(main())
