"""Replays the scripts for the list service and its agent (tests/data/golden/registry.json and agent.json)."""

from __future__ import annotations

import pickle
import tarfile
import time
from pathlib import Path
from typing import Any

import msgpack
import orjson

from tests.support.golden import (
    RecordingServer,
    Release,
    agent,
    exchange,
    instance,
    masked,
    play,
    request_bytes,
)
from tests.support.journals import journal_commands
from tests.support.registry_processes import until

STORED = Path(__file__).parents[1] / "data" / "release_bf594b0"
TARGET = {"endpoint": "10.0.0.1:80", "az": "a", "model": "m1"}
LIST = {"rev": 5, "all": True, "targets": [TARGET | {"uid": "t1", "state": "Ready"}]}
# Numbers of the commands that the leader proposes without a call: expire, grace and others.
LEADER_COMMANDS = (
    0,
    1,
    4,
    5,
    7,
    9,
)
TARGET_COMMANDS = range(5)  # numbers of the commands whose last argument is a Unix time
MIN_TIMESTAMP = 1e9  # a float above this is a time or a bound on one
WATCH_S = 0.1  # duration of a watch without changes
FORWARDED_CALLS = (
    ("POST", "/fleet/renew", b'{"incarnation":1}'),
    ("GET", "/fleet/watch?since=1&routes_since=2&timeout_ms=10", b""),
    ("DELETE", "/fleet/members/n%2F1?service=a%20b", b""),
)
NO_CHANGES = {"rev": 5, "all": False, "targets": []}


def replay_instance(release: Release, folder: Path, case: dict[str, Any]) -> dict[str, Any]:
    """Return the case with the responses of this release's instance, started on the case's stored data."""
    if "data" in case:
        restore(case["data"], folder / "data")
    with instance(release, folder, case["members"], case["peers"]) as (port, names):
        steps = play(port, case["steps"], names)
    return case | {"steps": steps, "journal": logged_calls(folder / "data" / "raft.journal")}


def restore(name: str, folder: Path) -> None:
    """Extract one of the data folders that commit bf594b0 wrote."""
    with tarfile.open(STORED / "registry-data.tar.xz") as archive:
        archive.extractall(folder.parent, filter="data")
    (folder.parent / name).rename(folder)


def logged_calls(path: Path) -> list[Any]:
    """Return the numbers and arguments of the commands that calls have added to the log."""
    commands = [pickle.loads(command) for command in journal_commands(path)]
    called = [
        (number, plain_argument(arguments)) for number, arguments in commands if number not in LEADER_COMMANDS
    ]
    return [
        [number, [*arguments[:-1], "<unix ms>"] if number in TARGET_COMMANDS else arguments]
        for number, arguments in called
    ]


def plain_argument(value: Any) -> Any:
    """Return an argument as JSON, with times masked and packed commands decoded."""
    if isinstance(value, float) and value > MIN_TIMESTAMP:
        return "<moment>"
    if isinstance(value, bytes):
        return {"msgpack": msgpack.unpackb(value)}
    if isinstance(value, list | tuple):
        return [plain_argument(item) for item in value]
    return value


def replay_agent(release: Release, folder: Path, case: dict[str, Any]) -> dict[str, Any]:
    """Return the case with the responses of an agent of an instance, and its calls to a stub instance."""
    with (
        instance(release, folder, "ttl_ms = 600000") as (registry, _),
        agent(release, folder, registry) as (port, names),
    ):
        exchange(registry, request_bytes("PUT", "/registry/targets/t1", orjson.dumps(TARGET)))
        steps = play(port, case["steps"], names)
    return case | {"steps": steps, "calls": agent_calls(release, folder)}


def agent_calls(release: Release, folder: Path) -> list[str]:
    """Return an agent's calls: for the complete list, for changes, and the calls that it forwards."""
    lists: list[bytes] = []

    def respond(path: str, body: str) -> bytes:
        if path.startswith("/fleet/"):
            return b"{}"
        lists.append(stub.first_requests.pop(f"GET {path}"))
        time.sleep(WATCH_S if len(lists) > 1 else 0.0)
        return orjson.dumps(NO_CHANGES if len(lists) > 1 else LIST)

    stub = RecordingServer(respond)
    with agent(release, folder, stub.port) as (port, names):
        until(lambda: len(lists) > 1, what="two calls of the agent")
        for method, target, body in FORWARDED_CALLS:
            exchange(port, request_bytes(method, target, body))
    stub.close()
    forwarded = [stub.first_requests[call] for call in sorted(stub.first_requests) if "/fleet/" in call]
    return [masked(call, names) for call in [*lists[:2], *forwarded]]
