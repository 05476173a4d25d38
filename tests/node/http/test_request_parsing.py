"""`UpgradeIgnoringParser`: requests that offer a switch of protocols, in all framings and divisions."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

import httptools
import pytest

from loadbalancer.node.http.request_parsing import RequestCallbacks, UpgradeIgnoringParser

OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n"
SIZED = b"POST /order/1 HTTP/1.1\r\nReq-Id: q1\r\n" + OFFER + b"Content-Length: 5\r\n\r\nab\r\nc"
CHUNKED = (
    b"POST /order/1 HTTP/1.1\r\nReq-Id: q1\r\n"
    + OFFER
    + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3;x=1\r\n\r\nc\r\n0\r\nTrailer: t\r\n\r\n"
)
WITHOUT_BODY = b"GET /read/1 HTTP/1.1\r\nReq-Id: q1\r\n" + OFFER + b"\r\n"
PLAIN = b"POST /order/2 HTTP/1.1\r\nReq-Id: q2\r\nContent-Length: 3\r\n\r\nxyz"


@dataclass
class ParsedRequest:
    target: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)
    head: tuple[bytes, str, bool] | None = None  # method, version, whether the connection stays open
    body: bytes = b""


class RecordingCallbacks(RequestCallbacks):
    """Records each request that the parser reports as complete."""

    def __init__(self) -> None:
        self.parser = UpgradeIgnoringParser(self)
        self.requests: list[ParsedRequest] = []
        self.request = ParsedRequest()
        self.begun = 0

    def framing_header(self, name: bytes) -> bytes | None:
        return self.request.headers.get(name)

    def on_message_begin(self) -> None:
        self.begun += 1
        self.request = ParsedRequest()

    def on_url(self, url: bytes) -> None:
        self.request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.request.head is None:  # no trailer
            self.request.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        assert self.request.head is None
        parser = self.parser
        self.request.head = (parser.get_method(), parser.get_http_version(), parser.should_keep_alive())

    def on_body(self, body: bytes) -> None:
        self.request.body += body

    def on_message_complete(self) -> None:
        self.requests.append(self.request)


def parse(*pieces: bytes) -> list[ParsedRequest]:
    """Return the complete requests, each begun once."""
    recorded = RecordingCallbacks()
    for piece in pieces:
        recorded.parser.feed_data(piece)
    assert recorded.begun == len(recorded.requests)
    return recorded.requests


def without_offer(data: bytes) -> bytes:
    return data.replace(OFFER, b"")


@pytest.mark.parametrize("data", [SIZED, CHUNKED, WITHOUT_BODY], ids=["sized", "chunked", "no body"])
def test_request_with_offer_is_parsed_as_without_it_however_it_is_divided(data: bytes):
    """Regression: the request ended with its head, and its body was taken for data of the other protocol."""
    stream = data + PLAIN + data
    expected = parse(without_offer(stream))
    assert [request.target for request in expected] == [expected[0].target, b"/order/2", expected[0].target]
    divisions = [(stream,), tuple(bytes([byte]) for byte in stream)]
    divisions += [(stream[:cut], stream[cut:]) for cut in range(1, len(stream))]
    offer_headers = (b"connection", b"upgrade", b"http2-settings")
    for pieces in divisions:
        requests = parse(*pieces)
        for request in requests:
            request.headers = {
                name: value for name, value in request.headers.items() if name not in offer_headers
            }
        assert requests == expected, pieces


@pytest.mark.parametrize(
    ("version", "connection", "stays_open"),
    [
        (b"1.1", b"Upgrade", True),
        (b"1.1", b"close, Upgrade", False),
        (b"1.0", b"Upgrade", False),
        (b"1.0", b"keep-alive, Upgrade", True),
    ],
)
def test_offer_leaves_the_end_of_the_connection_unchanged(
    version: bytes, connection: bytes, stays_open: bool
):
    head = b"POST /order/1 HTTP/%b\r\nConnection: %b\r\nUpgrade: h2c\r\nContent-Length: 3\r\n\r\n"
    recorded = RecordingCallbacks()
    recorded.parser.feed_data(head % (version, connection) + b"abc")
    (request,) = recorded.requests
    assert request.head == (b"POST", version.decode(), stays_open)
    assert request.body == b"abc"
    if stays_open:
        recorded.parser.feed_data(PLAIN)
        assert recorded.requests[1].body == b"xyz"
    else:
        with pytest.raises(httptools.HttpParserError):
            recorded.parser.feed_data(PLAIN)


@pytest.mark.parametrize(
    "framing",
    [
        b"Transfer-Encoding: gzip\r\n\r\n",
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"Content-Length: 3\r\nContent-Length: 4\r\n\r\n",
        b"Content-Length: -3\r\n\r\n",
        b"Transfer-Encoding: chunked\r\n\r\nfour\r\n",
    ],
)
@pytest.mark.parametrize("offer", [b"", OFFER], ids=["plain", "offer"])
def test_invalid_framing_is_an_error_also_with_offer(framing: bytes, offer: bytes):
    recorded = RecordingCallbacks()
    with pytest.raises(httptools.HttpParserError):
        recorded.parser.feed_data(b"POST /order/1 HTTP/1.1\r\n" + offer + framing)
    assert not recorded.requests


def test_connect_request_is_never_complete():
    recorded = RecordingCallbacks()
    recorded.parser.feed_data(PLAIN)
    with pytest.raises(httptools.HttpParserUpgrade):
        recorded.parser.feed_data(b"CONNECT s:1 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc" + PLAIN)
    assert [request.target for request in recorded.requests] == [b"/order/2"]


def test_many_pipelined_offers_are_parsed_in_one_call():
    count = 5000
    requests = parse(b"".join(itertools.repeat(SIZED, count)))
    assert [request.body for request in requests] == [b"ab\r\nc"] * count
