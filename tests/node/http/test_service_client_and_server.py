"""service_client.py and service_server.py: reused and closed connections, offers to switch protocols."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer.node.http.service_client import HttpClient, send_request
from loadbalancer.node.http.service_server import HttpRequest, HttpResponse, serve
from tests.support.loopback import Client, Message, StubServer, http_response, wait_until


async def _echo(message: Message) -> bytes:
    return http_response(200, message.start_line[1].encode())


async def _get(client: HttpClient, server: StubServer, target: str, timeout_s: float = 5.0) -> str:
    return (await client.send(("127.0.0.1", server.port), "GET", target, timeout_s=timeout_s)).body.decode()


def test_client_reuses_connection_and_opens_new_one_if_server_closed_it() -> None:
    async def run() -> None:
        server_closes = False

        async def script(message: Message) -> bytes | None:
            return None if server_closes else await _echo(message)

        server, client = await StubServer(script).start(), HttpClient()
        assert [await _get(client, server, f"/{index}") for index in range(3)] == ["/0", "/1", "/2"]
        assert server.connections == 1
        server_closes = True  # the idle connection closes without a response, and so does the new one
        with pytest.raises(ConnectionError):
            await _get(client, server, "/3")
        assert [message.start_line[1] for message in server.requests[3:]] == ["/3", "/3"]
        server_closes = False
        assert await _get(client, server, "/4") == "/4"
        server.stop()
        await wait_until(lambda: not client._idle)  # an idle connection that the server closes is dropped
        with pytest.raises(ConnectionRefusedError):
            await _get(client, server, "/5")

    asyncio.run(run())


def test_late_response_of_timed_out_request_reaches_no_other_request() -> None:
    async def run() -> None:
        responding = asyncio.Event()

        async def script(message: Message) -> bytes:
            if message.start_line[1] == "/slow":
                await responding.wait()
            return await _echo(message)

        server, client = await StubServer(script).start(), HttpClient()
        assert await _get(client, server, "/0") == "/0"
        with pytest.raises(TimeoutError):
            await _get(client, server, "/slow", timeout_s=0.05)
        responding.set()
        assert [await _get(client, server, f"/{index}") for index in range(3)] == ["/0", "/1", "/2"]
        assert server.connections == 2
        server.stop()

    asyncio.run(run())


def test_client_limits_number_and_age_of_idle_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    async def run() -> None:
        server, client = await StubServer(_echo).start(), HttpClient(max_idle=2)
        await asyncio.gather(*(_get(client, server, f"/{index}") for index in range(5)))
        assert server.connections == 5
        assert len(client._idle) == 2
        monkeypatch.setattr(HttpClient, "IDLE_TIMEOUT_S", 0.0)
        await _get(client, server, "/5")
        assert len(client._idle) == 1  # the one just used; the other exceeded the idle timeout
        client.close()
        assert not client._idle
        assert not client._by_address
        server.stop()

    asyncio.run(run())


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE"])
def test_server_responds_once_to_a_request_that_offers_an_upgrade(method: str) -> None:
    """Regression: the request was handled without its body, and its connection closed without a response."""

    async def run() -> None:
        handled: list[HttpRequest] = []

        async def handle(request: HttpRequest) -> HttpResponse:
            handled.append(request)
            return HttpResponse(200, b"done")

        server = await serve(("127.0.0.1", 0), handle)
        client = Client(*await asyncio.open_connection(*server.sockets[0].getsockname()))
        head = f"{method} /registry/targets/s-1 HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n".encode()
        sized = head + b"Content-Length: 2\r\n\r\n{}"
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"
        client.writer.write(sized + chunked + sized[:-1])
        assert [(await client.read_response()).status for _ in range(2)] == [200, 200]
        assert len(handled) == 2
        assert (await client.exchange(b"}")).status == 200
        assert [(request.method, request.body) for request in handled] == [(method, b"{}")] * 3
        client.writer.close()
        server.close()

    asyncio.run(run())


def test_server_rejects_connect() -> None:
    async def run() -> None:
        async def handle(request: HttpRequest) -> HttpResponse:
            raise AssertionError(request)

        server = await serve(("127.0.0.1", 0), handle)
        client = Client(*await asyncio.open_connection(*server.sockets[0].getsockname()))
        assert (await client.exchange(b"CONNECT s:1 HTTP/1.1\r\n\r\n")).status == 400
        assert await client.reader.read() == b""
        client.writer.close()
        server.close()

    asyncio.run(run())


def test_client_closes_connection_of_a_server_that_switches_protocols(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Regression: the parser's exception ended in the event loop's log."""

    async def run() -> None:
        async def switch(_message: Message) -> bytes:
            return b"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\nPRI"

        server = await StubServer(switch).start()
        assert (await send_request(("127.0.0.1", server.port), "GET", "/")).status == 101
        server.stop()

    asyncio.run(run())
    assert "protocol.data_received() call failed" not in caplog.text
