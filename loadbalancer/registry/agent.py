"""The per-machine agent that a node knows as `$PROXY_DISCOVERY` (PROTOCOL, "Discovery").

It watches one instance of the list service and switches to the next when a call fails or its response is
stale, with a jittered exponential backoff between attempts. It caches the list and serves the node's watches
from that cache. Until it has received a first list it sends the node no response, as PROTOCOL requires of the
agent while discovery is down.

The agent counts revisions of its own, which start at its start time in microseconds and rise by one with each
change. So the node sees only rising revisions, even if the service's revisions fall because an instance was
rebuilt from nothing or the agent has switched to another instance. Two rules protect the cache:

- A stale list (`Registry-Stale: 1`) is accepted only while the cache is empty, since an instance in a
  minority may be behind the list that the node already has. A list of an earlier revision than the cached one
  is rejected until every instance in turn has sent such a list, which means that the service was rebuilt.
- A complete list without targets replaces a cached list with targets only after the service's list has been
  empty for `empty_hold_ms`: a service just rebuilt lists no server until the servers register again, and a
  node without servers would reject every request meanwhile.

The fleet's calls (`/fleet/...`) are forwarded at once, whether a list is cached or not (forwarding.py).
"""

from __future__ import annotations

import asyncio
import time
import zlib
from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import orjson
import structlog
import tenacity

from loadbalancer.node.address import Address
from loadbalancer.node.http.service_client import ReceivedResponse, send_request
from loadbalancer.node.http.service_server import HttpRequest, HttpResponse, serve
from loadbalancer.registry import watch
from loadbalancer.registry.addresses import format_address
from loadbalancer.registry.answers import error_response, json_response
from loadbalancer.registry.errors import InvalidFieldError, StaleResponseError, UnusableResponseError
from loadbalancer.registry.forwarding import CallForwarder
from loadbalancer.registry.settings import AgentSettings
from loadbalancer.registry.signals import wait_for_stop
from loadbalancer.registry.target import GONE, Target
from loadbalancer.registry.target_list import ListPage, TargetList

MAX_TOMBSTONES = 10_000
MIN_BACKOFF_S = 0.05
MAX_TRANSFER_S = 60.0  # a long list that arrives slowly may take longer by up to this time
RESPONSE_MARGIN_S = 1.5  # the response timeout of a watch is its wait plus this margin
EMPTY_LIST_PERIOD_S = 0.2  # interval of the reads while an empty list is not accepted yet
FAILURES_PER_LOG_LINE = 50
MAX_LOGGED_CHARACTERS = 200
NS_PER_US = 1_000
MS_PER_S = 1000.0


class ListCache:
    """The list that the agent serves, under the agent's revisions, which begin at `start_revision`."""

    def __init__(self, start_revision: int) -> None:
        self._list = TargetList(MAX_TOMBSTONES, start_revision)
        self.filled = False  # whether a list has been received

    @property
    def revision(self) -> int:
        """The agent's revision; rises with each response of the service that changes the list."""
        return self._list.revision

    @property
    def entries(self) -> dict[str, Target]:
        """The targets by uid."""
        return self._list.targets

    def apply(self, complete: bool, targets: Sequence[Target]) -> int:
        """Apply a list or delta from the service; return how many entries changed."""
        incoming = {target["uid"]: target for target in targets}
        revision = self._list.revision + 1  # shared by all changes of this response
        changes = 0
        if complete:
            for uid in [uid for uid in self._list.targets if uid not in incoming]:
                changes += self._list.remove(uid, revision)
        for uid, target in incoming.items():
            if target.get("state") == GONE:
                changes += self._list.remove(uid, revision)
            else:
                changes += self._list.put(target, revision)
        if changes or not self.filled:
            self._list.revision = revision
            self.filled = True
        return changes

    def page(self, since: int | None) -> ListPage:
        """Return the entries changed after `since`, or the complete list (`TargetList.page`)."""
        return self._list.page(since)


@dataclass(slots=True, frozen=True)
class SourceList:
    """An instance's response to a watch."""

    revision: int  # the service's revision
    complete: bool
    targets: list[Target]
    stale: bool


