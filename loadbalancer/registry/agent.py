"""The per-machine agent that a node knows as `$PROXY_DISCOVERY` (PROTOCOL, "Discovery").

It follows one instance of the list service with watches and moves to the next when a call
fails or comes back marked stale, pausing by jittered exponential backoff between tries. It
caches the list and answers the node at once from that cache; until it has had a list it is
silent, as PROTOCOL's agent is while discovery is down.

Its revisions are its own, so that the node sees them rise even when the service's go back
(an instance rebuilt from nothing, another instance followed): they start at the agent's start
time in microseconds and rise by one with each change it passes on. Two rules guard the cache:
- a stale answer (`Registry-Stale: 1`) is taken only while the cache is empty, since a
  minority instance may be behind what the node was already told; so is an answer of a
  revision before the cache's, until every instance in turn has answered so (a rebuild);
- a whole list that is empty replaces a cache that is not only once it has stayed empty for
  `empty_hold_ms`: a service just rebuilt lists nobody until its servers register again, and
  a node that dropped every server would refuse everything meanwhile.

The fleet's calls (`/fleet/...`) it passes on as they come, whether it has a list or not (passing.py).
"""

from __future__ import annotations

import asyncio
import time
import zlib
from typing import Any

import orjson
import structlog
import tenacity

from loadbalancer.node.address import Address
from loadbalancer.node.http.service_http import Answer, Call, call, serve
from loadbalancer.registry import watch
from loadbalancer.registry.catalog import ListPage, Target
from loadbalancer.registry.forwarding import CallForwarder
from loadbalancer.registry.settings import AgentSettings

MAX_TOMBSTONES = 10_000


class StaleAnswerError(Exception):
    """An instance without a leader in reach answered; another may know more."""


class ListCache:
    """The list as the agent passes it on: entries by uid, each with the agent's revision of its change."""

    def __init__(self, start: int) -> None:
        self.revision = start
        self.horizon = start
        self.filled = False
        self.entries: dict[str, Target] = {}
        self.changed: dict[str, int] = {}
        self.gone: dict[str, Target] = {}

    def apply(self, whole: bool, targets: list[Target]) -> int:
        """Take an answer of the service; returns how many entries changed."""
        incoming = {target["uid"]: target for target in targets}
        changes = 0
        if whole:
            for uid in [uid for uid in self.entries if uid not in incoming]:
                changes += self._set(uid, None)
        for uid, target in incoming.items():
            changes += self._set(uid, None if target.get("state") == "Gone" else target)
        if changes or not self.filled:
            self.revision += 1
            self.filled = True
        return changes

    def _set(self, uid: str, target: Target | None) -> int:
        if target is None:
            old = self.entries.pop(uid, None)
            if old is None:
                return 0
            self.gone[uid] = {**old, "state": "Gone"}
            while len(self.gone) > MAX_TOMBSTONES:
                oldest = next(iter(self.gone))
                del self.gone[oldest]
                self.horizon = max(self.horizon, self.changed.pop(oldest, self.horizon))
        elif self.entries.get(uid) == target:
            return 0
        else:
            self.gone.pop(uid, None)
            self.entries[uid] = target
        self.changed.pop(uid, None)
        self.changed[uid] = self.revision + 1
        return 1

    def page(self, since: int | None) -> ListPage:
        if since is None or since < self.horizon or since > self.revision:
            return ListPage(self.revision, True, tuple(self.entries.values()))
        changed = [uid for uid, rev in self.changed.items() if rev > since]
        return ListPage(
            self.revision, False, tuple(self.entries.get(uid) or self.gone[uid] for uid in changed)
        )


