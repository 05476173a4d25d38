"""Orders from clients that offer an upgrade to HTTP/2 reach the server without their body."""

from __future__ import annotations

import http.client
import json
import sys
from dataclasses import dataclass
from http import HTTPStatus

from review.support.case import Case, run
from review.support.discovery import Discovery
from review.support.http_call import LOOPBACK
from review.support.programs import CaseNotRunError, Node
from review.support.record import Record
from review.support.servers import Server

SERVERS = 3
ORDERS = 20
BOOKS = 8
DEADLINE_MS = 7300
MS_PER_S = 1000.0
# The headers with which a client of HTTP/1.1 offers to go on in HTTP/2 (RFC 9110, section 7.8; RFC 7540,
# section 3.2). A server that does not speak it ignores them and answers the request.
OFFER = {
    "Connection": "Upgrade, HTTP2-Settings",
    "Upgrade": "h2c",
    "HTTP2-Settings": "AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA",
}


@dataclass
class Order:
    """An order as its client sent it, and the answer."""

    request_id: str
    body: bytes
    status: int


def send_order(node: Node, number: int, offers: bool, record: Record) -> Order:
    """Send one order on a connection of its own and read the answer."""
    request_id = f"order-{number}"
    lines = [{"book": f"isbn-{number}-{line}", "copies": line + 1} for line in range(BOOKS)]
    body = json.dumps({"order": request_id, "lines": lines}).encode()
    headers = {"Req-Id": request_id, "Req-Deadline-Ms": str(DEADLINE_MS), **(OFFER if offers else {})}
    connection = http.client.HTTPConnection(LOOPBACK, node.port, timeout=DEADLINE_MS / MS_PER_S)
    try:
        connection.request("POST", f"/order/{number}", body=body, headers=headers)
        response = connection.getresponse()
        answer = response.read().decode(errors="replace")
    finally:
        connection.close()
    offer = "with the offer" if offers else "plain"
    record.write(f"client {request_id}, {offer}, a body of {len(body)} bytes: {response.status} {answer}")
    return Order(request_id, body, response.status)


def play(case: Case) -> bool:
    """Return whether a server ran an order with a body that its client did not send."""
    record = case.record
    discovery = Discovery(record)
    servers = [Server(f"s-{number}", record) for number in range(1, SERVERS + 1)]
    for server in servers:
        discovery.put(server.uid, server.port)
    known = {"known": discovery.whole_list()}
    node = Node("n1", case.folder, case.ports, record, discovery.port, known)
    case.ends.callback(node.program.stop)
    node.start()

    # Every second client offers the upgrade.
    orders = [send_order(node, number, case.trouble and number % 2 == 0, record) for number in range(ORDERS)]
    ran = {request_id: body for server in servers for request_id, body in server.bodies.items()}
    altered = [order for order in orders if order.request_id in ran and ran[order.request_id] != order.body]
    confirmed = [order for order in altered if order.status == HTTPStatus.OK]
    if not any(order.status == HTTPStatus.OK for order in orders):
        message = "no order was served"
        raise CaseNotRunError(message)
    for order in altered:
        body = ran[order.request_id]
        record.write(f"{order.request_id}: sent {len(order.body)} bytes, ran with {len(body)}: {body[:60]!r}")
    record.write(
        f"{ORDERS} orders, {len(ran)} ran, {len(altered)} of them with another body than their client sent; "
        f"{len(confirmed)} of these were answered 200"
    )
    return bool(altered)


if __name__ == "__main__":
    sys.exit(run(__file__, play))
