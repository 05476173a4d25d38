"""The simulator adapter: its responses to batches of events."""

from __future__ import annotations

import io
import subprocess
import sys
from pathlib import Path
from typing import Any

import orjson
import pytest

from loadbalancer.settings import parse_settings
from loadbalancer.simulator_adapter import Host, WireError, run

ROOT = Path(__file__).parents[1]

CONFIG: dict[str, Any] = {
    "accounts": [{"name": "t", "quotaPerS": 10.0, "fraction": 1.0}],
    "bounds": {"cancel": True, "maxAttempts": 3, "maxRetryAfterMs": 500.0, "retryAfter": True},
    "categories": [
        {
            "name": "read",
            "aimMs": 1000.0,
            "giveUpMs": 2500.0,
            "credit": 12.0,
            "lateWorth": 0.0,
            "effect": "free",
        },
        {"name": "post", "aimMs": 1000.0, "giveUpMs": 2500.0, "credit": 1.0, "effect": "single_shot"},
        {
            "name": "points",
            "aimMs": 2000.0,
            "giveUpMs": 5000.0,
            "credit": 1.0,
            "effect": "guarded",
            "keyScope": "cell",
            "memorySpanMs": 900.0,
        },
    ],
    "feedback": {"fields": ["depth", "load_share"], "via": "inline"},
    "invariants": {"coldFrom": 0.2, "coldMs": 9000.0, "tipAfterMs": 1500.0, "overloadFactor": 3.0},
    "prices": {"crossZone": 0.01},
    "registryMode": "ask",
    "siblings": 2,
    "tier": 0,
    "valueBy": "request",
    "locality": "a",
    "unknownKey": {"x": 1},
}


def catalog(ref: int = 0, count: int = 3, **fields: Any) -> dict[str, Any]:
    rows = [
        {
            "server": f"10.0.0.{index}:1",
            "zone": "a",
            "bay": 0,
            "stageState": "up",
            "launchedMs": None,
            **fields,
        }
        for index in range(count)
    ]
    return {"kind": "CATALOG", "ref": ref, "rows": rows}


def start_node(node: int = 0, config: dict[str, Any] | None = None, ref: int = 0) -> list[dict[str, Any]]:
    return [
        {"kind": "POWER_ON", "node": node, "seed": 5 + node, "config": CONFIG if config is None else config},
        {"kind": "MEMBERSHIP", "node": node, "form": "cached", "generation": 1, "ref": ref},
    ]


def request(txn: str, node: int = 0, lane: str = "read", deadline_ms: float = 9000.0) -> dict[str, Any]:
    row = {"kind": "NEW_REQUEST", "node": node, "txn": txn, "lane": lane, "giveUpAtMs": deadline_ms}
    return row | {"billing": None, "resource": None, "expectedMs": None, "isRetry": False, "write": False}


def returned(txn: str, server: str, rc: int, request_ended: bool, **fields: Any) -> dict[str, Any]:
    row = {"kind": "RETURNED", "node": 0, "txn": txn, "attempt": 0, "latencyMs": 80.0, "server": server}
    return row | {"rc": rc, "doneFlag": request_ended, "telemetry": None} | fields


def batch(now: float, seq: int, *events: dict[str, Any]) -> bytes:
    rows = [{"kind": "FRAME", "nowMs": now, "seq": seq}, *events, {"kind": "GO"}]
    return b"".join(orjson.dumps(row) + b"\n" for row in rows)


def run_batches(*batches: bytes) -> list[dict[str, Any]]:
    sink = io.BytesIO()
    run(io.BytesIO(b"".join(batches)), sink)
    return [orjson.loads(line) for line in sink.getvalue().splitlines()]


def rows_of_kind(rows: list[dict[str, Any]], kind: str) -> list[dict[str, Any]]:
    return [row for row in rows if row["kind"] == kind]


def test_empty_batch_gets_ready_response():
    assert run_batches(batch(8412.25, 1)) == [{"kind": "READY", "seq": 1}]


def test_first_batch_starts_watch_and_timer_and_sends_request():
    rows = run_batches(batch(1000.0, 1, catalog(), *start_node(), request("q1")))
    assert rows[-1] == {"kind": "READY", "seq": 1}
    assert len(rows_of_kind(rows, "OBSERVE")) == 1
    assert len(rows_of_kind(rows, "SLEEP")) == 1
    issue = rows_of_kind(rows, "ISSUE")[0]
    assert issue["node"] == 0
    assert issue["txn"] == "q1"
    assert issue["server"].startswith("10.0.0.")
    assert 0 < issue["timeoutMs"] <= 1000.0


