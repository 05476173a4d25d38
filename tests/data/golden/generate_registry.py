"""Records `registry.json` and `agent.json` with the programs of commit bf594b0 (package `orchidledge`).

PYTHONPATH=<this worktree> python generate_registry.py <worktree of bf594b0> <output folder>
"""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path
from typing import Any

import orjson

from tests.support import golden_registry
from tests.support.golden import Release

ROUTES = '[[class.read.group]]\nmodel = "m1"\naz = "a"\nweight = 2.0\n'
TARGET = {"endpoint": "10.0.0.1:80", "az": "a", "model": "m1", "pod_group": 2, "boot_ms": 1700000000000}
ENROL = {"name": "n1", "address": "127.0.0.1:9001", "start": "s1", "zone": "za"}
RENEW = {"incarnation": 1, "seq": 1, "acked": 1, "using": 0.5}


def step(method: str, target: str, body: Any = "", until: str = "") -> dict[str, Any]:
    case: dict[str, Any] = {"method": method, "target": target}
    if body != "":
        case["body"] = body
    if until:
        case["until"] = until
    return case


def post(path: str, body: Any = "") -> dict[str, Any]:
    return step("POST", f"/fleet/{path}", body)


LEADER_READY = step("GET", "/fleet/routes", until='"in_force"')
NOT_STALE = step("GET", "/registry/status", until='"stale":false')

TARGETS = [
    NOT_STALE,
    step("GET", "/discovery/hosts"),
    step("PUT", "/registry/targets/t1", TARGET | {"capacity_hint": 2, "state": "Ready"}),
    step("PUT", "/registry/targets/t1", TARGET | {"capacity_hint": 2, "state": "Ready"}),
    step("PUT", "/registry/targets/t2", {"endpoint": "10.0.0.2:80"}),
    step("PUT", "/registry/targets/t3", {"endpoint": "10.0.0.3:80", "state": "Terminating"}),
    step("PUT", "/registry/targets/t4", {"endpoint": "nowhere"}),
    step("PUT", "/registry/targets/t4", {"endpoint": "10.0.0.4:80", "uid": "t5"}),
    step("PUT", "/registry/targets/t4", "no json"),
    step("POST", "/registry/targets/t1", TARGET),
    step("DELETE", "/registry/targets/t2"),
    step("DELETE", "/registry/targets/unknown"),
    step("POST", "/registry/renew", {"uids": ["t1", "unknown"]}),
    step("POST", "/registry/renew", {"uids": [1]}),
    step("POST", "/registry/renew", "{}"),
    step("GET", "/discovery/hosts"),
    step("GET", "/discovery/hosts?since=2&timeout_ms=100"),
    step("GET", "/discovery/hosts?since=4&timeout_ms=1"),
    step("GET", "/discovery/hosts?since=99"),
    step("GET", "/discovery/hosts?since=x"),
    step("GET", "/discovery/hosts?since=&timeout_ms="),
    step("GET", "/nothing"),
    NOT_STALE,
]
MEMBERS = [
    LEADER_READY,
    step("GET", "/fleet/members"),
    post("enrol", ENROL),
    post("enrol", ENROL),
    post("enrol", ENROL | {"name": "p1", "address": "127.0.0.1:9101", "start": "s2", "service": "pay"}),
    post("enrol", {"name": "p2", "address": "127.0.0.1:9102", "start": "s3", "service": "pay"}),
    post("enrol", ENROL | {"address": "10.0.0.1:1"}),
    post("enrol", {"name": "n2"}),
    post("enrol", ENROL | {"name": ""}),
    post("enrol", "no json"),
    post("renew", RENEW),
    post("renew", RENEW | {"seq": 2, "answered": 1, "acked": 1, "delta": True, "using": 0.25}),
    post("renew", RENEW | {"incarnation": 2, "acked": -1, "using": 0.0}),
    post("renew", RENEW | {"incarnation": 2, "seq": 2, "acked": 1, "using": 0.0, "delta": True}),
    post("renew", RENEW | {"incarnation": 99}),
    post("renew", RENEW | {"sent": 0.0}),
    post("renew", RENEW | {"using": 2.0}),
    post("renew-many", [RENEW | {"seq": 3}, RENEW | {"incarnation": 99}, RENEW | {"sent": -5.0}]),
    post("renew-many", [{"incarnation": 1}]),
    step("GET", "/fleet/members"),
    step("GET", "/fleet/members?service=pay"),
    step("GET", "/fleet/members?service=unknown"),
    step("GET", "/fleet/watch?incarnation=2&since=0&timeout_ms=100"),
    step("GET", "/fleet/watch?incarnation=2&since=2&routes_since=0&timeout_ms=50"),
    step("GET", "/fleet/watch?since=x"),
]
VERSIONS = [
    step("GET", "/fleet/routes"),
    step("GET", "/fleet/routes/0"),
    step("PUT", "/fleet/routes", ROUTES),
    step("PUT", "/fleet/routes", ROUTES),
    step("PUT", "/fleet/routes", "neutral = true\n# other\n"),
    step("PUT", "/fleet/routes", "[[class.read.group]]\nweight = -1.0\n"),
    step("PUT", "/fleet/routes", "no toml"),
    step("GET", "/fleet/routes"),
    step("GET", "/fleet/routes/1"),
    step("GET", "/fleet/routes/9"),
    step("GET", "/fleet/routes/x"),
    post("routes/vote", {"incarnation": 1, "number": 1, "yes": True}),
    post("renew", RENEW | {"seq": 4}),
    post("routes/vote", {"incarnation": 2, "number": 1, "yes": False, "why": "class.read: unknown"}),
    post("routes/vote", {"incarnation": 2, "number": 7, "yes": True}),
    post("routes/vote", {"incarnation": 2}),
    post("renew", RENEW | {"seq": 5}),
    step("PUT", "/fleet/routes", ROUTES + "# again\n"),
    post("routes/halt", {"number": 2}),
    post("routes/halt"),
    post("routes/rollback", {"number": 2}),
    post("routes/rollback", {"number": 9}),
    post("routes/rollback", {"number": 0}),
    step("GET", "/fleet/routes"),
]
ENDS = [
    post("leaving", {"incarnation": 2}),
    post("leaving", {"incarnation": 99}),
    step("DELETE", "/fleet/services/pay"),
    post("leave", {"incarnation": 2}),
    post("leave", {"incarnation": -1}),
    step("DELETE", "/fleet/members/p2?service=pay"),
    step("DELETE", "/fleet/members/n1"),
    step("DELETE", "/fleet/members/unknown"),
    step("GET", "/fleet/members"),
    step("DELETE", "/fleet/services/pay"),
    step("DELETE", "/fleet/services/unknown"),
    post("enrol", "x" * 9_000),
    step("GET", "/fleet/nothing"),
    step("POST", "/fleet/members"),
]
SHORT_LEASES = [
    LEADER_READY,
    step("PUT", "/fleet/routes", ROUTES),
    step("GET", "/fleet/routes", until='"in_force":{"number":1,'),
    post("routes/rollback", {"number": 0}),
    step("GET", "/fleet/routes", until='"in_force":{"number":2,'),
    post("enrol", ENROL),
    step("GET", "/fleet/members", until='"lapsed"'),
    post("renew", RENEW),
]
NO_GROUPS = [
    LEADER_READY,
    post("enrol", ENROL | {"service": "pay"}),
    step("GET", "/fleet/members"),
    step("DELETE", "/fleet/members/n1?service=pay"),
    step("DELETE", "/fleet/services/pay"),
    step("DELETE", "/fleet/members/n1"),
]
NO_QUORUM = [
    step("GET", "/discovery/hosts"),
    step("GET", "/fleet/members"),
    post("renew", RENEW),
    step("GET", "/fleet/watch?since=0&timeout_ms=20"),
    step("PUT", "/registry/targets/t1", TARGET),
    step("GET", "/registry/status"),
]
AGENT = [
    step("GET", "/discovery/hosts", until='"uid":"t1"'),
    step("GET", "/discovery/hosts?since=1"),
    step("GET", "/discovery/hosts?since=x"),
    step("GET", "/agent/status"),
    step("GET", "/fleet/members", until='"members"'),
    post("enrol", ENROL),
    post("enrol", "{}"),
    step("GET", "/fleet/watch?since=99&timeout_ms=20"),
    step("GET", "/fleet/routes/0"),
    step("GET", "/nothing"),
    step("PUT", "/discovery/hosts"),
]

