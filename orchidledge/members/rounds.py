"""Whom to ask next: a shuffled round over all siblings, and between its turns those that are in doubt."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Collection, Iterable


class Rounds:
    """Each sibling once a round, in an order drawn anew for each (SWIM, section 4.3)."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._round: list[int] = []
        self._doubted: deque[int] = deque()
        self._doubt_next = True

    def add(self, new: Iterable[int]) -> None:
        """New siblings take a random place in what is left of the round."""
        for incarnation in new:
            self._round.insert(self._rng.randint(0, len(self._round)), incarnation)

    def doubt(self, incarnation: int) -> None:
        """Ask this one again soon, out of turn."""
        if incarnation not in self._doubted:
            self._doubted.append(incarnation)

    def next(self, siblings: Collection[int], busy: Collection[int]) -> int | None:
        """The next to ask, none that is being asked; every second turn at most goes to one in doubt."""
        self._doubt_next = not self._doubt_next
        if not self._doubt_next:
            found = self._doubted_one(siblings, busy)
            if found is not None:
                return found
        return self._round_one(siblings, busy)

    def _doubted_one(self, siblings: Collection[int], busy: Collection[int]) -> int | None:
        for _ in range(len(self._doubted)):
            incarnation = self._doubted.popleft()
            if incarnation in siblings and incarnation not in busy:
                return incarnation
        return None

    def _round_one(self, siblings: Collection[int], busy: Collection[int]) -> int | None:
        for _ in range(2):  # what is left of this round, then a new one
            while self._round:
                incarnation = self._round.pop()
                if incarnation in siblings and incarnation not in busy:
                    return incarnation
            self._round = list(siblings)
            self._rng.shuffle(self._round)
        return None
