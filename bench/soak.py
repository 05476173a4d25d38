"""A list service of three, two groups of real nodes and their servers under a seeded schedule of faults.

    python -m bench.soak --seed N [--seconds S] [--runs K]

Each run draws faults from its seed, one after another and overlapping: nodes told to end (killed at the
protocol's earliest, while their callers go on using open connections), in series too; SIGHUP, standby and
active; SIGKILL and SIGSTOP of nodes, instances and the agent; links parted, one way too, late, reset; calls
lost, answers held, repeated, or older ones in place of newer. One run in three has a crowd of idle callers.

Throughout, every request that was taken has one answer, no write is executed twice, each service's quotas sum
to at most 1, and no two nodes follow different route versions. After the last fault the whole is true again
within RECOVERY_LIMIT_S. One JSON line a run; a run that broke a rule prints its schedule, and the same
command plays it again.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import traceback
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random

from tests.support.keep_alive_load import KeepAliveLoad
from tests.support.load import Outcome
from tests.support.node_fleet import TTL_MS, Fleet, Outage

SERVICES = ("pay", "pay", "find", "find")
INSTANCES = 3
KILL_AFTER_S = 3.7  # from SIGTERM to SIGKILL: the longest deadline counts as 3 s at most, plus 0.7 s
RECOVERY_LIMIT_S = 4 * TTL_MS / 1_000.0 + 10.0  # a lease, an electorate for a term, and processes that start
CROWD_PART, CROWD_PER_NODE = 1 / 3, 120  # under what a node's descriptors hold
MIN_PAUSE_S, MAX_PAUSE_S = 0.1, 2.5
EXIT_BROKEN = 1


@dataclass(order=True)
class Step:
    """Something that is done at a time of the run (s)."""

    at_s: float
    name: str
    act: Callable[[], object] = field(compare=False)


class Soak:
    """A fleet and what befalls it."""

    def __init__(self, fleet: Fleet, rng: Random) -> None:
        self._fleet, self._rng = fleet, rng
        self._busy_until: dict[str, float] = {}  # s of the run, by what a fault befalls
        self.steps: list[Step] = []

    def plan(self, seconds: float) -> None:
        """Draw the faults of so many seconds."""
        kinds = (
            self._end, self._end_in_series, self._reload, self._stand_by, self._kill, self._freeze,
            self._kill_instance, self._freeze_instance, self._restart_agent, self._part, self._part_one_way,
            self._delay, self._reset, self._cut_service, self._delay_service, self._hold_answers,
            self._repeat, self._older,
        )  # fmt: skip
        at = 0.0
        while at < seconds:
            self._rng.choice(kinds)(at)
            at += self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
        self.steps.sort()

    def play(self) -> None:
        """Do what was planned, each step at its time."""
        start = time.monotonic()
        for step in self.steps:
            time.sleep(max(0.0, start + step.at_s - time.monotonic()))
            step.act()

    # ------------------------------------------------------------------ drawing

    def _is_free(self, what: str, at: float, until: float) -> bool:
        """Whether nothing befalls this now; it is taken until then."""
        if self._busy_until.get(what, 0.0) > at:
            return False
        self._busy_until[what] = until
        return True

    def _add(self, at: float, name: str, act: Callable[[], object]) -> None:
        self.steps.append(Step(at, name, act))

    def _node(self) -> int:
        return self._rng.randrange(len(SERVICES))

    # ------------------------------------------------------------------ nodes

    def _end(self, at: float, node: int | None = None) -> None:
        node = self._node() if node is None else node
        down_s = self._rng.uniform(0.0, 2.0)
        if self._is_free(f"n{node}", at, at + KILL_AFTER_S + down_s + 1.0):
            self._add(at, f"SIGTERM n{node}", partial(self._terminate, node))
            self._add(at + KILL_AFTER_S, f"SIGKILL n{node} if it is there", partial(self._kill_rest, node))
            self._add(at + KILL_AFTER_S + down_s, f"start n{node}", partial(self._start, node))

    def _end_in_series(self, at: float) -> None:
        for node in self._rng.sample(range(len(SERVICES)), 2):
            self._end(at, node)
            at += self._rng.uniform(0.05, 1.0)

    def _reload(self, at: float) -> None:
        node = self._node()
        if self._is_free(f"n{node}", at, at + 0.2):
            for number in range(self._rng.randint(1, 4)):
                self._add(at + 0.05 * number, f"SIGHUP n{node}", partial(self._signal, node, signal.SIGHUP))

    def _stand_by(self, at: float) -> None:
        node, until = self._node(), at + self._rng.uniform(0.1, 4.0)
        if self._is_free(f"n{node}", at, until):
            self._add(at, f"standby n{node}", partial(self._door, node, "/standby"))
            self._add(until, f"active n{node}", partial(self._door, node, "/active"))

    def _kill(self, at: float) -> None:
        node, until = self._node(), at + self._rng.uniform(0.1, 12.0)
        if self._is_free(f"n{node}", at, until + 1.0):
            self._add(at, f"SIGKILL n{node}", partial(self._fleet.kill, node))
            self._add(until, f"start n{node}", partial(self._start, node))

    def _freeze(self, at: float) -> None:
        node, until = self._node(), at + self._rng.choice((0.1, 0.5, 2.0, 5.0, 12.0))
        if self._is_free(f"n{node}", at, until):
            self._add(at, f"SIGSTOP n{node}", partial(self._signal, node, signal.SIGSTOP))
            self._add(until, f"SIGCONT n{node}", partial(self._signal, node, signal.SIGCONT))

    # ------------------------------------------------------------------ the list service

    def _kill_instance(self, at: float) -> None:
        index, until = self._rng.randrange(INSTANCES), at + self._rng.uniform(0.2, 6.0)
        if self._is_free("instances", at, until + 2.0):
            self._add(at, f"SIGKILL r{index}", partial(self._fleet.registry.kill, index))
            self._add(until, f"start r{index}", partial(self._fleet.registry.start, index))

    def _freeze_instance(self, at: float) -> None:
        index, until = self._rng.randrange(INSTANCES), at + self._rng.uniform(0.1, 6.0)
        if self._is_free("instances", at, until):
            for moment, number in ((at, signal.SIGSTOP), (until, signal.SIGCONT)):
                act = partial(self._fleet.registry.kill, index, number)
                self._add(moment, f"{number.name} r{index}", act)

    def _restart_agent(self, at: float) -> None:
        until = at + self._rng.uniform(0.1, 4.0)
        if self._is_free("agent", at, until + 1.0):
            self._add(at, "SIGKILL agent", lambda: self._fleet.agent.stop())
            self._add(until, "start agent", self._start_agent)

    def _start_agent(self) -> None:
        self._fleet.agent = self._fleet.registry.agent(self._fleet.agent.port)

    # ------------------------------------------------------------------ links

    def _link(self, at: float, name: str, act: Callable[[int, int], object]) -> None:
        """Between two nodes, until the links are healed, all at once."""
        ones = tuple(self._rng.sample(range(len(SERVICES)), 2))
        until = at + self._rng.uniform(0.2, 10.0)
        if self._is_free("links", at, until):
            self._add(at, f"{name} n{ones[0]} n{ones[1]}", partial(act, *ones))
            self._add(until, "heal links", self._fleet.net.heal)

    def _part(self, at: float) -> None:
        self._link(at, "part", self._fleet.net.cut)

    def _part_one_way(self, at: float) -> None:
        self._link(at, "part one way", self._fleet.net.cut_one_way)

    def _delay(self, at: float) -> None:
        ms = self._rng.uniform(5.0, 400.0)
        self._link(at, f"delay {ms:.0f} ms", lambda a, b: self._fleet.net.delay(a, b, ms, ms / 2))

    def _reset(self, at: float) -> None:
        self._link(at, "reset", self._fleet.net.reset)

    def _post(self, at: float, name: str, longest_s: float, act: Callable[[int], object]) -> None:
        """Between a node and the agent, until it is healed."""
        node, until = self._node(), at + self._rng.uniform(0.2, longest_s)
        if self._is_free(f"p{node}", at, until):
            self._add(at, f"{name} n{node} agent", partial(act, node))
            self._add(until, f"heal n{node} agent", self._fleet.posts[node].heal)

    def _cut_service(self, at: float) -> None:
        self._post(at, "part", 12.0, lambda node: self._fleet.posts[node].cut())

    def _delay_service(self, at: float) -> None:
        there, back = self._rng.uniform(0.0, 1_500.0), self._rng.uniform(0.0, 1_500.0)
        name = f"delay {there:.0f} and {back:.0f} ms"
        self._post(at, name, 10.0, lambda node: self._fleet.posts[node].delay(there, back))

    def _hold_answers(self, at: float) -> None:
        act = lambda node: self._fleet.posts[node].hold("renew", answers=True)  # noqa: E731
        self._post(at, "hold answers", 6.0, act)

    def _repeat(self, at: float) -> None:
        self._post(at, "repeat renewals", 10.0, lambda node: self._fleet.posts[node].repeat(3))

    def _older(self, at: float) -> None:
        self._post(at, "older answers", 15.0, lambda node: self._fleet.posts[node].give_older(2))

    # ------------------------------------------------------------------ acts

    def _is_running(self, node: int) -> bool:
        process = self._fleet.nodes[node].process
        return process is not None and process.poll() is None

    def _signal(self, node: int, number: int) -> None:
        if self._is_running(node):
            self._fleet.nodes[node].send(number)

    def _door(self, node: int, target: str) -> None:
        with contextlib.suppress(OSError):
            self._fleet.nodes[node].call_admin(target, "PUT")

    def _terminate(self, node: int) -> None:
        self._fleet._outages[node].append(Outage(time.monotonic(), drained=True))
        self._signal(node, signal.SIGTERM)

    def _kill_rest(self, node: int) -> None:
        if self._is_running(node):
            self._fleet._outages[node].append(Outage(time.monotonic(), drained=False))
            self._fleet.nodes[node].kill()

    def _start(self, node: int) -> None:
        self._fleet.start(node)
        for outage in self._fleet._outages[node]:
            outage.end_s = min(outage.end_s, time.monotonic())


@contextlib.contextmanager
def crowd(fleet: Fleet, size: int) -> Iterator[None]:
    """So many idle callers at each node, which come again when their connection is closed."""
    with contextlib.ExitStack() as stack:
        for node in fleet.nodes:
            for _ in range(size):
                with contextlib.suppress(OSError):
                    stack.enter_context(socket.create_connection(("127.0.0.1", node.port), timeout=1.0))
        yield


def read_and_unanswered(fleet: Fleet) -> dict[str, Outcome]:
    """Requests that a node had read and whose connection ended without an answer; not of killed nodes."""
    down = {node.port: fleet._outages[at] for at, node in enumerate(fleet.nodes)}
    crossed = {name: outcome for load in fleet.loads for name, outcome in load.crossed.items()}
    return {
        name: outcome
        for name, outcome in crossed.items()
        if name in fleet.pool.servers_reached
        and not any(span.excuses(outcome) for span in down[outcome.port] if not span.drained)
    }


def soak(seed: int, seconds: float, folder: Path) -> dict[str, object]:
    """Play a run and return its figures; AssertionError where a rule was broken."""
    rng = Random(seed)
    fleet = Fleet(folder, len(SERVICES), SERVICES, load=KeepAliveLoad)
    run = Soak(fleet, rng)
    size = CROWD_PER_NODE if rng.random() < CROWD_PART else 0
    run.plan(seconds)
    row: dict[str, object] = {"seed": seed, "seconds": seconds, "steps": len(run.steps), "crowd": size}
    try:
        with fleet.under_load():
            with crowd(fleet, size):
                run.play()
            ended = time.monotonic()
            fleet.wait_until_stable()
            recovered_s = time.monotonic() - ended
        assert not (lost := read_and_unanswered(fleet)), f"read and not answered: {lost}"
        row |= {"recovered_s": round(recovered_s, 1), "requests": sum(len(x.outcomes) for x in fleet.loads)}
        assert recovered_s <= RECOVERY_LIMIT_S, f"stable {recovered_s:.1f} s after the last fault"
    except AssertionError as error:
        return row | {"broken": str(error)[:2_000], "schedule": [(s.at_s, s.name) for s in run.steps]}
    except Exception:
        return row | {"broken": traceback.format_exc(), "schedule": [(s.at_s, s.name) for s in run.steps]}
    finally:
        for node in fleet.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
        fleet.close()
    return row


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--runs", type=int, default=1, help="with seeds that follow")
    parser.add_argument("--keep", type=Path, help="a folder for the logs")
    asked = parser.parse_args()
    broken = 0
    for seed in range(asked.seed, asked.seed + asked.runs):
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(temporary) if asked.keep is None else asked.keep / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            began = time.monotonic()
            row = soak(seed, asked.seconds, folder)
            load = round(os.getloadavg()[0], 1)
            print(json.dumps(row | {"took_s": round(time.monotonic() - began, 1), "load": load}), flush=True)
            broken += "broken" in row
    return EXIT_BROKEN if broken else 0


if __name__ == "__main__":
    sys.exit(main())
