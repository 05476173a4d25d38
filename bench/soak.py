"""Soak test: a list service of three instances, two groups of node processes and their servers, under faults.

    python -m bench.soak --seed N [--seconds S] [--runs K]

Each run draws a schedule of overlapping faults from its seed:

- graceful shutdown of one or two nodes by SIGTERM, with SIGKILL as early as the protocol allows, while
  clients go on using their open connections;
- SIGHUP, standby and active;
- SIGKILL of nodes, instances and the agent, SIGSTOP of nodes and instances;
- partitions between nodes, in both directions or one, delays and connection resets;
- calls between a node and the agent that are blocked, delayed, or forwarded twice, and responses that are
  blocked or replaced by older ones.

In a third of the runs there are also many idle client connections.

The run checks that every accepted request has one response, no write is executed twice, the quotas of each
service sum to at most 1, and no two nodes follow different route versions. Within RECOVERY_LIMIT_S after the
last fault the fleet must be stable again. Each run prints one JSON line; a run that breaks a rule prints its
schedule too, and the same seed repeats the schedule.
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
KILL_AFTER_S = 3.7  # from SIGTERM to SIGKILL: request deadlines, which are capped at 3 s, plus 0.7 s
# Time for a lease to expire, for the electors to be unchanged for a lease term, and for processes to start.
RECOVERY_LIMIT_S = 4 * TTL_MS / 1_000.0 + 10.0
# The ratio of runs with idle clients, and their number per node, which is below a node's descriptor limit.
IDLE_CLIENTS_RATIO, IDLE_CLIENTS_PER_NODE = 1 / 3, 120
MIN_PAUSE_S, MAX_PAUSE_S = 0.1, 2.5
EXIT_RULE_BROKEN = 1


@dataclass(order=True)
class Step:
    """An action and its time in s from the start of the run."""

    at_s: float
    name: str
    act: Callable[[], object] = field(compare=False)


class FaultSchedule:
    """Draws a schedule of faults for a fleet and runs it."""

    def __init__(self, fleet: Fleet, rng: Random) -> None:
        self._fleet, self._rng = fleet, rng
        # By target (a node, a link, the instances, the agent): the end of its reservation, in s of the run.
        self._reserved_until: dict[str, float] = {}
        self.steps: list[Step] = []

    def plan(self, seconds: float) -> None:
        """Draw the faults that begin within this many seconds."""
        kinds = (
            self._shut_down, self._shut_down_two, self._reload, self._stand_by, self._kill, self._pause,
            self._kill_instance, self._pause_instance, self._restart_agent, self._partition,
            self._partition_one_way, self._delay, self._reset, self._cut_service, self._delay_service,
            self._block_responses, self._duplicate_renewals, self._give_older_responses,
        )  # fmt: skip
        at = 0.0
        while at < seconds:
            self._rng.choice(kinds)(at)
            at += self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
        self.steps.sort()

    def run(self) -> None:
        """Run the steps, each at its time."""
        start = time.monotonic()
        for step in self.steps:
            time.sleep(max(0.0, start + step.at_s - time.monotonic()))
            step.act()

    # ------------------------------------------------------------------ drawing

    def _reserve(self, target: str, at: float, until: float) -> bool:
        """Reserve the target from `at` to `until`; return False if another fault has it reserved at `at`."""
        if self._reserved_until.get(target, 0.0) > at:
            return False
        self._reserved_until[target] = until
        return True

    def _add(self, at: float, name: str, act: Callable[[], object]) -> None:
        self.steps.append(Step(at, name, act))

    def _draw_node(self) -> int:
        return self._rng.randrange(len(SERVICES))

    # ------------------------------------------------------------------ nodes

    def _shut_down(self, at: float, node: int | None = None) -> None:
        node = self._draw_node() if node is None else node
        down_s = self._rng.uniform(0.0, 2.0)
        if self._reserve(f"n{node}", at, at + KILL_AFTER_S + down_s + 1.0):
            self._add(at, f"SIGTERM n{node}", partial(self._terminate, node))
            self._add(
                at + KILL_AFTER_S, f"SIGKILL n{node} if it is running", partial(self._kill_if_running, node)
            )
            self._add(at + KILL_AFTER_S + down_s, f"start n{node}", partial(self._start, node))

    def _shut_down_two(self, at: float) -> None:
        for node in self._rng.sample(range(len(SERVICES)), 2):
            self._shut_down(at, node)
            at += self._rng.uniform(0.05, 1.0)

    def _reload(self, at: float) -> None:
        node = self._draw_node()
        if self._reserve(f"n{node}", at, at + 0.2):
            for number in range(self._rng.randint(1, 4)):
                self._add(at + 0.05 * number, f"SIGHUP n{node}", partial(self._signal, node, signal.SIGHUP))

    def _stand_by(self, at: float) -> None:
        node, until = self._draw_node(), at + self._rng.uniform(0.1, 4.0)
        if self._reserve(f"n{node}", at, until):
            self._add(at, f"standby n{node}", partial(self._call_operator_server, node, "/standby"))
            self._add(until, f"active n{node}", partial(self._call_operator_server, node, "/active"))

    def _kill(self, at: float) -> None:
        node, until = self._draw_node(), at + self._rng.uniform(0.1, 12.0)
        if self._reserve(f"n{node}", at, until + 1.0):
            self._add(at, f"SIGKILL n{node}", partial(self._fleet.kill, node))
            self._add(until, f"start n{node}", partial(self._start, node))

    def _pause(self, at: float) -> None:
        node, until = self._draw_node(), at + self._rng.choice((0.1, 0.5, 2.0, 5.0, 12.0))
        if self._reserve(f"n{node}", at, until):
            self._add(at, f"SIGSTOP n{node}", partial(self._signal, node, signal.SIGSTOP))
            self._add(until, f"SIGCONT n{node}", partial(self._signal, node, signal.SIGCONT))

    # ------------------------------------------------------------------ the list service

    def _kill_instance(self, at: float) -> None:
        index, until = self._rng.randrange(INSTANCES), at + self._rng.uniform(0.2, 6.0)
        if self._reserve("instances", at, until + 2.0):
            self._add(at, f"SIGKILL r{index}", partial(self._fleet.registry.kill, index))
            self._add(until, f"start r{index}", partial(self._fleet.registry.start, index))

    def _pause_instance(self, at: float) -> None:
        index, until = self._rng.randrange(INSTANCES), at + self._rng.uniform(0.1, 6.0)
        if self._reserve("instances", at, until):
            for moment, number in ((at, signal.SIGSTOP), (until, signal.SIGCONT)):
                action = partial(self._fleet.registry.kill, index, number)
                self._add(moment, f"{number.name} r{index}", action)

    def _restart_agent(self, at: float) -> None:
        until = at + self._rng.uniform(0.1, 4.0)
        if self._reserve("agent", at, until + 1.0):
            self._add(at, "SIGKILL agent", lambda: self._fleet.agent.stop())
            self._add(until, "start agent", self._start_agent)

    def _start_agent(self) -> None:
        self._fleet.agent = self._fleet.registry.agent(self._fleet.agent.port)

    # ------------------------------------------------------------------ links

    def _add_link_fault(self, at: float, name: str, act: Callable[[int, int], object]) -> None:
        """Add a fault of the link between two nodes; only one at a time, because healing heals all links."""
        nodes = tuple(self._rng.sample(range(len(SERVICES)), 2))
        until = at + self._rng.uniform(0.2, 10.0)
        if self._reserve("links", at, until):
            self._add(at, f"{name} n{nodes[0]} n{nodes[1]}", partial(act, *nodes))
            self._add(until, "heal links", self._fleet.net.heal)

    def _partition(self, at: float) -> None:
        self._add_link_fault(at, "partition", self._fleet.net.partition)

    def _partition_one_way(self, at: float) -> None:
        self._add_link_fault(at, "partition one way", self._fleet.net.partition_one_way)

    def _delay(self, at: float) -> None:
        ms = self._rng.uniform(5.0, 400.0)
        self._add_link_fault(at, f"delay {ms:.0f} ms", lambda a, b: self._fleet.net.delay(a, b, ms, ms / 2))

    def _reset(self, at: float) -> None:
        self._add_link_fault(at, "reset", self._fleet.net.reset)

    def _add_agent_link_fault(
        self, at: float, name: str, max_duration_s: float, act: Callable[[int], object]
    ) -> None:
        """Add a fault of the link between a node and the agent."""
        node, until = self._draw_node(), at + self._rng.uniform(0.2, max_duration_s)
        if self._reserve(f"p{node}", at, until):
            self._add(at, f"{name} n{node} agent", partial(act, node))
            self._add(until, f"heal n{node} agent", self._fleet.agent_proxies[node].heal)

    def _cut_service(self, at: float) -> None:
        self._add_agent_link_fault(
            at, "partition", 12.0, lambda node: self._fleet.agent_proxies[node].partition()
        )

    def _delay_service(self, at: float) -> None:
        to_agent, to_node = self._rng.uniform(0.0, 1_500.0), self._rng.uniform(0.0, 1_500.0)
        name = f"delay {to_agent:.0f} and {to_node:.0f} ms"
        self._add_agent_link_fault(
            at, name, 10.0, lambda node: self._fleet.agent_proxies[node].delay(to_agent, to_node)
        )

    def _block_responses(self, at: float) -> None:
        act = lambda node: self._fleet.agent_proxies[node].hold("renew", responses=True)  # noqa: E731
        self._add_agent_link_fault(at, "block responses", 6.0, act)

    def _duplicate_renewals(self, at: float) -> None:
        self._add_agent_link_fault(
            at, "duplicate renewals", 10.0, lambda node: self._fleet.agent_proxies[node].duplicate_renewals(3)
        )

    def _give_older_responses(self, at: float) -> None:
        self._add_agent_link_fault(
            at,
            "older responses",
            15.0,
            lambda node: self._fleet.agent_proxies[node].replay_older_responses(2),
        )

    # ------------------------------------------------------------------ actions

    def _is_running(self, node: int) -> bool:
        process = self._fleet.nodes[node].process
        return process is not None and process.poll() is None

    def _signal(self, node: int, number: int) -> None:
        if self._is_running(node):
            self._fleet.nodes[node].send(number)

    def _call_operator_server(self, node: int, target: str) -> None:
        with contextlib.suppress(OSError):
            self._fleet.nodes[node].call_admin(target, "PUT")

    def _terminate(self, node: int) -> None:
        self._fleet._outages[node].append(Outage(time.monotonic(), drained=True))
        self._signal(node, signal.SIGTERM)

    def _kill_if_running(self, node: int) -> None:
        if self._is_running(node):
            self._fleet._outages[node].append(Outage(time.monotonic(), drained=False))
            self._fleet.nodes[node].kill()

    def _start(self, node: int) -> None:
        self._fleet.start(node)
        for outage in self._fleet._outages[node]:
            outage.end_s = min(outage.end_s, time.monotonic())


@contextlib.contextmanager
def idle_clients(fleet: Fleet, count: int) -> Iterator[None]:
    """Keep `count` idle connections open at each node; those that a node closes aren't opened again."""
    with contextlib.ExitStack() as stack:
        for node in fleet.nodes:
            for _ in range(count):
                with contextlib.suppress(OSError):
                    stack.enter_context(socket.create_connection(("127.0.0.1", node.port), timeout=1.0))
        yield


