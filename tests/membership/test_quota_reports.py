"""What a node holds of its siblings' reports where service time goes back, as after all instances lost it."""

from __future__ import annotations

import pytest

from loadbalancer.membership.actions import DetectorConfig
from loadbalancer.membership.local_state import LocalState
from loadbalancer.membership.payload import QuotaReport, QuotaStatus
from loadbalancer.membership.quota_reports import QuotaReports, ReportedStatus

OWN, SIBLING = 1, 2
SERVICE_MS = 1e9
BACK_MS = 600_000.0  # by which service time lags after an outage


@pytest.fixture
def reports() -> QuotaReports:
    """Of a node that has just received that its sibling holds its quota past its lease."""
    found = QuotaReports(LocalState(DetectorConfig(), OWN))
    found.set_local(0.0, QuotaStatus.HOLDING, SERVICE_MS)
    found.merge(0.0, [QuotaReport(SIBLING, QuotaStatus.HOLDING, SERVICE_MS)], {SIBLING})
    assert SIBLING in found.latest()
    return found


def test_a_report_from_before_service_time_went_back_counts_no_more(reports: QuotaReports) -> None:
    """It would lie in the future by the whole outage, and let this node hold its quota for as long."""
    reports.set_local(100.0, QuotaStatus.ATTACHED, SERVICE_MS - BACK_MS)
    assert SIBLING not in reports.latest()


def test_a_report_made_since_service_time_went_back_is_accepted(reports: QuotaReports) -> None:
    now_ms = SERVICE_MS - BACK_MS
    reports.set_local(100.0, QuotaStatus.ATTACHED, now_ms)
    reports.merge(100.0, [QuotaReport(SIBLING, QuotaStatus.ATTACHED, now_ms)], {SIBLING})
    assert reports.latest()[SIBLING] == ReportedStatus(QuotaStatus.ATTACHED, now_ms)


def test_reports_are_held_where_only_the_estimate_of_service_time_gets_a_little_lower(
    reports: QuotaReports,
) -> None:
    reports.set_local(100.0, QuotaStatus.HOLDING, SERVICE_MS + 90.0)
    assert reports.latest()[SIBLING] == ReportedStatus(QuotaStatus.HOLDING, SERVICE_MS)
