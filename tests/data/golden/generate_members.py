"""Records `members.json` with the failure detector and freshness table of commit bf594b0.

The package of that release is `orchidledge`.

PYTHONPATH=<worktree of bf594b0>:<this worktree> python generate_members.py <output folder>
"""

from __future__ import annotations

import sys
from pathlib import Path

import orjson
from orchidledge.interface import Result
from orchidledge.members import FailureDetector, Sibling, Standing
from orchidledge.view import Marks, Offsets, View

from tests.support.golden_members import ReleaseClasses, run_scenarios


def main() -> None:
    classes = ReleaseClasses(FailureDetector, Sibling, Standing, View, Offsets, Marks, Result)
    data = orjson.dumps(run_scenarios(classes))
    (Path(sys.argv[1]) / "members.json").write_bytes(data)


if __name__ == "__main__":
    main()
