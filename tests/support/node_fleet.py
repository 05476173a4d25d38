"""A fleet of node processes that know each other: every call between two of them, and between each and the
list service, passes a place where faults are injected; servers behind them, load through them."""

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
from tests.support.invariant_sampler import Status, Watch, apart, overtaken
from tests.support.load import Load, Outcome
from tests.support.node_processes import Node
from tests.support.ports import free_port
from tests.support.registry_processes import Registry, ask, until
from tests.support.stand_in_servers import ServerPool

LIMIT_S = 120.0  # for anything that should come about: the machine may be slow
# Leases, elections and the preparing of a version end by the real clock, and on a busy machine a process may
# get no CPU for two seconds. Each term is so long that only the faults a test injects end one.
TTL_MS, BOUND_MS = 8_000, 250
ELECTION_MS = {"election_min_ms": 1_000, "election_max_ms": 1_500}
PREPARE_MS = int(LIMIT_S * 1000.0)
ASK_EVERY_MS = 100.0  # a word reaches every sibling in a small part of the lease term
CLOCKS_MS = (0.0, 2_000.0, -2_000.0, 0.0, 900.0)  # of nodes; and of instances:
SERVICE_CLOCKS_MS = (0, 2_000, -2_000)
ABOUT_TO_SEND_S = 0.2  # a worker's thread may be held up between its clock and its connection
MODELS = ("m1", "m2")  # of servers s0 and s1


@dataclass(slots=True)
class Down:
    """From a node's SIGKILL or SIGTERM to its next start, on the monotonic clock."""

    start: float
    drained: bool
    end: float = math.inf

    def excuses(self, outcome: Outcome) -> bool:
        """Whether a request may have gone without an answer. A node that drains answers all that it has
        accepted, so there only one that was sent (or about to be) once it had been told to end."""
        since = outcome.sent_s + (ABOUT_TO_SEND_S if self.drained else outcome.took_s)
        return outcome.status == 0 and self.start < since and outcome.sent_s < self.end


