"""The latest quota report of each member, merged by service time."""

from __future__ import annotations

import random
from collections.abc import Container, Iterable
from typing import NamedTuple

from loadbalancer.membership.local_state import LocalState
from loadbalancer.membership.payload import MAX_QUOTA_REPORTS, MAX_TIME_MS, QuotaReport, QuotaStatus


class ReportedStatus(NamedTuple):
    """The latest quota report of a member."""

    status: QuotaStatus
    service_ms: float  # service time of the report


class QuotaReports:
    """The latest quota report of each known member and of this node, by incarnation."""

    def __init__(self, local: LocalState) -> None:
        self._local = local
        self._known: dict[int, QuotaReport] = {}
        self._local_report: QuotaReport | None = None
        self._service_offset_ms: float | None = None  # service time minus this node's clock

    def set_local(self, now: float, status: QuotaStatus, service_ms: float) -> None:
        """Set the local node's report, made at this service time."""
        if not 0 <= service_ms <= MAX_TIME_MS:  # other members would reject the whole payload
            self._local.ignored["own service time absurd"] += 1
            return
        self._local_report = QuotaReport(self._local.incarnation, status, service_ms)
        previous_offset_ms, self._service_offset_ms = self._service_offset_ms, service_ms - now
        if previous_offset_ms is not None and previous_offset_ms > self._service_offset_ms:
            self._drop_later_than(service_ms + self._local.config.max_ahead_ms)

    def _drop_later_than(self, service_ms: float) -> None:
        """Drop the reports that were made later than this, before service time went back.

        Until service time catches up with them, they would count as the latest, and newer reports would be
        ignored.
        """
        self._known = {key: report for key, report in self._known.items() if report.service_ms <= service_ms}

    def clear_local(self) -> None:
        """Drop the local report, as it belongs to an earlier incarnation of this process."""
        self._local_report = None

    def merge(self, now: float, reports: Iterable[QuotaReport], members: Container[int]) -> None:
        """Accept the reports that are newer than the known ones.

        Without a local service time no report is accepted, since its time cannot be checked.
        """
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
        """Drop the reports of all but these members."""
        self._known = {key: report for key, report in self._known.items() if key in members}

    def to_send(self, rng: random.Random) -> tuple[QuotaReport, ...]:
        """Return the reports for the next payload: that of this node, and those of other detached nodes.

        `ATTACHED` reports of other nodes are not forwarded, since no node acts on them. A node that holds its
        quota after its lease has ended relies on `HOLDING` reports only, and on each for HOLD_TERM_FRACTION
        of a term (membership/member_lease.py). A reporting node that is attached again may count towards the
        majority that releases this quota, but only once it has been attached for a full term without a gap
        (membership/lease_clock.py). By then its `HOLDING` report has expired, whether or not the later
        `ATTACHED` report was received.
        """
        local = () if self._local_report is None else (self._local_report,)
        others = [report for report in self._known.values() if report.status is not QuotaStatus.ATTACHED]
        if len(others) >= MAX_QUOTA_REPORTS:
            others = rng.sample(others, MAX_QUOTA_REPORTS - 1)
        return (*local, *others)

    def latest(self) -> dict[int, ReportedStatus]:
        """Return the latest report of each member, including this node."""
        local = () if self._local_report is None else (self._local_report,)
        return {
            report.incarnation: ReportedStatus(report.status, report.service_ms)
            for report in (*self._known.values(), *local)
        }
