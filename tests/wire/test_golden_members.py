"""Messages between members have the same bytes as in commit bf594b0, and have the same effect.

A change of the format would break a fleet during an upgrade, when its nodes run different releases.
tests/data/golden/README.md describes the recording.
"""

from __future__ import annotations

from pathlib import Path

import orjson

from loadbalancer.endpoints import AttemptResult
from loadbalancer.membership import FailureDetector, QuotaStatus, Sibling
from loadbalancer.staleness import ClockOffsets, ConfidenceTracker, FreshnessTable
from tests.support.golden_members import ReleaseClasses, run_scenarios

DATA = Path(__file__).parents[1] / "data" / "golden"


def test_same_events_produce_recorded_member_messages() -> None:
    classes = ReleaseClasses(
        FailureDetector, Sibling, QuotaStatus, FreshnessTable, ClockOffsets, ConfidenceTracker, AttemptResult
    )
    entries = orjson.loads(orjson.dumps(run_scenarios(classes)))
    assert entries == orjson.loads((DATA / "members.json").read_bytes())
