"""One instance of the list service: PROTOCOL's reads and watches, the registry's writes, leases.

Reads come from what this instance has applied. While it knows no leader that holds a quorum,
or is a leader whose term has not yet committed a command, it still answers them, marked
`Registry-Stale: 1`: an agent then looks for a fresher instance
and keeps what it has if there is none, which is safer than an old list taken as new. A write
is answered only once a majority has committed it (Raft), else 503 after `COMMIT_S`.
"""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Callable
from typing import Any

import orjson
import structlog
from pysyncobj import SyncObj, SyncObjConf, SyncObjConsumer

from loadbalancer.node.http.service_http import Answer, Call, serve
from loadbalancer.registry import watch
from loadbalancer.registry.catalog import TargetCatalog, validate_target
from loadbalancer.registry.clock_file import ClockFile, ProcessClocks
from loadbalancer.registry.fleet_api import FleetApi
from loadbalancer.registry.fleet_catalog import FleetCatalog
from loadbalancer.registry.fleet_leader import FleetLeader
from loadbalancer.registry.service_clock import ServiceClock
from loadbalancer.registry.settings import CONNECTION_TIMEOUT_MS, InstanceSettings
from loadbalancer.registry.snapshot_file import SnapshotFile
from loadbalancer.registry.target_leases import TargetLeases

COMMIT_TIMEOUT_S = 2.0  # a write not committed in this time is refused; the caller tries again


def unix_ms() -> int:
    return int(time.time() * 1000)


def error(status: int, why: str) -> Answer:
    return Answer(status, orjson.dumps({"error": why}))


