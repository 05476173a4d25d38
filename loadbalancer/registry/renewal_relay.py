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
from loadbalancer.registry.batch import MOST, Batch
from loadbalancer.registry.messages import Renew
from loadbalancer.registry.settings import address

PATH = "/fleet/renew-many"
HOP = "fleet-hop"  # marks a call that an instance passed on: the next one answers it or says 503
PASS_S = 1.0  # for the leader's answer: a silent one is replaced in as long
MAX_BODY = 1024 * MOST  # bytes of a batch


class RelayedAnswer(Struct, frozen=True):
    """The answer to one renewal of a batch."""

    status: int
    body: Raw


_answers = msgspec.json.Decoder(list[RelayedAnswer])
_renewals = msgspec.json.Decoder(list[Renew])


class RenewalRelay:
    """`leader` gives where the instance that leads answers, host:port; None where none is known."""

    def __init__(
        self, client: Client, leader: Callable[[], str | None], log: structlog.stdlib.BoundLogger
    ) -> None:
        self._client, self._leader = client, leader
        self._batch: Batch[Renew, RelayedAnswer] = Batch("relayed_renewals", self._pass_on, log)

    async def renew(self, renewal: Renew) -> Answer:
        """The leader's answer; ConnectionError where there is none in time."""
        answer = await self._batch.add(renewal)
        return Answer(answer.status, bytes(answer.body))

    async def _pass_on(self, renewals: list[Renew]) -> list[RelayedAnswer]:
        leader = self._leader()
        if leader is None:
            raise ConnectionError("no leader in reach")
        body = msgspec.json.encode(renewals)
        reply = await self._client.call(address(leader), "POST", PATH, body, PASS_S, {HOP: "1"})
        if reply.status != 200:
            raise ConnectionError(f"the leader answered {reply.status}")
        try:
            answers = _answers.decode(reply.body)
        except msgspec.MsgspecError as failure:
            raise ConnectionError(f"the leader's answer: {failure}") from failure
        if len(answers) != len(renewals):
            raise ConnectionError(f"{len(answers)} answers to {len(renewals)} renewals")
        return answers


def read_batch(body: bytes) -> list[Renew]:
    """ValueError names what is wrong, in one line."""
    try:
        renewals = _renewals.decode(body)
    except (msgspec.MsgspecError, RecursionError) as failure:
        raise ValueError(f"body: {failure}") from failure
    if len(renewals) > MOST:
        raise ValueError(f"body: {len(renewals)} renewals, over {MOST}")
    return renewals


def answer_batch(answers: list[Answer]) -> Answer:
    """The body that `RenewalRelay` reads."""
    rows = [RelayedAnswer(answer.status, Raw(answer.body)) for answer in answers]
    return Answer(200, msgspec.json.encode(rows))
