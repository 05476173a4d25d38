"""Records `relay.json` with functions of commit bf594b0 (package `orchidledge`).

PYTHONPATH=<worktree of bf594b0>:<this worktree> python generate_relay.py <output folder>
"""

from __future__ import annotations

import sys
from pathlib import Path

import orjson
from orchidledge.net.web import Call, Client
from orchidledge.registry.passing import pass_on
from orchidledge.registry.relay import RenewalRelay, answer_batch, read_batch

from tests.support.golden_relay import Functions, play


def main() -> None:
    played = play(Functions(Client, Call, pass_on, RenewalRelay, read_batch, answer_batch))
    (Path(sys.argv[1]) / "relay.json").write_bytes(orjson.dumps(played, option=orjson.OPT_INDENT_2))


if __name__ == "__main__":
    main()
