"""The leases of targets: renewals gathered into few log entries, and what the leader does as one lapses.

Their times are Unix times of whoever proposed the renewal, unlike the members' (fleet_leader.py): a target
buried early registers again, and is off the list for that long only.
"""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

import structlog
from pysyncobj import SyncObj

from loadbalancer.registry.catalog import TargetCatalog

RENEWAL_WINDOW_S = 0.05  # renewals gathered into one command
CHECK_PERIOD_S = 0.25  # of the leader's duties


def unix_ms() -> int:
    return int(time.time() * 1000)


class TargetLeases:
    """`commit` proposes a command and gives its result; TimeoutError or ConnectionError."""

    def __init__(
        self,
        catalog: TargetCatalog,
        raft: SyncObj,
        ttl_ms: int,
        commit: Callable[..., Awaitable[Any]],
        log: structlog.stdlib.BoundLogger,
    ) -> None:
        self._catalog, self._raft, self._ttl_ms, self._commit, self._log = catalog, raft, ttl_ms, commit, log
        self._renewals: dict[str, list[asyncio.Future[bool]]] = {}
        self.granted_term = -1  # the last term in which this instance, leading, has granted all leases anew

    async def renew(self, uids: list[str]) -> list[str]:
        """Renew with the next batch; returns those that are not listed."""
        waits = []
        for uid in uids:
            waits.append(asyncio.get_running_loop().create_future())
            self._renewals.setdefault(uid, []).append(waits[-1])
        known = await asyncio.gather(*waits)
        return [uid for uid, ok in zip(uids, known, strict=True) if not ok]

    async def commit_renewals(self) -> None:
        """Each batch of renewals is one command: thousands of servers cost a few writes a second."""
        while True:
            await asyncio.sleep(RENEWAL_WINDOW_S)
            if not self._renewals:
                continue
            batch, self._renewals = self._renewals, {}
            failed, unknown = False, set[str]()
            try:
                unknown = set(await self._commit(self._catalog.renew, list(batch), unix_ms()))
            except (TimeoutError, ConnectionError) as failure:
                self._log.warning("renewals_not_committed", count=len(batch), why=str(failure) or "timeout")
                failed = True
            for uid, waits in batch.items():
                for wait in waits:
                    if wait.done():  # Guard: its caller has gone; settling it would end this duty
                        continue
                    if failed:
                        wait.set_exception(TimeoutError())
                    else:
                        wait.set_result(uid not in unknown)

    async def expire_leases(self) -> None:
        """As leader: first grant every lease a full term, then bury what lapses."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            raft = self._raft.getStatus()
            if raft["state"] != 2 or not raft["has_quorum"]:
                continue
            try:
                if raft["raft_term"] != self.granted_term:
                    count = await self._commit(self._catalog.grace, unix_ms())
                    self.granted_term = raft["raft_term"]
                    self._log.info("leader_granted_leases", term=self.granted_term, leases=count)
                if not self._catalog.has_expired(unix_ms(), self._ttl_ms):
                    continue
                lapsed = await self._commit(self._catalog.expire, unix_ms(), self._ttl_ms)
            except (TimeoutError, ConnectionError):
                continue
            for uid in lapsed:
                self._log.info("lease_lapsed", uid=uid, change=uuid.uuid4().hex[:12])
