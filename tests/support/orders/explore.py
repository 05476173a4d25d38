"""Breadth-first search of a model's state space: the first violation found has a shortest trace.

A model is an immutable state: `transitions` yields each enabled action and its successor. States with the
same `key` count as equal and are expanded once. Only a 64-bit hash of each key is stored; among a million
states two collide with a probability of 1 in 10^7, and then one of them is not expanded.

A search without a violation shows that no run of at most `depth` actions violates the invariant, within the
bounds of the model. `walk` goes deeper along random runs from a seed; it samples runs and proves nothing
about the others.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Hashable, Iterator, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Protocol, TypeVar


class Model(Protocol):
    def transitions(self: M) -> Iterator[tuple[str, M]]: ...

    def key(self) -> Hashable: ...


M = TypeVar("M", bound=Model)
Check = Callable[[M], str | None]  # returns the violation in this state, if any


@dataclass(slots=True)
class SearchResult:
    """Result of a search: `states` is the number of distinct states, including the start; `liveness_checked`
    the number of those for which the liveness check ran."""

    states: int = 1
    transitions: int = 0
    depth: int = 0
    liveness_checked: int = 0
    seconds: float = 0.0
    violation: str | None = None
    trace: list[str] = field(default_factory=list)

    def __str__(self) -> str:
        counts = (
            f"{self.states} states, {self.transitions} transitions, depth {self.depth}, "
            f"{self.liveness_checked} checked for liveness"
        )
        lines = [f"{counts}, {self.seconds:.1f} s"]
        if self.violation is not None:
            lines += [f"violation after {len(self.trace)} actions: {self.violation}"]
            lines += [f"  {number:2d} {action}" for number, action in enumerate(self.trace, 1)]
        return "\n".join(lines)


def explore(
    start: M,
    check: Check[M],
    depth: int,
    liveness_check: Check[M] | None = None,
    liveness_interval: int = 1,
    max_states: int = 2_000_000,
) -> SearchResult:
    """Explore all runs of up to `depth` actions from `start`.

    `liveness_check` runs for every `liveness_interval`-th new state: it continues the model without faults
    and returns what does not recover. Raises RuntimeError for more than `max_states` states, since an
    incomplete search shows nothing.
    """
    result, started = SearchResult(), time.perf_counter()
    first = hash(start.key())
    predecessors: dict[int, tuple[int, str] | None] = {first: None}
    frontier: list[tuple[int, M]] = [(first, start)]
    result.violation = check(start)
    while frontier and result.violation is None and result.depth < depth:
        result.depth += 1
        next_frontier: list[tuple[int, M]] = []
        for state_hash, model in frontier:
            for action, successor in model.transitions():
                result.transitions += 1
                key_hash = hash(successor.key())
                if key_hash in predecessors:
                    continue
                predecessors[key_hash] = (state_hash, action)
                result.violation = check(successor)
                if (
                    result.violation is None
                    and liveness_check is not None
                    and len(predecessors) % liveness_interval == 0
                ):
                    result.liveness_checked += 1
                    result.violation = liveness_check(successor)
                if result.violation is not None:
                    result.trace = _trace(predecessors, key_hash)
                    break
                next_frontier.append((key_hash, successor))
            if result.violation is not None:
                break
        if len(predecessors) > max_states:
            raise RuntimeError(f"more than {max_states} states at depth {result.depth}")
        frontier = next_frontier
    result.states, result.seconds = len(predecessors), time.perf_counter() - started
    return result


def walk(
    start: M, check: Check[M], seeds: Sequence[int], length: int, liveness_check: Check[M] | None = None
) -> SearchResult:
    """Make one random run of `length` actions per seed.

    The kind of action (the first word of its name) is drawn first, so that kinds with many variants do not
    crowd out the others. The trace of a violation is reduced to actions that it needs, but not to the
    shortest.
    """
    result, started = SearchResult(states=0, depth=length), time.perf_counter()
    seen: set[int] = set()
    for seed in seeds:
        rng, model, trace = Random(seed), start, list[str]()
        for _ in range(length):
            kinds: dict[str, list[tuple[str, M]]] = {}
            for action, successor in model.transitions():
                kinds.setdefault(action.split()[0], []).append((action, successor))
            if not kinds:
                break
            action, model = rng.choice(kinds[rng.choice(sorted(kinds))])
            trace.append(action)
            result.transitions += 1
            seen.add(hash(model.key()))
            result.violation = check(model)
            if result.violation is not None:
                result.trace = _shortened(start, check, trace)
                break
        if result.violation is None and liveness_check is not None:
            result.liveness_checked += 1
            result.violation = liveness_check(model)
            result.trace = trace if result.violation is not None else []
        if result.violation is not None:
            break
    result.states, result.seconds = len(seen), time.perf_counter() - started
    return result


def replay(start: M, trace: Sequence[str], check: Check[M]) -> str | None:
    """Return the first violation along these actions; None if there is none or an action is not enabled."""
    model = start
    for name in trace:
        successor = next((successor for action, successor in model.transitions() if action == name), None)
        if successor is None:
            return None
        model = successor
        violation = check(model)
        if violation is not None:
            return violation
    return None


def _shortened(start: M, check: Check[M], trace: list[str]) -> list[str]:
    """Remove each action, from the end, without which the trace still has a violation."""
    for index in reversed(range(len(trace))):
        shorter = trace[:index] + trace[index + 1 :]
        if replay(start, shorter, check) is not None:
            trace = shorter
    return trace


def _trace(predecessors: dict[int, tuple[int, str] | None], key_hash: int) -> list[str]:
    actions = []
    while (step := predecessors[key_hash]) is not None:
        key_hash, action = step
        actions.append(action)
    return actions[::-1]
