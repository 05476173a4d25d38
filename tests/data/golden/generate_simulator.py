"""Records `simulator-input.jsonl` and `simulator-output.jsonl` with commit bf594b0 (package `orchidledge`).

Usage: PYTHONPATH=<this worktree> python generate_simulator.py <worktree of bf594b0> <output folder>
"""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import orjson

Row = dict[str, Any]

RESULTS = (0, 255, 254, 253, 252, 251, 250, 249)
CONFIG: Row = {
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
        {"name": "feed", "aimMs": 500.0, "giveUpMs": 2500.0, "credit": 2.0, "effect": "free", "stream": True},
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
}
POWER_ON: Row = {"kind": "POWER_ON", "node": 0, "seed": 5, "config": CONFIG}


def catalog(ref: int, count: int, **fields: Any) -> Row:
    rows = [
        {
            "server": f"10.0.0.{index}:1",
            "zone": "ab"[index % 2],
            "bay": index % 3,
            "stageState": "up",
            "launchedMs": None,
        }
        for index in range(count)
    ]
    return {"kind": "CATALOG", "ref": ref, "rows": [row | fields for row in rows]}


def membership(form: str, ref: int | None, node: int = 0) -> Row:
    return {"kind": "MEMBERSHIP", "node": node, "form": form, "generation": 1, "ref": ref}


def request(request_id: str, lane: str, deadline_ms: float = 9_000.0, **fields: Any) -> Row:
    row = {
        "kind": "NEW_REQUEST",
        "node": 0,
        "txn": request_id,
        "lane": lane,
        "giveUpAtMs": deadline_ms,
        "billing": None,
    }
    return row | {"resource": None, "expectedMs": None, "isRetry": False, "write": False} | fields


def returned(issue: Row, rc: int, attempt: int = 0, **fields: Any) -> Row:
    row = {"kind": "RETURNED", "node": 0, "txn": issue["txn"], "attempt": attempt, "latencyMs": 80.0}
    return row | {"server": issue["server"], "rc": rc, "doneFlag": rc == 0, "telemetry": None} | fields


class Conversation:
    """A running adapter and its complete input and output so far."""

    def __init__(self, root: Path) -> None:
        environment = {**os.environ, "PYTHONPATH": str(root)}
        command = [sys.executable, "-m", "orchidledge.simhost"]
        self._adapter = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, env=environment, cwd=root
        )
        self.input, self.output = b"", b""
        self._seq = 0

    def send_batch(self, now: float, *events: Row) -> list[Row]:
        self._seq += 1
        rows = [{"kind": "FRAME", "nowMs": now, "seq": self._seq}, *events, {"kind": "GO"}]
        batch = b"".join(orjson.dumps(row) + b"\n" for row in rows)
        assert self._adapter.stdin is not None
        assert self._adapter.stdout is not None
        self._adapter.stdin.write(batch)
        self._adapter.stdin.flush()
        self.input += batch
        replies: list[Row] = []
        while not replies or replies[-1]["kind"] != "READY":
            line = self._adapter.stdout.readline()
            self.output += line
            replies.append(orjson.loads(line))
        return replies

    def close(self) -> None:
        assert self._adapter.stdin is not None
        self._adapter.stdin.close()
        self._adapter.wait(10)


def issued(replies: list[Row], request_id: str) -> Row:
    found = [row for row in replies if row["kind"] == "ISSUE" and row["txn"] == request_id]
    if not found:
        raise ValueError(f"{request_id} was not sent: {replies}")
    return found[0]


