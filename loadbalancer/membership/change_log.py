"""Log of the latest changes of a member list, by revision.

Each instance of the list service has its own log, written from the commands that it applies. The log is not
part of the replicated state: after a restart or a snapshot it begins at the current revision, and processes
with an older revision are sent the complete list once.
"""

from __future__ import annotations

from collections import deque

MAX_CHANGES = 512  # a process that needs older changes is sent the complete list


class ChangeLog:
    """Changes of one member list; its size is bounded by `max_changes`, not by the number of members."""

    def __init__(self, revision: int, max_changes: int = MAX_CHANGES) -> None:
        self._floor = revision  # all changes after this revision are in the log
        self._last = revision
        self._max_changes = max_changes
        self._changes: deque[tuple[int, int]] = deque()  # (revision, incarnation), ascending by revision

    def record(self, revision: int, incarnations: tuple[int, ...]) -> None:
        """Record that members were added, changed or removed at `revision`, which follows the last one."""
        self._last = revision
        self._changes.extend((revision, incarnation) for incarnation in incarnations)
        while len(self._changes) > self._max_changes:
            dropped_revision, _ = self._changes.popleft()
            self._floor = max(self._floor, dropped_revision)

    def since(self, revision: int) -> frozenset[int] | None:
        """Return the members that changed after `revision`, or None if the log no longer covers it."""
        if not self._floor <= revision <= self._last:
            return None
        return frozenset(incarnation for changed_at, incarnation in self._changes if changed_at > revision)

    def copy(self) -> ChangeLog:
        """Return an independent copy."""
        duplicate = ChangeLog(self._floor, self._max_changes)
        duplicate._last = self._last
        duplicate._changes = self._changes.copy()
        return duplicate
