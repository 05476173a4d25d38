"""A fleet of node processes that know each other: every call between two of them, and between each and the
list service, passes a relay that injects faults; servers behind them, load through them."""

from __future__ import annotations

import math
import signal
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from itertools import count
from pathlib import Path
from typing import Any

from tests.support.faults import LoopThread, Net, Post
from tests.support.invariant_sampler import Status, StatusSampler, quota_violations, version_conflicts
from tests.support.load import Load, Outcome
from tests.support.node_processes import Node
from tests.support.ports import free_port
from tests.support.registry_processes import Registry, ask, until
from tests.support.stub_servers import StubServerPool

WAIT_LIMIT_S = 120.0  # of every wait: the machine may be slow
# Leases, elections and the preparing of a version end by the real clock, and on a busy machine a process may
# get no CPU for two seconds. Each term is so long that only the faults a test injects end one.
TTL_MS, BOUND_MS = 8_000, 250
ELECTION_MS = {"election_min_ms": 1_000, "election_max_ms": 1_500}
PREPARE_MS = int(WAIT_LIMIT_S * 1000.0)
PROBE_PERIOD_MS = 100.0  # a statement reaches every sibling in a small part of the lease term
CLOCKS_MS = (0.0, 2_000.0, -2_000.0, 0.0, 900.0)  # of nodes; and of instances:
SERVICE_CLOCKS_MS = (0, 2_000, -2_000)
SEND_MARGIN_S = 0.2  # a worker's thread may be delayed between reading its clock and connecting
MODELS = ("m1", "m2")  # of servers s0 and s1


@dataclass(slots=True)
class Outage:
    """From a node's SIGKILL or SIGTERM to its next start, on the monotonic clock."""

    start_s: float
    drained: bool
    end_s: float = math.inf

    def excuses(self, outcome: Outcome) -> bool:
        """Whether a request may be unanswered.

        A draining node answers all that it has accepted: of its requests only one that was sent, or about to
        be, after the node was signalled.
        """
        since = outcome.sent_s + (SEND_MARGIN_S if self.drained else outcome.duration_s)
        return outcome.status == 0 and self.start_s < since and outcome.sent_s < self.end_s