def record_conversation(conversation: Conversation) -> None:
    conversation.send_batch(1_000.0)
    conversation.send_batch(1_000.0, catalog(0, 4), POWER_ON, membership("cached", 0))
    record_each_result(conversation)
    conversation.send_batch(2_000.0, request("tenant", "read", billing="t", expectedMs=12.5, isRetry=True))
    replies = conversation.send_batch(
        2_010.0, request("gone", "read"), {"kind": "LAPSED", "node": 0, "txn": "gone"}
    )
    conversation.send_batch(2_020.0, returned(issued(replies, "gone"), 250, doneFlag=True))
    replies = conversation.send_batch(2_030.0, request("first", "feed"))
    first = issued(replies, "first")
    stream_started = {
        "kind": "FIRST",
        "node": 0,
        "txn": "first",
        "latencyMs": 5.0,
        "server": first["server"],
        "attempt": 0,
    }
    conversation.send_batch(2_040.0, stream_started)
    conversation.send_batch(2_050.0, returned(first, 0, telemetry=[3, 0.5]))
    health = {"kind": "HEALTH", "node": 0, "server": "10.0.0.1:1", "rc": 0, "latencyMs": 1.0}
    conversation.send_batch(
        2_060.0, health | {"telemetry": [4, None]}, health | {"rc": 42, "telemetry": None}
    )
    conversation.send_batch(2_070.0, {"kind": "PEER", "node": 0, "by": 1, "contents": "aGk="})
    conversation.send_batch(
        2_080.0, {"kind": "ALARM", "node": 0, "name": "period"}, {"kind": "ALARM", "node": 0, "name": "x"}
    )
    conversation.send_batch(2_090.0, membership("failed", None))
    conversation.send_batch(2_100.0, catalog(1, 1, stageState="draining"), membership("delta", 1))
    conversation.send_batch(2_110.0, catalog(2, 1, stageState="removed"), membership("delta", 2))
    conversation.send_batch(2_120.0, catalog(3, 2), membership("full", 3))
    record_overload(conversation)
    starting = [catalog(4, 2, launchedMs=3_250.0), membership("full", 4)]
    conversation.send_batch(3_300.0, *starting, *(request(f"cold-{index}", "read") for index in range(5)))
    conversation.send_batch(4_000.0, request("bad lane", "unheard of"), {"kind": "NONSENSE", "node": 7})
    conversation.send_batch(
        4_010.0, POWER_ON, membership("cached", 3), {"kind": "STOP", "node": 0}, request("late", "read")
    )


def record_each_result(conversation: Conversation) -> None:
    """Record each result of an attempt, for a class of each effect."""
    now = 1_100.0
    for lane in ("read", "post", "points"):
        for rc in RESULTS:
            request_id, now = f"{lane}-{rc}", now + 10.0
            restart = [POWER_ON, membership("cached", 0)]  # each case begins with a new balancer
            issue = issued(conversation.send_batch(now, *restart, request(request_id, lane)), request_id)
            replies = conversation.send_batch(now + 5.0, returned(issue, rc, telemetry=[1, 0.25]))
            for row in replies:
                if row["kind"] == "ISSUE":
                    conversation.send_batch(now + 6.0, returned(row, 0, attempt=1))


def record_overload(conversation: Conversation) -> None:
    """Record requests that all servers reject at their limit."""
    replies = conversation.send_batch(
        3_000.0, *(request(f"full-{index}", "post", 3_400.0) for index in range(40))
    )
    issues = [row for row in replies if row["kind"] == "ISSUE"]
    replies = conversation.send_batch(3_050.0, *(returned(row, 254) for row in issues))
    issues = [row for row in replies if row["kind"] == "ISSUE"]
    conversation.send_batch(3_100.0, *(returned(row, 254, attempt=1) for row in issues))
    conversation.send_batch(3_110.0, *(request(f"more-{index}", "post", 3_120.0) for index in range(10)))
    conversation.send_batch(3_200.0, {"kind": "ALARM", "node": 0, "name": "period"})


def main() -> None:
    conversation = Conversation(Path(sys.argv[1]))
    record_conversation(conversation)
    conversation.close()
    folder = Path(sys.argv[2])
    (folder / "simulator-input.jsonl").write_bytes(conversation.input)
    (folder / "simulator-output.jsonl").write_bytes(conversation.output)


if __name__ == "__main__":
    main()
