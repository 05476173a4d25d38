"""`state show` on a file with a right digest whose fields are of another kind, and a node's start with it."""

from __future__ import annotations

from pathlib import Path

import msgpack
import orjson
import pytest

from loadbalancer.balancing.events import LearnedState
from loadbalancer.node.discovery.response import DiscoveryResponse
from loadbalancer.node.state.frame import FRAME_HEADER, encode_frame
from loadbalancer.node.state.inspection import describe_state
from loadbalancer.node.state.restore import read_state
from loadbalancer.node.state.rules import Rule
from loadbalancer.node.state.snapshot import encode_state

NOW_MS = 1_764_000_000_000.0


def stored(**fields: object) -> bytes:
    """A state file with these fields in place of its own."""
    learned = LearnedState(
        baseline_ratio=1.0,
        latency_ratio=1.0,
        cursor=3,
        completion_rate=10.0,
        send_rate=10.0,
        peak_completion_rate=12.0,
        mean_latency_objective_ms=100.0,
        class_latency_ms={},
        endpoint_latency_ratios={},
    )
    whole = encode_state("n0", NOW_MS, learned, {}, DiscoveryResponse(2, True, (), {}))
    body = msgpack.unpackb(whole[FRAME_HEADER.size :])
    return encode_frame(msgpack.packb(body | fields))


@pytest.mark.parametrize(
    "fields",
    [
        {"written_ms": None},
        {"written_ms": []},
        {"written_ms": {}},
        {"list": []},
        {"list": None},
        {"list": {"targets": 5}},
        {"learned": []},
        {"learned": {"base": b"x"}},
        {"out": []},
        {"out": {"s-1": []}},
    ],
    ids=str,
)
def test_a_field_of_another_kind_is_named_by_its_rule_and_keeps_no_node_from_its_start(
    tmp_path: Path, fields: dict[str, object]
) -> None:
    path = tmp_path / "state"
    path.write_bytes(stored(**fields))
    description = describe_state(path)
    assert (description.accepted, orjson.loads(description.text)["verdict"]) == (False, Rule.MALFORMED.label)
    assert read_state(path, "n0", NOW_MS, 0).violated_rules == [Rule.MALFORMED]


@pytest.mark.parametrize(
    "fields",
    [{"more": b"\xff"}, {"more": {1: 2}}, {"written_ms": float("nan")}, {"written_ms": float("inf")}],
    ids=str,
)
def test_what_json_can_not_hold_is_shown_all_the_same(tmp_path: Path, fields: dict[str, object]) -> None:
    path = tmp_path / "state"
    path.write_bytes(stored(**fields))
    description = describe_state(path)
    assert (description.accepted, orjson.loads(description.text)["verdict"]) == (True, "whole")
    read_state(path, "n0", NOW_MS, 0)


def test_a_whole_file_is_shown_with_its_contents(tmp_path: Path) -> None:
    path = tmp_path / "state"
    path.write_bytes(stored())
    shown = orjson.loads(describe_state(path, "n0").text)
    assert (shown["verdict"], shown["listed"], shown["learned"]["cursor"]) == ("whole", 0, 3)