class Fleet:
    """Nodes n0 to n4 and three instances of the list service, with clocks 2 s apart."""

    def __init__(
        self, folder: Path, size: int = 5, services: Sequence[str] = (), load: type[Load] = Load
    ) -> None:
        """`services`: the one that each node names; none: all are one group. `load`: its callers."""
        self.size, self._texts, self._load = size, count(1), load
        self.services = list(services) or [""] * size
        self.registry = Registry(folder, ttl_ms=600_000, members=self._instance, raft=ELECTION_MS)
        self.agent = self.registry.agent()
        self.pool = StubServerPool(2, latency_ms=2.0)
        for at, model in enumerate(MODELS):
            self.registry.put(f"s{at}", self.pool.port(at), az="a", model=model)
        self._listens = [free_port() for _ in range(size)]
        self.net = Net([("127.0.0.1", port) for port in self._listens], seed=folder.name)
        self._loops = LoopThread()
        self.posts = [self._post(at) for at in range(size)]
        self.nodes = [self._node(folder, at) for at in range(size)]
        self._outages: dict[int, list[Outage]] = {at: [] for at in range(size)}
        for node in self.nodes:
            node.launch()

    def _post(self, at: int) -> Post:
        relayed = {
            f"127.0.0.1:{port}": "{}:{}".format(*self.net.address(at, other))
            for other, port in enumerate(self._listens)
            if other != at
        }
        return Post(("127.0.0.1", self.agent.port), lambda told: relayed.get(told, told), self._loops)

    def _node(self, folder: Path, at: int) -> Node:
        members = {
            "listen": f"127.0.0.1:{self._listens[at]}",
            "routes": str(folder / f"routes-{at}"),
            "clock_offset_ms": CLOCKS_MS[at],
            "ask_every_ms": PROBE_PERIOD_MS,
            "service": self.services[at],
        }
        settings = {"registryMode": "push"}
        return Node(folder, [], self.posts[at].port, name=f"n{at}", settings=settings, members=members)

    def _instance(self, index: int) -> dict[str, int | str]:
        groups = "true" if any(self.services) else "false"
        return {
            "ttl_ms": TTL_MS,
            "clock_bound_ms": BOUND_MS,
            "prepare_ms": PREPARE_MS,
            "clock_offset_ms": SERVICE_CLOCKS_MS[index],
            "groups": groups,
        }

    # ------------------------------------------------------------------ status

    def groups(self) -> list[list[int]]:
        """The nodes of each service."""
        return [
            [at for at in range(self.size) if self.services[at] == service]
            for service in sorted(set(self.services))
        ]

    def status(self, at: int) -> Status:
        """A node's GET /status/members; OSError where it does not answer."""
        status, found = self.nodes[at].call_admin("/status/members")
        if status != 200:
            raise OSError(f"the door of n{at} answered {status}")
        return found  # type: ignore[no-any-return]

    def service(self, method: str, path: str, body: bytes | dict[str, Any] | None = None) -> tuple[int, Any]:
        """A call under /fleet/ through the agent, repeated while it answers 503."""

        def said() -> tuple[int, Any] | None:
            status, _, answer = ask(self.agent.port, method, f"/fleet/{path}", body, timeout=5.0)
            return None if status == 503 else (status, answer)

        return until(said, WAIT_LIMIT_S, f"{method} {path} done")  # type: ignore[no-any-return]

    def members_port(self, at: int) -> int:
        """Where siblings call this node, past the relays."""
        return self._listens[at]

    def routes(self) -> dict[str, Any]:
        return self.service("GET", "routes")[1]  # type: ignore[no-any-return]

    def phase(self, number: int) -> str:
        return {row["number"]: row["phase"] for row in self.routes()["history"]}[number]

    def wait_until_all(self, what: str, check: Any, *chosen: int) -> None:
        """Wait until check(status) holds at the chosen nodes, or at all, in one round of reads."""
        nodes = chosen or tuple(range(self.size))
        seen: list[Status] = []

        def hold() -> bool:
            seen[:] = [self.status(at) for at in nodes]
            return all(check(status) for status in seen)

        try:
            until(hold, WAIT_LIMIT_S, what)
        except AssertionError as error:
            raise AssertionError(f"{what}: {error}; {[_brief(status) for status in seen]}") from error

    def wait_until_shared(self, *takers: int) -> None:
        """Wait until exactly these are enrolled and each has an equal quota."""
        part = 1.0 / len(takers)
        self.wait_until_all(
            f"a share of {part:.3f} at {takers}",
            lambda status: status["rows"] == len(takers) and abs(status["share"] - part) < 1e-6,
            *takers,
        )

    def wait_until_stable(self) -> None:
        """Restart and heal all; wait until members are present, quotas equal and routes settled."""
        for post in self.posts:
            post.heal()
        self.net.heal()
        for index in range(3):
            if self.registry.processes[index] is None:
                self.registry.start(index)
        for at, node in enumerate(self.nodes):
            if node.process is None or node.process.poll() is not None:
                self.start(at)
        in_force = until(
            lambda: (told := self.routes())["pending"] is None and [told], WAIT_LIMIT_S, "routes settled"
        )

        def calm(status: Status) -> bool:
            heard = {row["verdict"] for row in status["siblings"]} <= {"present"}
            following = self.following(in_force[0]["in_force"]["number"])(status)
            others = self.services.count(status["service"]) - 1
            return heard and following and len(status["siblings"]) == others

        self.wait_until_all("calm", calm)
        for group in self.groups():
            self.wait_until_shared(*group)

    @staticmethod
    def following(number: int) -> Any:
        """A check for `wait_until_all`: the node follows this version."""
        return lambda status: (
            (status["routes"]["stand"], status["routes"]["version"]) == ("following", number)
        )

    # ------------------------------------------------------------------ faults

    def kill(self, at: int) -> None:
        self._outages[at].append(Outage(time.monotonic(), drained=False))
        self.nodes[at].kill()

    def start(self, at: int) -> None:
        self.nodes[at].start()
        if self._outages[at] and self._outages[at][-1].end_s == math.inf:
            self._outages[at][-1].end_s = time.monotonic()

    def terminate(self, at: int) -> None:
        """End a node as the platform does: it drains and leaves."""
        self._outages[at].append(Outage(time.monotonic(), drained=True))
        self.nodes[at].stop()

    def freeze(self, at: int) -> None:
        self.nodes[at].send(signal.SIGSTOP)

    def thaw(self, at: int) -> None:
        self.nodes[at].send(signal.SIGCONT)

    def cut_service(self, *chosen: int) -> None:
        for at in chosen:
            self.posts[at].cut()

    # ------------------------------------------------------------------ routes

    def table(self, weights: Sequence[float] = (1.0, 1.0)) -> bytes:
        """A text like no other so far: reads go to the models by these weights, all else as ever."""
        groups = "".join(
            f'[[class.read.group]]\nmodel = "{model}"\nweight = {weight}\n'
            for model, weight in zip(MODELS, weights, strict=True)
            if weight
        )
        return f"{groups}# {next(self._texts)}\n".encode()

    def propose(self, weights: Sequence[float] = (1.0, 1.0)) -> int:
        """Once every node may vote yes: after a change of leaders each has to learn service time anew."""
        self.wait_until_all("service time known closely", _knows_service_time)
        status, told = self.service("PUT", "routes", self.table(weights))
        assert status == 200, told
        return int(told["number"])

    # ------------------------------------------------------------------ under load

    @contextmanager
    def under_load(self) -> Iterator[StatusSampler]:
        """Run load through all nodes and sample them until the fleet is stable again.

        Then check both invariants, every answer, and that no write was executed twice. Only a killed node may
        leave a request unanswered.
        """
        self.wait_until_stable()
        prefix = f"w{time.monotonic_ns()}-"
        loads = [
            self._load(
                [node.port for node in self.nodes], f"{prefix}{kind}", workers, kind, 0.04, timeout_s=30.0
            )
            for kind, workers in (("read", 4), ("post", 2))
        ]
        self.loads = loads
        sampler = StatusSampler(self.size, self.status)
        try:
            self._wait_until_servers_seen()
            yield sampler
            self.wait_until_stable()
            self._wait_until_each_answers(loads)
        finally:
            sampler.stop()
            for load in loads:
                load.finish()
        assert min(map(len, sampler.samples)) > 5, [len(samples) for samples in sampler.samples]
        self._check_quotas(sampler)
        assert not (broken := version_conflicts(sampler.samples, BOUND_MS / 1000.0)), broken[:3]
        self._check_load(loads, prefix)

    def _check_quotas(self, sampler: StatusSampler) -> None:
        """For each service, whichever its nodes were; nodes that name none count in every service."""
        named = {sample.status["service"] for samples in sampler.samples for sample in samples}
        for service in sorted(named):
            nodes = [
                [sample for sample in samples if sample.status["service"] in ("", service)]
                for samples in sampler.samples
            ]
            assert not (broken := quota_violations(nodes)), (service, broken[:3])

    def _wait_until_servers_seen(self) -> None:
        """Wait until every node has observed every server, without which it votes no."""

        def seen() -> bool:
            pages = [node.call_admin("/status/routes")[1]["edges"] for node in self.nodes]
            marks = [edge["mark"] for page in pages for edge in page if edge["kind"] == "server"]
            return len(marks) == len(MODELS) * self.size and "blind" not in marks

        until(seen, WAIT_LIMIT_S, "every server observed")

    def _wait_until_each_answers(self, loads: Sequence[Load]) -> None:
        """Wait until every running node answers requests again."""
        start = time.monotonic()
        running = {
            node.port for node in self.nodes if node.process is not None and node.process.poll() is None
        }

        def answered() -> bool:
            found = [outcome for load in loads for outcome in load.outcomes.copy().values()]
            return running <= {
                outcome.port for outcome in found if outcome.sent_s > start and outcome.status == 200
            }

        until(answered, WAIT_LIMIT_S, "every node answering")

    def _check_load(self, loads: Sequence[Load], prefix: str) -> None:
        down = {self.nodes[at].port: spans for at, spans in self._outages.items()}
        outcomes = {name: outcome for load in loads for name, outcome in load.outcomes.items()}
        excused = {
            name
            for name, outcome in outcomes.items()
            if any(span.excuses(outcome) for span in down[outcome.port])
        }
        # 503: rejected in time, as by a node that has yielded its quota
        answered = {name for name, outcome in outcomes.items() if outcome.status in (200, 503)}
        assert not (lost := {name: outcomes[name] for name in outcomes.keys() - answered - excused}), lost
        for name, servers in self.pool.servers_reached.items():
            if name.startswith(prefix):
                most = 1 if "-post" in name else 3
                assert len(servers) <= most, (name, servers)

    def close(self) -> None:
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.kill()
        self.agent.stop()
        self.registry.stop()
        self.net.close()
        self._loops.close()
        self.pool.close()


def _knows_service_time(status: Status) -> bool:
    low, high = status["service_ms"] or (0.0, math.inf)
    return bool(high - low <= BOUND_MS)


def _brief(status: Status) -> dict[str, Any]:
    kept = {
        key: status[key] for key in ("name", "incarnation", "stand", "standing", "share", "rows", "routes")
    }
    return kept | {"siblings": {row["name"]: row["verdict"] for row in status["siblings"]}}
