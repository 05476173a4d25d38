"""Search through all orders of a world's moves, breadth first: the first break has the shortest trace.

A world is a small value that is never changed once it is out: `moves` yields the name of each move that is
possible and the world it leads to. Worlds of the same `key` count as the same state and are gone on from
once; of a key only its 64-bit hash is kept (among a million states two share one by chance with odds of 1 in
10^7, and then one of them is not gone on from).

What a search shows: no run of at most `depth` moves breaks the invariant, within the bounds that the world
itself states. `walk` goes deeper along random runs from a seed; it samples and shows nothing about the rest.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Hashable, Iterator, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Protocol, TypeVar


class World(Protocol):
    def moves(self: W) -> Iterator[tuple[str, W]]: ...

    def key(self) -> Hashable: ...


W = TypeVar("W", bound=World)
Check = Callable[[W], str | None]  # what is broken in this state, if anything


@dataclass(slots=True)
class Found:
    """What a search came to. `states` are distinct ones, the start included; `probed` of them were asked
    whether they come to a good end."""

    states: int = 1
    transitions: int = 0
    depth: int = 0
    probed: int = 0
    seconds: float = 0.0
    broken: str | None = None
    trace: list[str] = field(default_factory=list)

    def __str__(self) -> str:
        counts = (
            f"{self.states} states, {self.transitions} transitions, depth {self.depth}, {self.probed} probed"
        )
        said = [f"{counts}, {self.seconds:.1f} s"]
        if self.broken is not None:
            said += [f"broken after {len(self.trace)} moves: {self.broken}"]
            said += [f"  {at:2d} {move}" for at, move in enumerate(self.trace, 1)]
        return "\n".join(said)


def explore(
    start: W,
    check: Check[W],
    depth: int,
    probe: Check[W] | None = None,
    every: int = 1,
    most: int = 2_000_000,
) -> Found:
    """All runs of up to `depth` moves from `start`. `probe`, asked of each `every`-th new state, runs the
    world on without faults and says what does not come to a good end. More than `most` states is a
    RuntimeError: a search that was cut short shows nothing."""
    found, began = Found(), time.perf_counter()
    first = hash(start.key())
    came: dict[int, tuple[int, str] | None] = {first: None}
    frontier: list[tuple[int, W]] = [(first, start)]
    found.broken = check(start)
    while frontier and found.broken is None and found.depth < depth:
        found.depth += 1
        following: list[tuple[int, W]] = []
        for number, world in frontier:
            for move, after in world.moves():
                found.transitions += 1
                reached = hash(after.key())
                if reached in came:
                    continue
                came[reached] = (number, move)
                found.broken = check(after)
                if found.broken is None and probe is not None and len(came) % every == 0:
                    found.probed += 1
                    found.broken = probe(after)
                if found.broken is not None:
                    found.trace = _trace(came, reached)
                    break
                following.append((reached, after))
            if found.broken is not None:
                break
        if len(came) > most:
            raise RuntimeError(f"more than {most} states at depth {found.depth}")
        frontier = following
    found.states, found.seconds = len(came), time.perf_counter() - began
    return found


def walk(
    start: W, check: Check[W], seeds: Sequence[int], length: int, probe: Check[W] | None = None
) -> Found:
    """One random run of `length` moves for each seed. A move is drawn by its kind (the first word of its
    name) first, so that kinds with many variants do not crowd out the others. A break's trace is cut down to
    moves it needs, though not to the shortest."""
    found, began = Found(states=0, depth=length), time.perf_counter()
    seen: set[int] = set()
    for seed in seeds:
        rng, world, trace = Random(seed), start, list[str]()
        for _ in range(length):
            kinds: dict[str, list[tuple[str, W]]] = {}
            for move, after in world.moves():
                kinds.setdefault(move.split()[0], []).append((move, after))
            if not kinds:
                break
            move, world = rng.choice(kinds[rng.choice(sorted(kinds))])
            trace.append(move)
            found.transitions += 1
            seen.add(hash(world.key()))
            found.broken = check(world)
            if found.broken is not None:
                found.trace = _shorter(start, check, trace)
                break
        if found.broken is None and probe is not None:
            found.probed += 1
            found.broken = probe(world)
            found.trace = trace if found.broken is not None else []
        if found.broken is not None:
            break
    found.states, found.seconds = len(seen), time.perf_counter() - began
    return found


def replay(start: W, trace: Sequence[str], check: Check[W]) -> str | None:
    """What breaks first along these moves; None where nothing does or one of them is not possible."""
    world = start
    for name in trace:
        after = next((after for move, after in world.moves() if move == name), None)
        if after is None:
            return None
        world = after
        broken = check(world)
        if broken is not None:
            return broken
    return None


def _shorter(start: W, check: Check[W], trace: list[str]) -> list[str]:
    """The trace without moves that it breaks without, each tried from the end."""
    for at in reversed(range(len(trace))):
        shorter = trace[:at] + trace[at + 1 :]
        if replay(start, shorter, check) is not None:
            trace = shorter
    return trace


def _trace(came: dict[int, tuple[int, str] | None], reached: int) -> list[str]:
    moves = []
    while (step := came[reached]) is not None:
        reached, move = step
        moves.append(move)
    return moves[::-1]
