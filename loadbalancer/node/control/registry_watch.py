"""The long poll for changes at the list service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Final, NamedTuple

import msgspec
import orjson

from loadbalancer.node.control.errors import WatchAnswerError
from loadbalancer.node.control.registry_client import RegistryClient
from loadbalancer.node.http import service_http as web

# A poll that a network cut leaves open costs little: the answers to renewals state the same changes.
WATCH_TIMEOUT_MS: Final = 20_000.0
WATCH_SLACK_MS: Final = 1_500.0  # for the answer to a poll that the service lets time out
RETRY_PAUSE_S: Final = 0.5  # after a poll that failed
RENEWAL_POLL_S: Final = 0.05
RENEWAL_POLLS: Final = 10  # how often, at most, the next poll waits for the renewal that a change calls for


class Revisions(NamedTuple):
    """What a watch compares: the revisions of the group's members and of the routes."""

    members: int
    routes: int


class WatchAnswer(msgspec.Struct, frozen=True, rename={"members": "rev", "routes": "routes_rev"}):
    """The body of an answer, whose values are only compared with the known revisions."""

    members: object = None
    routes: object = None


class RegistryWatch:
    """Polls the list service and calls `on_change` when another revision than the known ones is out.

    What has changed is stated by the next renewal's answer, which sets `revisions`.
    """

    def __init__(
        self, client: RegistryClient, incarnation: Callable[[], int | None], on_change: Callable[[], None]
    ) -> None:
        """`incarnation`: of this process, None before it is enrolled."""
        self.revisions = Revisions(0, 0)
        self._client, self._incarnation, self._on_change = client, incarnation, on_change

    async def run(self) -> None:
        """Poll until cancelled; a poll that fails is repeated after a pause."""
        while True:
            try:
                answer = _decode(await self._poll())
            except (OSError, TimeoutError, ValueError):
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if (answer.members, answer.routes) != self.revisions:
                self._on_change()
                await self._wait_for_renewal()

    async def _poll(self) -> web.ReceivedResponse:
        known = self.revisions
        target = (
            f"watch?since={known.members}&routes_since={known.routes}"
            f"&incarnation={self._incarnation() or 0}&timeout_ms={WATCH_TIMEOUT_MS:.0f}"
        )
        return await self._client.get(target, WATCH_TIMEOUT_MS + WATCH_SLACK_MS)

    async def _wait_for_renewal(self) -> None:
        """Wait for the renewal that a change calls for, so that the next poll starts from its revisions."""
        before = self.revisions
        for _ in range(RENEWAL_POLLS):
            await asyncio.sleep(RENEWAL_POLL_S)
            if self.revisions != before:
                return


def _decode(reply: web.ReceivedResponse) -> WatchAnswer:
    """ValueError for anything but a JSON object with status 200."""
    body = orjson.loads(reply.body)
    if reply.status != HTTPStatus.OK or not isinstance(body, dict):
        raise WatchAnswerError(reply.status)
    return msgspec.convert(body, WatchAnswer)