def lost_requests(fleet: Fleet) -> dict[str, Outcome]:
    """Return the requests that a node forwarded to a server but for which the client got no response.

    Checked are the requests whose connection had been used before and was closed before the response came.
    Requests to a node that was killed meanwhile are left out.
    """
    outages = {node.port: fleet._outages[at] for at, node in enumerate(fleet.nodes)}
    crossed = {name: outcome for load in fleet.loads for name, outcome in load.crossed.items()}
    # Outages by SIGTERM (`drained`) excuse no loss: a draining node responds to all requests it has accepted.
    return {
        name: outcome
        for name, outcome in crossed.items()
        if name in fleet.pool.servers_reached
        and not any(outage.excuses(outcome) for outage in outages[outcome.port] if not outage.drained)
    }


def soak(seed: int, seconds: float, folder: Path) -> dict[str, object]:
    """Run the test once and return its result; `broken` states the broken rule or the error, if any."""
    rng = Random(seed)
    fleet = Fleet(folder, len(SERVICES), SERVICES, load=KeepAliveLoad)
    schedule = FaultSchedule(fleet, rng)
    clients = IDLE_CLIENTS_PER_NODE if rng.random() < IDLE_CLIENTS_RATIO else 0
    schedule.plan(seconds)
    result: dict[str, object] = {
        "seed": seed,
        "seconds": seconds,
        "steps": len(schedule.steps),
        "crowd": clients,
    }
    try:
        with fleet.under_load():
            with idle_clients(fleet, clients):
                schedule.run()
            ended = time.monotonic()
            fleet.wait_until_stable()
            recovered_s = time.monotonic() - ended
        assert not (lost := lost_requests(fleet)), (
            f"requests that a node forwarded, without a response: {lost}"
        )
        result |= {
            "recovered_s": round(recovered_s, 1),
            "requests": sum(len(load.outcomes) for load in fleet.loads),
        }
        assert recovered_s <= RECOVERY_LIMIT_S, f"stable {recovered_s:.1f} s after the last fault"
    except AssertionError as error:
        return result | {
            "broken": str(error)[:2_000],
            "schedule": [(step.at_s, step.name) for step in schedule.steps],
        }
    except Exception:
        return result | {
            "broken": traceback.format_exc(),
            "schedule": [(step.at_s, step.name) for step in schedule.steps],
        }
    finally:
        for node in fleet.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
        fleet.close()
    return result


def main() -> int:
    """Run the test with consecutive seeds; return 0 if no rule was broken, else 1."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--runs", type=int, default=1, help="number of runs, with consecutive seeds")
    parser.add_argument("--keep", type=Path, help="folder in which the logs are retained")
    arguments = parser.parse_args()
    broken = 0
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(temporary) if arguments.keep is None else arguments.keep / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            start = time.monotonic()
            result = soak(seed, arguments.seconds, folder)
            load = round(os.getloadavg()[0], 1)
            print(
                json.dumps(result | {"took_s": round(time.monotonic() - start, 1), "load": load}),
                flush=True,
            )
            broken += "broken" in result
    return EXIT_RULE_BROKEN if broken else 0


if __name__ == "__main__":
    sys.exit(main())