class RegistryFollower:
    """Keeps the cached list up to date and serves the node's watches from it."""

    def __init__(self, config: AgentSettings, log: structlog.stdlib.BoundLogger) -> None:
        self.config = config
        self.log = log
        self.cache = ListCache(time.time_ns() // NS_PER_US)
        # Agents start at different instances, which spreads the watches over the instances.
        self.source = zlib.crc32(format_address(config.listen).encode()) % len(config.registries)
        self.source_revision: int | None = None  # the service's revision of the cached list
        self.failures = 0
        self._lists_behind = 0  # consecutive lists of an earlier revision than the cached one
        self._empty_since_s: float | None = None
        self._loop = asyncio.get_running_loop()
        self._list_changed: asyncio.Future[None] = self._loop.create_future()
        self._forwarder = CallForwarder(config.registries, lambda: self.source, log)

    @property
    def address(self) -> Address:
        """The address of the instance that is followed."""
        return self.config.registries[self.source]

    async def follow(self) -> None:
        """Watch the service until cancelled."""
        while True:
            retrying = tenacity.AsyncRetrying(
                wait=tenacity.wait_random_exponential(
                    multiplier=MIN_BACKOFF_S, max=self.config.retry_max_ms / MS_PER_S
                ),
                retry=tenacity.retry_if_exception_type(
                    (OSError, TimeoutError, ValueError, StaleResponseError)
                ),
                before_sleep=self._on_failure,
            )
            async for attempt in retrying:
                with attempt:
                    await self._watch_once()

    async def _watch_once(self) -> None:
        received = _read_list(await self._call_source())
        self._reject_stale(received)
        if self._is_suspect(received) and not self._empty_long_enough():
            self.source_revision = None  # keep reading the complete list until `empty_hold_ms` has passed
            await asyncio.sleep(EMPTY_LIST_PERIOD_S)
            return
        self._empty_since_s = None
        self._apply(received)

    async def _call_source(self) -> ReceivedResponse:
        wait_ms = self.config.wait_ms
        since = "" if self.source_revision is None else f"since={self.source_revision}&"
        target = f"/discovery/hosts?{since}timeout_ms={wait_ms}"
        return await send_request(
            self.address,
            "GET",
            target,
            timeout_s=wait_ms / MS_PER_S + RESPONSE_MARGIN_S,
            max_transfer_s=MAX_TRANSFER_S,
        )

    def _reject_stale(self, received: SourceList) -> None:
        """Raise StaleResponseError for a list that may be older than the cached one.

        A stale list without targets is rejected even while the cache is empty: the instance may not have
        applied its log yet, and a node that still has a list would replace it by the empty one.
        """
        if received.stale and (self.cache.filled or not received.targets):
            message = f"stale at rev {received.revision}"
            raise StaleResponseError(message)
        if self.source_revision is not None and received.revision < self.source_revision:
            self._lists_behind += 1
            # If every instance has sent such a list, the service has been rebuilt.
            if self._lists_behind < len(self.config.registries):
                message = f"rev {received.revision} behind {self.source_revision}"
                raise StaleResponseError(message)
        self._lists_behind = 0

    def _is_suspect(self, received: SourceList) -> bool:
        return received.complete and not received.targets and bool(self.cache.entries)

    def _empty_long_enough(self) -> bool:
        now_s = self._loop.time()
        if self._empty_since_s is None:
            self._empty_since_s = now_s
            self.log.warning("empty_list_held", source=self._source_name(), cached=len(self.cache.entries))
        return (now_s - self._empty_since_s) * MS_PER_S >= self.config.empty_hold_ms

    def _apply(self, received: SourceList) -> None:
        if self.failures:
            self.log.info("following_again", source=self._source_name(), after_failures=self.failures)
            self.failures = 0
        before = self.source_revision
        if before is not None and received.revision < before:
            self.log.warning(
                "source_revision_went_back", source=self._source_name(), was=before, now=received.revision
            )
        self.source_revision = received.revision
        changes = self.cache.apply(received.complete, received.targets)
        if changes or received.complete:
            changed, self._list_changed = self._list_changed, self._loop.create_future()
            changed.set_result(None)
        if changes:
            self.log.info(
                "list_changed", rev=self.cache.revision, source_rev=received.revision, changes=changes
            )

    def _on_failure(self, state: tenacity.RetryCallState) -> None:
        failure = state.outcome.exception() if state.outcome else None
        self.failures += 1
        if self.failures == 1 or self.failures % FAILURES_PER_LOG_LINE == 0:
            reason = f"{type(failure).__name__}: {failure}"[:MAX_LOGGED_CHARACTERS]
            self.log.warning("source_failed", source=self._source_name(), failures=self.failures, why=reason)
        # `source_revision` stays: revisions are the same on all instances, so the next one can send a delta.
        self.source = (self.source + 1) % len(self.config.registries)

    def _source_name(self) -> str:
        return format_address(self.address)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Respond to any call of the node; a watch waits until a list has been received."""
        if request.path == "/agent/status":
            return json_response(HTTPStatus.OK, self.status())
        if request.path.startswith("/fleet/"):
            return await self._forwarder.send(request)
        if request.path != "/discovery/hosts" or request.method != "GET":
            return error_response(HTTPStatus.NOT_FOUND, "no such path")
        try:
            query = watch.parse_query(request)
        except InvalidFieldError:
            return error_response(HTTPStatus.BAD_REQUEST, "since and timeout_ms are whole numbers")
        while not self.cache.filled:
            await asyncio.shield(self._list_changed)
        page = await watch.page_after_change(self.cache.page, query, lambda: self._list_changed)
        return watch.page_response(page, origin_revision=self.source_revision)

    def status(self) -> dict[str, Any]:
        """Return the body of GET /agent/status; operators see the keys."""
        return {
            "rev": self.cache.revision,
            "have": self.cache.filled,
            "listed": len(self.cache.entries),
            "source": self._source_name(),
            "source_rev": self.source_revision,
            "failures": self.failures,
        }


def _read_list(response: ReceivedResponse) -> SourceList:
    """Decode an instance's response to a watch; raise UnusableResponseError if it holds no list."""
    if response.status != HTTPStatus.OK:
        message = f"response status {response.status}"
        raise UnusableResponseError(message)
    body: Any = orjson.loads(response.body)
    if (
        not isinstance(body, dict)
        or not isinstance(body.get("rev"), int)
        or not isinstance(body.get("targets"), list)
    ):
        message = "not a list in the discovery format"
        raise UnusableResponseError(message)
    stale = response.headers.get("registry-stale") == "1"
    return SourceList(body["rev"], bool(body.get("all")), body["targets"], stale)


async def run_agent(config: AgentSettings, log: structlog.stdlib.BoundLogger) -> None:
    """Follow the service and serve the node until SIGTERM or SIGINT."""
    follower = RegistryFollower(config, log)
    server = await serve(config.listen, follower.handle)
    task = asyncio.create_task(follower.follow())
    log.info("agent_started", listen=format_address(config.listen), registries=len(config.registries))
    await wait_for_stop()
    log.info("agent_stopping", **follower.status())
    task.cancel()
    server.close()
    await server.complete_responses()