STORED = [
    NOT_STALE,
    step("GET", "/fleet/watch?incarnation=3&timeout_ms=0"),
    step("GET", "/discovery/hosts"),
    step("GET", "/discovery/hosts?since=12"),
    step("GET", "/discovery/hosts?since=1"),
    # Until there is a leader and the pending version's deadline has passed.
    step("GET", "/fleet/routes", until='"pending":null'),
    *(step("GET", f"/fleet/routes/{number}") for number in range(7)),
]

SCRIPTS = {
    "targets": ("", 0, TARGETS),
    "groups": ("groups = true\nttl_ms = 600000\nprepare_ms = 600000", 0, MEMBERS + VERSIONS + ENDS),
    "short leases": ("ttl_ms = 300\nclock_bound_ms = 1", 0, SHORT_LEASES),
    "no groups": ("ttl_ms = 600000", 0, NO_GROUPS),
    "no quorum": ("", 2, NO_QUORUM),
    "on a stored snapshot": ("ttl_ms = 1500", 0, STORED),
    "on a stored journal": ("ttl_ms = 1500", 0, STORED),
}
ON_STORED_DATA = {"on a stored snapshot": "data-r0", "on a stored journal": "data-r2"}


def main() -> None:
    release = Release(Path(sys.argv[1]), "orchidledge.registry", "orchidledge", "orchidledge.simhost")
    output = Path(sys.argv[2])
    recorded: dict[str, Any] = {}
    for name, (members, peers, script) in SCRIPTS.items():
        with tempfile.TemporaryDirectory() as folder:
            case = {"members": members, "peers": peers, "steps": script}
            if name in ON_STORED_DATA:
                case["data"] = ON_STORED_DATA[name]
            recorded[name] = golden_registry.replay_instance(release, Path(folder), case)
    (output / "registry.json").write_bytes(orjson.dumps(recorded, option=orjson.OPT_INDENT_2))
    with tempfile.TemporaryDirectory() as folder:
        case = {"steps": AGENT, "calls": []}
        recorded_agent = golden_registry.replay_agent(release, Path(folder), case)
    (output / "agent.json").write_bytes(orjson.dumps(recorded_agent, option=orjson.OPT_INDENT_2))


if __name__ == "__main__":
    main()
