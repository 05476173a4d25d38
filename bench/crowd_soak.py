"""Soak test of one node among crowds: `python -m bench.crowd_soak --seed N [--runs K] [--seconds S]`.

Each run draws from its seed a crowd (form, state and number of clients), a memory limit, the rate of failing
system calls, and a series of signals: SIGHUP several times, SIGTERM followed by SIGKILL at the earliest time
that the protocol allows, SIGKILL at once. Steady clients keep their connections open for as long as the node
does; in half of the runs one of them sends ids a second time. The run checks that

- the node doesn't end by itself and stays within its memory limit,
- no server executes a request twice that must be executed once,
- each request that a server got has a final response in time, unless the node was killed outright,
- after the last fault calls are served again.

Each run prints one JSON line; the same seed repeats the run.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from multiprocessing import get_context
from pathlib import Path
from random import Random

from bench.crowds.cell import CLASSES, resident_mb
from bench.crowds.clients import read_response, run_crowd
from bench.crowds.forms import Form, State, plan
from tests.support.faults import LoopThread
from tests.support.faulty_node import FAULTS_VARIABLE
from tests.support.loopback import Message, StubServer, http_response, targets
from tests.support.node_processes import Node
from tests.support.parent_death import end_with_parent
from tests.support.registry_processes import ROOT, until

SERVERS = 2
MEMORY_MB = (32, 64, 192)
CLIENTS = (0, 40, 200, 330)
FAULT_RATES = (0.0, 0.0, 0.005, 0.02)
REQUEST_DEADLINE_S = 3.0
KILL_AFTER_S = REQUEST_DEADLINE_S + 0.7  # from SIGTERM to SIGKILL
FINAL_RESPONSE_S = REQUEST_DEADLINE_S + 0.5
RECOVERY_S = 5.0
STEADY_CLIENTS = 3
MEMORY_INTERVAL_S = 0.05
REQUEST = (
    b"POST /post/x HTTP/1.1\r\nHost: s\r\nReq-Deadline-Ms: %d\r\nReq-Id: %b\r\nContent-Length: 4\r\n\r\nbody"
)


class Servers:
    """Stub servers that count how often each id was executed."""

    def __init__(self, latency_s: float) -> None:
        self.executions: Counter[str] = Counter()
        self._latency_s = latency_s
        self._loops = LoopThread()
        self._servers = [StubServer(self._respond) for _ in range(SERVERS)]
        for server in self._servers:
            self._loops.run(server.start())

    async def _respond(self, message: Message) -> bytes:
        if message.start_line[0] == "POST":
            self.executions[message.headers["req-id"]] += 1
        for server in self._servers:
            server.requests.clear()
        if message.start_line[1].endswith("hang"):
            await asyncio.Event().wait()
        await asyncio.sleep(self._latency_s)
        return http_response(body=bytes(300_000 if message.start_line[1].endswith("long") else 40))

    def known(self) -> list[dict[str, object]]:
        return targets(**{f"s{at}": (server.endpoint, "Ready") for at, server in enumerate(self._servers)})

    def close(self) -> None:
        self._loops.call(lambda: [server.stop() for server in self._servers])
        self._loops.close()


class SteadyClient(threading.Thread):
    """Sends requests one at a time on a connection that it keeps for as long as the node does."""

    def __init__(self, port: int, name: str, repeats_ids: bool) -> None:
        super().__init__(daemon=True)
        self.port, self.prefix, self.repeats_ids = port, name, repeats_ids
        self.unanswered: list[tuple[str, float, float]] = []  # id, time sent, time of the end
        self.statuses: Counter[int] = Counter()
        self.longest_s = 0.0
        self._stopped = threading.Event()
        self._connection: socket.socket | None = None

    def run(self) -> None:
        number = 0
        while not self._stopped.wait(0.02):
            number += 1
            name = f"{self.prefix}-{number}"
            self._call(name)
            # A process that was killed has forgotten its ids, so the repetition goes to the same process.
            if self.repeats_ids and not number % 5 and self._connection is not None:
                self._call(name, may_connect=False)

    def stop(self) -> None:
        self._stopped.set()
        self.join(10.0)

    def _call(self, name: str, may_connect: bool = True) -> None:
        began = time.monotonic()
        try:
            if self._connection is None:
                self._connection = socket.create_connection(("127.0.0.1", self.port), timeout=6.0)
            self._connection.sendall(REQUEST % (REQUEST_DEADLINE_S * 1000, name.encode()))
            response = read_response(self._connection)
        except OSError:
            response = b""
        ended = time.monotonic()
        if response:
            self.statuses[int(response.split()[1])] += 1
            self.longest_s = max(self.longest_s, ended - began)
        elif may_connect:
            self.unanswered.append((name, began, ended))
        if self._connection is not None and (not response or b"\r\nConnection: close" in response):
            self._connection.close()
            self._connection = None


class MemoryMonitor(threading.Thread):
    """Samples the node's peak memory in all of its lives."""

    def __init__(self, node: Node) -> None:
        super().__init__(daemon=True)
        self.peak_mb = 0.0
        self._node = node
        self._stopped = threading.Event()

    def run(self) -> None:
        while not self._stopped.wait(MEMORY_INTERVAL_S):
            process = self._node.process
            try:
                if process is not None and process.poll() is None:
                    self.peak_mb = max(self.peak_mb, resident_mb(process.pid, "VmHWM"))
            except OSError:
                continue

    def stop(self) -> None:
        self._stopped.set()
        self.join(5.0)


