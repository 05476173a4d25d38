"""A stand-in for discovery, with the whole list and the watch of PROTOCOL."""

from __future__ import annotations

import json
import threading
import time
from http.server import BaseHTTPRequestHandler
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.support.http_call import LOOPBACK
from review.support.http_server import HttpServer
from review.support.record import Record

LIST_PATH = "/discovery/hosts"
MAX_WAIT_MS = 60_000
MS_PER_S = 1000.0
FIRST_REVISION = 41
HTTP_OK, HTTP_NOT_FOUND = 200, 404


class Discovery:
    """The list of one node's agent: numbered changes, told to the watch at once."""

    def __init__(self, record: Record) -> None:
        self.late_s = 0.0  # how late each answer comes
        self._record = record
        self._changed = threading.Condition(threading.RLock())
        self._revision = FIRST_REVISION
        self._targets: dict[str, dict[str, Any]] = {}
        self._changes_made: list[tuple[int, dict[str, Any]]] = []
        discovery = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self) -> None:
                discovery.answer(self)

            def log_message(self, format: str, *args: object) -> None:
                pass

        self._http = HttpServer((LOOPBACK, 0), Handler)
        self.port = int(self._http.server_address[1])
        threading.Thread(target=self._http.serve_forever, daemon=True).start()

    def put(self, uid: str, port: int, state: str = "Ready", boot_ms: int = 0) -> None:
        """Add or change an entry; the state `Gone` removes it."""
        target = {
            "uid": uid,
            "endpoint": f"{LOOPBACK}:{port}",
            "az": "tallinn-ulemiste",
            "model": "front-std",
            "pod_group": 0,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": boot_ms,
        }
        with self._changed:
            self._revision += 1
            self._changes_made.append((self._revision, target))
            if state == "Gone":
                self._targets.pop(uid, None)
            else:
                self._targets[uid] = target
            self._changed.notify_all()
        self._record.write(f"discovery: {uid} {state} at :{port}, boot_ms {boot_ms}")

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list in discovery's form."""
        with self._changed:
            return {"rev": self._revision, "all": True, "targets": list(self._targets.values())}

    def answer(self, call: BaseHTTPRequestHandler) -> None:
        """Answer one call of a node."""
        url = urlsplit(call.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        wait_ms = min(MAX_WAIT_MS, int(query.get("timeout_ms", "0")))
        if url.path == LIST_PATH and "since" in query:
            self._await_change(int(query["since"]), wait_ms / MS_PER_S)
        time.sleep(self.late_s)
        status, body = HTTP_OK, self.whole_list()
        if url.path != LIST_PATH:
            status, body = HTTP_NOT_FOUND, {}
        elif "since" in query:
            body = self._changes(int(query["since"]))
        data = json.dumps(body).encode()
        call.send_response(status)
        call.send_header("Content-Length", str(len(data)))
        call.end_headers()
        call.wfile.write(data)

    def _await_change(self, since: int, wait_s: float) -> None:
        with self._changed:
            self._changed.wait_for(lambda: self._revision != since, wait_s)

    def _changes(self, since: int) -> dict[str, Any]:
        with self._changed:
            if not FIRST_REVISION <= since <= self._revision:
                return self.whole_list()
            latest = {target["uid"]: target for revision, target in self._changes_made if revision > since}
            return {"rev": self._revision, "all": False, "targets": list(latest.values())}
