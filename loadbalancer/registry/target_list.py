"""A list of targets by revision, from which a watch reads what has changed since a revision that it knows."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.registry.target import GONE, Target


@dataclass(slots=True, frozen=True)
class ListPage:
    """What a read returns: the revision it shows, and either the complete list or the entries changed."""

    revision: int
    complete: bool
    targets: tuple[Target, ...]


class TargetList:
    """Targets by uid, each with the revision of its last change.

    A target that is removed stays as a tombstone until `max_tombstones` newer ones push it out. A watch from
    a revision before the oldest tombstone kept is answered with the complete list.
    """

    def __init__(self, max_tombstones: int, revision: int = 0) -> None:
        self._max_tombstones = max_tombstones
        self.revision = revision
        self.horizon = revision  # changes since an earlier revision are unknown
        self.targets: dict[str, Target] = {}
        self.tombstones: dict[str, Target] = {}  # in the order of their removal
        self.change_revisions: dict[str, int] = {}  # of targets and tombstones, in the order of their changes

    def put(self, target: Target, revision: int) -> bool:
        """Add or replace a target; False where it is listed already with equal fields."""
        uid = target["uid"]
        if self.targets.get(uid) == target:
            return False
        self.tombstones.pop(uid, None)
        self.targets[uid] = target
        self._record_change(uid, revision)
        return True

    def remove(self, uid: str, revision: int) -> bool:
        """Replace a target by a tombstone; False where it is not listed."""
        target = self.targets.pop(uid, None)
        if target is None:
            return False
        self.tombstones[uid] = target
        while len(self.tombstones) > self._max_tombstones:
            oldest = next(iter(self.tombstones))
            del self.tombstones[oldest]
            self.horizon = max(self.horizon, self.change_revisions.pop(oldest))
        self._record_change(uid, revision)
        return True

    def page(self, since: int | None) -> ListPage:
        """The entries changed after `since`.

        The complete list where `since` is None, before the horizon, or a revision that this list never had,
        as after the list was rebuilt.
        """
        if since is None or since < self.horizon or since > self.revision:
            return ListPage(self.revision, True, tuple(self.targets.values()))
        changed = [uid for uid, revision in self.change_revisions.items() if revision > since]
        return ListPage(self.revision, False, tuple(self._entry(uid) for uid in changed))

    def _entry(self, uid: str) -> Target:
        target = self.targets.get(uid)
        return target if target is not None else {**self.tombstones[uid], "state": GONE}

    def _record_change(self, uid: str, revision: int) -> None:
        self.change_revisions.pop(uid, None)  # a dict keeps the order of insertion
        self.change_revisions[uid] = revision
