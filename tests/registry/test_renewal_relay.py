"""Renewals gathered at a follower and passed on to the leader together, against a stand-in leader."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import orjson
import pytest
import structlog

from loadbalancer.node.http.service_http import HttpClient, HttpRequest, HttpResponse, serve
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


async def relayed(handler: Handler, count: int) -> list[HttpResponse | BaseException]:
    """What each of so many renewals at once is answered."""
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


def test_renewals_of_one_moment_are_few_calls_and_each_gets_its_own_answer() -> None:
    calls: list[HttpRequest] = []

    async def lead(call: HttpRequest) -> HttpResponse:
        calls.append(call)
        renewals = decode_renewals(call.body)
        rows = [
            HttpResponse(404 if row.incarnation == 7 else 200, b"%d" % row.incarnation) for row in renewals
        ]
        return encode_responses(rows)

    answers = asyncio.run(relayed(lead, MAX_BATCH_COUNT + 20))
    assert [int(answer.body) for answer in answers] == list(range(MAX_BATCH_COUNT + 20))
    assert [at for at, answer in enumerate(answers) if answer.status != 200] == [7]
    assert [(call.path, len(decode_renewals(call.body))) for call in calls] == [
        (RENEW_MANY_PATH, MAX_BATCH_COUNT),
        (RENEW_MANY_PATH, 20),
    ]
    assert all("fleet-hop" in call.headers for call in calls)


@pytest.mark.parametrize(
    "answer",
    [
        HttpResponse(503, b"{}"),
        HttpResponse(200, b"{}"),
        HttpResponse(200, b"[]"),
        HttpResponse(200, b'[{"status":"x","body":1}]'),
        HttpResponse(200, b"\xff"),
    ],
    ids=["refused", "no list", "too few", "a wrong type", "no text"],
)
def test_a_leader_that_does_not_answer_as_it_should_fails_every_renewal_of_the_batch(
    answer: HttpResponse,
) -> None:
    async def lead(call: HttpRequest) -> HttpResponse:
        return answer

    failures = asyncio.run(relayed(lead, 3))
    assert [type(failure) for failure in failures] == [NotCommittedError] * 3


def test_without_a_leader_renewals_fail_at_once() -> None:
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
    ids=["empty", "no list", "a field missing", "no renewal", "too many"],
)
def test_a_batch_that_is_not_one_is_refused_in_one_line(body: bytes) -> None:
    with pytest.raises(ValueError, match=r"^body: [^\n]*$"):
        decode_renewals(body)


def test_what_passing_on_raises_reaches_whoever_waits() -> None:
    """Guard: a fault other than an OSError left them waiting for good."""

    async def main() -> None:
        relay = RenewalRelay(HttpClient(), lambda: "no address", LOG)
        with pytest.raises(ConnectionError):
            await asyncio.wait_for(relay.renew(renewal(1)), 5.0)

    asyncio.run(main())
