"""Stand-ins for servers and for a steady client."""

from __future__ import annotations

import http.client
import threading
import time
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler

from review.support.http_call import LOOPBACK
from review.support.http_server import HttpServer
from review.support.record import Record

DEADLINE_MS = 3000


@dataclass
class Server:
    """A sound server: it serves each request with its own id, and records when its last byte had come."""

    uid: str
    record: Record
    work_s: float = 0.01
    requests: list[tuple[float, str]] = field(default_factory=list)  # seconds of the record, id
    bodies: dict[str, bytes] = field(default_factory=dict)  # of the requests, by id

    def __post_init__(self) -> None:
        server = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self) -> None:
                server.serve(self)

            def do_POST(self) -> None:
                server.serve(self)

            def log_message(self, format: str, *args: object) -> None:
                pass

        self._http = HttpServer((LOOPBACK, 0), Handler)
        self.port = int(self._http.server_address[1])
        threading.Thread(target=self._http.serve_forever, daemon=True).start()

    def serve(self, call: BaseHTTPRequestHandler) -> None:
        """Serve one request."""
        data = _read_body(call)
        request_id = call.headers.get("req-id") or ""
        at = self.record.write(f"{self.uid} runs {request_id}, a body of {len(data)} bytes", show=False)
        self.bodies[request_id] = data
        self.requests.append((at, request_id))
        self.answer(call, request_id)

    def answer(self, call: BaseHTTPRequestHandler, request_id: str) -> None:
        """Work for a moment and answer with the server's name and the request's id."""
        time.sleep(self.work_s)
        body = f"{self.uid} {request_id}".encode()
        call.send_response(200)
        call.send_header("Content-Length", str(len(body)))
        call.end_headers()
        call.wfile.write(body)

    def ids_between(self, start: float, end: float) -> list[str]:
        """Return the ids of the requests that came after `start` and before `end`, in seconds."""
        return [request_id for at, request_id in self.requests if start < at < end]


def _read_body(call: BaseHTTPRequestHandler) -> bytes:
    if (call.headers.get("transfer-encoding") or "").lower() != "chunked":
        return call.rfile.read(int(call.headers.get("content-length") or 0))
    body = b""
    while size := int(call.rfile.readline().split(b";")[0], 16):
        body += call.rfile.read(size)
        call.rfile.readline()
    while call.rfile.readline().strip():
        continue
    return body


class Client:
    """A client that sends one `GET /search/...` after another on a connection that it keeps."""

    def __init__(self, name: str, port: int, record: Record, pause_s: float = 0.05) -> None:
        self._name, self._port, self._record, self._pause_s = name, port, record, pause_s
        self._ends = threading.Event()
        self.statuses: dict[str, int] = {}
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Send no more requests; wait for the last answer."""
        self._ends.set()
        self._thread.join(DEADLINE_MS / 1000)

    def _run(self) -> None:
        connection, number = http.client.HTTPConnection(LOOPBACK, self._port, timeout=DEADLINE_MS / 1000), 0
        while not self._ends.wait(self._pause_s):
            number += 1
            request_id = f"{self._name}-{number}"
            headers = {"Req-Id": request_id, "Req-Deadline-Ms": str(DEADLINE_MS)}
            try:
                connection.request("GET", f"/search/{number}", headers=headers)
                response = connection.getresponse()
                result = f"{response.status} {response.read().decode(errors='replace')}"
            except (OSError, http.client.HTTPException) as error:
                connection.close()
                result = type(error).__name__
            self._record.write(f"client {request_id}: {result}", show=False)
            key = result.split()[0]
            self.statuses[key] = self.statuses.get(key, 0) + 1
