"""Plays the cores of membership and of staleness for tests/data/golden/members.json.

What others send is plain MessagePack, made here without the program's classes; what the cores send is kept as
bytes. The classes come in from outside, so that the recording release and the present one run one script.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

import msgpack
import msgspec

Row = dict[str, Any]

ALIVE, SUSPECT, REFUSED, FAILED = range(4)  # of a member, in an update
ATTACHED, HOLDING, YIELDED = range(3)  # of a node's own share, in a statement
INCONCLUSIVE, ACKED, TIMED_OUT, CONNECTION_REFUSED = range(4)  # of a probe for another
OWN, OTHERS = 1, (1, 2, 3, 4, 5)
ANSWERING, REFUSING = (2, 5), 4
RESULT_OF = {2: ACKED, 3: TIMED_OUT, 4: CONNECTION_REFUSED, 5: ACKED}  # of an indirect probe
GARBAGE = bytes(msgpack.packb("no message"))
TICK_MS = 50.0
RECORDED_REJECTIONS = {"malformed": "garbage"}
SERVICE_MS = 1_764_000_000_000.0


@dataclass(frozen=True)
class Cores:
    """The classes of a release."""

    failure_detector: Any
    sibling: Any
    standing: Any
    view: Any
    offsets: Any
    marks: Any
    result: Any


def message(
    sender: int,
    now: float,
    target: int = 0,
    result: int = INCONCLUSIVE,
    updates: Any = (),
    statements: Any = (),
) -> bytes:
    """A probe or an ack of another member, whose refutation count is 0."""
    return bytes(msgpack.packb([sender, 0, now, target, result, list(updates), list(statements), b""]))


def said(payload: bytes | None) -> Row | None:
    """A payload's bytes, and what they say."""
    return None if payload is None else {"bytes": payload.hex(), "says": _plain(msgpack.unpackb(payload))}


def _plain(value: Any) -> Any:
    if isinstance(value, bytes):
        return {"bytes": value.hex()}
    return [_plain(item) for item in value] if isinstance(value, list) else value


class Detector:
    """A failure detector with incarnation OWN, all that it sends, and the network it sends into.

    Members 2 and 5 answer; 3 is silent and the machine of 4 refuses connections.
    """

    def __init__(self, cores: Cores) -> None:
        self.core = cores.failure_detector(OWN, random.Random(7))
        self.rows: list[Row] = []
        self._now = 0.0
        self._calls: list[Any] = []
        siblings = [cores.sibling(number, f"n{number}", f"127.0.0.1:{9000 + number}") for number in OTHERS]
        self.core.set_members(0.0, siblings)
        self.core.set_quota_status(0.0, cores.standing(ATTACHED), SERVICE_MS)
        self.core.set_view(msgpack.packb(["a view"]))

    def run(self, until: float) -> None:
        """Let time pass in steps of TICK_MS; what was sent in one is answered in the next."""
        while self._now < until:
            self._now += TICK_MS
            calls, self._calls = self._calls, []
            for call in calls:
                self._end(call)
            self._keep("tick", self.core.tick(self._now))

    def probed(self, payload: bytes) -> None:
        ack, actions = self.core.on_probe(self._now, payload)
        self.rows.append({"at": self._now, "probe": said(payload), "ack": said(ack)})
        self._keep("after a probe", actions)

    def asked(self, payload: bytes) -> None:
        self._keep("asked for an indirect probe", self.core.on_indirect_probe(self._now, 77, payload))

    def knows(self) -> None:
        """What it makes of what was said."""
        reachability = {str(number): found.value for number, found in self.core.reachability().items()}
        standings = {str(number): [int(one), at] for number, (one, at) in self.core.quota_reports().items()}
        ignored = dict(self.core.ignored)
        self.rows.append({"reachability": reachability, "standings": standings, "ignored": ignored})

    def _end(self, call: Any) -> None:
        to = int(call.address.removeprefix("127.0.0.1:900"))
        if to in ANSWERING:
            result = INCONCLUSIVE if to == call.target else RESULT_OF[call.target]
            self._keep("acked", self.core.on_ack(self._now, call.id, message(to, self._now, result=result)))
        else:
            self._keep("failed", self.core.on_failure(self._now, call.id, refused=to == REFUSING))

    def _keep(self, what: str, actions: Any) -> None:
        calls = [action for action in actions if hasattr(action, "payload")]
        self._calls += [call for call in calls if hasattr(call, "address")]
        sent = [
            {"to": getattr(call, "address", "the caller"), "payload": said(call.payload)} for call in calls
        ]
        if sent:
            self.rows.append({"at": self._now, what: sent})


