"""Siblings' quota reports after service time goes back, as it does when all instances have lost it."""

from __future__ import annotations

import pytest

from loadbalancer.membership.actions import DetectorConfig
from loadbalancer.membership.local_state import LocalState
from loadbalancer.membership.payload import QuotaReport, QuotaStatus
from loadbalancer.membership.quota_reports import QuotaReports, ReportedStatus

OWN, SIBLING = 1, 2
SERVICE_MS = 1e9
BACK_MS = 600_000.0  # how far service time goes back


@pytest.fixture
def reports() -> QuotaReports:
    """Reports of a node that has just received a `HOLDING` report of its sibling."""
    reports = QuotaReports(LocalState(DetectorConfig(), OWN))
    reports.set_local(0.0, QuotaStatus.HOLDING, SERVICE_MS)
    reports.merge(0.0, [QuotaReport(SIBLING, QuotaStatus.HOLDING, SERVICE_MS)], {SIBLING})
    assert SIBLING in reports.latest()
    return reports


def test_report_from_before_service_time_went_back_is_dropped(reports: QuotaReports) -> None:
    """Such a report would be dated in the future, and let this node hold its quota until that time."""
    reports.set_local(100.0, QuotaStatus.ATTACHED, SERVICE_MS - BACK_MS)
    assert SIBLING not in reports.latest()


def test_report_made_after_service_time_went_back_is_accepted(reports: QuotaReports) -> None:
    now_ms = SERVICE_MS - BACK_MS
    reports.set_local(100.0, QuotaStatus.ATTACHED, now_ms)
    reports.merge(100.0, [QuotaReport(SIBLING, QuotaStatus.ATTACHED, now_ms)], {SIBLING})
    assert reports.latest()[SIBLING] == ReportedStatus(QuotaStatus.ATTACHED, now_ms)


def test_reports_are_retained_if_estimate_of_service_time_falls_slightly(
    reports: QuotaReports,
) -> None:
    reports.set_local(100.0, QuotaStatus.HOLDING, SERVICE_MS + 90.0)
    assert reports.latest()[SIBLING] == ReportedStatus(QuotaStatus.HOLDING, SERVICE_MS)
