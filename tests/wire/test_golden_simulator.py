"""Golden test: the simulator's adapter responds to a transcript with the same bytes as commit bf594b0.

See tests/data/golden/README.md for how the messages were recorded.
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
OUTPUT = (DATA / "simulator-output.jsonl").read_bytes()


def kinds(lines: bytes) -> set[str]:
    return {orjson.loads(line)["kind"] for line in lines.splitlines()}


def test_adapter_output_matches_recording() -> None:
    assert simulate(PRESENT, TRANSCRIPT) == OUTPUT


def test_transcript_covers_every_event_and_action() -> None:
    assert kinds(TRANSCRIPT) == EVENTS
    assert kinds(OUTPUT) == ACTIONS