@pytest.mark.parametrize(
    ("lane", "rc", "response"),
    [
        ("read", 255, "ISSUE"),
        ("post", 255, "FINISH_ERROR"),
        ("post", 251, "FINISH_ERROR"),
        ("post", 253, "FINISH_ERROR"),
        ("post", 250, "FINISH_ERROR"),
        ("post", 254, "ISSUE"),
        ("post", 252, "ISSUE"),
        ("post", 249, "ISSUE"),
        ("points", 255, "ISSUE"),
    ],
)
def test_attempt_result_is_followed_by_retry_or_failure_by_class(lane, rc, response):
    host = Host()
    host.now = 1000.0
    rows = [
        row
        for event in (catalog(), *start_node(), request("q", lane=lane))
        for row in host.handle_event(event)
    ]
    server = rows_of_kind(rows, "ISSUE")[0]["server"]
    assert [row["kind"] for row in host.handle_event(returned("q", server, rc, False))] == [response]


def test_events_of_ended_request_cause_no_actions():
    host = Host()
    host.now = 1000.0
    rows = [row for event in (catalog(), *start_node(), request("q")) for row in host.handle_event(event)]
    server = rows_of_kind(rows, "ISSUE")[0]["server"]
    assert [row["kind"] for row in host.handle_event({"kind": "LAPSED", "node": 0, "txn": "q"})] == [
        "RETRACT"
    ]
    assert host.handle_event({"kind": "LAPSED", "node": 0, "txn": "q"}) == []
    assert host.handle_event(returned("q", server, 0, True, telemetry=[3, 0.5])) == []


def test_load_report_values_are_mapped_in_order_of_settings():
    host = Host()
    host.now = 1000.0
    rows = [row for event in (catalog(), *start_node(), request("q")) for row in host.handle_event(event)]
    server = rows_of_kind(rows, "ISSUE")[0]["server"]
    host.handle_event(returned("q", server, 0, True, telemetry=[3, None]))
    endpoint = host.nodes[0].balancer.endpoints[server]
    assert endpoint.reported_queue == 3
    assert endpoint.utilisation is None


def test_later_catalog_replaces_earlier_one_with_same_ref():
    host = Host()
    host.now = 1000.0
    for event in (catalog(0, 2), *start_node(0), catalog(0, 5), *start_node(1)):
        host.handle_event(event)
    assert [len(host.nodes[node].balancer.endpoints) for node in (0, 1)] == [2, 5]


def test_restart_within_a_batch_drops_pending_requests():
    host = Host()
    host.now = 1000.0
    for event in (catalog(), *start_node(), request("q"), {"kind": "STOP", "node": 0}, *start_node()):
        host.handle_event(event)
    assert host.nodes[0].balancer.pending == {}


def test_membership_event_failed_delta_and_full():
    host = Host()
    host.now = 1000.0
    for event in (catalog(), *start_node()):
        host.handle_event(event)
    failed = host.handle_event(
        {"kind": "MEMBERSHIP", "node": 0, "form": "failed", "generation": 2, "ref": None}
    )
    assert [row["kind"] for row in failed] == ["SLEEP"]
    host.handle_event(catalog(1, 1, stageState="removed"))
    host.handle_event({"kind": "MEMBERSHIP", "node": 0, "form": "delta", "generation": 3, "ref": 1})
    assert len(host.nodes[0].balancer.endpoints) == 2
    host.handle_event(catalog(2, 1))
    host.handle_event({"kind": "MEMBERSHIP", "node": 0, "form": "full", "generation": 4, "ref": 2})
    assert list(host.nodes[0].balancer.endpoints) == ["10.0.0.0:1"]


def test_events_without_response_are_accepted():
    host = Host()
    host.now = 1000.0
    for event in (catalog(), *start_node()):
        host.handle_event(event)
    events = [
        {"kind": "PEER", "node": 0, "by": 1, "contents": "aGk="},
        {
            "kind": "HEALTH",
            "node": 0,
            "server": "10.0.0.1:1",
            "rc": 0,
            "latencyMs": 1.0,
            "telemetry": [4, 0.2],
        },
        {
            "kind": "FIRST",
            "node": 0,
            "txn": "unknown",
            "latencyMs": 5.0,
            "server": "10.0.0.1:1",
            "attempt": 0,
        },
        {"kind": "ALARM", "node": 0, "name": "unknown"},
    ]
    assert [host.handle_event(event) for event in events] == [[], [], [], []]
    assert host.nodes[0].balancer.endpoints["10.0.0.1:1"].reported_queue == 4


