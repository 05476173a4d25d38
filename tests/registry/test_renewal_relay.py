"""Renewals that a follower forwards in batches, against a stub leader."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import orjson
import pytest
import structlog

from loadbalancer.node.http.service_client import HttpClient
from loadbalancer.node.http.service_server import HttpRequest, HttpResponse, serve
from loadbalancer.registry.batch import MAX_BATCH_COUNT
from loadbalancer.registry.errors import NotCommittedError
from loadbalancer.registry.messages import RenewRequest
from loadbalancer.registry.renewal_relay import (
    RENEW_MANY_PATH,
    RenewalRelay,
    decode_renewals,
    encode_responses,
)

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
LOG = structlog.stdlib.get_logger()


def renewal(incarnation: int) -> RenewRequest:
    return RenewRequest(incarnation=incarnation, seq=1, acked=0, using=0.5, delta=True)


async def relay_renewals(handler: Handler, count: int) -> list[HttpResponse | BaseException]:
    """Send `count` renewals at once through a relay; return their responses or errors."""
    server = await serve(("127.0.0.1", 0), handler)
    host, port = server.sockets[0].getsockname()
    client = HttpClient()
    relay = RenewalRelay(client, lambda: f"{host}:{port}", LOG)
    try:
        calls = (relay.renew(renewal(number)) for number in range(count))
        return await asyncio.gather(*calls, return_exceptions=True)
    finally:
        client.close()
        server.close()


def test_concurrent_renewals_share_calls_and_get_their_own_responses() -> None:
    calls: list[HttpRequest] = []

    async def respond(call: HttpRequest) -> HttpResponse:
        calls.append(call)
        renewals = decode_renewals(call.body)
        responses = [
            HttpResponse(404 if renewal.incarnation == 7 else 200, b"%d" % renewal.incarnation)
            for renewal in renewals
        ]
        return encode_responses(responses)

    responses = asyncio.run(relay_renewals(respond, MAX_BATCH_COUNT + 20))
    assert [int(response.body) for response in responses] == list(range(MAX_BATCH_COUNT + 20))
    assert [index for index, response in enumerate(responses) if response.status != 200] == [7]
    assert [(call.path, len(decode_renewals(call.body))) for call in calls] == [
        (RENEW_MANY_PATH, MAX_BATCH_COUNT),
        (RENEW_MANY_PATH, 20),
    ]
    assert all("fleet-hop" in call.headers for call in calls)


@pytest.mark.parametrize(
    "response",
    [
        HttpResponse(503, b"{}"),
        HttpResponse(200, b"{}"),
        HttpResponse(200, b"[]"),
        HttpResponse(200, b'[{"status":"x","body":1}]'),
        HttpResponse(200, b"\xff"),
    ],
    ids=["unavailable", "not a list", "too few", "wrong type", "not UTF-8"],
)
def test_invalid_leader_response_fails_every_renewal_of_batch(
    response: HttpResponse,
) -> None:
    async def respond(call: HttpRequest) -> HttpResponse:
        return response

    failures = asyncio.run(relay_renewals(respond, 3))
    assert [type(failure) for failure in failures] == [NotCommittedError] * 3


def test_renewal_without_known_leader_fails_at_once() -> None:
    async def main() -> None:
        relay = RenewalRelay(HttpClient(), lambda: None, LOG)
        with pytest.raises(ConnectionError):
            await asyncio.wait_for(relay.renew(renewal(1)), 5.0)

    asyncio.run(main())


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        b'[{"incarnation":1}]',
        orjson.dumps([1]),
        msgspec.json.encode([renewal(1)] * (MAX_BATCH_COUNT + 1)),
    ],
    ids=["empty", "not a list", "missing field", "not a renewal", "too many"],
)
def test_invalid_batch_is_rejected_with_one_line(body: bytes) -> None:
    with pytest.raises(ValueError, match=r"^body: [^\n]*$"):
        decode_renewals(body)


def test_unexpected_error_in_forwarding_fails_waiting_renewals() -> None:
    """An error other than OSError used to leave the callers waiting forever."""

    async def main() -> None:
        relay = RenewalRelay(HttpClient(), lambda: "no address", LOG)
        with pytest.raises(ConnectionError):
            await asyncio.wait_for(relay.renew(renewal(1)), 5.0)

    asyncio.run(main())
