"""The list of targets, replicated to every instance of the list service.

A consumer of pysyncobj's Raft log. Commands are plain data that include the proposer's time, so that every
instance reaches the same state. Commands run in Raft's thread and reads in the event loop, so both take one
lock.

pysyncobj numbers the replicated commands by their methods' names, and journals contain these numbers: the
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
    """The size of the catalog, reported in an instance's status."""

    revision: int
    targets: int
    tombstones: int


class TargetCatalog(SyncObjConsumer):  # type: ignore[misc]  # pysyncobj ships no types
    """The targets and their leases.

    The revision counts the changes that a watch can see, which excludes lease renewals. `on_change` is called
    in Raft's thread with each new revision.
    """

    def __init__(self, max_tombstones: int, on_change: Callable[[int], None]) -> None:
        self._lock = threading.Lock()
        self._on_change = on_change
        self._list = TargetList(max_tombstones)
        self._renewed_at_ms: dict[str, int] = {}  # by uid: last renewal, in Unix time of the proposer
        super().__init__()

    # Commands: each runs on every instance, in the order of the log.

    @replicated  # type: ignore[untyped-decorator]
    def put(self, target: Target, at_ms: int) -> int:
        """Register or change a target and renew its lease; an identical target is no change.

        Return the revision.
        """
        with self._lock:
            self._renewed_at_ms[target["uid"]] = at_ms
            if self._list.put(target, self._list.revision + 1):
                self._increment_revision()
            return self._list.revision

    @replicated  # type: ignore[untyped-decorator]
    def remove(self, uid: str, at_ms: int) -> int:
        """Remove a target, which is listed as `Gone` from the next revision on; return the revision."""
        with self._lock:
            self._remove(uid)
            return self._list.revision

    @replicated  # type: ignore[untyped-decorator]
    def renew(self, uids: list[str], at_ms: int) -> list[str]:
        """Renew the leases of these targets; return the uids not listed, which have to register again."""
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
        """Remove every target whose lease has expired; return their uids."""
        with self._lock:
            expired = [uid for uid in self._list.targets if self._expires_at_ms(uid, ttl_ms) < now_ms]
            for uid in expired:
                self._remove(uid)
            return expired

    @replicated  # type: ignore[untyped-decorator]
    def grace(self, now_ms: int) -> int:
        """Renew every lease and return the number of leases.

        This is a new leader's first command, since no renewal could be committed while there was no leader.
        etcd extends its leases in the same way.
        """
        with self._lock:
            for uid in self._list.targets:
                self._renewed_at_ms[uid] = max(self._renewed_at_ms.get(uid, 0), now_ms)
            return len(self._list.targets)

    # Reads of the state that this instance has applied.

    def page(self, since: int | None) -> ListPage:
        """Return the entries changed after `since`, or the complete list (`TargetList.page`)."""
        with self._lock:
            return self._list.page(since)

    def has_expired(self, now_ms: int, ttl_ms: int) -> bool:
        """Whether `expire` would remove any target; if not, no command is added to the log."""
        with self._lock:
            return any(self._expires_at_ms(uid, ttl_ms) < now_ms for uid in self._list.targets)

    def counts(self) -> CatalogCounts:
        """Return the revision and the numbers of targets and tombstones."""
        with self._lock:
            targets = self._list
            return CatalogCounts(targets.revision, len(targets.targets), len(targets.tombstones))

    # Helpers.

    def _expires_at_ms(self, uid: str, ttl_ms: int) -> int:
        return self._renewed_at_ms.get(uid, 0) + ttl_ms

    def _remove(self, uid: str) -> None:
        if self._list.remove(uid, self._list.revision + 1):
            self._renewed_at_ms.pop(uid, None)
            self._increment_revision()

    def _increment_revision(self) -> None:
        self._list.revision += 1
        self._on_change(self._list.revision)

    # Snapshots: pysyncobj calls these methods to store and restore the consumer.

    def _serialize(self) -> dict[str, Any]:
        """Return the stored attributes; their names are part of the stored form (stored_form.py)."""
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