class Fleet:
    """Nodes n0 to n4 and three instances of the list service, with clocks 2 s apart."""

    def __init__(self, folder: Path, size: int = 5, services: Sequence[str] = ()) -> None:
        """`services`: the one that each node names; none: all are one group."""
        self.size, self._texts = size, count(1)
        self.services = list(services) or [""] * size
        self.registry = Registry(folder, ttl_ms=600_000, members=self._instance, raft=ELECTION_MS)
        self.agent = self.registry.agent()
        self.pool = ServerPool(2, latency_ms=2.0)
        for at, model in enumerate(MODELS):
            self.registry.put(f"s{at}", self.pool.port(at), az="a", model=model)
        self._listens = [free_port() for _ in range(size)]
        self.net = Net([("127.0.0.1", port) for port in self._listens], seed=folder.name)
        self._loops = LoopThread()
        self.posts = [self._post(at) for at in range(size)]
        self.nodes = [self._node(folder, at) for at in range(size)]
        self._down: dict[int, list[Down]] = {at: [] for at in range(size)}
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
            "ask_every_ms": ASK_EVERY_MS,
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

    # ------------------------------------------------------------------ what it says

    def groups(self) -> list[list[int]]:
        """The nodes of each service."""
        return [
            [at for at in range(self.size) if self.services[at] == service]
            for service in sorted(set(self.services))
        ]

    def status(self, at: int) -> Status:
        """A node's GET /status/members; OSError where it does not answer."""
        status, found = self.nodes[at].call_door("/status/members")
        if status != 200:
            raise OSError(f"the door of n{at} answered {status}")
        return found  # type: ignore[no-any-return]

    def service(self, method: str, path: str, body: bytes | dict[str, Any] | None = None) -> tuple[int, Any]:
        """A call of the fleet's, through the agent; said again until it is done or refused."""

        def said() -> tuple[int, Any] | None:
            status, _, answer = ask(self.agent.port, method, f"/fleet/{path}", body, timeout=5.0)
            return None if status == 503 else (status, answer)

        return until(said, LIMIT_S, f"{method} {path} done")  # type: ignore[no-any-return]

    def members_port(self, at: int) -> int:
        """Where siblings call this node, past the relays."""
        return self._listens[at]

    def routes(self) -> dict[str, Any]:
        return self.service("GET", "routes")[1]  # type: ignore[no-any-return]

    def phase(self, number: int) -> str:
        return {row["number"]: row["phase"] for row in self.routes()["history"]}[number]

    def until_all(self, what: str, check: Any, *chosen: int) -> None:
        """Until check(status) holds at these nodes, or all, in one round."""
        nodes = chosen or tuple(range(self.size))
        seen: list[Status] = []

        def hold() -> bool:
            seen[:] = [self.status(at) for at in nodes]
            return all(check(status) for status in seen)

        try:
            until(hold, LIMIT_S, what)
        except AssertionError as error:
            raise AssertionError(f"{what}: {error}; {[_brief(status) for status in seen]}") from error

    def until_shared(self, *takers: int) -> None:
        """Until these are all that is enrolled and each takes its part."""
        part = 1.0 / len(takers)
        self.until_all(
            f"a share of {part:.3f} at {takers}",
            lambda status: status["rows"] == len(takers) and abs(status["share"] - part) < 1e-6,
            *takers,
        )

    def until_calm(self) -> None:
        """Everything runs, every node hears every other and has its part, and routes are settled."""
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
            lambda: (told := self.routes())["pending"] is None and [told], LIMIT_S, "routes settled"
        )

        def calm(status: Status) -> bool:
            heard = {row["verdict"] for row in status["siblings"]} <= {"present"}
            following = self.following(in_force[0]["in_force"]["number"])(status)
            others = self.services.count(status["service"]) - 1
            return heard and following and len(status["siblings"]) == others

        self.until_all("calm", calm)
        for group in self.groups():
            self.until_shared(*group)

    @staticmethod
    def following(number: int) -> Any:
        """For `until_all`: it follows this version."""
        return lambda status: (
            (status["routes"]["stand"], status["routes"]["version"]) == ("following", number)
        )

    # ------------------------------------------------------------------ what befalls it

    def kill(self, at: int) -> None:
        self._down[at].append(Down(time.monotonic(), drained=False))
        self.nodes[at].kill()

    def start(self, at: int) -> None:
        self.nodes[at].start()
        if self._down[at] and self._down[at][-1].end == math.inf:
            self._down[at][-1].end = time.monotonic()

    def terminate(self, at: int) -> None:
        """As the platform ends a node: it drains and leaves."""
        self._down[at].append(Down(time.monotonic(), drained=True))
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
        self.until_all("service time known closely", _knows_service_time)
        status, told = self.service("PUT", "routes", self.table(weights))
        assert status == 200, told
        return int(told["number"])

    # ------------------------------------------------------------------ under load

    @contextmanager
    def watched(self) -> Iterator[Watch]:
        """Load through all nodes and a watch on all, until faults have ended and it is calm again; then both
        rules, every answer, and nothing done twice. A request may go unanswered only if its node was killed.
        """
        self.until_calm()
        prefix = f"w{time.monotonic_ns()}-"
        loads = [
            Load([node.port for node in self.nodes], f"{prefix}{kind}", workers, kind, 0.04, timeout_s=30.0)
            for kind, workers in (("read", 4), ("post", 2))
        ]
        self.loads = loads
        watch = Watch(self.size, self.status)
        try:
            self._until_seen()
            yield watch
            self.until_calm()
            self._until_each_has_answered(loads)
        finally:
            watch.stop()
            for load in loads:
                load.finish()
        assert min(map(len, watch.samples)) > 5, [len(samples) for samples in watch.samples]
        self._check_shares(watch)
        assert not (broken := apart(watch.samples, BOUND_MS / 1000.0)), broken[:3]
        self._check_load(loads, prefix)

    def _check_shares(self, watch: Watch) -> None:
        """Of each service, whichever its nodes were; those that name none count in every one."""
        named = {sample.status["service"] for samples in watch.samples for sample in samples}
        for service in sorted(named):
            nodes = [
                [sample for sample in samples if sample.status["service"] in ("", service)]
                for samples in watch.samples
            ]
            assert not (broken := overtaken(nodes)), (service, broken[:3])

    def _until_seen(self) -> None:
        """A version whose servers a node has never heard of is no version for it."""

        def seen() -> bool:
            pages = [node.call_door("/status/routes")[1]["edges"] for node in self.nodes]
            marks = [edge["mark"] for page in pages for edge in page if edge["kind"] == "server"]
            return len(marks) == len(MODELS) * self.size and "blind" not in marks

        until(seen, LIMIT_S, "every server heard of")

    def _until_each_has_answered(self, loads: Sequence[Load]) -> None:
        """Every node that runs answers requests again, by the end of each test."""
        start = time.monotonic()
        running = {
            node.port for node in self.nodes if node.process is not None and node.process.poll() is None
        }

        def answered() -> bool:
            found = [one for load in loads for one in load.outcomes.copy().values()]
            return running <= {one.port for one in found if one.sent_s > start and one.status == 200}

        until(answered, LIMIT_S, "every node answering")

    def _check_load(self, loads: Sequence[Load], prefix: str) -> None:
        down = {self.nodes[at].port: spans for at, spans in self._down.items()}
        outcomes = {name: one for load in loads for name, one in load.outcomes.items()}
        excused = {
            name for name, one in outcomes.items() if any(span.excuses(one) for span in down[one.port])
        }
        # 503: refused in time, as a node does that has yielded its share
        answered = {name for name, one in outcomes.items() if one.status in (200, 503)}
        assert not (lost := {name: outcomes[name] for name in outcomes.keys() - answered - excused}), lost
        for name, servers in self.pool.reached.items():
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
