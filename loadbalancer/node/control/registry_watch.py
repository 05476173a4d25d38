"""The long poll for changes at the list service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Final, NamedTuple

import msgspec
import orjson

from loadbalancer.node.control.errors import WatchResponseError
from loadbalancer.node.control.registry_client import RegistryClient
from loadbalancer.node.http.service_client import ReceivedResponse

# A poll that a partition leaves open until this timeout does little harm: the responses to renewals contain
# the same changes.
WATCH_TIMEOUT_MS: Final = 20_000.0
WATCH_SLACK_MS: Final = 1_500.0  # added to the timeout for the service's response at the end of the poll
RETRY_PAUSE_S: Final = 0.5  # time from a failed poll to the next one
RENEWAL_CHECK_S: Final = 0.05  # interval of the checks whether the renewal has got its response
MAX_RENEWAL_CHECKS: Final = 10  # the next poll starts after these even without a renewal


class Revisions(NamedTuple):
    """The revisions that a watch compares: of the group's members and of the routes."""

    members: int
    routes: int


class WatchResponse(msgspec.Struct, frozen=True, rename={"members": "rev", "routes": "routes_rev"}):
    """The body of a watch response; its values are only compared with the known revisions."""

    members: object = None
    routes: object = None


class RegistryWatch:
    """Polls the list service and calls `on_change` when a revision differs from the known ones.

    The changes themselves come with the response to the next renewal, after which the owner sets `revisions`.
    """

    def __init__(
        self, client: RegistryClient, incarnation: Callable[[], int | None], on_change: Callable[[], None]
    ) -> None:
        """`incarnation`: returns this process's incarnation, or None before it is enrolled."""
        self.revisions = Revisions(0, 0)
        self._client, self._incarnation, self._on_change = client, incarnation, on_change

    async def run(self) -> None:
        """Poll until cancelled; retry a failed poll after RETRY_PAUSE_S."""
        while True:
            try:
                revisions = _decode(await self._poll())
            except (OSError, TimeoutError, ValueError):
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if (revisions.members, revisions.routes) != self.revisions:
                self._on_change()
                await self._wait_for_renewal()

    async def _poll(self) -> ReceivedResponse:
        known = self.revisions
        target = (
            f"watch?since={known.members}&routes_since={known.routes}"
            f"&incarnation={self._incarnation() or 0}&timeout_ms={WATCH_TIMEOUT_MS:.0f}"
        )
        return await self._client.get(target, WATCH_TIMEOUT_MS + WATCH_SLACK_MS)

    async def _wait_for_renewal(self) -> None:
        """Wait for the renewal that follows a change, so that the next poll uses the new revisions."""
        before = self.revisions
        for _ in range(MAX_RENEWAL_CHECKS):
            await asyncio.sleep(RENEWAL_CHECK_S)
            if self.revisions != before:
                return


def _decode(response: ReceivedResponse) -> WatchResponse:
    """Decode a watch response; raise ValueError unless it is a JSON object with status 200."""
    body = orjson.loads(response.body)
    if response.status != HTTPStatus.OK or not isinstance(body, dict):
        raise WatchResponseError(response.status)
    return msgspec.convert(body, WatchResponse)
