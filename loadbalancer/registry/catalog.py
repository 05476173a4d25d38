"""The catalog of targets: the state machine that every instance of the list service replicates.

Every method marked `replicated` runs on each instance in the order the Raft log commits it, so
that all instances come to the same catalog. Their clocks do not enter it: a time is an argument,
read once by the instance that proposed the command.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from pysyncobj import SyncObjConsumer, replicated

Target = dict[str, Any]  # one entry as PROTOCOL shows it: uid, endpoint, az, model, pod_group, state, ...

TARGET_STATES = ("Ready", "Terminating")
FIELDS = ("uid", "endpoint", "az", "model", "pod_group", "state", "capacity_hint", "boot_ms")


@dataclass(slots=True, frozen=True)
class ListPage:
    """What a read returns: the revision it shows, whether the list is whole, and its entries."""

    revision: int
    complete: bool
    targets: tuple[Target, ...]


def validate_target(row: object) -> Target:
    """A target as it is stored, from what a server sent; ValueError names the field that is wrong."""
    if not isinstance(row, dict):
        raise ValueError("a target is not an object")
    uid, endpoint, state = row.get("uid"), row.get("endpoint"), row.get("state", "Ready")
    if not isinstance(uid, str) or not 0 < len(uid) <= 200:
        raise ValueError("uid: not a text of 1 to 200 characters")
    if not isinstance(endpoint, str) or ":" not in endpoint:
        raise ValueError("endpoint: not host:port")
    if state not in TARGET_STATES:
        raise ValueError(f"state: {state!r} is not one of {', '.join(TARGET_STATES)}")
    hint, boot, group = row.get("capacity_hint", 1.0), row.get("boot_ms", 0), row.get("pod_group", 0)
    if not isinstance(hint, int | float) or not isinstance(boot, int) or not isinstance(group, int):
        raise ValueError("capacity_hint, boot_ms or pod_group: not a number")
    return {
        "uid": uid,
        "endpoint": endpoint,
        "az": str(row.get("az", "")),
        "model": str(row.get("model", "")),
        "pod_group": group,
        "state": state,
        "capacity_hint": float(hint),
        "boot_ms": boot,
    }


class TargetCatalog(SyncObjConsumer):  # type: ignore[misc]  # pysyncobj ships no types
    """The targets by uid, each with the revision of its last change, and their leases.

    A revision counts changes that a watcher can see; renewing a lease is none. An entry that
    is removed or whose lease lapses stays as a tombstone (`Gone`) until `keep_gone` newer ones
    push it out; a watch from before the oldest tombstone kept is answered with the whole list.
    """

    def __init__(self, max_tombstones: int, on_change: Callable[[int], None]) -> None:
        # Set before the consumer's own start, so that pysyncobj leaves them out of its snapshots.
        self._lock = threading.Lock()
        self._on_change = on_change
        self._keep_gone = max_tombstones
        super().__init__()
        self.revision = 0
        self.horizon = 0  # a watch from a revision below this can no longer be told what changed
        self.live: dict[str, Target] = {}
        self.changed: dict[str, int] = {}  # uid -> revision of its last change, live and gone
        self.gone: dict[str, Target] = {}  # in the order they went
        self.renewed: dict[str, int] = {}  # uid -> ms of the last renewal, by the proposer's clock

    # Commands: each runs on every instance, in the log's order.

    @replicated  # type: ignore[untyped-decorator]
    def put(self, target: Target, at_ms: int) -> int:
        """Register or change a target and renew its lease; the same body again is no change."""
        with self._lock:
            uid = target["uid"]
            self.renewed[uid] = at_ms
            if self.live.get(uid) == target:
                return self.revision
            self.gone.pop(uid, None)
            self.live[uid] = target
            return self._bump(uid)

    @replicated  # type: ignore[untyped-decorator]
    def remove(self, uid: str, at_ms: int) -> int:
        """Take a target off the list: it is `Gone` from the next revision on."""
        with self._lock:
            if uid not in self.live:
                return self.revision
            return self._bury(uid)

    @replicated  # type: ignore[untyped-decorator]
    def renew(self, uids: list[str], at_ms: int) -> list[str]:
        """Renew the leases of these targets; returns those that are not listed (to register again)."""
        with self._lock:
            unknown = []
            for uid in uids:
                if uid in self.live:
                    self.renewed[uid] = max(self.renewed.get(uid, 0), at_ms)
                else:
                    unknown.append(uid)
            return unknown

    @replicated  # type: ignore[untyped-decorator]
    def expire(self, now_ms: int, ttl_ms: int) -> list[str]:
        """Bury every target whose lease lapsed before now; returns their uids."""
        with self._lock:
            lapsed = [uid for uid in self.live if self.renewed.get(uid, 0) + ttl_ms < now_ms]
            for uid in lapsed:
                self._bury(uid)
            return lapsed

    @replicated  # type: ignore[untyped-decorator]
    def grace(self, now_ms: int) -> int:
        """Renew every lease to now: a new leader's first command, as no renewal reached anyone
        while there was no leader (the rule etcd keeps for its leases)."""
        with self._lock:
            for uid in self.live:
                self.renewed[uid] = max(self.renewed.get(uid, 0), now_ms)
            return len(self.live)

    # Reads: from whatever this instance has applied.

    def page(self, since: int | None) -> ListPage:
        """The whole list (`since` None, from before the horizon, or from a revision this catalog
        never had, as after a rebuild), or the entries changed after `since`."""
        with self._lock:
            if since is None or since < self.horizon or since > self.revision:
                return ListPage(self.revision, True, tuple(self.live.values()))
            changed = [uid for uid, rev in self.changed.items() if rev > since]
            return ListPage(self.revision, False, tuple(self._entry(uid) for uid in changed))

    def has_expired(self, now_ms: int, ttl_ms: int) -> bool:
        """Whether `expire` would bury anything: the leader proposes it only then, so that an idle
        list adds nothing to the log."""
        with self._lock:
            return any(self.renewed.get(uid, 0) + ttl_ms < now_ms for uid in self.live)

    def count(self) -> tuple[int, int, int]:
        """Revision, live targets and tombstones."""
        with self._lock:
            return self.revision, len(self.live), len(self.gone)

    def _entry(self, uid: str) -> Target:
        target = self.live.get(uid)
        return target if target is not None else {**self.gone[uid], "state": "Gone"}

    def _bury(self, uid: str) -> int:
        self.gone[uid] = self.live.pop(uid)
        self.renewed.pop(uid, None)
        while len(self.gone) > self._keep_gone:
            oldest = next(iter(self.gone))
            del self.gone[oldest]
            self.horizon = max(self.horizon, self.changed.pop(oldest))
        return self._bump(uid)

    def _bump(self, uid: str) -> int:
        self.revision += 1
        # Guard: a dict keeps insertion order, and a watch reads changes in the order they came.
        self.changed.pop(uid, None)
        self.changed[uid] = self.revision
        self._on_change(self.revision)
        return self.revision
