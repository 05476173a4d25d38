"""Renewals that reach an instance which does not lead, passed on to the leader many at a time.

At 1,400 members two thirds of all renewals come to a follower. Passed on one by one each would cost the
leader a request of its own; together they cost it one for each BATCH_S of each follower. Spoken only between
instances, and only where `groups` says that all of them know it.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import structlog
from msgspec import Raw, Struct

from loadbalancer.node.http.service_http import Answer, Client
from loadbalancer.registry.batch import MAX_BATCH_SIZE, Batcher
from loadbalancer.registry.messages import RenewRequest
from loadbalancer.registry.settings import parse_address

PATH = "/fleet/renew-many"
FORWARDED_HEADER = "fleet-hop"  # marks a call that an instance passed on: the next one answers it or says 503
FORWARD_TIMEOUT_S = 1.0  # for the leader's answer: a silent one is replaced in as long
MAX_BATCH_BODY_BYTES = 1024 * MAX_BATCH_SIZE  # bytes of a batch


class RelayedAnswer(Struct, frozen=True):
    """The answer to one renewal of a batch."""

    status: int
    body: Raw


_answers = msgspec.json.Decoder(list[RelayedAnswer])
_renewals = msgspec.json.Decoder(list[RenewRequest])


class RenewalRelay:
    """`leader` gives where the instance that leads answers, host:port; None where none is known."""

    def __init__(
        self, client: Client, leader: Callable[[], str | None], log: structlog.stdlib.BoundLogger
    ) -> None:
        self._client, self._leader = client, leader
        self._batch: Batcher[RenewRequest, RelayedAnswer] = Batcher("relayed_renewals", self._forward, log)

    async def renew(self, renewal: RenewRequest) -> Answer:
        """The leader's answer; ConnectionError where there is none in time."""
        answer = await self._batch.add(renewal)
        return Answer(answer.status, bytes(answer.body))

    async def _forward(self, renewals: list[RenewRequest]) -> list[RelayedAnswer]:
        leader = self._leader()
        if leader is None:
            raise ConnectionError("no leader in reach")
        body = msgspec.json.encode(renewals)
        reply = await self._client.call(
            parse_address(leader), "POST", PATH, body, FORWARD_TIMEOUT_S, {FORWARDED_HEADER: "1"}
        )
        if reply.status != 200:
            raise ConnectionError(f"the leader answered {reply.status}")
        try:
            answers = _answers.decode(reply.body)
        except msgspec.MsgspecError as failure:
            raise ConnectionError(f"the leader's answer: {failure}") from failure
        if len(answers) != len(renewals):
            raise ConnectionError(f"{len(answers)} answers to {len(renewals)} renewals")
        return answers


def decode_renewals(body: bytes) -> list[RenewRequest]:
    """ValueError names what is wrong, in one line."""
    try:
        renewals = _renewals.decode(body)
    except (msgspec.MsgspecError, RecursionError) as failure:
        raise ValueError(f"body: {failure}") from failure
    if len(renewals) > MAX_BATCH_SIZE:
        raise ValueError(f"body: {len(renewals)} renewals, over {MAX_BATCH_SIZE}")
    return renewals


def encode_answers(answers: list[Answer]) -> Answer:
    """The body that `RenewalRelay` reads."""
    rows = [RelayedAnswer(answer.status, Raw(answer.body)) for answer in answers]
    return Answer(200, msgspec.json.encode(rows))
