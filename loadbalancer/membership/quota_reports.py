"""The table of what each member last stated of its own share, merged by the newest service time."""

from __future__ import annotations

import random
from collections.abc import Container, Iterable

from loadbalancer.membership.local_state import LocalState
from loadbalancer.membership.payload import MAX_QUOTA_REPORTS, MAX_TIME_MS, QuotaReport, QuotaStatus


class QuotaReports:
    """Statements by incarnation; no larger than the known members and this node itself."""

    def __init__(self, local: LocalState) -> None:
        self._local = local
        self._known: dict[int, QuotaReport] = {}
        self._own: QuotaReport | None = None
        self._service_offset_ms: float | None = None  # service time less this node's clock

    def set_own(self, now: float, standing: QuotaStatus, s_ms: float) -> None:
        """This node's own statement, at this service time."""
        if not 0 <= s_ms <= MAX_TIME_MS:  # other members would reject the whole payload
            self._local.ignored["own service time absurd"] += 1
            return
        self._own = QuotaReport(self._local.incarnation, standing, s_ms)
        self._service_offset_ms = s_ms - now

    def clear_own(self) -> None:
        """This process has a new incarnation and has made no statement under it yet."""
        self._own = None

    def merge(self, now: float, statements: Iterable[QuotaReport], members: Container[int]) -> None:
        """Take what is newer. Without an estimate of service time none can be checked, so none is taken."""
        if self._service_offset_ms is None:
            return
        latest = now + self._service_offset_ms + self._local.config.max_ahead_ms
        for statement in statements:
            known = self._known.get(statement.incarnation)
            if known is not None and known.service_ms >= statement.service_ms:
                continue
            if statement.incarnation == self._local.incarnation:
                continue
            if statement.incarnation not in members:
                self._local.ignored["statement of an unknown incarnation"] += 1
            elif statement.service_ms > latest:
                self._local.ignored["statement from the future"] += 1
            else:
                self._known[statement.incarnation] = statement

    def retain(self, members: Container[int]) -> None:
        """Forget the statements of all others."""
        self._known = {key: statement for key, statement in self._known.items() if key in members}

    def to_send(self, rng: random.Random) -> tuple[QuotaReport, ...]:
        """The statements of the next payload: this node's own, and those of others that are not attached.

        An `ATTACHED` statement of another is not passed on, as no node acts on one. A node that holds its
        share past its lease rests on `HOLDING` statements alone, each for HOLD of a term from its making
        (membership/member_lease.py). Its maker, attached again, counts towards a majority that could give the
        share away only after a whole term without a gap (membership/lease_clock.py), so a `HOLDING` statement
        that has been overtaken has expired by then, whether or not the later one was heard of.
        """
        own = () if self._own is None else (self._own,)
        others = [known for known in self._known.values() if known.status is not QuotaStatus.ATTACHED]
        if len(others) >= MAX_QUOTA_REPORTS:
            others = rng.sample(others, MAX_QUOTA_REPORTS - 1)
        return (*own, *others)

    def latest(self) -> dict[int, tuple[QuotaStatus, float]]:
        """The newest statement of each member, this one included: (standing, its service time)."""
        own = () if self._own is None else (self._own,)
        return {
            known.incarnation: (known.status, known.service_ms) for known in (*self._known.values(), *own)
        }
