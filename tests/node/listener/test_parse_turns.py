"""The work for one connection in one iteration of the event loop is limited, in each form of request."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer.node.http.body import Body
from loadbalancer.node.http.message_limits import MAX_FIELDS, MAX_HEAD_BYTES
from loadbalancer.node.http.read_buffer import READ_BYTES
from loadbalancer.node.http.turn_parser import (
    MAX_SILENT_BYTES,
    MAX_SLICE_BYTES,
    MAX_STEPS_PER_TURN,
    SLICE_BYTES,
)
from loadbalancer.node.listener.inbound_request import InboundRequest
from loadbalancer.node.listener.request_parser import (
    ReceiveState,
    RequestParser,
)
from tests.support.loopback import Client, StubServer, loopback_node, request
from tests.support.raw_clients import NullSource, connect, read_until_close

CHUNKED = b"POST /post/x HTTP/1.1\r\nReq-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n"


class Received:
    """A parser, and the requests that it has received completely."""

    def __init__(self) -> None:
        self.complete: list[InboundRequest] = []
        self.parser = RequestParser(
            lambda: InboundRequest(None, Body(NullSource())), lambda _: None, self.complete.append, 0.0
        )

    def feed(self, data: bytes) -> None:
        self.parser.feed(data, 0.0, 0.0)

    def run(self) -> int:
        """Parse the rest; return the number of turns that it took."""
        turns = 0
        while self.parser.has_unparsed:
            self.parser.resume(0.0)
            turns += 1
        return turns


def test_turn_ends_after_one_request():
    received, number = Received(), READ_BYTES // 18
    received.feed(b"GET / HTTP/1.1\r\n\r\n" * number)
    assert len(received.complete) == 1
    assert received.run() == number - 1
    assert len(received.complete) == number


def test_turn_ends_after_a_limited_number_of_tiny_chunks():
    received = Received()
    received.feed(CHUNKED + b"1\r\nx\r\n" * 10_000)
    assert 0 < received.parser.size <= MAX_STEPS_PER_TURN + SLICE_BYTES
    received.run()
    assert received.parser.size == received.parser.request.body.size == 10_000


def test_turn_takes_all_of_a_read_with_a_long_body():
    for head in (CHUNKED + b"fff00\r\n", b"POST / HTTP/1.1\r\nContent-Length: 99999\r\n\r\n"):
        received = Received()
        received.feed(head)
        received.feed(bytes(READ_BYTES))
        assert received.run() == 0
        assert received.parser.size == READ_BYTES


@pytest.mark.parametrize("where", ["head", "trailer"])
@pytest.mark.parametrize("fields", [MAX_FIELDS, MAX_FIELDS + 1])
def test_number_of_fields_is_limited(where: str, fields: int):
    received = Received()
    begin = (
        b"POST / HTTP/1.1\r\n"
        if where == "head"
        else b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n"
    )
    if where == "trailer":
        fields -= 1  # the head has one
    received.feed(begin + b"".join(b"%x:\r\n" % index for index in range(fields)) + b"\r\n")
    received.run()
    total = fields + (where == "trailer")
    assert received.parser.error_status == (431 if total > MAX_FIELDS else 0)
    assert len(received.complete) == (total <= MAX_FIELDS)


@pytest.mark.parametrize(
    "begin",
    [
        b"GET / HTTP/1.1\r\na: ",
        b"GET / HTTP/1.1\r\n",
        CHUNKED + b"0\r\na: ",
        CHUNKED + b"0\r\n",
        CHUNKED + b"5;",
    ],
    ids=["header value", "header name", "trailer value", "trailer name", "chunk extension"],
)
def test_field_without_end_is_rejected(begin: bytes):
    received, sent = Received(), 0
    received.feed(begin)
    while received.parser.state is not ReceiveState.ERROR:
        received.feed(b"x" * 100)
        sent += 100
        assert sent <= MAX_HEAD_BYTES + MAX_SLICE_BYTES
    assert received.parser.error_status in (400, 431)


def test_request_behind_a_body_longer_than_a_head_is_served():
    received = Received()
    for index in range(3):
        received.feed(request("post", f"q{index}", bytes(5 * MAX_HEAD_BYTES)))
        assert received.run() == 0
    assert [inbound.body.size for inbound in received.complete] == 3 * [5 * MAX_HEAD_BYTES]


def test_empty_lines_take_one_step():
    received = Received()
    received.feed(b"\r\n" * (MAX_SILENT_BYTES // 2) + b"GET / HTTP/1.1\r\n\r\n")
    assert len(received.complete) == 1


def test_empty_lines_without_end_are_rejected():
    received, sent = Received(), 0
    while received.parser.state is not ReceiveState.ERROR:
        received.feed(b"\r\n" * 50)
        sent += 100
        assert sent <= MAX_SILENT_BYTES + 100


@pytest.mark.parametrize("last_headers", [{}, {"Connection": "close"}])
def test_pipelined_requests_of_one_read_are_all_served(last_headers: dict[str, str]):
    async def main():
        server = StubServer()
        async with loopback_node(server) as node:
            client = await Client.connect(node)
            requests = [request(name=f"q{index}") for index in range(30)]
            client.writer.write(b"".join(requests) + request(name="q30", **last_headers) + b"GET / behind")
            for _ in range(31):
                assert (await client.read_response()).status == 200
            assert len(server.requests) == 31
            client.writer.close()

    asyncio.run(main())


def test_tiny_chunks_of_one_read_arrive_complete():
    async def main():
        server = StubServer()
        async with loopback_node(server) as node:
            client = connect(node)
            data = b"".join(b"1\r\n%c\r\n" % (index % 256) for index in range(8000)) + b"0\r\nend:\r\n\r\n"
            client.sendall(CHUNKED + data + request(name="q2", Connection="close"))
            assert (await read_until_close(client)).count(b" 200 OK") == 2
            assert [len(message.body) for message in server.requests] == [8000, 0]

    asyncio.run(main())
