"""The fleet's part of a node: its cores put together, and what operators see of them."""

from __future__ import annotations

import os
import secrets
from collections import Counter
from random import Random
from typing import Any

import orjson

from loadbalancer.balancing.events import ConfidenceUpdate, QuotaGrant
from loadbalancer.endpoints import Confidence
from loadbalancer.membership import (
    Connectivity,
    DetectorConfig,
    FailureDetector,
    LeaseStatus,
    MemberLease,
    ReachabilityChanged,
    Sibling,
    SiblingReport,
    Verdict,
    ViewReceived,
    connectivity,
    verdict,
)
from loadbalancer.membership.messages import LeaseAnswer
from loadbalancer.node.admin.server import Answer, Calls
from loadbalancer.node.balancer_driver import Driver
from loadbalancer.node.clock import Clock
from loadbalancer.node.config import Config as NodeConfig
from loadbalancer.node.control import lease as lease_shell
from loadbalancer.node.control.freshness_tracker import Sight
from loadbalancer.node.control.probe_transport import ProbeTransport, log
from loadbalancer.node.control.registry_client import Agent
from loadbalancer.node.control.route_activation import Routing
from loadbalancer.node.control.route_store import RouteStore
from loadbalancer.node.control.timers import FleetClock
from loadbalancer.node.discovery.watcher import Watcher
from loadbalancer.node.endpoint_list import ServerList
from loadbalancer.routing import RouteParticipant
from loadbalancer.staleness import Offsets

ORDER_MS = 3_000.0  # an operator's word that the list service has not answered by then is a no
SIBLING_MS = 3_000.0  # a node that no sibling has answered for so long, nor the list service, is alone


