"""The list itself, as every instance of the list service replicates it.

A consumer of pysyncobj's Raft log. Commands are plain data with the proposer's clock in them, so that every
instance comes to the same state; commands run in Raft's thread and reads come from the event loop, so both
hold one lock.

pysyncobj numbers the replicated commands by their methods' names, and a journal holds these numbers: the
names of the methods marked `replicated` are part of the stored form.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any, NamedTuple

from pysyncobj import SyncObjConsumer, replicated

from loadbalancer.registry.target import Target
from loadbalancer.registry.target_list import ListPage, TargetList


class CatalogCounts(NamedTuple):
    """The size of the catalog, as an instance's status shows it."""

    revision: int
    targets: int
    tombstones: int


class TargetCatalog(SyncObjConsumer):  # type: ignore[misc]  # pysyncobj ships no types
    """The targets and their leases.

    A revision counts changes that a watcher can see; renewing a lease is none. `on_change` is called, in
    Raft's thread, with each new revision.
    """

    def __init__(self, max_tombstones: int, on_change: Callable[[int], None]) -> None:
        self._lock = threading.Lock()
        self._on_change = on_change
        self._list = TargetList(max_tombstones)
        self._renewed_at_ms: dict[str, int] = {}  # last renewal by uid, in the proposer's Unix time
        super().__init__()

    # Commands: each runs on every instance, in the log's order.

    @replicated  # type: ignore[untyped-decorator]
    def put(self, target: Target, at_ms: int) -> int:
        """Register or change a target and renew its lease; the same body again is no change."""
        with self._lock:
            self._renewed_at_ms[target["uid"]] = at_ms
            if self._list.put(target, self._list.revision + 1):
                self._increment_revision()
            return self._list.revision

    @replicated  # type: ignore[untyped-decorator]
    def remove(self, uid: str, at_ms: int) -> int:
        """Take a target off the list: it is `Gone` from the next revision on."""
        with self._lock:
            self._remove(uid)
            return self._list.revision

    @replicated  # type: ignore[untyped-decorator]
    def renew(self, uids: list[str], at_ms: int) -> list[str]:
        """Renew the leases of these targets; returns those that are not listed and have to register again."""
        with self._lock:
            unknown = []
            for uid in uids:
                if uid in self._list.targets:
                    self._renewed_at_ms[uid] = max(self._renewed_at_ms.get(uid, 0), at_ms)
                else:
                    unknown.append(uid)
            return unknown

    @replicated  # type: ignore[untyped-decorator]
    def expire(self, now_ms: int, ttl_ms: int) -> list[str]:
        """Remove every target whose lease has expired; returns their uids."""
        with self._lock:
            expired = [uid for uid in self._list.targets if self._expires_at_ms(uid, ttl_ms) < now_ms]
            for uid in expired:
                self._remove(uid)
            return expired

    @replicated  # type: ignore[untyped-decorator]
    def grace(self, now_ms: int) -> int:
        """Renew every lease to now; returns their number.

        It is a new leader's first command, since no renewal could be committed while there was no leader
        (etcd extends its leases likewise).
        """
        with self._lock:
            for uid in self._list.targets:
                self._renewed_at_ms[uid] = max(self._renewed_at_ms.get(uid, 0), now_ms)
            return len(self._list.targets)

    # Reads: from whatever this instance has applied.

    def page(self, since: int | None) -> ListPage:
        """What has changed after `since`, or the complete list (`TargetList.page`)."""
        with self._lock:
            return self._list.page(since)

    def has_expired(self, now_ms: int, ttl_ms: int) -> bool:
        """Whether `expire` would remove anything; an idle list adds nothing to the log."""
        with self._lock:
            return any(self._expires_at_ms(uid, ttl_ms) < now_ms for uid in self._list.targets)

    def counts(self) -> CatalogCounts:
        """The revision and the number of entries."""
        with self._lock:
            targets = self._list
            return CatalogCounts(targets.revision, len(targets.targets), len(targets.tombstones))

    # Parts.

    def _expires_at_ms(self, uid: str, ttl_ms: int) -> int:
        return self._renewed_at_ms.get(uid, 0) + ttl_ms

    def _remove(self, uid: str) -> None:
        if self._list.remove(uid, self._list.revision + 1):
            self._renewed_at_ms.pop(uid, None)
            self._increment_revision()

    def _increment_revision(self) -> None:
        self._list.revision += 1
        self._on_change(self._list.revision)

    # The snapshot: pysyncobj calls these to store and restore the consumer.

    def _serialize(self) -> dict[str, Any]:
        """The stored attributes; their names are part of the stored form (stored_form.py)."""
        return {
            "revision": self._list.revision,
            "horizon": self._list.horizon,
            "live": self._list.targets,
            "changed": self._list.change_revisions,
            "gone": self._list.tombstones,
            "renewed": self._renewed_at_ms,
        }

    def _deserialize(self, data: dict[str, Any]) -> None:
        with self._lock:
            self._list.revision = data["revision"]
            self._list.horizon = data["horizon"]
            self._list.targets = data["live"]
            self._list.change_revisions = data["changed"]
            self._list.tombstones = data["gone"]
            self._renewed_at_ms = data["renewed"]
            revision = self._list.revision
        self._on_change(revision)