class RegistryInstance:
    """An instance: a Raft member that holds the catalog and the fleet's state, and its HTTP face."""

    def __init__(self, config: InstanceSettings, log: structlog.stdlib.BoundLogger) -> None:
        self.config = config
        self.log = log.bind(instance=config.name)
        self._loop = asyncio.get_running_loop()
        self._news: asyncio.Future[None] = self._loop.create_future()
        self._fleet_news: dict[str, asyncio.Future[None]] = {}  # by group, where somebody waits
        config.data.mkdir(parents=True, exist_ok=True)
        self.catalog = TargetCatalog(config.max_tombstones, self._changed)
        clocks = ProcessClocks(config.members.clock_offset_ms)
        clock_file = ClockFile(config.data, clocks)
        clock = ServiceClock(clock_file.load())
        self.fleet = FleetCatalog(clock, clocks.monotonic_ms, self._fleet_changed)
        http = "{}:{}".format(*config.listen)
        self.leader = FleetLeader(config.members, http, self.fleet, clock, clock_file, self.commit, self.log)
        self._fleet_web = FleetApi(self.fleet, self.leader, self._group_news, config.max_wait_ms, self.log)
        self.raft = self._join([self.catalog, self.fleet])
        self.leases = TargetLeases(self.catalog, self.raft, config.ttl_ms, self.commit, self.log)

    def _join(self, consumers: list[SyncObjConsumer]) -> SyncObj:
        config, dump = self.config, SnapshotFile(consumers)
        conf = SyncObjConf(
            journalFile=str(config.data / "raft.journal"),
            fullDumpFile=str(config.data / "raft.dump"),
            # Guard: pysyncobj listens on every address of the machine unless it is told one, and whoever
            # reaches a member's listener can have it unpickle what they send.
            bindAddress=config.raft,
            useFork=False,
            appendEntriesPeriod=config.append_period_ms / 1000.0,
            autoTickPeriod=min(0.05, config.append_period_ms / 2000.0),
            raftMinTimeout=config.election_min_ms / 1000.0,
            raftMaxTimeout=config.election_max_ms / 1000.0,
            # Raft's check-quorum: a leader that has heard from no majority for two election times steps
            # down, so that a parted one says it is stale rather than leading alone for pysyncobj's 30 s.
            leaderFallbackTimeout=2 * config.election_max_ms / 1000.0,
            connectionRetryTime=0.5,
            connectionTimeout=CONNECTION_TIMEOUT_MS / 1000.0,
            serializer=dump.write,
            deserializer=dump.read,
            onStateChanged=self.fleet.state_changed,
        )
        return SyncObj(config.raft, list(config.peers), conf, consumers=consumers)

    # Raft's side: called from its own thread.

    def _changed(self, revision: int) -> None:
        self._loop.call_soon_threadsafe(self._wake)

    def _wake(self) -> None:
        news, self._news = self._news, self._loop.create_future()
        news.set_result(None)

    def _fleet_changed(self, groups: frozenset[str] | None) -> None:
        self._loop.call_soon_threadsafe(self._wake_groups, groups)

    def _group_news(self, group: str) -> asyncio.Future[None]:
        return self._fleet_news.setdefault(group, self._loop.create_future())

    def _wake_groups(self, groups: frozenset[str] | None) -> None:
        for group in list(self._fleet_news) if groups is None else groups:
            news = self._fleet_news.pop(group, None)
            if news is not None:
                news.set_result(None)
        self.leader.wake()

    async def commit(self, command: Callable[..., Any], *args: Any) -> Any:
        """Propose a command and wait for its result once committed; TimeoutError if it is not in time."""
        done: asyncio.Future[Any] = self._loop.create_future()

        def settled(result: Any, failure: int) -> None:
            def give() -> None:
                if done.done():
                    return
                if failure:
                    done.set_exception(ConnectionError(f"raft refused the command ({failure})"))
                else:
                    done.set_result(result)

            self._loop.call_soon_threadsafe(give)

        command(*args, callback=settled)
        async with asyncio.timeout(COMMIT_TIMEOUT_S):
            return await done

    # The state of this instance.

    def status(self) -> dict[str, Any]:
        raft = self.raft.getStatus()
        revision, live, gone = self.catalog.count()
        leader = raft.get("leader")
        return {
            "name": self.config.name,
            "raft": raft["state"],  # 0 follower, 1 candidate, 2 leader
            "leader": str(leader) if leader is not None else None,
            "term": raft["raft_term"],
            "commit": raft["commit_idx"],
            "applied": raft["last_applied"],
            "rev": revision,
            "live": live,
            "gone": gone,
            "stale": self.stale(raft),
            "enrolments_refused": self._fleet_web.rejected_enrolments,
        }

    def stale(self, raft: dict[str, Any] | None = None) -> bool:
        """True without a leader in reach, and for a leader until a command of its own term has
        committed: before that it may not have applied all that its predecessors committed."""
        raft = raft or self.raft.getStatus()
        if raft["state"] == 2:
            return not raft["has_quorum"] or raft["raft_term"] != self.leases.granted_term
        return raft.get("leader") is None

    # HTTP.

    async def handle(self, call: Call) -> Answer:
        if call.path.startswith("/fleet/"):
            return await self._fleet_web.handle(call)
        try:
            if call.path == "/discovery/hosts" and call.method == "GET":
                return await self.read(call)
            if call.path == "/registry/status" and call.method == "GET":
                return Answer(200, orjson.dumps(self.status()))
            if call.path == "/registry/renew" and call.method == "POST":
                return await self.renew(call)
            if call.path.startswith("/registry/targets/"):
                return await self.write(call, call.path.removeprefix("/registry/targets/"))
            return error(404, f"no {call.method} {call.path}")
        except (TimeoutError, ConnectionError) as failure:
            self.log.warning("write_not_committed", path=call.path, why=str(failure) or "timeout")
            return error(503, "not committed: no leader with a quorum in time")

    async def read(self, call: Call) -> Answer:
        try:
            since, wait_s = watch.parse_query(call, self.config.max_wait_ms)
        except ValueError:
            return error(400, "since and timeout_ms are whole numbers")
        page = await watch.page_after_change(self.catalog.page, since, wait_s, lambda: self._news)
        return watch.page_answer(page, {"Registry-Stale": "1"} if self.stale() else {})

    async def write(self, call: Call, uid: str) -> Answer:
        change = uuid.uuid4().hex[:12]
        log = self.log.bind(change=change, uid=uid, method=call.method)
        if call.method == "DELETE":
            revision = await self.commit(self.catalog.remove, uid, unix_ms())
            log.info("target_removed", rev=revision)
            return Answer(200, orjson.dumps({"rev": revision, "change": change}))
        if call.method != "PUT":
            return error(405, "PUT or DELETE")
        try:
            row = orjson.loads(call.body)
            if isinstance(row, dict):
                row.setdefault("uid", uid)
            target = validate_target(row)
            if target["uid"] != uid:
                raise ValueError("uid: not the one in the path")
        except ValueError as failure:  # orjson's error is one too
            log.warning("target_refused", why=str(failure)[:200])
            return error(400, str(failure)[:200])
        revision = await self.commit(self.catalog.put, target, unix_ms())
        log.info("target_put", rev=revision, state=target["state"], endpoint=target["endpoint"])
        return Answer(200, orjson.dumps({"rev": revision, "change": change}))

    async def renew(self, call: Call) -> Answer:
        try:
            uids = orjson.loads(call.body)["uids"]
            if not isinstance(uids, list) or not all(isinstance(uid, str) for uid in uids):
                raise ValueError("uids: not a list of texts")
        except (ValueError, KeyError, TypeError) as failure:
            return error(400, f"renew wants {{'uids': [...]}}: {failure}"[:200])
        return Answer(200, orjson.dumps({"unknown": await self.leases.renew(uids)}))


async def run_instance(config: InstanceSettings, log: structlog.stdlib.BoundLogger) -> None:
    """Serve until SIGTERM or SIGINT; then close the door and leave the Raft group."""
    service = RegistryInstance(config, log)
    server = await serve(config.listen, service.handle)
    duties = [
        asyncio.create_task(duty())
        for duty in (service.leases.commit_renewals, service.leases.expire_leases, service.leader.run)
    ]
    service.log.info("instance_started", listen=f"{config.listen[0]}:{config.listen[1]}", raft=config.raft)
    await watch.until_signalled()
    service.log.info("instance_stopping", **service.status())
    server.close()
    for duty in duties:
        duty.cancel()
    service.raft.destroy()
