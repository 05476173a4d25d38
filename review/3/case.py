"""Long answers of slow servers are cut off after the client's deadline, while the server still gives them."""

from __future__ import annotations

import http.client
import sys
import threading
import time
from dataclasses import dataclass
from http import HTTPStatus
from http.server import BaseHTTPRequestHandler

from review.support.case import Case, run
from review.support.discovery import Discovery
from review.support.http_call import LOOPBACK
from review.support.programs import CaseNotRunError, Node
from review.support.record import Record
from review.support.servers import Server

SERVERS = 3
ORDERS = 6
PIECE = b"0123456789abcdef" * 4096  # 64 KiB
PIECES = 48  # 3 MiB in all; DAYS: "answers and bodies reach 32 MB"
SLOW_GAP_S = 0.4  # 160 kB/s: above the 64 kB/s that DAYS grants a client; a fifth of its 2 s
USUAL_GAP_S = 0.1
DEADLINE_MS = 3100  # BRIEF: a try is given up after 42 to 80% of the class's time, 7.3 s for `order`
CLIENT_WAITS_S = 5.0  # for the next byte
LONGEST_GAP_S = 1.0  # 64 kB/s; a server that falls below it, on a busy machine, is none of the page's
NOTICES_S = 3.0  # time for a server to notice at its next piece that its connection is closed
CHUNK = 65_536


class PieceServer(Server):
    """A sound server that writes its answer piece by piece, with the same gap after each."""

    gap_s = USUAL_GAP_S

    def __post_init__(self) -> None:
        """Start to listen."""
        super().__post_init__()
        self.longest_gap_s = 0.0
        self.closed_under: set[str] = set()  # ids of the answers that it could not go on to write

    def answer(self, call: BaseHTTPRequestHandler, request_id: str) -> None:
        """Write the answer; record when it was whole, or when the connection broke under it."""
        call.send_response(HTTPStatus.OK)
        call.send_header("Content-Length", str(len(PIECE) * PIECES))
        call.end_headers()
        last = time.monotonic()
        for number in range(PIECES):
            now = time.monotonic()
            self.longest_gap_s, last = max(self.longest_gap_s, now - last), now
            try:
                call.wfile.write(PIECE)
            except OSError as error:
                self.closed_under.add(request_id)
                self.record.write(f"{self.uid} {request_id}: {type(error).__name__} at piece {number}")
                raise
            time.sleep(self.gap_s)
        self.record.write(f"{self.uid} {request_id}: has written its whole answer")


@dataclass
class Order:
    """An order and what its client got of the answer."""

    request_id: str
    status: int = 0
    received: int = 0
    first_byte_s: float = 0.0  # since the request
    end_s: float = 0.0
    gave_up: bool = False  # the client stopped waiting for the next byte

    @property
    def cut_off(self) -> bool:
        """Whether an answer that came in time stopped before its end."""
        in_time = self.status == HTTPStatus.OK and self.first_byte_s * 1000.0 < DEADLINE_MS
        return in_time and not self.gave_up and self.received < len(PIECE) * PIECES


def send(order: Order, node: Node, record: Record) -> None:
    """Send an order, and read its answer as fast as it comes, to its end."""
    connection = http.client.HTTPConnection(LOOPBACK, node.port, timeout=CLIENT_WAITS_S)
    began = time.monotonic()
    headers = {"Req-Id": order.request_id, "Req-Deadline-Ms": str(DEADLINE_MS)}
    end = "whole"
    try:
        connection.request("POST", "/order/1", body=b"one book", headers=headers)
        response = connection.getresponse()
        order.status = response.status
        while data := response.read1(CHUNK):
            order.first_byte_s = order.first_byte_s or time.monotonic() - began
            order.received += len(data)
    except (OSError, http.client.HTTPException) as error:
        end = type(error).__name__
        order.gave_up = isinstance(error, TimeoutError)
    finally:
        connection.close()
    order.end_s = time.monotonic() - began
    if order.cut_off:
        end = "cut off" if end == "whole" else f"cut off, {end}"
    record.write(
        f"client {order.request_id}: {order.status}, first byte after {order.first_byte_s:.2f} s, "
        f"{order.received} of {len(PIECE) * PIECES} bytes after {order.end_s:.2f} s, {end}"
    )


def play(case: Case) -> bool:
    """Return whether an answer that its server still gave was cut off."""
    record = case.record
    discovery = Discovery(record)
    servers = [PieceServer(f"s-{number}", record) for number in range(1, SERVERS + 1)]
    for server in servers:
        server.gap_s = SLOW_GAP_S if case.trouble else USUAL_GAP_S
        discovery.put(server.uid, server.port)
    node = Node("n1", case.folder, case.ports, record, discovery.port, {"known": discovery.whole_list()})
    case.ends.callback(node.program.stop)
    node.start()

    record.write(f"servers write 64 KiB each {servers[0].gap_s} s; clients' deadline {DEADLINE_MS} ms")
    orders = [Order(f"order-{number}") for number in range(ORDERS)]
    threads = [threading.Thread(target=send, args=(order, node, record), daemon=True) for order in orders]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    served = [order for order in orders if order.status == HTTPStatus.OK]
    if not served:
        message = "no order got an answer"
        raise CaseNotRunError(message)
    time.sleep(NOTICES_S if any(order.cut_off for order in orders) else 0.0)
    longest_gap_s = max(server.longest_gap_s for server in servers)
    if longest_gap_s > LONGEST_GAP_S:
        message = f"a server paused for {longest_gap_s:.2f} s"
        raise CaseNotRunError(message)
    still_given = set().union(*(server.closed_under for server in servers))
    lost = [order for order in served if order.cut_off and order.request_id in still_given]
    record.write(f"the longest time between two pieces was {longest_gap_s:.2f} s")
    record.write(f"{len(served)} of {ORDERS} orders got the first bytes of their answer in time")
    record.write(f"{len(lost)} of these answers were cut off while their server still gave them")
    return bool(lost)


if __name__ == "__main__":
    sys.exit(run(__file__, play))
