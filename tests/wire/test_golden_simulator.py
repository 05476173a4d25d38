"""The simulator's adapter replies to a transcript with the bytes that commit bf594b0 replied with.

tests/data/golden/README.md says how the messages were recorded.
"""

from __future__ import annotations

from pathlib import Path

import orjson

from tests.support.golden import PRESENT, simulate

DATA = Path(__file__).parents[1] / "data" / "golden"
EVENTS = {
    "CATALOG",
    "POWER_ON",
    "MEMBERSHIP",
    "NEW_REQUEST",
    "FIRST",
    "RETURNED",
    "LAPSED",
    "ALARM",
    "HEALTH",
}
EVENTS |= {"PEER", "STOP", "NONSENSE", "FRAME", "GO"}
ACTIONS = {"ISSUE", "DECLINE", "FINISH_ERROR", "RETRACT", "SLEEP", "OBSERVE", "PANIC", "READY"}
TRANSCRIPT = (DATA / "simulator-input.jsonl").read_bytes()
REPLIES = (DATA / "simulator-output.jsonl").read_bytes()


def kinds(lines: bytes) -> set[str]:
    return {orjson.loads(line)["kind"] for line in lines.splitlines()}


def test_each_batch_has_its_reply() -> None:
    assert simulate(PRESENT, TRANSCRIPT) == REPLIES


def test_the_transcript_holds_each_kind_of_event_and_of_action() -> None:
    assert kinds(TRANSCRIPT) == EVENTS
    assert kinds(REPLIES) == ACTIONS
