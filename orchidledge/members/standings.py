"""The table of what each node last said of its own share, merged by the newest service time."""

from __future__ import annotations

import random
from collections.abc import Container, Iterable

from .own import Own
from .payload import STATEMENTS_MOST, TIME_MOST, Standing, Statement


class Standings:
    """Statements by incarnation; no larger than the known siblings and one's own."""

    def __init__(self, own: Own) -> None:
        self._own = own
        self._known: dict[int, Statement] = {}
        self._said: Statement | None = None
        self._s_less_now: float | None = None

    def stand(self, now: float, standing: Standing, s_ms: float) -> None:
        if not 0 <= s_ms <= TIME_MOST:  # siblings would refuse the whole payload
            self._own.counts["own service time absurd"] += 1
            return
        self._said = Statement(self._own.incarnation, standing, s_ms)
        self._s_less_now = s_ms - now

    def disown(self) -> None:
        """This process has a new incarnation and has said nothing as that yet."""
        self._said = None

    def merge(self, now: float, statements: Iterable[Statement], siblings: Container[int]) -> None:
        """Take what is newer. Without an estimate of service time none can be checked, so none is taken."""
        if self._s_less_now is None:
            return
        latest = now + self._s_less_now + self._own.config.ahead_ms
        for told in statements:
            known = self._known.get(told.incarnation)
            if (known is not None and known.s_ms >= told.s_ms) or told.incarnation == self._own.incarnation:
                continue
            if told.incarnation not in siblings:
                self._own.counts["statement of an unknown incarnation"] += 1
            elif told.s_ms > latest:
                self._own.counts["statement from the future"] += 1
            else:
                self._known[told.incarnation] = told

    def forget(self, siblings: Container[int]) -> None:
        self._known = {key: told for key, told in self._known.items() if key in siblings}

    def to_tell(self, rng: random.Random) -> tuple[Statement, ...]:
        own = () if self._said is None else (self._said,)
        if len(self._known) < STATEMENTS_MOST:
            return (*own, *self._known.values())
        return (*own, *rng.sample(list(self._known.values()), STATEMENTS_MOST - 1))

    def table(self) -> dict[int, tuple[Standing, float]]:
        own = () if self._said is None else (self._said,)
        return {told.incarnation: (told.standing, told.s_ms) for told in (*self._known.values(), *own)}
