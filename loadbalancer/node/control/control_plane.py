"""The fleet's part of a node: its cores put together, and what operators see of them."""

from __future__ import annotations

import os
import secrets
from collections import Counter
from random import Random
from typing import Any

import msgspec
import orjson

from loadbalancer.balancing.events import ConfidenceUpdate, QuotaGrant
from loadbalancer.endpoints import Confidence
from loadbalancer.membership import (
    Changed,
    Connectivity,
    DetectorConfig,
    Enrolment,
    FailureDetector,
    LeaseStatus,
    Sibling,
    Verdict,
    Viewed,
    Word,
    connectivity,
    verdict,
)
from loadbalancer.membership.messages import LeaseAnswer
from loadbalancer.node.admin.server import AdminResponse, AdminRoutes
from loadbalancer.node.balancer_driver import Driver
from loadbalancer.node.clock import Clock
from loadbalancer.node.config import NodeConfig
from loadbalancer.node.control import lease as lease_shell
from loadbalancer.node.control.freshness_tracker import FreshnessTracker
from loadbalancer.node.control.probe_transport import ProbeTransport, log
from loadbalancer.node.control.registry_client import RegistryClient
from loadbalancer.node.control.route_activation import RouteActivator
from loadbalancer.node.control.route_store import RouteStore
from loadbalancer.node.control.timers import MembershipClock
from loadbalancer.node.discovery.watcher import EndpointListWatcher
from loadbalancer.node.endpoint_list import EndpointList
from loadbalancer.routing import Follower
from loadbalancer.staleness import ClockOffsets

ORDER_MS = 3_000.0  # an operator's word that the list service has not answered by then is a no
SIBLING_MS = 3_000.0  # a node that no sibling has answered for so long, nor the list service, is alone