class RegistryFollower:
    """Keeps the cache following the service, and wakes the node's watches on news."""

    def __init__(self, config: AgentSettings, log: structlog.stdlib.BoundLogger) -> None:
        self.config = config
        self.log = log
        self.cache = ListCache(time.time_ns() // 1000)
        # Agents start spread over the instances, so that no one instance carries every watch.
        self.source = zlib.crc32("{}:{}".format(*config.listen).encode()) % len(config.registries)
        self.source_rev: int | None = None  # the service's revision of what the cache holds
        self.failures = 0
        self.behind = 0  # answers in a row of a revision before what the cache holds
        self.empty_since: float | None = None
        self._loop = asyncio.get_running_loop()
        self._list_changed: asyncio.Future[None] = self._loop.create_future()
        self._fleet = CallForwarder(config.registries, lambda: self.source, log)

    @property
    def address(self) -> Address:
        return self.config.registries[self.source]

    async def follow(self) -> None:
        while True:
            retrying = tenacity.AsyncRetrying(
                wait=tenacity.wait_random_exponential(multiplier=0.05, max=self.config.retry_max_ms / 1000.0),
                retry=tenacity.retry_if_exception_type((OSError, TimeoutError, ValueError, StaleAnswerError)),
                before_sleep=self._failed,
            )
            async for attempt in retrying:
                with attempt:
                    await self._watch_once()

    async def _watch_once(self) -> None:
        wait = self.config.wait_ms
        target = (
            "/discovery/hosts" if self.source_rev is None else f"/discovery/hosts?since={self.source_rev}"
        )
        target += f"{'&' if '?' in target else '?'}timeout_ms={wait}"
        reply = await call(self.address, "GET", target, timeout_s=wait / 1000.0 + 1.5)
        if reply.status != 200:
            raise ValueError(f"answered {reply.status}")
        row: Any = orjson.loads(reply.body)
        if (
            not isinstance(row, dict)
            or not isinstance(row.get("rev"), int)
            or not isinstance(row.get("targets"), list)
        ):
            raise ValueError("not a list of the discovery wire")
        if reply.headers.get("registry-stale") == "1" and self.cache.filled:
            raise StaleAnswerError(f"stale at rev {row['rev']}")
        if self.source_rev is not None and row["rev"] < self.source_rev:
            self.behind += 1
            if self.behind < len(self.config.registries):  # until every instance has said so: a rebuild
                raise StaleAnswerError(f"rev {row['rev']} behind {self.source_rev}")
        self.behind = 0
        whole, targets = bool(row.get("all")), row["targets"]
        if whole and not targets and self.cache.entries and not self._empty_held():
            self.source_rev = None  # ask for the whole list again until the hold is over
            await asyncio.sleep(0.2)
            return
        self.empty_since = None
        self._take(row["rev"], whole, targets)

    def _empty_held(self) -> bool:
        now = self._loop.time()
        if self.empty_since is None:
            self.empty_since = now
            self.log.warning("empty_list_held", source=self._name(), cached=len(self.cache.entries))
        return (now - self.empty_since) * 1000 >= self.config.empty_hold_ms

    def _take(self, source_rev: int, whole: bool, targets: list[Target]) -> None:
        if self.failures:
            self.log.info("following_again", source=self._name(), after_failures=self.failures)
            self.failures = 0
        if self.source_rev is not None and source_rev < self.source_rev:
            self.log.warning(
                "source_revision_went_back", source=self._name(), was=self.source_rev, now=source_rev
            )
        self.source_rev = source_rev
        changes = self.cache.apply(whole, targets)
        if changes or whole:
            news, self._list_changed = self._list_changed, self._loop.create_future()
            news.set_result(None)
        if changes:
            self.log.info("list_changed", rev=self.cache.revision, source_rev=source_rev, changes=changes)

    def _failed(self, state: tenacity.RetryCallState) -> None:
        outcome = state.outcome.exception() if state.outcome else None
        self.failures += 1
        if self.failures == 1 or self.failures % 50 == 0:  # once a stretch, then now and then
            said = f"{type(outcome).__name__}: {outcome}"[:200]
            self.log.warning("source_failed", source=self._name(), failures=self.failures, why=said)
        # The revision is kept: the instances count alike, so the next one can tell what changed since.
        self.source = (self.source + 1) % len(self.config.registries)

    def _name(self) -> str:
        return "{}:{}".format(*self.address)

    async def handle(self, request: Call) -> Answer:
        if request.path == "/agent/status":
            return Answer(200, orjson.dumps(self.status()))
        if request.path.startswith("/fleet/"):
            return await self._fleet.answer(request)
        if request.path != "/discovery/hosts" or request.method != "GET":
            return Answer(404, b'{"error":"no such path"}')
        try:
            since, wait_s = watch.parse_query(request)
        except ValueError:
            return Answer(400, b'{"error":"since and timeout_ms are whole numbers"}')
        while not self.cache.filled:  # silent until there is a list
            await asyncio.shield(self._list_changed)
        page = await watch.page_after_change(self.cache.page, since, wait_s, lambda: self._list_changed)
        return watch.page_answer(page, origin_rev=self.source_rev)

    def status(self) -> dict[str, Any]:
        return {
            "rev": self.cache.revision,
            "have": self.cache.filled,
            "listed": len(self.cache.entries),
            "source": self._name(),
            "source_rev": self.source_rev,
            "failures": self.failures,
        }


async def run_agent(config: AgentSettings, log: structlog.stdlib.BoundLogger) -> None:
    """Follow the service and serve the node until SIGTERM or SIGINT."""
    follower = RegistryFollower(config, log)
    server = await serve(config.listen, follower.handle)
    task = asyncio.create_task(follower.follow())
    log.info("agent_started", listen="{}:{}".format(*config.listen), registries=len(config.registries))
    await watch.until_signalled()
    log.info("agent_stopping", **follower.status())
    task.cancel()
    server.close()
