"""Selects the next member to probe: shuffled round-robin, with out-of-turn probes of suspected members."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Collection, Iterable


class ProbeOrder:
    """Yields each member once per round and shuffles the order for each round (SWIM, section 4.3)."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._round: list[int] = []
        self._out_of_turn: deque[int] = deque()
        self._out_of_turn_next = True

    def add(self, new: Iterable[int]) -> None:
        """Insert new members at random places in the rest of the round."""
        for incarnation in new:
            self._round.insert(self._rng.randint(0, len(self._round)), incarnation)

    def probe_soon(self, incarnation: int) -> None:
        """Queue this member for an out-of-turn probe."""
        if incarnation not in self._out_of_turn:
            self._out_of_turn.append(incarnation)

    def next_target(self, members: Collection[int], busy: Collection[int]) -> int | None:
        """Return the next member that is not `busy`, or None; at most every second probe is out of turn."""
        self._out_of_turn_next = not self._out_of_turn_next
        if not self._out_of_turn_next:
            target = self._next_out_of_turn(members, busy)
            if target is not None:
                return target
        return self._next_of_round(members, busy)

    def _next_out_of_turn(self, members: Collection[int], busy: Collection[int]) -> int | None:
        for _ in range(len(self._out_of_turn)):
            incarnation = self._out_of_turn.popleft()
            if incarnation in members and incarnation not in busy:
                return incarnation
        return None

    def _next_of_round(self, members: Collection[int], busy: Collection[int]) -> int | None:
        for _ in range(2):  # the rest of this round, then a new round
            while self._round:
                incarnation = self._round.pop()
                if incarnation in members and incarnation not in busy:
                    return incarnation
            self._round = list(members)
            self._rng.shuffle(self._round)
        return None