class ControlPlane:
    """A part of the node (node/component.py) where the configuration names `members`."""

    def __init__(
        self,
        config: NodeConfig,
        clock: Clock,
        servers: EndpointList,
        watcher: EndpointListWatcher,
        driver: Driver,
    ) -> None:
        """`config.members` is there."""
        assert config.membership is not None
        name, tell, self.settings = config.name, driver.tell, config.membership
        settings = self.settings
        classes = tuple(kind.name for kind in config.settings.classes)
        self.clock = MembershipClock(clock, settings.clock_offset_ms)
        self._name, self._tell = name, tell
        self._shared: QuotaGrant | None = None  # as last told to the module
        self.clock_offsets = ClockOffsets()
        agent = RegistryClient(lambda: watcher.address)
        random = Random(int.from_bytes(os.urandom(8), "big"))  # apart from the module's, which stays as it is
        start = secrets.token_hex(8)
        self.lease = lease_shell.LeaseClient(
            Enrolment(name, settings.listen, settings.zone, start, random, settings.service),
            agent,
            self.clock,
            self.clock_offsets,
        )
        detection = DetectorConfig(
            period_ms=settings.probe_period_ms,
            urgent_period_ms=settings.urgent_probe_period_ms,
            probe_timeout_ms=settings.probe_timeout_ms,
        )
        detector = FailureDetector(0, random, detection)
        self.probe_transport = ProbeTransport(detector, self.clock, config.membership_descriptors // 2)
        folder = settings.routes_path
        store = RouteStore(folder) if folder is not None else None
        follower = Follower(classes, settings.max_clock_uncertainty_ms)
        self.route_activation = RouteActivator(follower, agent, self.clock, store, tell)
        self.freshness = FreshnessTracker(
            settings, self.clock, self.clock_offsets, servers, driver, self._on_marks
        )
        self.freshness.connectivity = lambda: self.connectivity(self.clock.now_ms()).value
        driver.before.append(self.route_activation.run_if_due)
        self._agent = agent
        self._servers = servers
        self.lease.on_answer = self._on_answer
        self.lease.on_lease_lost = self._on_gone
        self.lease.on_quota_change = self._on_share
        self.probe_transport.before_tick = self._before_tick
        self.probe_transport.on_report = self._on_view
        self.probe_transport.on_change = self._on_change

    # -------------------------------------------------------------- as a part of the node

    async def start(self) -> None:
        """Listening comes before enrolment: it shows that no other process of this node lives
        (membership/quota_ledger.py)."""
        self.route_activation.start()
        self._on_share()
        self.freshness.start()
        self.probe_transport.listen(self.settings.address, self.lease.start)

    def begin_drain(self) -> None:
        self.lease.begin_drain()

    async def stop(self) -> None:
        await self.lease.leave()

    def close(self) -> None:
        self.lease.close()
        self.probe_transport.close()
        self.route_activation.close()
        self.freshness.close()
        self._agent.close()

    def metrics(self) -> str:
        now = self.clock.now_ms()
        counts = Counter(self.verdicts(now).values())
        lines: dict[str, float] = {f"members_{kind.value}": counts[kind] for kind in Verdict}
        lines |= {
            "members_asks": self.probe_transport.probes_sent,
            "members_asked": self.probe_transport.probes_received,
            "members_refused": self.probe_transport.rejected_calls,
            "members_ignored": self.probe_transport.core.ignored.total(),
            "view_refused": self.freshness.rejected_reports,
            "lease_failures": self.lease.failures,
            "share": round(self.lease.core.taking(now), 6),
            "route_version": self.route_activation.core.running,
            "route_switches": self.route_activation.switches,
            "route_late_ms": round(self.route_activation.last_delay_ms, 3),
        }
        return "".join(f"proxy.{name}={value}\n" for name, value in lines.items())

    # --------------------------------------------------------------- what passes between the cores

    def _on_answer(self, now: float, answer: LeaseAnswer) -> None:
        core = self.lease.core
        self.probe_transport.core.set_incarnation(answer.incarnation)
        siblings = [
            Sibling(member.incarnation, member.name, member.address)
            for member in core.members
            if member.state != "left"
        ]
        self.probe_transport.carry_out(self.probe_transport.core.set_members(now, siblings))
        others = [sibling.incarnation for sibling in siblings if sibling.incarnation != answer.incarnation]
        self.freshness.set_members(others)
        service = self.lease.service_ms(now)
        if service is not None:
            self.route_activation.on_lease_answer(now, core.lease_end, service, answer)
        self.lease.set_revisions(answer.rev, int(answer.routes.get("rev", 0)))

    def _on_gone(self, now: float) -> None:
        self.route_activation.carry_out(self.route_activation.core.gone(now))

    def _on_share(self) -> None:
        """The module is told of the share with its end, so that no timer of this shell has to end it in
        time."""
        share = self.lease.core.share(self.clock.now_ms())
        event = QuotaGrant(share.share, share.rows, self.clock.to_node_ms(share.until_ms))
        if event != self._shared:
            self._shared = event
            self._tell(event)

    def _before_tick(self, now: float) -> None:
        core, service = self.lease.core, self.lease.service_ms(now)
        if service is not None and core.incarnation is not None:
            self.probe_transport.core.set_standing(now, core.standing(now), max(0.0, service[0]))
        if not core.attached(now):
            core.heard(now, self._words(now))
            self._on_share()
        self.probe_transport.core.set_view(self.freshness.report(now))

    def _words(self, now: float) -> dict[int, Word]:
        """What siblings said of themselves, each no later than it may have been said by this node's clock."""
        words = {}
        for incarnation, (standing, said) in self.probe_transport.core.standings().items():
            span = self.clock_offsets.to_local(lease_shell.REGISTRY_PEER, now, said)
            if span is not None:
                words[incarnation] = Word(standing, span[0])
        return words

    def _on_view(self, viewed: Viewed) -> None:
        if viewed.sent is not None:
            self.clock_offsets.add_sample(viewed.incarnation, viewed.sent, viewed.at, viewed.at, viewed.now)
        self.freshness.receive_report(viewed)

    def _on_change(self, changed: Changed) -> None:
        log.info(
            "members: incarnation %d is %s, was %s", changed.incarnation, changed.new.value, changed.old.value
        )

    def _on_marks(self, marks: dict[str, Confidence]) -> None:
        self._tell(ConfidenceUpdate(marks))
        now = self.clock.now_ms()
        known = self.freshness.confidence()
        # As in the module: where no route is better than weak, marks tell nothing of one against another.
        told = any(mark in (Confidence.HIGH, Confidence.MEDIUM) for mark in known.values())
        blind = [name for name, mark in known.items() if told and mark is Confidence.NONE]
        listed = tuple(server for server, _ in self._servers.endpoints.values())
        self.route_activation.carry_out(self.route_activation.core.seen(now, listed, blind))

    # -------------------------------------------------------------------------- for operators

    def connectivity(self, now: float) -> Connectivity:
        core = self.lease.core
        renewed = now if core.attached(now) else None
        return connectivity(now, core.ttl_ms, renewed, self.probe_transport.core.last_ack_at, SIBLING_MS)

    def verdicts(self, now: float) -> dict[int, Verdict]:
        core = self.lease.core
        attached, reachability = core.attached(now), self.probe_transport.core.reachability()
        found = {}
        for member in core.members:
            if member.incarnation in reachability:
                lease = LeaseStatus.LAPSED if member.state == "lapsed" else LeaseStatus.LIVE
                leaving = member.state in ("leaving", "left")
                known = lease if attached else LeaseStatus.UNKNOWN
                found[member.incarnation] = verdict(known, reachability[member.incarnation], leaving)
        return found

    def status(self) -> dict[str, Any]:
        """The body of GET /status/members."""
        now, core = self.clock.now_ms(), self.lease.core
        share, service = core.share(now), self.lease.service_ms(now)
        reachability, verdicts = self.probe_transport.core.reachability(), self.verdicts(now)
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
            "stand": self.connectivity(now).value,
            "standing": core.standing(now).name.lower(),
            "share": core.taking(now),
            "rows": share.rows,
            "elector": core.elector,
            "lease_ms": max(0.0, core.lease_end - now) if core.incarnation is not None else 0.0,
            "now_ms": now,
            "service_ms": service,
            "routes": self.route_activation.core.status(now),
            "health": self.probe_transport.core.health,
            "ignored": dict(self.probe_transport.core.ignored),
            "siblings": siblings,
        }

    def routes_status(self) -> dict[str, Any]:
        """The body of GET /status/routes."""
        now = self.clock.now_ms()
        return {
            "stand": self.connectivity(now).value,
            "edges": msgspec.to_builtins(self.freshness.edges(now)),
        }

    def admin_calls(self) -> AdminRoutes:
        """The door's calls on the fleet."""
        return {
            (b"GET", b"/status/members"): lambda _: AdminResponse(200, _json(self.status())),
            (b"GET", b"/status/routes"): lambda _: AdminResponse(200, _json(self.routes_status())),
            (b"PUT", b"/routes/halt"): lambda body: self._order("routes/halt", body),
            (b"PUT", b"/routes/rollback"): lambda body: self._order("routes/rollback", body),
        }

    async def _order(self, path: str, body: bytes) -> AdminResponse:
        """Pass an operator's word on to the list service: its yes is this call's."""
        text = body.decode("ascii", "replace").strip()
        if text and not (text.isdigit() and len(text) < 16):
            return AdminResponse(400, b"a version's number")
        try:
            reply = await self._agent.post(path, {"number": int(text)} if text else {}, ORDER_MS)
        except (OSError, TimeoutError) as error:
            return AdminResponse(503, f"list service not reached: {error}".encode())
        return AdminResponse(reply.status, reply.body)


def _json(row: dict[str, Any]) -> bytes:
    return orjson.dumps(row, option=orjson.OPT_NON_STR_KEYS)  # versions are numbers
