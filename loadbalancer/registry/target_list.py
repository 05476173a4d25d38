"""A list of targets with revisions, from which a watch reads the changes since a known revision."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.registry.target import GONE, Target


@dataclass(slots=True, frozen=True)
class ListPage:
    """The result of a read: its revision, and either the complete list or the changed entries."""

    revision: int
    complete: bool
    targets: tuple[Target, ...]


class TargetList:
    """Targets by uid, each with the revision of its last change.

    A removed target remains as a tombstone until there are `max_tombstones` newer ones. A watch from a
    revision before that of a dropped tombstone gets the complete list.
    """

    def __init__(self, max_tombstones: int, revision: int = 0) -> None:
        self._max_tombstones = max_tombstones
        self.revision = revision
        self.horizon = revision  # the earliest revision since which all changes are known
        self.targets: dict[str, Target] = {}
        self.tombstones: dict[str, Target] = {}  # by uid, in order of removal
        self.change_revisions: dict[str, int] = {}  # by uid, also of tombstones, in order of change

    def put(self, target: Target, revision: int) -> bool:
        """Add or replace a target; return False if an equal one is already listed."""
        uid = target["uid"]
        if self.targets.get(uid) == target:
            return False
        self.tombstones.pop(uid, None)
        self.targets[uid] = target
        self._record_change(uid, revision)
        return True

    def remove(self, uid: str, revision: int) -> bool:
        """Replace a target by a tombstone; return False if it is not listed."""
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
        """Return the entries changed after `since`, or the complete list.

        The list is complete if `since` is None, is before the horizon, or is later than the current revision,
        which happens after the list was rebuilt.
        """
        if since is None or since < self.horizon or since > self.revision:
            return ListPage(self.revision, True, tuple(self.targets.values()))
        changed = [uid for uid, revision in self.change_revisions.items() if revision > since]
        return ListPage(self.revision, False, tuple(self._entry(uid) for uid in changed))

    def _entry(self, uid: str) -> Target:
        target = self.targets.get(uid)
        return target if target is not None else {**self.tombstones[uid], "state": GONE}

    def _record_change(self, uid: str, revision: int) -> None:
        self.change_revisions.pop(uid, None)  # moves the uid to the end of the dict
        self.change_revisions[uid] = revision
