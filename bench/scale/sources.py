"""The inputs from which docs/CAPACITY.md is generated."""

from __future__ import annotations

from msgspec import Struct

from bench.scale.layout import Layout
from bench.scale.platform import Size
from bench.scale.records import Record
from bench.scale.series import newest_scope
from bench.scale.verdicts import Judged, judge_all


class Sources(Struct, frozen=True):
    """Layout, platform size and records."""

    layout: Layout
    size: Size
    records: list[Record]

    def judged(self) -> list[Judged]:
        return judge_all(self.layout, self.size.bounds, self.records, newest_scope(self.records))
