"""Model of leases and quotas in rounds, for long runs with few faults.

In one `step`, time advances and everything happens that no fault prevents: due calls get responses, due
leases expire, siblings exchange reports. Links stay broken until `heal`, so a lasting fault counts as one
fault however long it lasts. Between two steps, any fault of the detailed model (`shares`) may occur too, and
its messages in flight may arrive. A search thus covers every placement of few faults in a run of many terms,
with a single order of undisturbed events; the detailed model covers all orders within a few moments.

    cut n0        no call of n0 reaches the list service
    mute n0       calls of n0 reach the list service, but no response reaches n0
    oneway n0     siblings receive reports of n0, but n0 receives none
    parted n0 n1  neither receives reports of the other
    down          no call of any node reaches the list service
    wrong n0      the renewals of n0 are rejected (if `kinds` contains "reject"), as its estimate of service
                  time is wrong
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import combinations
from typing import Any

from tests.support.orders.parts import Bounds, Node
from tests.support.orders.shares import QuotaModel

ACTIONS_IN_STEP = {"renew", "hear", "tick", "expire"}  # actions of the detailed model


class RoundsModel(QuotaModel):
    __slots__ = ("link_faults",)

    def __init__(self, bounds: Bounds, faults: int) -> None:
        super().__init__(bounds, faults)
        self.link_faults: frozenset[str] = frozenset()

    def transitions(self) -> Iterator[tuple[str, RoundsModel]]:
        yield self._transition("step", 0, lambda m: m._step())
        if self.link_faults:
            yield self._transition("heal", 0, lambda m: setattr(m, "link_faults", frozenset()))
        if self.faults > 0:
            for fault in self._possible_link_faults():
                if fault not in self.link_faults:
                    yield self._transition(
                        fault, 1, lambda m, f=fault: setattr(m, "link_faults", m.link_faults | {f})
                    )
        for name, successor in super().transitions():
            if name.split()[0] not in ACTIONS_IN_STEP:
                yield name, successor

    def key(self) -> tuple[Any, ...]:
        return (*super().key(), self.link_faults)

    def run_without_faults(self, steps: int) -> RoundsModel:
        model = super().run_without_faults(steps)
        model.link_faults = frozenset()
        return model

    def _copy(self) -> RoundsModel:
        new = super()._copy()
        new.link_faults = self.link_faults
        return new

    def _possible_link_faults(self) -> list[str]:
        faulty = self.bounds.faulty
        nodes = [node for node in self.nodes if faulty is None or node.name in faulty]
        kinds = ("cut", "mute", "oneway", *(("wrong",) if "reject" in self.bounds.kinds else ()))
        node_faults = [f"{kind} {node.name}" for node in nodes for kind in kinds]
        pair_faults = [
            f"parted {a.name} {b.name}" for a, b in combinations(nodes, 2) if a.service == b.service
        ]
        return [*node_faults, *pair_faults, *(("down",) if faulty is None else ())]

    def _step(self) -> None:
        self._tick()
        for _ in range(2):
            for index, node in enumerate(self.nodes):
                self._run_calls(index, node)
            expired, attached = self.service.clock.expired_and_attached(self.now)
            due = self.service.state.due_expiry(expired, attached)
            if due is not None:
                self._expire(due)
            self._receive_all_reports()

    def _run_calls(self, index: int, node: Node) -> None:
        node_now, lease = self.now + node.skew, node.lease
        if lease is None:
            return
        if lease._in_flight is not None and node_now >= lease._in_flight[1] + lease._in_flight[0].timeout_ms:
            self._timeout(index)
        elif lease.next_call_at() <= node_now:
            if {"down", f"cut {node.name}"} & self.link_faults:
                self._begin_call(self._copy_node(index))
            elif f"mute {node.name}" in self.link_faults:
                copy = self._copy_node(index)
                self._serve(copy, self._begin_call(copy).call)
            elif f"wrong {node.name}" in self.link_faults and lease.incarnation and not lease._enrols_again:
                self._reject(index)
            else:
                self._renew(index)

    def _receive_all_reports(self) -> None:
        for index, node in enumerate(self.nodes):
            if node.lease is None or f"oneway {node.name}" in self.link_faults:
                continue
            for other in self.nodes:
                pair = " ".join(sorted((node.name, other.name)))
                if other.name != node.name and f"parted {pair}" not in self.link_faults:
                    for number, report in self._current_report(self.nodes[index], other):
                        self._receive_report(index, number, report)
