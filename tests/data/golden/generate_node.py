"""Records `node.json` with a node of commit bf594b0 (package `orchidledge`).

PYTHONPATH=<this worktree> python generate_node.py <worktree of bf594b0> <output folder>
"""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path
from typing import Any

import orjson

from tests.support.golden import Release
from tests.support.golden_node import replay_node

TARGET = {"uid": "t1", "az": "a", "model": "m1", "pod_group": 1, "state": "Ready", "boot_ms": 0}
CONFIG = {
    "name": "n0",
    "listen": "<listen>",
    "operator": "<door>",
    "discovery": "<discovery>",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": {"rev": 1, "all": True, "targets": [TARGET | {"endpoint": "<server>"}]},
    "state": "<folder>/n0.state",
    "members": {
        "listen": "<members>",
        "zone": "a",
        "service": "pay",
        "routes": "<folder>/routes",
        "ask_every_ms": 200.0,
        "ask_timeout_ms": 20000.0,
    },
    "settings": {
        "bounds": {"cancel": True, "maxAttempts": 3, "retryAfter": True, "maxRetryAfterMs": 2000.0},
        "categories": [
            {"name": "read", "aimMs": 20000.0, "giveUpMs": 3000.0, "credit": 12.0, "effect": "free"},
            {"name": "post", "aimMs": 20000.0, "giveUpMs": 3000.0, "credit": 1.0, "effect": "single_shot"},
        ],
        "feedback": {"fields": ["depth"], "via": "inline"},
        "registryMode": "ask",
        "locality": "a",
    },
}


def at(port: str, method: str, target: str, **more: Any) -> dict[str, Any]:
    return {"port": port, "method": method, "target": target} | more


def ask(method: str, target: str, name: str, body: str = "", **headers: str) -> dict[str, Any]:
    """A caller's request."""
    more = {"body": body} if body else {}
    return at("listen", method, target, headers={"Req-Id": name} | headers, **more)


def order(method: str, target: str, body: str = "", **more: Any) -> dict[str, Any]:
    """An operators' call."""
    return at("door", method, target, **({"body": body} if body else {}), **more)


CALLERS = [
    ask("GET", "/read/7f3a?x=1", "q1", **{"X-Other": "kept", "Connection": "close"}),
    ask("POST", "/post/1", "q2", body="a body"),
    ask("GET", "/unheard/1", "q3"),
    ask("POST", "/read/1", "q4"),
    ask("GET", "/read/1", "q5", **{"Req-Deadline-Ms": "x"}),
    at("listen", "GET", "/read/1"),
    at("listen", "GET", "/up"),
]
OPERATORS = [
    order("GET", "/status"),
    order("GET", "/status/metrics"),
    order("PUT", "/maintenance/enter", "t1"),
    ask("GET", "/read/2", "q6"),
    order("PUT", "/maintenance/exit", "t1"),
    order("PUT", "/maintenance/enter", "unknown"),
    order("PUT", "/standby"),
    order("GET", "/status"),
    order("PUT", "/active"),
    order("GET", "/status"),
    order("GET", "/nothing"),
    order("POST", "/standby"),
]
GROUPED = [
    order("GET", "/status/members", until='"hearing":"heard"'),
    order("GET", "/status/routes"),
    order("PUT", "/routes/halt", "1"),
    order("PUT", "/routes/halt"),
    order("PUT", "/routes/halt", "x"),
    order("PUT", "/routes/rollback", "0"),
]
ALONE = [order("GET", "/status/members")]


def main() -> None:
    release = Release(Path(sys.argv[1]), "orchidledge.registry", "orchidledge", "orchidledge.simhost")
    alone = {key: value for key, value in CONFIG.items() if key not in ("members", "state")}
    cases = {
        "in a group": {"config": CONFIG, "target": TARGET, "steps": CALLERS + OPERATORS + GROUPED},
        "on its own": {"config": alone, "target": TARGET, "steps": CALLERS + OPERATORS + ALONE},
    }
    recorded = {}
    for name, case in cases.items():
        with tempfile.TemporaryDirectory() as folder:
            recorded[name] = replay_node(release, Path(folder), case)
    (Path(sys.argv[2]) / "node.json").write_bytes(orjson.dumps(recorded, option=orjson.OPT_INDENT_2))


if __name__ == "__main__":
    main()
