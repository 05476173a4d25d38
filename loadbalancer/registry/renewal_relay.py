"""Batches in which an instance that does not lead forwards renewals to the leader.

Most renewals of a large fleet reach an instance that does not lead. Forwarded one by one, each would cost the
leader a request; in batches they cost it one request per BATCH_WINDOW_S and instance. Only instances make
this call, and only if the `groups` setting is on, which means that all instances support it.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import msgspec
import structlog
from msgspec import Raw, Struct

from loadbalancer.node.http.service_client import HttpClient
from loadbalancer.node.http.service_server import HttpResponse
from loadbalancer.registry.addresses import parse_address
from loadbalancer.registry.batch import MAX_BATCH_COUNT, Batcher
from loadbalancer.registry.errors import (
    BatchTooLargeError,
    InvalidBodyError,
    NoLeaderError,
    UnusableLeaderResponseError,
)
from loadbalancer.registry.forwarding import HOP_HEADER
from loadbalancer.registry.messages import RenewRequest

RENEW_MANY_PATH = "/fleet/renew-many"
FORWARD_TIMEOUT_S = 1.0  # limit for the leader's response; a silent leader is replaced in about this time
MAX_BATCH_BODY_BYTES = 1024 * MAX_BATCH_COUNT


class RelayedResponse(Struct, frozen=True):
    """The response to one renewal of a batch."""

    status: int
    body: Raw


_response_decoder = msgspec.json.Decoder(list[RelayedResponse])
_renewal_decoder = msgspec.json.Decoder(list[RenewRequest])


class RenewalRelay:
    """Forwards renewals; `leader` returns the leader's host:port, or None if no leader is known."""

    def __init__(
        self, client: HttpClient, leader: Callable[[], str | None], log: structlog.stdlib.BoundLogger
    ) -> None:
        self._client, self._leader = client, leader
        self._batch: Batcher[RenewRequest, RelayedResponse] = Batcher("relayed_renewals", self._forward, log)

    async def renew(self, renewal: RenewRequest) -> HttpResponse:
        """Return the leader's response; raise NotCommittedError if there is none in time."""
        response = await self._batch.add(renewal)
        return HttpResponse(response.status, bytes(response.body))

    async def _forward(self, renewals: list[RenewRequest]) -> list[RelayedResponse]:
        leader = self._leader()
        if leader is None:
            raise NoLeaderError
        body = msgspec.json.encode(renewals)
        address = parse_address(leader)
        response = await self._client.send(
            address, "POST", RENEW_MANY_PATH, body, FORWARD_TIMEOUT_S, {HOP_HEADER: "1"}
        )
        if response.status != HTTPStatus.OK:
            raise UnusableLeaderResponseError(response.status)
        try:
            responses = _response_decoder.decode(response.body)
        except msgspec.MsgspecError as failure:
            raise UnusableLeaderResponseError(failure) from failure
        if len(responses) != len(renewals):
            problem = f"{len(responses)} responses to {len(renewals)} renewals"
            raise UnusableLeaderResponseError(problem)
        return responses


def decode_renewals(body: bytes) -> list[RenewRequest]:
    """Decode the renewals of a batch; raise InvalidBodyError, which gives the reason in one line."""
    try:
        renewals = _renewal_decoder.decode(body)
    except (msgspec.MsgspecError, RecursionError) as failure:
        raise InvalidBodyError(failure) from failure
    if len(renewals) > MAX_BATCH_COUNT:
        raise BatchTooLargeError(len(renewals), MAX_BATCH_COUNT)
    return renewals


def encode_responses(responses: list[HttpResponse]) -> HttpResponse:
    """Encode the response to a batch, which `RenewalRelay` decodes."""
    relayed = [RelayedResponse(response.status, Raw(response.body)) for response in responses]
    return HttpResponse(HTTPStatus.OK, msgspec.json.encode(relayed))
