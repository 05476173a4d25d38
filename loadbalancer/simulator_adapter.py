"""Adapter between balancers and the simulator: reads batches of events from standard input, writes actions.

Each line is a JSON object. This module only translates; loadbalancer.balancing makes every decision. One
process hosts many balancers, which share only the endpoint lists, as the simulator sends each list once.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable
from typing import BinaryIO

import orjson

from loadbalancer.balancing import Balancer
from loadbalancer.balancing.actions import Action, Cancel, Fail, Reject, Send, SetTimer, Watch
from loadbalancer.balancing.events import (
    AttemptOutcome,
    EndpointListUpdate,
    Event,
    HealthCheckCompleted,
    Request,
    RequestCancelled,
    StreamStarted,
    TimerFired,
)
from loadbalancer.endpoints import AttemptResult, Endpoint, EndpointListKind, EndpointStatus
from loadbalancer.errors import SettingChoiceError, SettingError
from loadbalancer.settings import JsonObject, parse_settings

RESULTS = {
    0: AttemptResult.OK,
    255: AttemptResult.ERROR,
    254: AttemptResult.REJECTED,
    253: AttemptResult.TIMEOUT,
    252: AttemptResult.CONNECT_FAILED,
    251: AttemptResult.RESET,
    250: AttemptResult.CANCELLED,
    249: AttemptResult.ABANDONED,
}
IGNORED_KINDS = ("PEER",)
MAX_ERROR_CHARS = 500  # maximum length of an error's text in a PANIC row
MAX_QUOTED_BYTES = 200  # of a malformed line, quoted in an error message
EXIT_MALFORMED_INPUT = 2


class WireError(Exception):
    """The input violates the simulator's protocol in a way that can't be attributed to one balancer."""


class MalformedLineError(WireError):
    """A line is not a JSON object."""

    def __init__(self, line: bytes, reason: str) -> None:
        super().__init__(f"{reason}: {line[:MAX_QUOTED_BYTES]!r}")


class BatchError(WireError):
    """A FRAME or GO line is out of order or lacks a key."""

    def __init__(self, problem: str) -> None:
        super().__init__(problem)


class MalformedEventError(WireError):
    """An event names no balancer, lacks a required key, or is outside a batch."""

    def __init__(self, kind: object, reason: str) -> None:
        super().__init__(f"event {kind!r}: {reason}")


class EventError(ValueError):
    """An event can't be passed to its balancer."""


class UnknownNodeError(EventError):
    """An event is for a balancer that isn't running."""

    def __init__(self, number: int) -> None:
        super().__init__(f"node {number} was never started")


class UnknownEventError(EventError):
    """An event is of a kind that the protocol doesn't have."""

    def __init__(self) -> None:
        super().__init__("unknown kind of event")


class Node:
    """A hosted balancer."""

    def __init__(self, config: JsonObject, seed: int, now_ms: float) -> None:
        self.settings = parse_settings(config)
        self.balancer = Balancer(self.settings, seed, now_ms)

    def load_report(self, values: list[float | None] | None) -> dict[str, float] | None:
        """Return a load report by field name, from its values in the order of the settings; None if empty."""
        if not values:
            return None
        pairs = zip(self.settings.load_report_fields, values, strict=False)
        return {name: value for name, value in pairs if value is not None}


class Host:
    """The balancers of one process, by node number."""

    def __init__(self) -> None:
        self.nodes: dict[int, Node] = {}
        self.endpoint_lists: dict[int, tuple[Endpoint, ...]] = {}  # by the `ref` that events name
        self.now = 0.0  # time of the current batch in ms

    def handle_event(self, row: JsonObject) -> list[JsonObject]:
        """Return the rows that respond to an event. An error ends its balancer and becomes a PANIC row."""
        kind = row.get("kind")
        if kind == "CATALOG":
            self.endpoint_lists[row["ref"]] = tuple(_endpoint(line) for line in row["rows"])
            return []
        number = row.get("node")
        if not isinstance(number, int):
            raise MalformedEventError(kind, reason="no node")
        try:
            return self._handle_node_event(kind, number, row)
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            self.nodes.pop(number, None)
            text = f"{kind}: {_error_name(error)}: {error}"
            return [{"kind": "PANIC", "node": number, "bodyText": text[:MAX_ERROR_CHARS]}]

    def _handle_node_event(self, kind: object, number: int, row: JsonObject) -> list[JsonObject]:
        if kind == "POWER_ON":
            self.nodes[number] = Node(row["config"], row["seed"], self.now)
            return []
        node = self.nodes.get(number)
        if node is None:
            raise UnknownNodeError(number)
        if kind == "STOP":
            del self.nodes[number]
            return []
        if kind in IGNORED_KINDS:
            return []
        decode = EVENT_DECODERS.get(str(kind))
        if decode is None:
            raise UnknownEventError
        actions = node.balancer.handle(self.now, decode(self, node, row))
        return [_encode_action(number, action) for action in actions]


def _error_name(error: Exception) -> str:
    """Return an error's name on the wire, which is ValueError for all errors of settings and events."""
    return ValueError.__name__ if isinstance(error, EventError | SettingError) else type(error).__name__


