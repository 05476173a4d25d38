"""Scenarios for the failure detector and the freshness table, recorded in tests/data/golden/members.json.

Messages of other members are plain MessagePack, built here without the product's classes; messages that the
product sends are recorded as bytes. The product's classes are passed in as `ReleaseClasses`, so that the
recording release and the present one run the same scenarios. Keys of the entries are those of the recording.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

import msgpack
import msgspec

Entry = dict[str, Any]  # of the recording

ALIVE, SUSPECT, REFUSED, FAILED = range(4)  # status of a member, in an update
ATTACHED, HOLDING, YIELDED = range(3)  # status of a node's own quota, in a quota report
INCONCLUSIVE, ACKED, TIMED_OUT, CONNECTION_REFUSED = range(4)  # result of an indirect probe
LOCAL, MEMBERS = 1, (1, 2, 3, 4, 5)  # incarnations
RESPONDING, REFUSING = (2, 5), 4
INDIRECT_RESULTS = {2: ACKED, 3: TIMED_OUT, 4: CONNECTION_REFUSED, 5: ACKED}  # by target
MALFORMED = bytes(msgpack.packb("no message"))
TICK_MS = 50.0
RECORDED_REJECTIONS = {"malformed": "garbage"}  # names of rejections in the recording
SERVICE_MS = 1_764_000_000_000.0


@dataclass(frozen=True)
class ReleaseClasses:
    """The classes of a release that the scenarios use."""

    failure_detector: Any
    sibling: Any
    quota_status: Any
    freshness_table: Any
    clock_offsets: Any
    confidence_tracker: Any
    attempt_result: Any


def message(
    sender: int,
    now: float,
    target: int = 0,
    result: int = INCONCLUSIVE,
    updates: Any = (),
    quota_reports: Any = (),
) -> bytes:
    """Return a probe or an ack of another member, whose refutation count is 0."""
    return bytes(msgpack.packb([sender, 0, now, target, result, list(updates), list(quota_reports), b""]))


def decoded(payload: bytes | None) -> Entry | None:
    """Return a payload's bytes in hexadecimal and the values that they encode."""
    return None if payload is None else {"bytes": payload.hex(), "says": _plain(msgpack.unpackb(payload))}


def _plain(value: Any) -> Any:
    if isinstance(value, bytes):
        return {"bytes": value.hex()}
    return [_plain(item) for item in value] if isinstance(value, list) else value


class DetectorScenario:
    """A failure detector with incarnation LOCAL on a simulated network; records every message that it sends.

    Members 2 and 5 respond; 3 is silent and the machine of 4 refuses connections.
    """

    def __init__(self, classes: ReleaseClasses) -> None:
        self.detector = classes.failure_detector(LOCAL, random.Random(7))
        self.entries: list[Entry] = []
        self._now = 0.0
        self._calls: list[Any] = []
        siblings = [classes.sibling(number, f"n{number}", f"127.0.0.1:{9000 + number}") for number in MEMBERS]
        self.detector.set_members(0.0, siblings)
        self.detector.set_quota_status(0.0, classes.quota_status(ATTACHED), SERVICE_MS)
        self.detector.set_view(msgpack.packb(["a view"]))

    def run(self, until: float) -> None:
        """Advance in steps of TICK_MS; a call sent in one step gets its response in the next."""
        while self._now < until:
            self._now += TICK_MS
            calls, self._calls = self._calls, []
            for call in calls:
                self._end_call(call)
            self._record("tick", self.detector.tick(self._now))

    def receive_probe(self, payload: bytes) -> None:
        ack, actions = self.detector.on_probe(self._now, payload)
        self.entries.append({"at": self._now, "probe": decoded(payload), "ack": decoded(ack)})
        self._record("after a probe", actions)

    def receive_indirect_probe(self, payload: bytes) -> None:
        self._record("asked for an indirect probe", self.detector.on_indirect_probe(self._now, 77, payload))

    def record_state(self) -> None:
        """Record what the detector concluded from the messages so far."""
        reachability = {str(number): found.value for number, found in self.detector.reachability().items()}
        quota_reports = {
            str(number): [int(status), at] for number, (status, at) in self.detector.quota_reports().items()
        }
        ignored = dict(self.detector.ignored)
        self.entries.append({"reachability": reachability, "standings": quota_reports, "ignored": ignored})

    def _end_call(self, call: Any) -> None:
        to = int(call.address.removeprefix("127.0.0.1:900"))
        if to in RESPONDING:
            result = INCONCLUSIVE if to == call.target else INDIRECT_RESULTS[call.target]
            self._record(
                "acked", self.detector.on_ack(self._now, call.id, message(to, self._now, result=result))
            )
        else:
            self._record("failed", self.detector.on_failure(self._now, call.id, refused=to == REFUSING))

    def _record(self, event: str, actions: Any) -> None:
        calls = [action for action in actions if hasattr(action, "payload")]
        self._calls += [call for call in calls if hasattr(call, "address")]
        sent = [
            {"to": getattr(call, "address", "the caller"), "payload": decoded(call.payload)} for call in calls
        ]
        if sent:
            self.entries.append({"at": self._now, event: sent})


