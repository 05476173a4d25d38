"""The latest quota report of each member, merged by service time."""

from __future__ import annotations

import random
from collections.abc import Container, Iterable
from typing import NamedTuple

from loadbalancer.membership.local_state import LocalState
from loadbalancer.membership.payload import MAX_QUOTA_REPORTS, MAX_TIME_MS, QuotaReport, QuotaStatus


class ReportedStatus(NamedTuple):
    """What a member last reported of its own quota."""

    status: QuotaStatus
    service_ms: float  # when it made the report


class QuotaReports:
    """Reports by incarnation; no more than the known members and this node itself."""

    def __init__(self, local: LocalState) -> None:
        self._local = local
        self._known: dict[int, QuotaReport] = {}
        self._local_report: QuotaReport | None = None
        self._service_offset_ms: float | None = None  # service time less this node's clock

    def set_local(self, now: float, status: QuotaStatus, service_ms: float) -> None:
        """Set this node's own report, made at this service time."""
        if not 0 <= service_ms <= MAX_TIME_MS:  # other members would reject the whole payload
            self._local.ignored["own service time absurd"] += 1
            return
        self._local_report = QuotaReport(self._local.incarnation, status, service_ms)
        before_ms, self._service_offset_ms = self._service_offset_ms, service_ms - now
        if before_ms is not None and before_ms > self._service_offset_ms:
            self._drop_later_than(service_ms + self._local.config.max_ahead_ms)

    def _drop_later_than(self, service_ms: float) -> None:
        """Drop what was reported before service time went back.

        Such reports would count as new for as long as it lags, and keep those made since from being accepted.
        """
        self._known = {key: report for key, report in self._known.items() if report.service_ms <= service_ms}

    def clear_local(self) -> None:
        """This process has a new incarnation, and has made no report under it yet."""
        self._local_report = None

    def merge(self, now: float, reports: Iterable[QuotaReport], members: Container[int]) -> None:
        """Accept newer reports; none without an estimate of service time, since none can be checked then."""
        if self._service_offset_ms is None:
            return
        latest = now + self._service_offset_ms + self._local.config.max_ahead_ms
        for report in reports:
            known = self._known.get(report.incarnation)
            if known is not None and known.service_ms >= report.service_ms:
                continue
            if report.incarnation == self._local.incarnation:
                continue
            if report.incarnation not in members:
                self._local.ignored["statement of an unknown incarnation"] += 1
            elif report.service_ms > latest:
                self._local.ignored["statement from the future"] += 1
            else:
                self._known[report.incarnation] = report

    def retain(self, members: Container[int]) -> None:
        """Drop the reports of all others."""
        self._known = {key: statement for key, statement in self._known.items() if key in members}

    def to_send(self, rng: random.Random) -> tuple[QuotaReport, ...]:
        """The reports of the next payload: this node's own, and those of others that are not attached.

        An `ATTACHED` report of another node is not forwarded, since no node acts on one. A node that holds
        its quota past its lease relies on `HOLDING` reports alone, each for HOLD_TERM_FRACTION of a term
        (membership/member_lease.py). The reporting node, attached again, counts towards a majority that could
        give the quota away only after a full term without a gap (membership/lease_clock.py). So an outdated
        `HOLDING` report has expired by then, whether or not the later one was received.
        """
        own = () if self._local_report is None else (self._local_report,)
        others = [known for known in self._known.values() if known.status is not QuotaStatus.ATTACHED]
        if len(others) >= MAX_QUOTA_REPORTS:
            others = rng.sample(others, MAX_QUOTA_REPORTS - 1)
        return (*own, *others)

    def latest(self) -> dict[int, ReportedStatus]:
        """The newest report of each member, this one included."""
        local = () if self._local_report is None else (self._local_report,)
        return {
            report.incarnation: ReportedStatus(report.status, report.service_ms)
            for report in (*self._known.values(), *local)
        }