def detection(cores: Cores) -> list[Row]:
    """Probes direct and indirect, acks, updates of each status and statements of each standing."""
    node = Detector(cores)
    node.run(4_000.0)
    node.knows()
    statements = [
        [2, HOLDING, SERVICE_MS + 100.0],
        [3, YIELDED, SERVICE_MS + 200.0],
        [5, ATTACHED, SERVICE_MS],
    ]
    updates = [[3, 0, SUSPECT, [2]], [4, 2, FAILED, [2, 3]], [5, 0, REFUSED, [2]], [9, 0, ALIVE, []]]
    node.probed(message(2, 1_790.0, updates=updates, statements=statements))
    node.probed(message(3, 1_805.0, updates=[[OWN, 0, SUSPECT, [3]]]))
    node.probed(message(9, 1_815.0))
    node.probed(GARBAGE)
    node.asked(message(2, 1_835.0, target=5))
    node.asked(message(2, 1_836.0, target=4))
    node.asked(GARBAGE)
    node.run(6_000.0)
    node.knows()
    return node.rows


def share(count: int, sent: float, **more: Any) -> bytes:
    """What a sibling tells of itself."""
    servers = [
        ["t1", 3, sent - 5.0, "ok", sent - 5.0, 0.5, sent - 6.0],
        ["t2", 4, sent, "timeout", None, None, None],
    ]
    row = {"form": 1, "count": count, "sent": sent, "revision": 13, "revision_at": sent - 100.0}
    row |= {"pools": [["", sent, 2.0, 7, 0.25]], "servers": servers} | more
    return bytes(msgpack.packb(list(row.values())))


def _recorded(rejection: Any) -> str | None:
    """A reason for rejecting a report, by the name it was recorded under."""
    return None if rejection is None else RECORDED_REJECTIONS[rejection.value]


def staleness(cores: Cores) -> list[Row]:
    """What a node tells of what it has seen, and what it makes of what a sibling tells."""
    offsets = cores.offsets()
    view = cores.view(offsets)
    view.set_members([2])
    view.confirm_list(100.0, 12, ["t1", "t2", "t3"])
    for at, result in enumerate(
        ("ok", "timeout", "error", "full", "connect_failed", "reset", "cancelled", "moot")
    ):
        view.record_outcome(200.0 + at, f"t{1 + at % 3}", cores.result(result))
    view.record_load(210.0, "t1", 0.75)
    view.record_pool(220.0, 3.0, -2, 0.5)
    rows: list[Row] = [{"shares": said(view.make_report(300.0))}, {"shares": said(view.make_report(301.0))}]
    offsets.add_sample(2, 310.0, 1_000_312.0, 1_000_313.0, 315.0)
    for payload in (share(1, 1_000_314.0), share(1, 1_000_315.0), share(2, 1.0, form=2), GARBAGE):
        rows.append({"told": said(payload), "refused": _recorded(view.receive_report(320.0, 2, payload))})
    marks = cores.marks(view, 100.0, 250.0)
    changed = marks.update(330.0, "attached")
    rows.append({"marks": {name: mark.value for name, mark in changed.items()}})
    rows.append({"status": msgspec.to_builtins(marks.edge_statuses(330.0))})
    return rows


def play(cores: Cores) -> dict[str, list[Row]]:
    return {"detection": detection(cores), "staleness": staleness(cores)}
