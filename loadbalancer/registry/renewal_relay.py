"""Renewals that reach an instance which does not lead, forwarded to the leader many at a time.

Most renewals of a large fleet reach an instance that does not lead. Forwarded one at a time each would cost
the leader a request; together they cost it one request for each BATCH_WINDOW_S of each other instance. Only
instances speak this call, and only where the `groups` setting says that all of them know it.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import msgspec
import structlog
from msgspec import Raw, Struct

from loadbalancer.node.http.service_http import HttpClient, HttpResponse
from loadbalancer.registry.addresses import parse_address
from loadbalancer.registry.batch import MAX_BATCH_COUNT, Batcher
from loadbalancer.registry.errors import (
    BatchTooLargeError,
    InvalidBodyError,
    NoLeaderError,
    UnusableLeaderAnswerError,
)
from loadbalancer.registry.forwarding import HOP_HEADER
from loadbalancer.registry.messages import RenewRequest

RENEW_MANY_PATH = "/fleet/renew-many"
FORWARD_TIMEOUT_S = 1.0  # of the leader's answer: a silent leader is replaced in as long
MAX_BATCH_BODY_BYTES = 1024 * MAX_BATCH_COUNT


class RelayedAnswer(Struct, frozen=True):
    """The answer to one renewal of a batch."""

    status: int
    body: Raw


_answers = msgspec.json.Decoder(list[RelayedAnswer])
_renewals = msgspec.json.Decoder(list[RenewRequest])


class RenewalRelay:
    """Forwards renewals; `leader` returns the leader's host:port, None where no leader is known."""

    def __init__(
        self, client: HttpClient, leader: Callable[[], str | None], log: structlog.stdlib.BoundLogger
    ) -> None:
        self._client, self._leader = client, leader
        self._batch: Batcher[RenewRequest, RelayedAnswer] = Batcher("relayed_renewals", self._forward, log)

    async def renew(self, renewal: RenewRequest) -> HttpResponse:
        """The leader's answer; NotCommittedError where there is none in time."""
        answer = await self._batch.add(renewal)
        return HttpResponse(answer.status, bytes(answer.body))

    async def _forward(self, renewals: list[RenewRequest]) -> list[RelayedAnswer]:
        leader = self._leader()
        if leader is None:
            raise NoLeaderError
        body = msgspec.json.encode(renewals)
        address = parse_address(leader)
        reply = await self._client.send(
            address, "POST", RENEW_MANY_PATH, body, FORWARD_TIMEOUT_S, {HOP_HEADER: "1"}
        )
        if reply.status != HTTPStatus.OK:
            raise UnusableLeaderAnswerError(reply.status)
        try:
            answers = _answers.decode(reply.body)
        except msgspec.MsgspecError as failure:
            raise UnusableLeaderAnswerError(failure) from failure
        if len(answers) != len(renewals):
            problem = f"{len(answers)} answers to {len(renewals)} renewals"
            raise UnusableLeaderAnswerError(problem)
        return answers


def decode_renewals(body: bytes) -> list[RenewRequest]:
    """The renewals of a batch; InvalidBodyError says what is wrong, in one line."""
    try:
        renewals = _renewals.decode(body)
    except (msgspec.MsgspecError, RecursionError) as failure:
        raise InvalidBodyError(failure) from failure
    if len(renewals) > MAX_BATCH_COUNT:
        raise BatchTooLargeError(len(renewals), MAX_BATCH_COUNT)
    return renewals


def encode_answers(answers: list[HttpResponse]) -> HttpResponse:
    """The answer that `RenewalRelay` reads."""
    rows = [RelayedAnswer(answer.status, Raw(answer.body)) for answer in answers]
    return HttpResponse(HTTPStatus.OK, msgspec.json.encode(rows))
