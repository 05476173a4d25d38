"""Records `node.json` with a node of commit bf594b0 (package `orchidledge`). Usage:

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


def step(port: str, method: str, target: str, **more: Any) -> dict[str, Any]:
    return {"port": port, "method": method, "target": target} | more


def client_request(method: str, target: str, name: str, body: str = "", **headers: str) -> dict[str, Any]:
    """A client's request."""
    more = {"body": body} if body else {}
    return step("listen", method, target, headers={"Req-Id": name} | headers, **more)


def admin_request(method: str, target: str, body: str = "", **more: Any) -> dict[str, Any]:
    """An operator's request; "door" is the admin port's name in the recorded data."""
    return step("door", method, target, **({"body": body} if body else {}), **more)


CLIENT_STEPS = [
    client_request("GET", "/read/7f3a?x=1", "q1", **{"X-Other": "kept", "Connection": "close"}),
    client_request("POST", "/post/1", "q2", body="a body"),
    client_request("GET", "/unheard/1", "q3"),
    client_request("POST", "/read/1", "q4"),
    client_request("GET", "/read/1", "q5", **{"Req-Deadline-Ms": "x"}),
    step("listen", "GET", "/read/1"),
    step("listen", "GET", "/up"),
]
OPERATOR_STEPS = [
    admin_request("GET", "/status"),
    admin_request("GET", "/status/metrics"),
    admin_request("PUT", "/maintenance/enter", "t1"),
    client_request("GET", "/read/2", "q6"),
    admin_request("PUT", "/maintenance/exit", "t1"),
    admin_request("PUT", "/maintenance/enter", "unknown"),
    admin_request("PUT", "/standby"),
    admin_request("GET", "/status"),
    admin_request("PUT", "/active"),
    admin_request("GET", "/status"),
    admin_request("GET", "/nothing"),
    admin_request("POST", "/standby"),
]
GROUP_STEPS = [
    admin_request("GET", "/status/members", until='"hearing":"heard"'),
    admin_request("GET", "/status/routes"),
    admin_request("PUT", "/routes/halt", "1"),
    admin_request("PUT", "/routes/halt"),
    admin_request("PUT", "/routes/halt", "x"),
    admin_request("PUT", "/routes/rollback", "0"),
]
NO_GROUP_STEPS = [admin_request("GET", "/status/members")]


def main() -> None:
    release = Release(Path(sys.argv[1]), "orchidledge.registry", "orchidledge", "orchidledge.simhost")
    no_group = {key: value for key, value in CONFIG.items() if key not in ("members", "state")}
    cases = {
        "in a group": {
            "config": CONFIG,
            "target": TARGET,
            "steps": CLIENT_STEPS + OPERATOR_STEPS + GROUP_STEPS,
        },
        "on its own": {
            "config": no_group,
            "target": TARGET,
            "steps": CLIENT_STEPS + OPERATOR_STEPS + NO_GROUP_STEPS,
        },
    }
    recorded = {}
    for name, case in cases.items():
        with tempfile.TemporaryDirectory() as folder:
            recorded[name] = replay_node(release, Path(folder), case)
    (Path(sys.argv[2]) / "node.json").write_bytes(orjson.dumps(recorded, option=orjson.OPT_INDENT_2))


if __name__ == "__main__":
    main()