def test_absent_settings_get_defaults():
    settings = parse_settings({"categories": CONFIG["categories"][:1]})
    assert settings.siblings == 1
    assert settings.tenants == ()
    assert settings.max_attempts == 1
    assert not settings.may_cancel


@pytest.mark.parametrize(
    "event",
    [
        {"kind": "POWER_ON", "node": 3, "seed": 1, "config": {"categories": []}},
        {"kind": "NEW_REQUEST", "node": 3, "txn": "q", "lane": "read", "giveUpAtMs": 1.0},
        {"kind": "NONSENSE", "node": 3},
    ],
)
def test_invalid_event_becomes_panic_of_its_node(event, capsys):
    rows = Host().handle_event(event)
    assert [(row["kind"], row["node"]) for row in rows] == [("PANIC", 3)]
    assert rows[0]["bodyText"]
    assert capsys.readouterr().out == ""


def test_event_of_unknown_kind_at_running_node_becomes_panic():
    host = Host()
    for event in (catalog(), *start_node()):
        host.handle_event(event)
    assert host.handle_event({"kind": "NONSENSE", "node": 0})[0]["kind"] == "PANIC"


def test_request_of_unknown_class_becomes_panic():
    host = Host()
    for event in (catalog(), *start_node()):
        host.handle_event(event)
    assert host.handle_event(request("q", lane="unknown"))[0]["kind"] == "PANIC"


@pytest.mark.parametrize(
    "lines",
    [
        b"not json\n",
        b"[1]\n",
        b'{"kind":"GO"}\n',
        b'{"kind":"FRAME","nowMs":1,"seq":1}\n{"kind":"ALARM"}\n',
        b'{"kind":"FRAME","nowMs":1,"seq":1}\n{"kind":"CATALOG","ref":0}\n',
        b'{"kind":"FRAME","nowMs":1,"seq":1}\n{"kind":"FRAME","nowMs":1,"seq":1}\n',
        b'{"kind":"FRAME","seq":1}\n',
        b'{"kind":"FRAME","nowMs":1,"seq":1}\n',
    ],
)
def test_input_that_violates_protocol_raises_wire_error(lines):
    with pytest.raises(WireError):
        run(io.BytesIO(lines), io.BytesIO())


def test_process_exits_cleanly_on_valid_input_and_with_error_on_malformed_input():
    command = [sys.executable, "-m", "loadbalancer.simulator_adapter"]
    valid = subprocess.run(command, input=batch(1.0, 1), capture_output=True, cwd=ROOT, check=False)
    assert (valid.returncode, valid.stdout, valid.stderr) == (0, b'{"kind":"READY","seq":1}\n', b"")
    invalid = subprocess.run(command, input=b"nonsense\n", capture_output=True, cwd=ROOT, check=False)
    assert invalid.returncode != 0
    assert invalid.stdout == b""
    assert b"not a line of JSON" in invalid.stderr


def test_nodes_of_one_process_act_independently():
    def events(node: int) -> list[dict[str, Any]]:
        rows = [catalog(), *start_node(node)]
        rows += [
            request(f"n{node}-{index}", node, ("read", "post", "points")[index % 3]) for index in range(30)
        ]
        return [*rows, {"kind": "ALARM", "node": node, "name": "period"}]

    def actions_by_node(nodes: list[int]) -> dict[int, list[dict[str, Any]]]:
        host = Host()
        host.now = 1000.0
        interleaved = [row for rows in zip(*(events(node) for node in nodes), strict=True) for row in rows]
        actions = [action for event in interleaved for action in host.handle_event(event)]
        return {node: [action for action in actions if action["node"] == node] for node in nodes}

    together = actions_by_node([0, 1, 2])
    assert together == {node: actions_by_node([node])[node] for node in range(3)}


@pytest.mark.parametrize(
    ("event", "problem"),
    [
        (request("q", lane="unknown"), "lane: 'unknown'"),
        (returned("q", "10.0.0.0:1", 42, False), "rc: 42"),
    ],
)
def test_panic_names_event_and_invalid_value(event, problem):
    host = Host()
    for setup_event in (catalog(), *start_node()):
        host.handle_event(setup_event)
    (row,) = host.handle_event(event)
    assert row["kind"] == "PANIC"
    assert event["kind"] in row["bodyText"]
    assert problem in row["bodyText"]


@pytest.mark.parametrize("key", ["name", "aimMs", "giveUpMs"])
def test_missing_setting_is_named_in_error(key):
    lane = {name: value for name, value in CONFIG["categories"][0].items() if name != key}
    with pytest.raises(ValueError, match=f"categories.{key}: missing"):
        parse_settings({"categories": [lane]})