class FleetPart:
    """A part of the node (node/component.py) where the configuration names `members`."""

    def __init__(
        self,
        config: NodeConfig,
        clock: Clock,
        servers: ServerList,
        watcher: Watcher,
        driver: Driver,
    ) -> None:
        """`config.members` is there."""
        assert config.members is not None
        name, tell, self.settings = config.name, driver.tell, config.members
        settings = self.settings
        classes = tuple(kind.name for kind in config.settings.classes)
        self.clock = FleetClock(clock, settings.clock_offset_ms)
        self._name, self._tell = name, tell
        self._shared: QuotaGrant | None = None  # as last told to the module
        self.offsets = Offsets()
        agent = Agent(lambda: watcher.address)
        random = Random(int.from_bytes(os.urandom(8), "big"))  # apart from the module's, which stays as it is
        start = secrets.token_hex(8)
        self.lease = lease_shell.Lease(
            MemberLease(name, settings.listen, settings.zone, start, random, settings.service),
            agent,
            self.clock,
            self.offsets,
        )
        detection = DetectorConfig(
            period_ms=settings.ask_every_ms,
            urgent_period_ms=settings.urgent_ask_every_ms,
            probe_timeout_ms=settings.ask_timeout_ms,
        )
        detector = FailureDetector(0, random, detection)
        self.probing = ProbeTransport(detector, self.clock, config.member_sockets // 2)
        folder = settings.folder
        store = RouteStore(folder) if folder is not None else None
        follower = RouteParticipant(classes, settings.clock_bound_ms)
        self.routing = Routing(follower, agent, self.clock, store, tell)
        self.sight = Sight(settings, self.clock, self.offsets, servers, driver, self._on_marks)
        self.sight.stand = lambda: self.stand(self.clock.ms()).value
        driver.before.append(self.routing.on_time)
        self._agent = agent
        self._servers = servers
        self.lease.on_answer = self._on_answer
        self.lease.on_gone = self._on_gone
        self.lease.on_share = self._on_share
        self.probing.before_tick = self._before_tick
        self.probing.on_view = self._on_view
        self.probing.on_change = self._on_change

    # -------------------------------------------------------------- as a part of the node

    async def start(self) -> None:
        """Listening comes before enrolment: it shows that no other process of this node lives
        (membership/quota_ledger.py)."""
        self.routing.start()
        self._on_share()
        self.sight.start()
        self.probing.listen(self.settings.address, self.lease.start)

    def drains(self) -> None:
        self.lease.leaving()

    async def stop(self) -> None:
        await self.lease.leave()

    def close(self) -> None:
        self.lease.close()
        self.probing.close()
        self.routing.close()
        self.sight.close()
        self._agent.close()

    def metrics(self) -> str:
        now = self.clock.ms()
        counts = Counter(self.verdicts(now).values())
        lines: dict[str, float] = {f"members_{kind.value}": counts[kind] for kind in Verdict}
        lines |= {
            "members_asks": self.probing.probes_sent,
            "members_asked": self.probing.probes_received,
            "members_refused": self.probing.refused,
            "members_ignored": self.probing.core.ignored.total(),
            "view_refused": self.sight.refused,
            "lease_failures": self.lease.failures,
            "share": round(self.lease.core.quota_in_force(now), 6),
            "route_version": self.routing.core.running_version,
            "route_switches": self.routing.switches,
            "route_late_ms": round(self.routing.latest_ms, 3),
        }
        return "".join(f"proxy.{name}={value}\n" for name, value in lines.items())

    # --------------------------------------------------------------- what passes between the cores

    def _on_answer(self, now: float, answer: LeaseAnswer) -> None:
        core = self.lease.core
        self.probing.core.set_incarnation(answer.incarnation)
        siblings = [
            Sibling(member.incarnation, member.name, member.address)
            for member in core.members
            if member.state != "left"
        ]
        self.probing.carry_out(self.probing.core.set_members(now, siblings))
        others = [sibling.incarnation for sibling in siblings if sibling.incarnation != answer.incarnation]
        self.sight.members(others)
        service = self.lease.service_ms(now)
        if service is not None:
            self.routing.answered(now, core.lease_end_ms, service, answer)
        self.lease.told(answer.revision, int(answer.routes.get("rev", 0)))

    def _on_gone(self, now: float) -> None:
        self.routing.carry_out(self.routing.core.on_unregistered(now))

    def _on_share(self) -> None:
        """The module is told of the share with its end, so that no timer of this shell has to end it in
        time."""
        share = self.lease.core.quota(self.clock.ms())
        event = QuotaGrant(share.quota, share.members, self.clock.of_module(share.until_ms))
        if event != self._shared:
            self._shared = event
            self._tell(event)

    def _before_tick(self, now: float) -> None:
        core, service = self.lease.core, self.lease.service_ms(now)
        if service is not None and core.incarnation is not None:
            self.probing.core.set_quota_status(now, core.quota_status(now), max(0.0, service[0]))
        if not core.is_attached(now):
            core.on_sibling_reports(now, self._words(now))
            self._on_share()
        self.probing.core.set_view(self.sight.share(now))

    def _words(self, now: float) -> dict[int, SiblingReport]:
        """What siblings said of themselves, each no later than it may have been said by this node's clock."""
        words = {}
        for incarnation, (standing, said) in self.probing.core.quota_reports().items():
            span = self.offsets.to_own(lease_shell.SERVICE, now, said)
            if span is not None:
                words[incarnation] = SiblingReport(standing, span[0])
        return words

    def _on_view(self, viewed: ViewReceived) -> None:
        if viewed.probe_sent_ms is not None:
            self.offsets.sample(
                viewed.incarnation,
                viewed.probe_sent_ms,
                viewed.sent_at_ms,
                viewed.sent_at_ms,
                viewed.received_ms,
            )
        self.sight.told(viewed)

    def _on_change(self, changed: ReachabilityChanged) -> None:
        log.info(
            "members: incarnation %d is %s, was %s", changed.incarnation, changed.new.value, changed.old.value
        )

    def _on_marks(self, marks: dict[str, Confidence]) -> None:
        self._tell(ConfidenceUpdate(marks))
        now = self.clock.ms()
        known = self.sight.marks()
        # As in the module: where no route is better than weak, marks tell nothing of one against another.
        told = any(mark in (Confidence.HIGH, Confidence.MEDIUM) for mark in known.values())
        blind = [name for name, mark in known.items() if told and mark is Confidence.NONE]
        listed = tuple(server for server, _ in self._servers.listed.values())
        self.routing.carry_out(self.routing.core.set_endpoints(now, listed, blind))

    # -------------------------------------------------------------------------- for operators

    def stand(self, now: float) -> Connectivity:
        core = self.lease.core
        renewed = now if core.is_attached(now) else None
        return connectivity(now, core.ttl_ms, renewed, self.probing.core.last_ack_at, SIBLING_MS)

    def verdicts(self, now: float) -> dict[int, Verdict]:
        core = self.lease.core
        attached, reachability = core.is_attached(now), self.probing.core.reachability()
        found = {}
        for member in core.members:
            if member.incarnation in reachability:
                lease = LeaseStatus.EXPIRED if member.state == "lapsed" else LeaseStatus.LIVE
                leaving = member.state in ("leaving", "left")
                known = lease if attached else LeaseStatus.UNKNOWN
                found[member.incarnation] = verdict(known, reachability[member.incarnation], leaving)
        return found

    def status(self) -> dict[str, Any]:
        """The body of GET /status/members."""
        now, core = self.clock.ms(), self.lease.core
        share, service = core.quota(now), self.lease.service_ms(now)
        reachability, verdicts = self.probing.core.reachability(), self.verdicts(now)
        siblings = [
            {
                "name": member.name,
                "incarnation": member.incarnation,
                "address": member.address,
                "state": member.state,
                "hearing": reachability[member.incarnation].value,
                "verdict": verdicts[member.incarnation].value,
            }
            for member in core.members
            if member.incarnation in verdicts
        ]
        return {
            "name": self._name,
            "service": self.settings.service,
            "incarnation": core.incarnation,
            "stand": self.stand(now).value,
            "standing": core.quota_status(now).name.lower(),
            "share": core.quota_in_force(now),
            "rows": share.members,
            "elector": core.elector,
            "lease_ms": max(0.0, core.lease_end_ms - now) if core.incarnation is not None else 0.0,
            "now_ms": now,
            "service_ms": service,
            "routes": self.routing.core.status(now),
            "health": self.probing.core.health,
            "ignored": dict(self.probing.core.ignored),
            "siblings": siblings,
        }

    def routes_status(self) -> dict[str, Any]:
        """The body of GET /status/routes."""
        now = self.clock.ms()
        return {"stand": self.stand(now).value, "edges": self.sight.status(now)}

    def calls(self) -> Calls:
        """The door's calls on the fleet."""
        return {
            (b"GET", b"/status/members"): lambda _: Answer(200, _json(self.status())),
            (b"GET", b"/status/routes"): lambda _: Answer(200, _json(self.routes_status())),
            (b"PUT", b"/routes/halt"): lambda body: self._order("routes/halt", body),
            (b"PUT", b"/routes/rollback"): lambda body: self._order("routes/rollback", body),
        }

    async def _order(self, path: str, body: bytes) -> Answer:
        """Pass an operator's word on to the list service: its yes is this call's."""
        text = body.decode("ascii", "replace").strip()
        if text and not (text.isdigit() and len(text) < 16):
            return Answer(400, b"a version's number")
        try:
            reply = await self._agent.post(path, {"number": int(text)} if text else {}, ORDER_MS)
        except (OSError, TimeoutError) as error:
            return Answer(503, f"list service not reached: {error}".encode())
        return Answer(reply.status, reply.body)


def _json(row: dict[str, Any]) -> bytes:
    return orjson.dumps(row, option=orjson.OPT_NON_STR_KEYS)  # versions are numbers
