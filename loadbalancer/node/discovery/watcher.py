"""The watcher, which follows discovery's endpoint list and continues after any failure."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from loadbalancer.endpoints import EndpointListKind
from loadbalancer.node.address import Address
from loadbalancer.node.discovery.client import DiscoveryClient
from loadbalancer.node.discovery.errors import StaleListError
from loadbalancer.node.discovery.poll_policy import PollPolicy
from loadbalancer.node.discovery.response import DiscoveryResponse
from loadbalancer.node.discovery.revision_guard import RevisionGuard

log = logging.getLogger("loadbalancer")

MAX_LOGGED_ERROR_CHARS = 200

# Called with the kind of an update and its response, or with FAILED and None when a poll has failed.
UpdateListener = Callable[[EndpointListKind, DiscoveryResponse | None], None]


class EndpointListWatcher:
    """Polls for the list until it is closed; exceptions in a poll or in `on_update` don't end the watch."""

    def __init__(
        self, address: Address, revision: int, policy: PollPolicy, on_update: UpdateListener
    ) -> None:
        self._client = DiscoveryClient(address)
        self._revision = revision  # revision of the node's list
        self._guard = RevisionGuard()
        self._needs_full_list = False
        self._policy = policy
        self._on_update = on_update
        self._failing = False
        self._closed = False
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the watch unless it is running or the watcher has been closed."""
        if self._task is None and not self._closed:
            self._task = asyncio.create_task(self._follow())

    @property
    def address(self) -> Address:
        """Address from which the list is followed now."""
        return self._client.address

    def resume_from(self, revision: int) -> None:
        """Poll for changes after `revision`, which the node has from its state file."""
        self._revision = max(self._revision, revision)

    def change_address(self, address: Address) -> None:
        """Follow the list at this address from now on.

        The new address is polled at once, even during a backoff, which applies only to the old address.
        """
        if address == self._client.address:
            return
        self._stop()
        self._client = DiscoveryClient(address)
        self._guard.reset_for_new_address()
        self._needs_full_list = self._failing = False
        self._policy.reset()
        self.start()

    def close(self) -> None:
        """End the watch permanently."""
        self._closed = True
        self._stop()

    def _stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self._client.disconnect()

    async def _follow(self) -> None:
        while True:
            try:
                async with asyncio.timeout(self._policy.timeout_s):
                    response = await self._poll()
                kind = EndpointListKind.FULL if response.complete else EndpointListKind.DELTA
                self._on_update(kind, response)
            except Exception as error:  # also of the listener, as the watch must continue
                self._report_failure(error)
                await asyncio.sleep(self._policy.record_failure())
                continue
            # Set only after the listener has returned: an update for which it raised is polled for again.
            self._revision = response.revision
            self._guard.accept(response.revision)
            self._failing = False
            self._policy.record_success()

    async def _poll(self) -> DiscoveryResponse:
        since = self._revision
        if self._needs_full_list:
            response = await self._client.full_list()
        else:
            response = await self._client.poll(since, self._policy.wait_ms)
        self._needs_full_list = False
        self._check_revision(response, since)
        return response

    def _check_revision(self, response: DiscoveryResponse, since: int) -> None:
        try:
            rebuilt = self._guard.check(response, since, asyncio.get_running_loop().time())
        except StaleListError:
            self._needs_full_list = True
            self._policy.record_success()  # discovery responds, so this is no outage that needs a backoff
            raise
        if rebuilt:
            log.warning(
                "discovery at %s:%d restarted its revisions (%d after %d): its complete list is accepted",
                *self.address,
                response.revision,
                self._guard.minimum,
            )

    def _report_failure(self, error: Exception) -> None:
        """Log the first of consecutive failures and every unexpected error, and notify the listener."""
        if not isinstance(error, OSError | TimeoutError | ValueError):
            log.error("watch of discovery at %s:%d failed unexpectedly", *self.address, exc_info=error)
        elif not self._failing:
            reason = f"{type(error).__name__}: {error}"[:MAX_LOGGED_ERROR_CHARS]
            log.warning("discovery at %s:%d failed, the last list stays in use: %s", *self.address, reason)
        self._failing = True
        self._client.disconnect()
        try:
            self._on_update(EndpointListKind.FAILED, None)
        except Exception:
            log.exception("balancer could not be notified of a failure of discovery")
