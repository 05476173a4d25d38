"""A fleet of node processes in front of stub servers, under load.

Every call between two nodes, and between a node and the list service, passes a relay that can inject faults.
"""

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

from tests.support.faults import AgentProxy, LoopThread, RelayNetwork
from tests.support.invariant_sampler import Status, StatusSampler, quota_violations, version_conflicts
from tests.support.load import Load, Outcome
from tests.support.node_processes import Node
from tests.support.ports import free_port
from tests.support.registry_processes import Registry, http_request, until
from tests.support.stub_servers import StubServerPool

WAIT_LIMIT_S = 120.0  # of every wait, as the machine may be slow
# Leases, elections and the preparation of a version time out by the real clock, and on a busy machine a
# process may get no CPU for two seconds. These timeouts are so long that only injected faults reach them.
TTL_MS, BOUND_MS = 8_000, 250
ELECTION_MS = {"election_min_ms": 1_000, "election_max_ms": 1_500}
PREPARE_MS = int(WAIT_LIMIT_S * 1000.0)
PROBE_PERIOD_MS = 100.0  # short enough for a quota report to reach every sibling early in a lease term
NODE_CLOCK_OFFSETS_MS = (0.0, 2_000.0, -2_000.0, 0.0, 900.0)  # of n0 to n4
SERVICE_CLOCK_OFFSETS_MS = (0, 2_000, -2_000)  # of the list service's instances
SEND_MARGIN_S = 0.2  # longest delay of a load thread between reading its clock and connecting
MODELS = ("m1", "m2")  # of servers s0 and s1


@dataclass(slots=True)
class Outage:
    """The time from a node's SIGKILL or SIGTERM to its next start, on the monotonic clock."""

    start_s: float
    drained: bool
    end_s: float = math.inf

    def excuses(self, outcome: Outcome) -> bool:
        """Whether the outage explains that a request got no response.

        A draining node responds to every request that it has accepted, so its outage explains only requests
        that were sent after the signal, or were about to be sent.
        """
        last_s = outcome.sent_s + (SEND_MARGIN_S if self.drained else outcome.duration_s)
        return outcome.status == 0 and self.start_s < last_s and outcome.sent_s < self.end_s


