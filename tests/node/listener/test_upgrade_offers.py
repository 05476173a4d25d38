"""Requests of clients that offer to switch to another protocol: the node ignores the offer."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer.node.http.body import HIGH_WATER_BYTES
from tests.support.loopback import Client, StubServer, exchange, loopback_node, request

OFFERS = {
    "h2c": {"Connection": "Upgrade, HTTP2-Settings", "Upgrade": "h2c", "HTTP2_Settings": "AAMAAABk"},
    "websocket": {"Connection": "keep-alive, Upgrade", "Upgrade": "websocket"},
    "tls": {"Connection": "upgrade", "Upgrade": "TLS/1.2, HTTP/1.1"},
}
BODY = b'{"book": "isbn-1", "copies": 2}'


def sized_request(name: str, body: bytes, **headers: str) -> bytes:
    return request("post", name, body, **headers)


def chunked_request(name: str, body: bytes, **headers: str) -> bytes:
    head, _, _ = request("post", name, **headers, Transfer_Encoding="chunked").partition(b"\r\n\r\n")
    head = head.replace(b"Content-Length: 0\r\n", b"")
    return head + b"\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)


@pytest.mark.parametrize("offer", OFFERS.values(), ids=OFFERS)
@pytest.mark.parametrize("encode", [sized_request, chunked_request])
def test_request_that_offers_an_upgrade_reaches_its_server_with_its_body(encode, offer):
    """Regression: servers ran orders without their body, and clients got 200 and then a stray 400."""

    async def main():
        server = StubServer()
        async with loopback_node(server) as node:
            client = await Client.connect(node)
            # A second request behind the first one: bytes of the body must not be taken for a request.
            client.writer.write(encode("q1", BODY, **offer) + encode("q2", BODY[:5], **offer))
            assert [(await client.read_response()).status for _ in range(2)] == [200, 200]
            assert (await client.exchange(request("post", "q3", b"plain"))).status == 200
            forwarded = {message.headers["req-id"]: message for message in server.requests}
            assert {name: message.body for name, message in forwarded.items()} == {
                "q1": BODY,
                "q2": BODY[:5],
                "q3": b"plain",
            }
            assert not {"upgrade", "connection", "http2-settings"} & forwarded["q1"].headers.keys()
            assert node.listener.malformed_requests == 0
            client.writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("offer", OFFERS.values(), ids=OFFERS)
def test_request_that_offers_an_upgrade_waits_for_its_body(offer):
    """Regression: the request was forwarded as soon as its head had arrived."""

    async def main():
        server = StubServer()
        async with loopback_node(server) as node:
            client = await Client.connect(node)
            for piece in (data := request("post", "q1", BODY, **offer)):
                assert not server.requests
                client.writer.write(bytes([piece]))
                await client.writer.drain()
                await asyncio.sleep(0)
            assert (await client.read_response()).status == 200
            assert server.requests[0].body == data[-len(BODY) :] == BODY
            client.writer.close()

    asyncio.run(main())


def test_long_request_that_offers_an_upgrade_is_streamed_completely():
    async def main():
        server, body = StubServer(), bytes(range(256)) * (3 * HIGH_WATER_BYTES // 256)
        async with loopback_node(server) as node:
            assert (await exchange(node, request("post", "q1", body, **OFFERS["h2c"]))).status == 200
            assert server.requests[0].body == body

    asyncio.run(main())


def test_requests_without_body_that_offer_an_upgrade_keep_their_connection():
    """Regression: a second response, 400, followed the first and closed the connection."""

    async def main():
        server = StubServer()
        async with loopback_node(server) as node:
            client = await Client.connect(node)
            for name in ("q1", "q2", "q3"):
                assert (await client.exchange(request(name=name, **OFFERS["h2c"]))).status == 200
            up = b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
            assert (await client.exchange(up)).status == 200
            assert len(server.requests) == 3
            client.writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("target", [b"s:1", b"/post/1", b"/up", b"http://x/post/1"])
def test_connect_request_gets_one_error_and_is_not_forwarded(target):
    async def main():
        server = StubServer()
        async with loopback_node(server) as node:
            client = await Client.connect(node)
            client.writer.write(
                b"CONNECT " + target + b" HTTP/1.1\r\nReq-Id: q1\r\nContent-Length: 2\r\n\r\nab" + request()
            )
            assert (await client.read_response()).status == 400
            assert await client.reader.read() == b""
            assert not server.requests
            client.writer.close()

    asyncio.run(main())
