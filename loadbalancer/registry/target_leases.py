"""The leases of targets: renewals committed in batches, and the removal of expired targets by the leader.

Unlike members' leases (fleet_leader.py), they are measured in Unix time of the instances that proposed the
renewals. A wrong clock may remove a target early, but the target then registers again and is soon relisted.
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
from loadbalancer.registry.raft import RAFT_LEADER

RENEWAL_WINDOW_S = 0.05  # renewals that arrive within this time share a command
CHECK_PERIOD_S = 0.25  # interval of the leader's checks for expired leases
CHANGE_ID_LENGTH = 12
MS_PER_S = 1000


def unix_ms() -> int:
    """Return the wall clock as Unix time in ms."""
    return int(time.time() * MS_PER_S)


def new_change_id() -> str:
    """Return a random text that identifies one change in logs and responses."""
    return uuid.uuid4().hex[:CHANGE_ID_LENGTH]


class TargetLeases:
    """Renews and expires the leases of targets.

    `commit` proposes a command and returns its result; it raises TimeoutError or ConnectionError.
    """

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
        self.granted_term = -1  # the last term in which this instance renewed all leases as leader

    async def renew(self, uids: list[str]) -> list[str]:
        """Renew with the next batch; return the uids not listed. Raise TimeoutError if not committed."""
        waits = []
        for uid in uids:
            waits.append(asyncio.get_running_loop().create_future())
            self._renewals.setdefault(uid, []).append(waits[-1])
        known = await asyncio.gather(*waits)
        return [uid for uid, is_known in zip(uids, known, strict=True) if not is_known]

    async def commit_renewals(self) -> None:
        """Commit the renewals of each RENEWAL_WINDOW_S as one command, until cancelled."""
        while True:
            await asyncio.sleep(RENEWAL_WINDOW_S)
            if self._renewals:
                batch, self._renewals = self._renewals, {}
                await self._commit_batch(batch)

    async def _commit_batch(self, batch: dict[str, list[asyncio.Future[bool]]]) -> None:
        failed, unknown = False, set[str]()
        try:
            unknown = set(await self._commit(self._catalog.renew, list(batch), unix_ms()))
        except (TimeoutError, ConnectionError) as failure:
            self._log.warning("renewals_not_committed", count=len(batch), why=str(failure) or "timeout")
            failed = True
        for uid, waits in batch.items():
            for wait in waits:
                if wait.done():  # done already if its caller was cancelled
                    continue
                if failed:
                    wait.set_exception(TimeoutError())
                else:
                    wait.set_result(uid not in unknown)

    async def expire_leases(self) -> None:
        """As leader, renew every lease once per term and remove expired targets, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            raft = self._raft.getStatus()
            if raft["state"] != RAFT_LEADER or not raft["has_quorum"]:
                continue
            try:
                await self._renew_all_in(raft["raft_term"])
                await self._remove_expired()
            except (TimeoutError, ConnectionError):
                continue

    async def _renew_all_in(self, term: int) -> None:
        if term == self.granted_term:
            return
        count = await self._commit(self._catalog.grace, unix_ms())
        self.granted_term = term
        self._log.info("leader_granted_leases", term=term, leases=count)

    async def _remove_expired(self) -> None:
        if not self._catalog.has_expired(unix_ms(), self._ttl_ms):
            return
        for uid in await self._commit(self._catalog.expire, unix_ms(), self._ttl_ms):
            self._log.info("lease_expired", uid=uid, change=new_change_id())
