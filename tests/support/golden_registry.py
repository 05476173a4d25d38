"""Replays the scripts of the list service and of its agent (tests/data/golden/registry.json, agent.json)."""

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
PERIODIC = (
    0,
    1,
    4,
    5,
    7,
    9,
)  # commands that the leader proposes of its own accord: expire, grace and the like
ON_TARGETS = range(5)  # commands whose last argument is a Unix time
MOMENT = 1e9  # a float above this is a moment, or a clock's bound on one
WATCH_S = 0.1  # that a watch without news is held
PASSED_ON = (
    ("POST", "/fleet/renew", b'{"incarnation":1}'),
    ("GET", "/fleet/watch?since=1&routes_since=2&timeout_ms=10", b""),
    ("DELETE", "/fleet/members/n%2F1?service=a%20b", b""),
)
FOLLOWED = {"rev": 5, "all": False, "targets": []}


def replay_instance(release: Release, folder: Path, case: dict[str, Any]) -> dict[str, Any]:
    """The case with the answers that an instance of this release gives, on the stored data that it names."""
    if "data" in case:
        restore(case["data"], folder / "data")
    with instance(release, folder, case["members"], case["peers"]) as (port, names):
        steps = play(port, case["steps"], names)
    return case | {"steps": steps, "journal": logged(folder / "data" / "raft.journal")}


def restore(name: str, folder: Path) -> None:
    """Put one of the data folders that commit bf594b0 wrote there."""
    with tarfile.open(STORED / "registry-data.tar.xz") as archive:
        archive.extractall(folder.parent, filter="data")
    (folder.parent / name).rename(folder)


def logged(path: Path) -> list[Any]:
    """What calls have put into the log: the commands' numbers and arguments."""
    commands = [pickle.loads(command) for command in journal_commands(path)]
    asked = [(number, plain(arguments)) for number, arguments in commands if number not in PERIODIC]
    return [
        [number, [*arguments[:-1], "<unix ms>"] if number in ON_TARGETS else arguments]
        for number, arguments in asked
    ]


def plain(value: Any) -> Any:
    """An argument as JSON: moments masked, packed commands decoded."""
    if isinstance(value, float) and value > MOMENT:
        return "<moment>"
    if isinstance(value, bytes):
        return {"msgpack": msgpack.unpackb(value)}
    if isinstance(value, list | tuple):
        return [plain(item) for item in value]
    return value


def replay_agent(release: Release, folder: Path, case: dict[str, Any]) -> dict[str, Any]:
    """The case with the answers of an agent before an instance, and its own calls to a stand-in of one."""
    with (
        instance(release, folder, "ttl_ms = 600000") as (registry, _),
        agent(release, folder, registry) as (port, names),
    ):
        exchange(registry, request_bytes("PUT", "/registry/targets/t1", orjson.dumps(TARGET)))
        steps = play(port, case["steps"], names)
    return case | {"steps": steps, "calls": agent_calls(release, folder)}


def agent_calls(release: Release, folder: Path) -> list[str]:
    """The calls of an agent: for the whole list, for what has changed since, and those that it passes on."""
    lists: list[bytes] = []

    def answer(path: str, body: str) -> bytes:
        if path.startswith("/fleet/"):
            return b"{}"
        lists.append(service.first_requests.pop(f"GET {path}"))
        time.sleep(WATCH_S if len(lists) > 1 else 0.0)
        return orjson.dumps(FOLLOWED if len(lists) > 1 else LIST)

    service = RecordingServer(answer)
    with agent(release, folder, service.port) as (port, names):
        until(lambda: len(lists) > 1, what="two calls of an agent")
        for method, target, body in PASSED_ON:
            exchange(port, request_bytes(method, target, body))
    service.close()
    passed_on = [service.first_requests[call] for call in sorted(service.first_requests) if "/fleet/" in call]
    return [masked(call, names) for call in [*lists[:2], *passed_on]]
