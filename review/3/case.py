"""A server that an operator took out gets requests after the node's restart, before the call back."""

from __future__ import annotations

import sys
import time
from http import HTTPStatus

from review.support.case import Case, run
from review.support.discovery import Discovery
from review.support.http_call import call
from review.support.programs import CaseNotRunError, Node, until
from review.support.servers import Client, Server

SERVERS = 4
CLIENTS = 2
UNLISTED_S = 3.0  # how long the restarting server is off the list before the node is killed
STATE_EVERY_MS = 1000  # oncall: the default
GRACE_S = 2.0 + 0.05  # drainGraceMs; on sockets every limit is 50 ms longer
WATCH_S = 8.0
MS_PER_S = 1000.0


def operate(node: Node, target: str, uid: str, case: Case) -> None:
    """Send an operator's call and require a yes."""
    answer = call(node.operator_port, "PUT", target, uid.encode())
    case.record.write(f"operator PUT {target} {uid}: {answer.status}")
    if answer.status != HTTPStatus.OK:
        message = f"{target} {uid}: {answer.status}"
        raise CaseNotRunError(message)


def restart(node: Node, discovery: Discovery) -> None:
    """Kill the node outright and start it again from nothing, with the list that it last had."""
    node.program.kill()
    node.configuration["known"] = discovery.whole_list()
    node.restart_after_end()


def play(case: Case) -> bool:
    """Return whether the server that is out gets new requests after the grace."""
    record = case.record
    discovery = Discovery(record)
    servers = [Server(f"s-{number}", record) for number in range(1, SERVERS + 1)]
    for server in servers:
        discovery.put(server.uid, server.port)
    out, listed = servers[-1], servers[-2]
    extra = {
        "known": discovery.whole_list(),
        "state": str(case.folder / "n1.state"),
        "state_every_ms": STATE_EVERY_MS,
    }
    node = Node("n1", case.folder, case.ports, record, discovery.port, extra)
    case.ends.callback(lambda: node.program.stop())  # the node's present process
    node.start()
    clients = [Client(f"c{number}", node.port, record) for number in range(CLIENTS)]
    until(lambda: all(server.requests for server in servers), GRACE_S, "a request at each server")

    operate(node, "/maintenance/enter", out.uid, case)
    operate(node, "/maintenance/enter", listed.uid, case)  # stays on the list throughout
    said_yes = record.seconds()
    discovery.put(out.uid, out.port, "Gone")  # it is restarted while out
    time.sleep(UNLISTED_S)
    if case.trouble:
        restart(node, discovery)
    discovery.put(out.uid, out.port, "Ready", int(time.time() * MS_PER_S))
    record.write(f"{out.uid} is back on the list, still out by the operator")
    time.sleep(WATCH_S)
    for client in clients:
        client.stop()

    end = record.seconds()
    wrong = out.ids_between(said_yes + GRACE_S, end)
    other = listed.ids_between(said_yes + GRACE_S, end)
    record.write(f"clients got {[client.statuses for client in clients]}")
    record.write(f"from {GRACE_S} s after the yes on: {len(other)} requests at {listed.uid}, always listed")
    record.write(f"from {GRACE_S} s after the yes on: {len(wrong)} requests at {out.uid}, not called back")
    return bool(wrong or other)


if __name__ == "__main__":
    sys.exit(run(__file__, play))
