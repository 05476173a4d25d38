"""Which members changed at which revision, kept for a bounded number of changes.

Each instance of the list service keeps its own log, from the commands that it applies. It is not part of the
replicated state: after a restart or a snapshot it begins at the present revision, and processes that know an
older one are sent the complete list once.
"""

from __future__ import annotations

from collections import deque

MAX_CHANGES = 512  # a process that is further behind is sent the complete list


class ChangeLog:
    """The changes of one member list. Grows with the changes kept, not with the members."""

    def __init__(self, revision: int, kept: int = MAX_CHANGES) -> None:
        self._floor = revision  # all changes after this revision are kept
        self._last = revision
        self._kept = kept
        self._changes: deque[tuple[int, int]] = deque()  # revision, incarnation; rising

    def record(self, revision: int, incarnations: tuple[int, ...]) -> None:
        """These members were added, changed or removed at this revision, the next after the last noted."""
        self._last = revision
        self._changes.extend((revision, incarnation) for incarnation in incarnations)
        while len(self._changes) > self._kept:
            dropped, _ = self._changes.popleft()
            self._floor = max(self._floor, dropped)

    def since(self, revision: int) -> frozenset[int] | None:
        """The members that changed after this revision; None where the log does not reach back so far."""
        if not self._floor <= revision <= self._last:
            return None
        return frozenset(incarnation for at, incarnation in self._changes if at > revision)

    def copy(self) -> ChangeLog:
        """A log that changes independently of this one."""
        twin = ChangeLog(self._floor, self._kept)
        twin._last = self._last
        twin._changes = self._changes.copy()
        return twin