class CrowdSoak:
    """One run."""

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        self.rng = Random(seed)
        self.seed, self.seconds, self.folder = seed, seconds, folder
        self.memory_mb = self.rng.choice(MEMORY_MB)
        self.clients = self.rng.choice(CLIENTS)
        self.form, self.state = self.rng.choice(list(Form)), self.rng.choice(list(State))
        self.pieces = self.rng.random() < 0.5
        self.rate = self.rng.choice(FAULT_RATES)
        self.repeats_ids = self.rng.random() < 0.5
        self.kills: list[tuple[float, float]] = []  # monotonic times of an outright end and of the next start
        self.steps: list[str] = []
        self.self_ended: list[int] = []

    def run(self) -> dict[str, object]:
        servers = Servers(self.rng.choice((0.005, 0.05, 0.3)))
        limits = {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": 1024}
        node = self.node = Node(
            self.folder,
            servers.known(),
            limits=limits,
            settings={"categories": CLASSES},
            bounds={"maxOpen": 20_000},
        )
        context = get_context("spawn")
        stop = context.Event()
        plans = [plan(self.form, self.state, self.pieces) for _ in range(self.clients)]
        crowd = context.Process(target=run_crowd, args=(("127.0.0.1", node.port), plans, stop), daemon=True)
        steady = [
            SteadyClient(node.port, f"steady{at}", self.repeats_ids and at == 0)
            for at in range(STEADY_CLIENTS)
        ]
        monitor = MemoryMonitor(node)
        try:
            node.start(self._spawn)
            for thread in (monitor, *steady):
                thread.start()
            crowd.start()
            self._run_signals()
            stop.set()
            crowd.join(10.0)
            self._check_recovery()
            for client in steady:
                client.stop()
            monitor.stop()
            return self._result(servers, steady, monitor)
        finally:
            crowd.kill()
            if node.process is not None and node.process.poll() is None:
                node.kill()
            servers.close()

    def _spawn(self, _arguments: list[str], log: Path, env: dict[str, str]) -> subprocess.Popen[bytes]:
        environment = dict(os.environ) | env | {"PYTHONPATH": str(ROOT)}
        arguments = ["-m", "loadbalancer"]
        if self.rate:
            environment |= {
                FAULTS_VARIABLE: f"{self.seed}:{self.rate}",
                "FAULTS_LISTEN_PORT": str(self.node.port),
            }
            arguments = ["-m", "tests.support.faulty_node"]
        with log.open("ab") as out:
            return subprocess.Popen(
                [sys.executable, *arguments],
                stdout=out,
                stderr=out,
                cwd=log.parent,
                env=environment,
                preexec_fn=end_with_parent,
            )

    # ------------------------------------------------------------------ signals

    def _run_signals(self) -> None:
        ends = time.monotonic() + self.seconds
        while time.monotonic() < ends:
            time.sleep(self.rng.uniform(0.3, 2.0))
            self.rng.choice((self._reload, self._reload, self._terminate, self._kill))()

    def _reload(self) -> None:
        self.steps.append("SIGHUP")
        for _ in range(self.rng.randint(1, 5)):
            self._check_running()
            self.node.send(signal.SIGHUP)
            time.sleep(self.rng.choice((0.0, 0.03)))

    def _terminate(self) -> None:
        self.steps.append("SIGTERM")
        self._check_running()
        terminated = time.monotonic()
        for _ in range(self.rng.randint(1, 3)):
            self.node.send(signal.SIGTERM)
            time.sleep(self.rng.choice((0.0, 0.2)))
            if self.rng.random() < 0.3:
                self.node.send(signal.SIGHUP)
        assert self.node.process is not None
        try:
            code = self.node.process.wait(max(0.0, terminated + KILL_AFTER_S - time.monotonic()))
            if code:
                self.self_ended.append(code)
        except subprocess.TimeoutExpired:
            self.steps.append("SIGKILL after SIGTERM")
            self.node.kill()
        self._restart()

    def _kill(self) -> None:
        self.steps.append("SIGKILL")
        self._check_running()
        killed = time.monotonic()
        self.node.kill()
        self._restart()
        self.kills.append((killed, time.monotonic()))

    def _restart(self) -> None:
        time.sleep(self.rng.uniform(0.0, 0.5))
        self.node.launch(self._spawn)
        self.node.wait_up()
        time.sleep(1.0)  # SIGHUP never comes in a process's first second

    def _check_running(self) -> None:
        assert self.node.process is not None
        code = self.node.process.poll()
        if code is not None:
            self.self_ended.append(code)
            self._restart()

    def _check_recovery(self) -> None:
        def served() -> bool:
            client = SteadyClient(self.node.port, f"recovery-{time.monotonic_ns()}", False)
            client._call(f"recovery-{time.monotonic_ns()}")
            return bool(client.statuses[200])

        until(served, RECOVERY_S + FINAL_RESPONSE_S, "served again")

    # ------------------------------------------------------------------ result

    def _result(
        self, servers: Servers, steady: list[SteadyClient], monitor: MemoryMonitor
    ) -> dict[str, object]:
        # The crowd repeats its ids, and a process that has ended has forgotten them.
        restarted = any(step != "SIGHUP" for step in self.steps)
        executed_twice = [
            name
            for name, count in servers.executions.items()
            if count > 1 and not (restarted and name.startswith("crowd"))
        ]
        lost = [
            name
            for client in steady
            for name, began, ended in client.unanswered
            if servers.executions[name]
            and not any(began <= started and killed <= ended for killed, started in self.kills)
        ]
        longest_s = max(client.longest_s for client in steady)
        broken = []
        if self.self_ended:
            broken.append(f"ended by itself: {self.self_ended}")
        if monitor.peak_mb > self.memory_mb:
            broken.append("memory")
        if executed_twice:
            broken.append(f"executed twice: {executed_twice[:5]}")
        if lost:
            broken.append(f"lost: {lost[:5]}")
        if longest_s > FINAL_RESPONSE_S:
            broken.append("late response")
        return {
            "peak_mb": round(monitor.peak_mb, 1),
            "longest_s": round(longest_s, 2),
            "statuses": dict(sum((client.statuses for client in steady), Counter())),
            "unanswered": sum(len(client.unanswered) for client in steady),
        } | ({"broken": broken} if broken else {})


def soak(seed: int, seconds: float, folder: Path) -> dict[str, object]:
    """Run the test once and return its record; `broken` has the broken rules, if any."""
    run = CrowdSoak(seed, seconds, folder)
    record: dict[str, object] = {
        "seed": seed,
        "memory_mb": run.memory_mb,
        "clients": run.clients,
        "crowd": f"{run.form.value}, {run.state.value}, {'pieces' if run.pieces else 'at once'}",
        "fault_rate": run.rate,
    }
    try:
        result = run.run()
    except AssertionError as error:
        result = {"broken": [str(error)[:500]]}
    return record | result | {"steps": run.steps}


def main() -> int:
    """Run consecutive seeds; return 1 if a rule was broken."""
    parser = argparse.ArgumentParser(prog="python -m bench.crowd_soak")
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--keep", type=Path, help="folder in which the logs are retained")
    options = parser.parse_args()
    broken = 0
    for seed in range(options.seed, options.seed + options.runs):
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(temporary) if options.keep is None else options.keep / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            record = soak(seed, options.seconds, folder)
        broken += "broken" in record
        print(json.dumps(record), flush=True)
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())
