"""Runs a node against stub servers for everything it talks to; see tests/data/golden/node.json."""

from __future__ import annotations

import hashlib
import re
import time
from pathlib import Path
from typing import Any

import msgpack
import orjson

from tests.support.golden import (
    LENGTH,
    RecordingServer,
    Release,
    exchange,
    masked,
    masked_floats,
    masked_metrics,
    node,
    now_ms,
    play,
    request_bytes,
)
from tests.support.ports import free_port
from tests.support.registry_processes import until

Row = dict[str, Any]

WATCH_S = 0.5  # duration of a watch without changes
TTL_MS = 5_000.0
ROUTES = "[[class.read.group]]\nweight = 1.0\n"
NEUTRAL_DIGEST = "2a3097ffe4eaeb06"
PROBES = "POST /members/ask"
ADDED_FIELDS = {  # not sent by the recorded release, whose list service ignores them
    "POST /fleet/enrol": b',"call":1}',
    "POST /fleet/renew": b',"call":2}',
}
ORIGIN_REVISION = 9
SIBLING_BEHIND = b'"behind":%d' % ORIGIN_REVISION
AT_START = ("POST /fleet/enrol", "POST /fleet/renew", "GET /fleet/routes/1", "POST /fleet/routes/vote")


class ListService:
    """Responds to a node like its agent: one sibling, and route version 1 to prepare."""

    def __init__(self, node: str, sibling: str, targets: list[Row]) -> None:
        self._node, self._sibling, self._targets = node, sibling, targets

    def respond(self, path: str, body: str) -> bytes:
        if path == "/fleet/routes/1":
            return ROUTES.encode()
        return orjson.dumps(self._response(path, body))

    def _response(self, path: str, body: str) -> Row:
        if path == "/discovery/hosts":
            time.sleep(WATCH_S)
            return {"rev": 2, "all": False, "targets": self._targets, "origin_rev": ORIGIN_REVISION}
        if path == "/fleet/watch":
            time.sleep(WATCH_S)
            return {"rev": 1, "routes_rev": 1}
        if path in ("/fleet/enrol", "/fleet/renew"):
            return self._lease()
        if path == "/fleet/routes/vote":
            return {"phase": "preparing"}
        return {"ok": True} if path.startswith("/fleet/leav") else {"number": 1, "phase": "aborted"}

    def _lease(self) -> Row:
        now = now_ms()
        members = [_member("n0", self._node, 1), _member("n1", self._sibling, 2)]
        return {
            "incarnation": 1,
            "rev": 1,
            "share": 0.5,
            "elector": True,
            "state": "live",
            "service": "pay",
        } | {
            "aim": 0.5,
            "members": members,
            "removed": [],
            "ttl_ms": TTL_MS,
            "routes": self._routes(now),
            "t2": now,
            "t3": now,
            "term": 1,
        }

    def _routes(self, now: float) -> Row:
        digest = hashlib.blake2b(ROUTES.encode(), digest_size=8).hexdigest()
        pending = {
            "number": 1,
            "phase": "preparing",
            "at": None,
            "deadline": now + 60_000.0,
            "digest": digest,
        }
        in_force = {"number": 0, "at": 0.0, "digest": NEUTRAL_DIGEST}
        return {"rev": 1, "in_force": in_force, "pending": pending, "last": None}


def _member(name: str, address: str, incarnation: int) -> Row:
    record = {"name": name, "address": address, "zone": "a", "incarnation": incarnation, "rank": incarnation}
    return record | {"state": "live"}


def sibling_message(sender: int) -> bytes:
    """Return a probe or ack of a member without updates to report."""
    return bytes(msgpack.packb([sender, 0, now_ms(), 0, 0, [], [], b""]))


def replay_node(release: Release, folder: Path, case: Row) -> Row:
    """Run a case; return it with all that a node of this release sends to clients, servers, operators,
    siblings and the list service."""
    environment = Environment(folder, case)
    grouped = "members" in case["config"]
    with node(release, folder, environment.config):
        environment.wait_ready(grouped)
        steps = [environment.play(step) for step in case["steps"]]
        member_messages = environment.member_messages() if grouped else {}
    requests = environment.without_added_fields(environment.first_requests())
    calls = {call: masked(message, environment.names) for call, message in sorted(requests.items())}
    stored = sorted(str(path.relative_to(folder)) for path in folder.rglob("*.route"))
    return case | {"steps": steps, "calls": calls, "stored": stored} | member_messages