def _endpoint(row: JsonObject) -> Endpoint:
    return Endpoint(
        name=row["server"],
        zone=row.get("zone") or "",
        cell=row.get("bay") or 0,
        state=EndpointStatus(row["stageState"]),
        launched_ms=row.get("launchedMs") or None,
    )


def _endpoint_list_update(host: Host, _node: Node, row: JsonObject) -> Event:
    kind = EndpointListKind(row["form"])
    return EndpointListUpdate(
        kind, () if kind is EndpointListKind.FAILED else host.endpoint_lists[row["ref"]]
    )


def _request(_host: Host, node: Node, row: JsonObject) -> Event:
    if row["lane"] not in node.balancer.service_classes:
        raise SettingChoiceError(setting="lane", value=row["lane"], choices=node.balancer.service_classes)
    return Request(
        id=row["txn"],
        service=row["lane"],
        deadline_ms=row["giveUpAtMs"],
        tenant=row.get("billing") or None,
        cost_hint_ms=row.get("expectedMs"),
        is_retry=bool(row.get("isRetry")),
    )


def _outcome(_host: Host, node: Node, row: JsonObject) -> Event:
    if row["rc"] not in RESULTS:
        raise SettingChoiceError(setting="rc", value=row["rc"], choices=map(str, RESULTS))
    return AttemptOutcome(
        id=row["txn"],
        attempt=row["attempt"],
        server=row["server"],
        result=RESULTS[row["rc"]],
        latency_ms=row["latencyMs"],
        request_ended=bool(row.get("doneFlag")),
        load_report=node.load_report(row.get("telemetry")),
    )


def _health_check(_host: Host, node: Node, row: JsonObject) -> Event:
    result = RESULTS.get(row["rc"], AttemptResult.ERROR)
    report = node.load_report(row.get("telemetry"))
    return HealthCheckCompleted(row["server"], result, row["latencyMs"], report)


EVENT_DECODERS: dict[str, Callable[[Host, Node, JsonObject], Event]] = {
    "MEMBERSHIP": _endpoint_list_update,
    "NEW_REQUEST": _request,
    "FIRST": lambda _host, _node, row: StreamStarted(row["txn"], row["attempt"]),
    "RETURNED": _outcome,
    "LAPSED": lambda _host, _node, row: RequestCancelled(row["txn"]),
    "ALARM": lambda _host, _node, row: TimerFired(row["name"]),
    "HEALTH": _health_check,
}


def _encode_action(node: int, action: Action) -> JsonObject:
    match action:
        case Send():
            row: JsonObject = {"kind": "ISSUE", "txn": action.id, "server": action.server}
            row["timeoutMs"] = action.timeout_ms
        case Reject():
            row = {"kind": "DECLINE", "txn": action.id, "stayAwayMs": action.retry_after_ms}
        case Fail():
            row = {"kind": "FINISH_ERROR", "txn": action.id}
        case Cancel():
            row = {"kind": "RETRACT", "txn": action.id, "attempt": action.attempt}
        case SetTimer():
            row = {"kind": "SLEEP", "delayMs": action.delay_ms, "name": action.name}
        case Watch():
            row = {"kind": "OBSERVE", "enable": True}
    row["node"] = node
    return row


def _decode_line(line: bytes) -> JsonObject:
    try:
        row = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise MalformedLineError(line, f"not a line of JSON: {error}") from error
    if not isinstance(row, dict):
        raise MalformedLineError(line, reason="not an object")
    return row


class _Session:
    """The batches of one input: each begins with FRAME and ends with GO, which writes its response."""

    def __init__(self, sink: BinaryIO) -> None:
        self._sink = sink
        self._host = Host()
        self._sequence: object = None
        self.in_batch = False
        self._response: list[bytes] = []

    def handle(self, row: JsonObject) -> None:
        kind = row.get("kind")
        if kind == "FRAME":
            self._begin(row)
        elif not self.in_batch:
            raise MalformedEventError(kind, reason="outside a batch")
        elif kind == "GO":
            self._end()
        else:
            try:
                self._response.extend(orjson.dumps(action) for action in self._host.handle_event(row))
            except (KeyError, TypeError, ValueError) as error:
                raise MalformedEventError(kind, f"{type(error).__name__}: {error}") from error

    def _begin(self, row: JsonObject) -> None:
        if self.in_batch:
            raise BatchError(problem="a batch begins within a batch")
        if not isinstance(row.get("nowMs"), int | float) or "seq" not in row:
            raise BatchError(problem="FRAME lacks nowMs or seq")
        self._host.now, self._sequence = float(row["nowMs"]), row["seq"]
        self.in_batch, self._response = True, []

    def _end(self) -> None:
        self._response.append(orjson.dumps({"kind": "READY", "seq": self._sequence}))
        self._sink.write(b"\n".join(self._response) + b"\n")
        self._sink.flush()
        self.in_batch = False


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Respond to batches until the input ends; raise WireError if the input violates the protocol."""
    session = _Session(sink)
    for line in source:
        session.handle(_decode_line(line))
    if session.in_batch:
        raise BatchError(problem="the input ended within a batch")


def main() -> int:
    """Run with standard input and output; return the exit code."""
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"loadbalancer.simulator_adapter: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
