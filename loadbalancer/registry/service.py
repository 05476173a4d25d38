"""An instance of the list service: PROTOCOL's reads and watches, the registry's writes, leases.

Reads show the state that this instance has applied. While it knows no leader, or leads without a quorum or
before its term has committed a command, reads are marked `Registry-Stale: 1`: an agent then tries the other
instances, and keeps its cached list if none is up to date. A write succeeds only once a majority has
committed it (Raft); after COMMIT_TIMEOUT_S the response is 503.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import orjson
import structlog

from loadbalancer.node.http.service_server import HttpRequest, HttpResponse, serve
from loadbalancer.registry import watch
from loadbalancer.registry.addresses import format_address
from loadbalancer.registry.answers import error_response, json_response
from loadbalancer.registry.catalog import TargetCatalog
from loadbalancer.registry.clock_file import ClockFile, ProcessClocks
from loadbalancer.registry.errors import InvalidFieldError, NotCommittedError
from loadbalancer.registry.fleet_api import FleetApi
from loadbalancer.registry.fleet_catalog import FleetCatalog
from loadbalancer.registry.fleet_leader import FleetLeader
from loadbalancer.registry.raft import RAFT_LEADER, join_cluster
from loadbalancer.registry.service_clock import ServiceClock
from loadbalancer.registry.settings import InstanceSettings
from loadbalancer.registry.signals import wait_for_stop
from loadbalancer.registry.target import Target, validate_target
from loadbalancer.registry.target_leases import TargetLeases, new_change_id, unix_ms

COMMIT_TIMEOUT_S = 2.0  # limit for the commit of a write, after which the response is 503
MAX_ERROR_CHARACTERS = 200
TARGETS_PATH = "/registry/targets/"
STALE_HEADER = "Registry-Stale"


class RegistryInstance:
    """A Raft member that holds the catalog and the fleet's state, and its HTTP interface."""

    def __init__(self, config: InstanceSettings, log: structlog.stdlib.BoundLogger) -> None:
        self.config = config
        self.log = log.bind(instance=config.name)
        self._loop = asyncio.get_running_loop()
        self._next_change: asyncio.Future[None] = self._loop.create_future()
        self._next_group_change: dict[str, asyncio.Future[None]] = {}  # only for watched groups
        config.data.mkdir(parents=True, exist_ok=True)
        self.catalog = TargetCatalog(config.max_tombstones, self._on_catalog_change)
        clocks = ProcessClocks(config.members.clock_offset_ms)
        clock_file = ClockFile(config.data, clocks)
        clock = ServiceClock(clock_file.load())
        self.fleet = FleetCatalog(clock, clocks.monotonic_ms, self._on_fleet_change)
        address = format_address(config.listen)
        self.leader = FleetLeader(
            config.members, address, self.fleet, clock, clock_file, self.commit, self.log
        )
        self._fleet_api = FleetApi(self.fleet, self.leader, self._group_change, config.max_wait_ms, self.log)
        self.raft = join_cluster(config, [self.catalog, self.fleet], self.fleet.state_changed)
        self.leases = TargetLeases(self.catalog, self.raft, config.ttl_ms, self.commit, self.log)

    # Called in Raft's thread.

    def _on_catalog_change(self, revision: int) -> None:
        self._loop.call_soon_threadsafe(self._wake_target_watches)

    def _on_fleet_change(self, groups: frozenset[str] | None) -> None:
        self._loop.call_soon_threadsafe(self._wake_group_watches, groups)

    # Called in the event loop.

    def _wake_target_watches(self) -> None:
        change, self._next_change = self._next_change, self._loop.create_future()
        change.set_result(None)

    def _group_change(self, group: str) -> asyncio.Future[None]:
        return self._next_group_change.setdefault(group, self._loop.create_future())

    def _wake_group_watches(self, groups: frozenset[str] | None) -> None:
        for group in list(self._next_group_change) if groups is None else groups:
            change = self._next_group_change.pop(group, None)
            if change is not None:
                change.set_result(None)
        self.leader.wake()

    async def commit(self, command: Callable[..., object], *args: object) -> Any:  # noqa: ANN401  # depends on the command
        """Propose a command and return its result once it is committed.

        Raise NotCommittedError if Raft rejects the command, TimeoutError if it is not committed in time.
        """
        done: asyncio.Future[object] = self._loop.create_future()

        def resolve(result: object, failure: int) -> None:
            if done.done():
                return
            if failure:
                done.set_exception(NotCommittedError(f"raft rejected the command ({failure})"))
            else:
                done.set_result(result)

        def on_committed(result: object, failure: int) -> None:  # called in Raft's thread
            self._loop.call_soon_threadsafe(resolve, result, failure)

        command(*args, callback=on_committed)
        async with asyncio.timeout(COMMIT_TIMEOUT_S):
            return await done

    # The state of this instance.

    def status(self) -> dict[str, Any]:
        """Return the body of GET /registry/status; operators see the keys."""
        raft = self.raft.getStatus()
        counts = self.catalog.counts()
        leader = raft.get("leader")
        return {
            "name": self.config.name,
            "raft": raft["state"],  # 0 follower, 1 candidate, 2 leader
            "leader": str(leader) if leader is not None else None,
            "term": raft["raft_term"],
            "commit": raft["commit_idx"],
            "applied": raft["last_applied"],
            "rev": counts.revision,
            "live": counts.targets,
            "gone": counts.tombstones,
            "stale": self.is_stale(raft),
            "enrolments_refused": self._fleet_api.rejected_enrolments,
        }

    def is_stale(self, raft: dict[str, Any] | None = None) -> bool:
        """Whether this instance may lack committed commands.

        An instance that does not lead Raft may lack some while it knows no leader. A leader may lack some
        while it has no quorum, and until it has committed a command of its own term.
        """
        raft = raft or self.raft.getStatus()
        if raft["state"] == RAFT_LEADER:
            return not raft["has_quorum"] or raft["raft_term"] != self.leases.granted_term
        return raft.get("leader") is None

    # HTTP.

    async def handle(self, call: HttpRequest) -> HttpResponse:
        """Respond to any call."""
        if call.path.startswith("/fleet/"):
            return await self._fleet_api.handle(call)
        try:
            return await self._respond(call)
        except (TimeoutError, ConnectionError) as failure:
            self.log.warning("write_not_committed", path=call.path, why=str(failure) or "timeout")
            return error_response(
                HTTPStatus.SERVICE_UNAVAILABLE, "not committed: no leader with a quorum in time"
            )

    async def _respond(self, call: HttpRequest) -> HttpResponse:
        match call.method, call.path:
            case "GET", "/discovery/hosts":
                return await self._read(call)
            case "GET", "/registry/status":
                return json_response(HTTPStatus.OK, self.status())
            case "POST", "/registry/renew":
                return await self._renew(call)
        if call.path.startswith(TARGETS_PATH):
            return await self._write(call, call.path.removeprefix(TARGETS_PATH))
        return error_response(HTTPStatus.NOT_FOUND, f"no {call.method} {call.path}")

    async def _read(self, call: HttpRequest) -> HttpResponse:
        try:
            query = watch.parse_query(call, self.config.max_wait_ms)
        except InvalidFieldError:
            return error_response(HTTPStatus.BAD_REQUEST, "since and timeout_ms are whole numbers")
        page = await watch.page_after_change(self.catalog.page, query, lambda: self._next_change)
        return watch.page_response(page, {STALE_HEADER: "1"} if self.is_stale() else {})

    async def _write(self, call: HttpRequest, uid: str) -> HttpResponse:
        change = new_change_id()
        log = self.log.bind(change=change, uid=uid, method=call.method)
        if call.method == "DELETE":
            revision = await self.commit(self.catalog.remove, uid, unix_ms())
            log.info("target_removed", rev=revision)
            return json_response(HTTPStatus.OK, {"rev": revision, "change": change})
        if call.method != "PUT":
            return error_response(HTTPStatus.METHOD_NOT_ALLOWED, "PUT or DELETE")
        try:
            target = _target_in(call.body, uid)
        except ValueError as failure:  # includes orjson's error
            reason = str(failure)[:MAX_ERROR_CHARACTERS]
            log.warning("target_rejected", why=reason)
            return error_response(HTTPStatus.BAD_REQUEST, reason)
        revision = await self.commit(self.catalog.put, target, unix_ms())
        log.info("target_put", rev=revision, state=target["state"], endpoint=target["endpoint"])
        return json_response(HTTPStatus.OK, {"rev": revision, "change": change})

    async def _renew(self, call: HttpRequest) -> HttpResponse:
        try:
            uids = orjson.loads(call.body)["uids"]
            if not isinstance(uids, list) or not all(isinstance(uid, str) for uid in uids):
                raise InvalidFieldError(field="uids", value=uids, problem="not a list of texts")
        except (ValueError, KeyError, TypeError) as failure:
            reason = f"renew wants {{'uids': [...]}}: {failure}"
            return error_response(HTTPStatus.BAD_REQUEST, reason[:MAX_ERROR_CHARACTERS])
        return json_response(HTTPStatus.OK, {"unknown": await self.leases.renew(uids)})


def _target_in(body: bytes, uid: str) -> Target:
    """Decode the target put under this uid; raise a ValueError with the reason if it is invalid."""
    decoded = orjson.loads(body)
    if isinstance(decoded, dict):
        decoded.setdefault("uid", uid)
    target = validate_target(decoded)
    if target["uid"] != uid:
        raise InvalidFieldError(field="uid", value=target["uid"], problem="not the one in the path")
    return target


async def run_instance(config: InstanceSettings, log: structlog.stdlib.BoundLogger) -> None:
    """Serve until SIGTERM or SIGINT, then close the listener, stop the Raft member and complete responses."""
    instance = RegistryInstance(config, log)
    server = await serve(config.listen, instance.handle)
    tasks = [
        asyncio.create_task(run())
        for run in (instance.leases.commit_renewals, instance.leases.expire_leases, instance.leader.run)
    ]
    instance.log.info("instance_started", listen=format_address(config.listen), raft=config.raft)
    await wait_for_stop()
    instance.log.info("instance_stopping", **instance.status())
    server.close()
    for task in tasks:
        task.cancel()
    instance.raft.destroy()
    await server.complete_responses()