class Environment:
    """Stub servers for everything a node talks to, and the ports in its configuration."""

    def __init__(self, folder: Path, case: Row) -> None:
        # "door" is the admin port's name in the recorded data.
        self.ports = {name: free_port() for name in ("listen", "door", "members")}
        self._server = RecordingServer(lambda path, body: b"done")
        self._sibling = RecordingServer(lambda path, body: sibling_message(2))
        target = case["target"] | {"endpoint": f"127.0.0.1:{self._server.port}"}
        node_address, sibling_address = (
            f"127.0.0.1:{self.ports['members']}",
            f"127.0.0.1:{self._sibling.port}",
        )
        self._service = RecordingServer(ListService(node_address, sibling_address, [target]).respond)
        self.ports |= {"server": self._server.port, "sibling": self._sibling.port}
        self.ports["discovery"] = self._service.port
        self.names = {f"127.0.0.1:{port}": f"<{name}>" for name, port in self.ports.items()}
        self.config = orjson.dumps(case["config"]).decode().replace("<folder>", str(folder))
        for address, placeholder in self.names.items():
            self.config = self.config.replace(placeholder, address)

    def wait_ready(self, grouped: bool) -> None:
        """Wait until the node serves and, in a group, has enrolled, voted and sent its first probe."""
        ready = request_bytes("GET", "/up")
        until(
            lambda: exchange(self.ports["listen"], ready).startswith(b"HTTP/1.1 200"), condition="a node up"
        )
        if grouped:
            until(lambda: all(map(self._service.saw, AT_START)), condition="a node enrolled and its vote")
            until(lambda: self._sibling.saw(PROBES), condition="a node's first probe")
            # The sibling, without a list, is behind by the list's origin revision once the node has it.
            status = request_bytes("GET", "/status/routes")
            until(lambda: SIBLING_BEHIND in exchange(self.ports["door"], status), condition="a node's list")

    def play(self, step: Row) -> Row:
        (played,) = play(self.ports[step["port"]], [step], self.names)
        return _without_varying_values(played)

    def member_messages(self) -> Row:
        """Return the node's first probe, and its ack to a probe."""
        ack = exchange(self.ports["members"], request_bytes("POST", "/members/ask", sibling_message(2)))
        return {"probe": self._payload(self._sibling.first_requests[PROBES]), "ack": self._payload(ack)}

    def first_requests(self) -> dict[str, bytes]:
        """Close the stub servers; return the first request of each kind to the server and list service."""
        for server in (self._server, self._sibling, self._service):
            server.close()
        return self._service.first_requests | self._server.first_requests

    @staticmethod
    def without_added_fields(requests: dict[str, bytes]) -> dict[str, bytes]:
        """Return the requests as the recorded release sent them, without ADDED_FIELDS at the end."""
        for call in ADDED_FIELDS.keys() & requests.keys():
            assert requests[call].endswith(ADDED_FIELDS[call]), requests[call]
        return {
            call: message.removesuffix(ADDED_FIELDS[call]) + b"}" if call in ADDED_FIELDS else message
            for call, message in requests.items()
        }

    def _payload(self, message: bytes) -> Row:
        head, _, body = message.partition(b"\r\n\r\n")
        masked_head = re.sub(*LENGTH, masked(head, self.names))  # the length depends on the member list
        return {"head": masked_head, "says": masked_floats(msgpack.unpackb(body))}


def _without_varying_values(step: Row) -> Row:
    """Return the step with values that depend on the time of the request masked in its response."""
    if step["target"] == "/status/metrics":
        return step | {"answer": masked_metrics(step["answer"])}
    if step["target"] == "/status/routes":
        return step | {"answer": re.sub(r'"(mark|reason)":"[\w-]+"', r'"\1":"<\1>"', step["answer"])}
    return step