def run_detection(classes: ReleaseClasses) -> list[Entry]:
    """Direct and indirect probes, acks, updates of every member status and reports of every quota status."""
    node = DetectorScenario(classes)
    node.run(4_000.0)
    node.record_state()
    quota_reports = [
        [2, HOLDING, SERVICE_MS + 100.0],
        [3, YIELDED, SERVICE_MS + 200.0],
        [5, ATTACHED, SERVICE_MS],
    ]
    updates = [[3, 0, SUSPECT, [2]], [4, 2, FAILED, [2, 3]], [5, 0, REFUSED, [2]], [9, 0, ALIVE, []]]
    node.receive_probe(message(2, 1_790.0, updates=updates, quota_reports=quota_reports))
    node.receive_probe(message(3, 1_805.0, updates=[[LOCAL, 0, SUSPECT, [3]]]))
    node.receive_probe(message(9, 1_815.0))
    node.receive_probe(MALFORMED)
    node.receive_indirect_probe(message(2, 1_835.0, target=5))
    node.receive_indirect_probe(message(2, 1_836.0, target=4))
    node.receive_indirect_probe(MALFORMED)
    node.run(6_000.0)
    node.record_state()
    return node.entries


def freshness_report(sequence: int, sent_at: float, **replaced: Any) -> bytes:
    """Return a sibling's report on itself and two servers, with the fields in `replaced` replaced."""
    servers = [
        ["t1", 3, sent_at - 5.0, "ok", sent_at - 5.0, 0.5, sent_at - 6.0],
        ["t2", 4, sent_at, "timeout", None, None, None],
    ]
    fields = {
        "version": 1,
        "sequence": sequence,
        "sent_at": sent_at,
        "list_revision": 13,
        "list_confirmed_at": sent_at - 100.0,
    }
    fields |= {"pools": [["", sent_at, 2.0, 7, 0.25]], "servers": servers} | replaced
    return bytes(msgpack.packb(list(fields.values())))


def _recorded_name(rejection: Any) -> str | None:
    """Return the name of a report's rejection in the recording."""
    return None if rejection is None else RECORDED_REJECTIONS[rejection.value]


def run_staleness(classes: ReleaseClasses) -> list[Entry]:
    """A node's reports on its observations, and the confidence that it has after a sibling's reports."""
    offsets = classes.clock_offsets()
    table = classes.freshness_table(offsets)
    table.set_members([2])
    table.confirm_list(100.0, 12, ["t1", "t2", "t3"])
    for index, result in enumerate(
        ("ok", "timeout", "error", "full", "connect_failed", "reset", "cancelled", "moot")
    ):
        table.record_outcome(200.0 + index, f"t{1 + index % 3}", classes.attempt_result(result))
    table.record_load(210.0, "t1", 0.75)
    table.record_pool(220.0, 3.0, -2, 0.5)
    entries: list[Entry] = [
        {"shares": decoded(table.make_report(300.0))},
        {"shares": decoded(table.make_report(301.0))},
    ]
    offsets.add_sample(2, 310.0, 1_000_312.0, 1_000_313.0, 315.0)
    for payload in (
        freshness_report(1, 1_000_314.0),
        freshness_report(1, 1_000_315.0),
        freshness_report(2, 1.0, version=2),
        MALFORMED,
    ):
        entries.append(
            {"told": decoded(payload), "refused": _recorded_name(table.receive_report(320.0, 2, payload))}
        )
    tracker = classes.confidence_tracker(table, 100.0, 250.0)
    changed = tracker.update(330.0, "attached")
    entries.append({"marks": {name: confidence.value for name, confidence in changed.items()}})
    entries.append({"status": msgspec.to_builtins(tracker.edge_statuses(330.0))})
    return entries


def run_scenarios(classes: ReleaseClasses) -> dict[str, list[Entry]]:
    return {"detection": run_detection(classes), "staleness": run_staleness(classes)}