class Fleet:
    """Nodes n0, n1, ... and three instances of the list service, with clock offsets of up to 2 s."""

    def __init__(
        self, folder: Path, size: int = 5, services: Sequence[str] = (), load: type[Load] = Load
    ) -> None:
        """`services`: each node's service; if empty, all nodes form one group. `load`: the load generator."""
        self.size, self._table_numbers, self._load = size, count(1), load
        self.services = list(services) or [""] * size
        self.registry = Registry(folder, ttl_ms=600_000, members=self._instance, raft=ELECTION_MS)
        self.agent = self.registry.agent()
        self.pool = StubServerPool(2, latency_ms=2.0)
        for index, model in enumerate(MODELS):
            self.registry.put(f"s{index}", self.pool.port(index), az="a", model=model)
        self._member_ports = [free_port() for _ in range(size)]
        self.net = RelayNetwork([("127.0.0.1", port) for port in self._member_ports], seed=folder.name)
        self._loops = LoopThread()
        self.agent_proxies = [self._agent_proxy(index) for index in range(size)]
        self.nodes = [self._node(folder, index) for index in range(size)]
        self._outages: dict[int, list[Outage]] = {index: [] for index in range(size)}
        for node in self.nodes:
            node.launch()

    def _agent_proxy(self, index: int) -> AgentProxy:
        """Return the relay to the agent; it replaces siblings' addresses by those of the relays to them."""
        relayed = {
            f"127.0.0.1:{port}": "{}:{}".format(*self.net.address(index, other))
            for other, port in enumerate(self._member_ports)
            if other != index
        }
        return AgentProxy(
            ("127.0.0.1", self.agent.port), lambda address: relayed.get(address, address), self._loops
        )

    def _node(self, folder: Path, index: int) -> Node:
        members = {
            "listen": f"127.0.0.1:{self._member_ports[index]}",
            "routes": str(folder / f"routes-{index}"),
            "clock_offset_ms": NODE_CLOCK_OFFSETS_MS[index],
            "ask_every_ms": PROBE_PERIOD_MS,
            "service": self.services[index],
        }
        settings = {"registryMode": "push"}
        return Node(
            folder, [], self.agent_proxies[index].port, name=f"n{index}", settings=settings, members=members
        )

    def _instance(self, index: int) -> dict[str, int | str]:
        groups = "true" if any(self.services) else "false"
        return {
            "ttl_ms": TTL_MS,
            "clock_bound_ms": BOUND_MS,
            "prepare_ms": PREPARE_MS,
            "clock_offset_ms": SERVICE_CLOCK_OFFSETS_MS[index],
            "groups": groups,
        }

    # ------------------------------------------------------------------ status

    def groups(self) -> list[list[int]]:
        """Return the nodes of each service, by index."""
        return [
            [index for index in range(self.size) if self.services[index] == service]
            for service in sorted(set(self.services))
        ]

    def status(self, index: int) -> Status:
        """Return the body of a node's GET /status/members; raise OSError if it does not respond."""
        status, body = self.nodes[index].call_admin("/status/members")
        if status != 200:
            raise OSError(f"the admin server of n{index} responded with status {status}")
        return body  # type: ignore[no-any-return]

    def call_service(
        self, method: str, path: str, body: bytes | dict[str, Any] | None = None
    ) -> tuple[int, Any]:
        """Send a call under /fleet/ through the agent, and again as long as the status is 503."""

        def respond() -> tuple[int, Any] | None:
            status, _, response = http_request(self.agent.port, method, f"/fleet/{path}", body, timeout=5.0)
            return None if status == 503 else (status, response)

        return until(respond, WAIT_LIMIT_S, f"{method} {path} done")  # type: ignore[no-any-return]

    def members_port(self, index: int) -> int:
        """The port on which the node itself listens for siblings' calls, without a relay."""
        return self._member_ports[index]

    def routes(self) -> dict[str, Any]:
        return self.call_service("GET", "routes")[1]  # type: ignore[no-any-return]

    def phase(self, number: int) -> str:
        return {version["number"]: version["phase"] for version in self.routes()["history"]}[number]

    def wait_until_all(self, what: str, check: Any, *chosen: int) -> None:
        """Wait until check(status) holds at the chosen nodes, or at all, in one round of reads."""
        nodes = chosen or tuple(range(self.size))
        seen: list[Status] = []

        def all_hold() -> bool:
            seen[:] = [self.status(index) for index in nodes]
            return all(check(status) for status in seen)

        try:
            until(all_hold, WAIT_LIMIT_S, what)
        except AssertionError as error:
            raise AssertionError(f"{what}: {error}; {[_summary(status) for status in seen]}") from error

    def wait_until_shared(self, *holders: int) -> None:
        """Wait until these nodes are the only members of their group and have equal quotas."""
        quota = 1.0 / len(holders)
        self.wait_until_all(
            f"a quota of {quota:.3f} at {holders}",
            lambda status: status["rows"] == len(holders) and abs(status["share"] - quota) < 1e-6,
            *holders,
        )

    def wait_until_stable(self) -> None:
        """Heal all links and start what does not run; then wait until members are present, quotas equal and
        routes settled."""
        for proxy in self.agent_proxies:
            proxy.heal()
        self.net.heal()
        for index in range(3):
            if self.registry.processes[index] is None:
                self.registry.start(index)
        for index, node in enumerate(self.nodes):
            if node.process is None or node.process.poll() is not None:
                self.start(index)
        settled = until(
            lambda: (routes := self.routes())["pending"] is None and [routes],
            WAIT_LIMIT_S,
            "no pending route activation",
        )

        def stable(status: Status) -> bool:
            present = {sibling["verdict"] for sibling in status["siblings"]} <= {"present"}
            following = self.following(settled[0]["in_force"]["number"])(status)
            sibling_count = self.services.count(status["service"]) - 1
            return present and following and len(status["siblings"]) == sibling_count

        self.wait_until_all("a stable fleet", stable)
        for group in self.groups():
            self.wait_until_shared(*group)

    @staticmethod
    def following(number: int) -> Any:
        """Return a check for `wait_until_all`: the node follows this version."""
        return lambda status: (
            (status["routes"]["stand"], status["routes"]["version"]) == ("following", number)
        )

    # ------------------------------------------------------------------ faults

    def kill(self, index: int) -> None:
        self._outages[index].append(Outage(time.monotonic(), drained=False))
        self.nodes[index].kill()

    def start(self, index: int) -> None:
        self.nodes[index].start()
        if self._outages[index] and self._outages[index][-1].end_s == math.inf:
            self._outages[index][-1].end_s = time.monotonic()

    def terminate(self, index: int) -> None:
        """Stop a node by SIGTERM, as the platform does: it drains and leaves."""
        self._outages[index].append(Outage(time.monotonic(), drained=True))
        self.nodes[index].stop()

    def pause(self, index: int) -> None:
        self.nodes[index].send(signal.SIGSTOP)

    def resume(self, index: int) -> None:
        self.nodes[index].send(signal.SIGCONT)

    def cut_service(self, *chosen: int) -> None:
        """Partition the chosen nodes from the list service."""
        for index in chosen:
            self.agent_proxies[index].partition()

    # ------------------------------------------------------------------ routes

    def route_table(self, weights: Sequence[float] = (1.0, 1.0)) -> bytes:
        """Return a route table that sends reads to the models by these weights; its text is unique."""
        groups = "".join(
            f'[[class.read.group]]\nmodel = "{model}"\nweight = {weight}\n'
            for model, weight in zip(MODELS, weights, strict=True)
            if weight
        )
        return f"{groups}# {next(self._table_numbers)}\n".encode()

    def propose(self, weights: Sequence[float] = (1.0, 1.0)) -> int:
        """Propose a route table and return its version number.

        First wait until every node can vote yes: after a change of leaders each has to estimate service time
        again.
        """
        self.wait_until_all("narrow estimates of service time", _knows_service_time)
        status, proposal = self.call_service("PUT", "routes", self.route_table(weights))
        assert status == 200, proposal
        return int(proposal["number"])

    # ------------------------------------------------------------------ under load

    @contextmanager
    def under_load(self) -> Iterator[StatusSampler]:
        """Run load through all nodes and sample their status until the fleet is stable again.

        Then check both invariants of the sampler, that every request got a response unless an outage of its
        node explains that, and that no write was executed twice and no read more than three times.
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
            self._wait_until_all_respond(loads)
        finally:
            sampler.stop()
            for load in loads:
                load.finish()
        assert min(map(len, sampler.samples)) > 5, [len(samples) for samples in sampler.samples]
        self._check_quotas(sampler)
        assert not (conflicts := version_conflicts(sampler.samples, BOUND_MS / 1000.0)), conflicts[:3]
        self._check_load(loads, prefix)

    def _check_quotas(self, sampler: StatusSampler) -> None:
        """Check the sum of quotas of each service that a sample names; nodes without one count in all."""
        services = {sample.status["service"] for samples in sampler.samples for sample in samples}
        for service in sorted(services):
            nodes = [
                [sample for sample in samples if sample.status["service"] in ("", service)]
                for samples in sampler.samples
            ]
            assert not (violations := quota_violations(nodes)), (service, violations[:3])

    def _wait_until_servers_seen(self) -> None:
        """Wait until every node has observed every server; until then it rejects route versions."""

        def all_seen() -> bool:
            edge_lists = [node.call_admin("/status/routes")[1]["edges"] for node in self.nodes]
            marks = [edge["mark"] for edges in edge_lists for edge in edges if edge["kind"] == "server"]
            return len(marks) == len(MODELS) * self.size and "blind" not in marks

        until(all_seen, WAIT_LIMIT_S, "every server observed")

    def _wait_until_all_respond(self, loads: Sequence[Load]) -> None:
        """Wait until every running node has responded with 200 to a request sent from now on."""
        start = time.monotonic()
        running = {
            node.port for node in self.nodes if node.process is not None and node.process.poll() is None
        }

        def all_responded() -> bool:
            outcomes = [outcome for load in loads for outcome in load.outcomes.copy().values()]
            return running <= {
                outcome.port for outcome in outcomes if outcome.sent_s > start and outcome.status == 200
            }

        until(all_responded, WAIT_LIMIT_S, "responses of every node")

    def _check_load(self, loads: Sequence[Load], prefix: str) -> None:
        outages = {self.nodes[index].port: outages for index, outages in self._outages.items()}
        outcomes = {name: outcome for load in loads for name, outcome in load.outcomes.items()}
        excused = {
            name
            for name, outcome in outcomes.items()
            if any(outage.excuses(outcome) for outage in outages[outcome.port])
        }
        # 503 is a proper rejection, for example by a node that has yielded its quota.
        answered = {name for name, outcome in outcomes.items() if outcome.status in (200, 503)}
        assert not (lost := {name: outcomes[name] for name in outcomes.keys() - answered - excused}), lost
        for name, servers in self.pool.servers_reached.items():
            if name.startswith(prefix):
                max_attempts = 1 if "-post" in name else 3
                assert len(servers) <= max_attempts, (name, servers)

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


def _summary(status: Status) -> dict[str, Any]:
    fields = {
        key: status[key] for key in ("name", "incarnation", "stand", "standing", "share", "rows", "routes")
    }
    return fields | {"siblings": {sibling["name"]: sibling["verdict"] for sibling in status["siblings"]}}
