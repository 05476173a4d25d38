"""Failure detectors on a simulated network, in simulated time, determined by one seed.

A call consists of two messages, each with a random delay and a probability of loss. Links can be blocked one
way or both ways, a process can end (see `ProcessEnd`), and a node can be paused and resumed. Events that
reach a paused node are queued and run in random order when it resumes, as an event loop might find them.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from loadbalancer.membership import (
    Ack,
    Action,
    DetectorConfig,
    FailureDetector,
    IndirectProbe,
    Probe,
    QuotaStatus,
    Reachability,
    ReachabilityChanged,
    Sibling,
    ViewReceived,
)

SERVICE_OFFSET_MS = 1e6  # service time minus simulated time
RENEWAL = 0.2  # fraction of the lease term between renewals; the last renewals are spread over it


class ProcessEnd(Enum):
    """How calls to a process fail after its end."""

    REFUSED = "refused"  # the machine refuses the connection
    RESET = "reset"  # a proxy in front of it accepts and closes the connection
    SILENT = "silent"  # the machine is down, so that calls time out


@dataclass
class SimulatedNode:
    incarnation: int
    detector: FailureDetector
    skew: float  # ms by which its clock is ahead of simulated time
    rng: random.Random
    alive: bool = True
    process_end: ProcessEnd = ProcessEnd.REFUSED
    paused: bool = False
    queued_events: list[Callable[[], None]] = field(default_factory=list)
    responders: dict[int, Callable[[bytes | None], None]] = field(default_factory=dict)
    calls_sent: int = 0
    sent_bytes: int = 0
    ack_bytes_received: int = 0
    views: list[ViewReceived] = field(default_factory=list)
    quota_status: QuotaStatus | None = None  # set in the detector before each tick
    holding_since: float | None = None  # when it began to hold its quota


class DetectorSimulation:
    """Nodes and their network. `delay`: range of message delays (ms); `loss`: probability of a lost call."""

    def __init__(
        self,
        size: int,
        seed: int,
        config: DetectorConfig | None = None,
        delay: tuple[float, float] = (0.3, 1.0),
        loss: float = 0.0,
    ) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.delay, self.loss = delay, loss
        self.blocked_links: set[tuple[int, int]] = set()  # (sender, receiver); messages on them are dropped
        self.changes: list[tuple[float, int, ReachabilityChanged]] = []  # (time, observer, change)
        self.before_tick: Callable[[SimulatedNode], None] = lambda node: None
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._ids = itertools.count(1)
        self.nodes = {number: self._node(number, config) for number in range(1, size + 1)}
        self.announce_members()
        for node in self.nodes.values():
            self.schedule(self.rng.uniform(0, 100), lambda node=node: self._tick(node))  # type: ignore[misc]

    def _node(self, number: int, config: DetectorConfig | None) -> SimulatedNode:
        rng = random.Random(self.rng.random())
        return SimulatedNode(number, FailureDetector(number, rng, config), self.rng.uniform(-1e6, 1e6), rng)

    def clock(self, node: SimulatedNode) -> float:
        return self.now + node.skew

    def siblings(self) -> list[Sibling]:
        return [Sibling(number, f"n{number}", f"at-{number}") for number in self.nodes]

    def announce_members(self) -> None:
        for node in self.nodes.values():
            node.detector.set_members(self.clock(node), self.siblings())

    # -------------------------------------------------------------- faults

    def kill(self, number: int, process_end: ProcessEnd = ProcessEnd.REFUSED) -> None:
        self.nodes[number].alive, self.nodes[number].process_end = False, process_end

    def pause(self, number: int, duration_ms: float) -> None:
        node = self.nodes[number]
        node.paused = True
        self.schedule(duration_ms, lambda: self._resume(node))

    def pause_periodically(self, number: int, interval_ms: float, duration_ms: float) -> None:
        self.pause(number, duration_ms)
        self.schedule(interval_ms, lambda: self.pause_periodically(number, interval_ms, duration_ms))

    def disconnect_from_registry(self, ttl_ms: float) -> None:
        """Disconnect all nodes from the list service; each holds its quota once its lease expires."""
        for node in self.nodes.values():
            self.schedule(
                self.rng.uniform(0.0, RENEWAL * ttl_ms), lambda node=node: self._begin_holding(node)
            )  # type: ignore[misc]

    def _begin_holding(self, node: SimulatedNode) -> None:
        node.quota_status, node.holding_since = QuotaStatus.HOLDING, self.now

    def partition(self, group_a: Iterable[int], group_b: Iterable[int]) -> None:
        for a, b in itertools.product(list(group_a), list(group_b)):
            self.blocked_links |= {(a, b), (b, a)}

    def _resume(self, node: SimulatedNode) -> None:
        node.paused = False
        queued, node.queued_events = node.queued_events, []
        self.rng.shuffle(queued)
        for event in queued:
            event()

    # -------------------------------------------------------------- time

    def schedule(self, delay_ms: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay_ms, next(self._ids), event))

    def run(self, duration_ms: float) -> None:
        end = self.now + duration_ms
        while self._events and self._events[0][0] <= end:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = end

    def run_until(self, done: Callable[[], bool], timeout_ms: float) -> float:
        """Run in steps of 10 ms until `done`; return the time that this took, or inf after `timeout_ms`."""
        start = self.now
        while self.now - start < timeout_ms:
            self.run(10.0)
            if done():
                return self.now - start
        return float("inf")

    # -------------------------------------------------------------- observations

    def reachability_of(self, target: int) -> dict[int, Reachability]:
        """The target's reachability at each live node."""
        return {
            number: node.detector.reachability()[target]
            for number, node in self.nodes.items()
            if number != target and node.alive
        }

    def transitions_to(self, state: Reachability) -> list[tuple[float, int, int]]:
        """Every transition to this state, as (time, observer, changed member)."""
        return [
            (time, observer, change.incarnation)
            for time, observer, change in self.changes
            if change.new is state
        ]

    def majority_waits(self, timeout_ms: float) -> list[float]:
        """Return each node's time (ms) from holding its quota to knowing that a majority holds, or inf."""
        waits: dict[int, float] = {}
        end = self.now + timeout_ms
        while self.now < end and len(waits) < len(self.nodes):
            self.run(10.0)
            for number, node in self.nodes.items():
                if (
                    number not in waits
                    and node.holding_since is not None
                    and self._knows_majority_holds(node)
                ):
                    waits[number] = self.now - node.holding_since
        return [waits.get(number, float("inf")) for number in self.nodes]

    def _knows_majority_holds(self, node: SimulatedNode) -> bool:
        holding = [
            status for status, _ in node.detector.quota_reports().values() if status is QuotaStatus.HOLDING
        ]
        return 2 * len(holding) > len(self.nodes)

    # -------------------------------------------------------------- nodes

    def run_when_active(self, node: SimulatedNode, event: Callable[[], None]) -> None:
        """Run an event of a node: at once, when it resumes if it is paused, or never if it has ended."""
        if node.paused and node.alive:
            node.queued_events.append(lambda: self.run_when_active(node, event))
        elif node.alive:
            event()

    def _tick(self, node: SimulatedNode) -> None:
        def tick() -> None:
            self.before_tick(node)
            if node.quota_status is not None:
                service_ms = self.now + SERVICE_OFFSET_MS
                node.detector.set_quota_status(self.clock(node), node.quota_status, service_ms)
            self._perform(node, node.detector.tick(self.clock(node)))
            assert node.detector.due is not None
            self.schedule(max(0.1, node.detector.due - self.clock(node)), lambda: self._tick(node))

        self.run_when_active(node, tick)

    def _perform(self, node: SimulatedNode, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Probe() | IndirectProbe():
                    self._call(node, action)
                case Ack():
                    node.responders.pop(action.call)(action.payload)
                case ReachabilityChanged():
                    self.changes.append((self.now, node.incarnation, action))
                case ViewReceived():
                    node.views.append(action)

    # -------------------------------------------------------------- calls

    def _call(self, node: SimulatedNode, action: Probe | IndirectProbe) -> None:
        node.calls_sent += 1
        node.sent_bytes += len(action.payload)
        target = self.nodes[int(action.address.removeprefix("at-"))]
        ended = False

        def end(event: Callable[[], list[Action]]) -> None:
            def run_once() -> None:
                nonlocal ended
                if not ended:
                    ended = True
                    self._perform(node, event())

            self.run_when_active(node, run_once)

        def on_response(payload: bytes | None) -> None:
            if payload is None:
                end(lambda: node.detector.on_failure(self.clock(node), action.id, False))
            else:
                node.ack_bytes_received += len(payload)
                end(lambda: node.detector.on_ack(self.clock(node), action.id, payload))

        def arrive() -> None:
            if not target.alive:
                if target.process_end is not ProcessEnd.SILENT:
                    refused = target.process_end is ProcessEnd.REFUSED
                    refuse = lambda: node.detector.on_failure(self.clock(node), action.id, refused)  # noqa: E731
                    self._message(target, node, lambda: end(refuse), response_lost)
                return
            respond = lambda payload: self._message(target, node, lambda: on_response(payload), response_lost)  # noqa: E731
            self.run_when_active(target, lambda: self._serve(target, action, respond))

        call_lost = self.rng.random() < self.loss
        response_lost = call_lost and self.rng.random() < 0.5
        self._message(node, target, arrive, call_lost and not response_lost)
        timeout = lambda: node.detector.on_failure(self.clock(node), action.id, False)  # noqa: E731
        self.schedule(action.timeout_ms, lambda: end(timeout))

    def _message(
        self, sender: SimulatedNode, receiver: SimulatedNode, arrive: Callable[[], None], lost: bool
    ) -> None:
        if not lost and (sender.incarnation, receiver.incarnation) not in self.blocked_links:
            self.schedule(self.rng.uniform(*self.delay), arrive)

    def _serve(
        self, node: SimulatedNode, action: Probe | IndirectProbe, respond: Callable[[bytes | None], None]
    ) -> None:
        if isinstance(action, Probe):
            payload, actions = node.detector.on_probe(self.clock(node), action.payload)
            respond(payload)
        else:
            call = next(self._ids)
            node.responders[call] = respond
            actions = node.detector.on_indirect_probe(self.clock(node), call, action.payload)
        self._perform(node, actions)
