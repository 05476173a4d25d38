"""N failure detectors on a simulated network, in simulated time, from one seed.

A call is two messages. Each may be lost, and takes a time drawn anew; links may be cut one way or both, a
process killed (its machine refuses) or its machine lost (silence), a node stopped and continued. What reaches
a stopped node waits and is given to it in a drawn order when it goes on, as an event loop might find it.
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

SERVICE_OFFSET_MS = 1e6  # service time less the simulation's
RENEWAL = 0.2  # of a lease term: nodes' last renewals before a cut are spread over so much


class Gone(Enum):
    """What a caller sees of a process that has ended."""

    REFUSED = "refused"  # its machine refuses the connection
    RESET = "reset"  # something before it takes the connection and closes it
    SILENT = "silent"  # its machine is lost


@dataclass
class Node:
    incarnation: int
    detector: FailureDetector
    skew: float  # of its clock to the simulation's
    rng: random.Random
    alive: bool = True
    gone: Gone = Gone.REFUSED
    stopped: bool = False
    waiting: list[Callable[[], None]] = field(default_factory=list)
    replies: dict[int, Callable[[bytes | None], None]] = field(default_factory=dict)
    sent: int = 0
    sent_bytes: int = 0
    ack_bytes_received: int = 0
    viewed: list[ViewReceived] = field(default_factory=list)
    quota_status: QuotaStatus | None = None  # stated anew before each tick
    held_at: float | None = None  # when it began to hold


class World:
    """All of it. `delay` draws one message's time; `loss` is the part of calls that are lost."""

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
        self.cut: set[tuple[int, int]] = set()  # (from, to): messages on it vanish
        self.changes: list[tuple[float, int, ReachabilityChanged]] = []  # when, observer, change
        self.before_tick: Callable[[Node], None] = lambda node: None
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._ids = itertools.count(1)
        self.nodes = {number: self._node(number, config) for number in range(1, size + 1)}
        self.tell_all()
        for node in self.nodes.values():
            self.after(self.rng.uniform(0, 100), lambda node=node: self._tick(node))  # type: ignore[misc]

    def _node(self, number: int, config: DetectorConfig | None) -> Node:
        own = random.Random(self.rng.random())
        return Node(number, FailureDetector(number, own, config), self.rng.uniform(-1e6, 1e6), own)

    def clock(self, node: Node) -> float:
        return self.now + node.skew

    def siblings(self) -> list[Sibling]:
        return [Sibling(number, f"n{number}", f"at-{number}") for number in self.nodes]

    def tell_all(self) -> None:
        for node in self.nodes.values():
            node.detector.set_members(self.clock(node), self.siblings())

    # -------------------------------------------------------------- faults

    def kill(self, number: int, gone: Gone = Gone.REFUSED) -> None:
        self.nodes[number].alive, self.nodes[number].gone = False, gone

    def stop(self, number: int, lasts: float) -> None:
        node = self.nodes[number]
        node.stopped = True
        self.after(lasts, lambda: self._go_on(node))

    def stop_every(self, number: int, every: float, lasts: float) -> None:
        self.stop(number, lasts)
        self.after(every, lambda: self.stop_every(number, every, lasts))

    def cut_from_service(self, ttl_ms: float) -> None:
        """All nodes lose the list service together: each begins to hold as its last renewal grows old."""
        for node in self.nodes.values():
            self.after(self.rng.uniform(0.0, RENEWAL * ttl_ms), lambda node=node: self._hold(node))  # type: ignore[misc]

    def _hold(self, node: Node) -> None:
        node.quota_status, node.held_at = QuotaStatus.HOLDING, self.now

    def cut_between(self, left: Iterable[int], right: Iterable[int]) -> None:
        for one, other in itertools.product(list(left), list(right)):
            self.cut |= {(one, other), (other, one)}

    def _go_on(self, node: Node) -> None:
        node.stopped = False
        waiting, node.waiting = node.waiting, []
        self.rng.shuffle(waiting)
        for event in waiting:
            event()

    # -------------------------------------------------------------- time

    def after(self, wait: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + wait, next(self._ids), event))

    def run(self, lasts: float) -> None:
        end = self.now + lasts
        while self._events and self._events[0][0] <= end:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = end

    def run_until(self, done: Callable[[], bool], most: float) -> float:
        """Run in steps of 10 ms; the time that it took, or inf."""
        start = self.now
        while self.now - start < most:
            self.run(10.0)
            if done():
                return self.now - start
        return float("inf")

    # -------------------------------------------------------------- what is seen

    def seen(self, target: int) -> dict[int, Reachability]:
        """What each running node has of the target."""
        return {
            number: node.detector.reachability()[target]
            for number, node in self.nodes.items()
            if number != target and node.alive
        }

    def turned(self, state: Reachability) -> list[tuple[float, int, int]]:
        """Every change to this state: when, observer, of whom."""
        return [(at, who, change.incarnation) for at, who, change in self.changes if change.new is state]

    def majority_waits(self, most: float) -> list[float]:
        """From when each node began to hold to when it knew that a majority does, inf if not in `most`."""
        waits: dict[int, float] = {}
        end = self.now + most
        while self.now < end and len(waits) < len(self.nodes):
            self.run(10.0)
            for number, node in self.nodes.items():
                if number not in waits and node.held_at is not None and self._knows_majority(node):
                    waits[number] = self.now - node.held_at
        return [waits.get(number, float("inf")) for number in self.nodes]

    def _knows_majority(self, node: Node) -> bool:
        holding = [said for said, _ in node.detector.quota_reports().values() if said is QuotaStatus.HOLDING]
        return 2 * len(holding) > len(self.nodes)

    # -------------------------------------------------------------- nodes

    def in_turn(self, node: Node, event: Callable[[], None]) -> None:
        """Run an event of a node's: not after its death, and when it goes on if it is stopped."""
        if node.stopped and node.alive:
            node.waiting.append(lambda: self.in_turn(node, event))
        elif node.alive:
            event()

    def _tick(self, node: Node) -> None:
        def tick() -> None:
            self.before_tick(node)
            if node.quota_status is not None:
                service_ms = self.now + SERVICE_OFFSET_MS
                node.detector.set_quota_status(self.clock(node), node.quota_status, service_ms)
            self._do(node, node.detector.tick(self.clock(node)))
            assert node.detector.due is not None
            self.after(max(0.1, node.detector.due - self.clock(node)), lambda: self._tick(node))

        self.in_turn(node, tick)

    def _do(self, node: Node, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Probe() | IndirectProbe():
                    self._call(node, action)
                case Ack():
                    node.replies.pop(action.call)(action.payload)
                case ReachabilityChanged():
                    self.changes.append((self.now, node.incarnation, action))
                case ViewReceived():
                    node.viewed.append(action)

    # -------------------------------------------------------------- calls

    def _call(self, node: Node, action: Probe | IndirectProbe) -> None:
        node.sent += 1
        node.sent_bytes += len(action.payload)
        other = self.nodes[int(action.address.removeprefix("at-"))]
        over = False

        def end(event: Callable[[], list[Action]]) -> None:
            def once() -> None:
                nonlocal over
                if not over:
                    over = True
                    self._do(node, event())

            self.in_turn(node, once)

        def back(payload: bytes | None) -> None:
            if payload is None:
                end(lambda: node.detector.on_failure(self.clock(node), action.id, False))
            else:
                node.ack_bytes_received += len(payload)
                end(lambda: node.detector.on_ack(self.clock(node), action.id, payload))

        def arrive() -> None:
            if not other.alive:
                if other.gone is not Gone.SILENT:
                    refused = other.gone is Gone.REFUSED
                    refuse = lambda: node.detector.on_failure(self.clock(node), action.id, refused)  # noqa: E731
                    self._message(other, node, lambda: end(refuse), lost_back)
                return
            answer = lambda payload: self._message(other, node, lambda: back(payload), lost_back)  # noqa: E731
            self.in_turn(other, lambda: self._serve(other, action, answer))

        lost = self.rng.random() < self.loss
        lost_back = lost and self.rng.random() < 0.5
        self._message(node, other, arrive, lost and not lost_back)
        timeout = lambda: node.detector.on_failure(self.clock(node), action.id, False)  # noqa: E731
        self.after(action.timeout_ms, lambda: end(timeout))

    def _message(self, sender: Node, to: Node, arrive: Callable[[], None], lost: bool) -> None:
        if not lost and (sender.incarnation, to.incarnation) not in self.cut:
            self.after(self.rng.uniform(*self.delay), arrive)

    def _serve(
        self, node: Node, action: Probe | IndirectProbe, answer: Callable[[bytes | None], None]
    ) -> None:
        if isinstance(action, Probe):
            payload, actions = node.detector.on_probe(self.clock(node), action.payload)
            answer(payload)
        else:
            call = next(self._ids)
            node.replies[call] = answer
            actions = node.detector.on_indirect_probe(self.clock(node), call, action.payload)
        self._do(node, actions)
