"""The world of leases and shares in rounds, for long runs with few faults.

In a `step` time passes and everything that no fault is in the way of happens: due calls are answered, due
leases expired, siblings heard. Links stay cut until `heal`, so a fault that lasts costs one fault however
long it lasts; between two steps any fault of the fine world (`shares`) may happen too, and whatever that
world has on the way may arrive. So a search sees every placing of few faults in a run of many terms, with one
order of what is undisturbed; all orders within few moments are the fine world's part.

    cut n0      no call of n0 arrives            parted n0 n1   neither hears the other
    mute n0     its calls arrive, no answer does  down          no call of anyone arrives
    oneway n0   siblings hear n0, it hears none  wrong n0       its renewals are rejected (where `kinds` has
                                                               "reject"): its idea of service time is wrong
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import combinations
from typing import Any

from tests.support.orders.parts import Bounds, Node
from tests.support.orders.shares import Shares

FREE = {"renew", "hear", "tick", "expire"}  # of the fine world: part of a step


class Rounds(Shares):
    __slots__ = ("cuts",)

    def __init__(self, bounds: Bounds, faults: int) -> None:
        super().__init__(bounds, faults)
        self.cuts: frozenset[str] = frozenset()

    def moves(self) -> Iterator[tuple[str, Rounds]]:
        yield self._move("step", 0, lambda w: w._step())
        if self.cuts:
            yield self._move("heal", 0, lambda w: setattr(w, "cuts", frozenset()))
        if self.faults > 0:
            for cut in self._possible():
                if cut not in self.cuts:
                    yield self._move(cut, 1, lambda w, c=cut: setattr(w, "cuts", w.cuts | {c}))
        for name, after in super().moves():
            if name.split()[0] not in FREE:
                yield name, after

    def key(self) -> tuple[Any, ...]:
        return (*super().key(), self.cuts)

    def fair(self, steps: int) -> Rounds:
        world = super().fair(steps)
        world.cuts = frozenset()
        return world

    def _twin(self) -> Rounds:
        new = super()._twin()
        new.cuts = self.cuts
        return new

    def _possible(self) -> list[str]:
        faulty = self.bounds.faulty
        nodes = [node for node in self.nodes if faulty is None or node.name in faulty]
        kinds = ("cut", "mute", "oneway", *(("wrong",) if "reject" in self.bounds.kinds else ()))
        alone = [f"{kind} {node.name}" for node in nodes for kind in kinds]
        pairs = [f"parted {a.name} {b.name}" for a, b in combinations(nodes, 2) if a.service == b.service]
        return [*alone, *pairs, *(("down",) if faulty is None else ())]

    def _step(self) -> None:
        self._tick()
        for _ in range(2):
            for at, node in enumerate(self.nodes):
                self._calls(at, node)
            lapsed, support = self.service.clock.expired_and_attached(self.now)
            plan = self.service.state.due_expiry(lapsed, support)
            if plan is not None:
                self._expire(plan)
            self._hear_all()

    def _calls(self, at: int, node: Node) -> None:
        own, core = self.now + node.skew, node.core
        if core is None:
            return
        if core._in_flight is not None and own >= core._in_flight[1] + core._in_flight[0].timeout_ms:
            self._timeout(at)
        elif core.next_call_at() <= own:
            if {"down", f"cut {node.name}"} & self.cuts:
                self._call(self._own(at))
            elif f"mute {node.name}" in self.cuts:
                mute = self._own(at)
                self._serve(mute, self._call(mute).call)
            elif f"wrong {node.name}" in self.cuts and core.incarnation and not core._enrols_again:
                self._reject(at)
            else:
                self._renew(at)

    def _hear_all(self) -> None:
        for at, node in enumerate(self.nodes):
            if node.core is None or f"oneway {node.name}" in self.cuts:
                continue
            for other in self.nodes:
                pair = " ".join(sorted((node.name, other.name)))
                if other.name != node.name and f"parted {pair}" not in self.cuts:
                    for number, said in self._word(self.nodes[at], other):
                        self._hear(at, number, said)
