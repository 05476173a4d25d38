"""The fleet's calls over HTTP (docs/fleet.md): checked, passed on to the instance that leads, answered there.

200 done, and what a body says is in the log; 400 a call that is not as it has to be, with one line saying
why; 404 no such row, version or path; 409 refused, or too late; 503 not done, as far as known: say it again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar
from urllib.parse import unquote

import msgspec
import orjson
import structlog

from loadbalancer.membership.messages import LeaseAnswer
from loadbalancer.node.http.service_http import HttpClient, HttpRequest, HttpResponse
from loadbalancer.registry import watch
from loadbalancer.registry.addresses import parse_address
from loadbalancer.registry.commands import EnrolMember
from loadbalancer.registry.errors import InvalidFieldError, MemberLimitError
from loadbalancer.registry.fleet_catalog import FleetCatalog, MemberGrant, MembersRemoved, Rejected, Renewal
from loadbalancer.registry.fleet_leader import FleetLeader
from loadbalancer.registry.forwarding import HOP_HEADER, forward
from loadbalancer.registry.messages import (
    EnrolRequest,
    HaltRequest,
    MemberRequest,
    RenewRequest,
    RollbackRequest,
    VoteRequest,
)
from loadbalancer.registry.renewal_relay import (
    FORWARD_TIMEOUT_S,
    RenewalRelay,
    decode_renewals,
    encode_answers,
)
from loadbalancer.registry.renewal_relay import MAX_BATCH_BODY_BYTES as MAX_BATCH_BODY
from loadbalancer.routing.route_table import MAX_TEXT_BYTES, parse_table
from loadbalancer.routing.version_record import ActivationOutcome

MAX_BODY_BYTES = 8 * 1024
MAX_BODY_BYTES_BY_CALL = {
    ("PUT", "routes"): MAX_TEXT_BYTES,
    ("POST", "renew-many"): MAX_BATCH_BODY,
}  # of bodies, in bytes
REJECTIONS_PER_LOG_LINE = (
    1_000  # enrolments refused at a limit: one line for the first, then for each so many
)

B = TypeVar("B")


def reply(status: int, body: Any) -> HttpResponse:
    return HttpResponse(status, orjson.dumps(body))


def error(status: int, why: str) -> HttpResponse:
    return reply(status, {"error": why[:300]})


def _read(kind: type[B], body: bytes) -> B:
    """The body as `kind`; ValueError names the field that is wrong, in one line."""
    try:
        return msgspec.json.decode(body or b"{}", type=kind)
    except (msgspec.MsgspecError, RecursionError) as failure:
        raise ValueError(f"body: {failure}") from failure


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class FleetApi:
    """The handlers; `news` gives the future that is done at the next change of a group's member list, or of
    the routes."""

    def __init__(
        self,
        fleet: FleetCatalog,
        leader: FleetLeader,
        news: Callable[[str], asyncio.Future[None]],
        max_wait_ms: int,
        log: structlog.stdlib.BoundLogger,
    ) -> None:
        self._fleet, self._leader, self._news = fleet, leader, news
        self._max_wait_ms, self._log = max_wait_ms, log
        self._client = HttpClient()
        self._relay = RenewalRelay(self._client, self._other_leader, log)
        self._failures = 0
        self.rejected_enrolments = 0  # enrolments refused at a limit
        self._handlers: dict[tuple[str, str], Handler] = {
            ("POST", "enrol"): self._enrol,
            ("POST", "renew"): self._renew,
            ("POST", "renew-many"): self._renew_many,
            ("POST", "leaving"): self._leaving,
            ("POST", "leave"): self._leave,
            ("GET", "members"): self._members,
            ("GET", "routes"): self._routes,
            ("PUT", "routes"): self._propose,
            ("POST", "routes/vote"): self._vote,
            ("POST", "routes/halt"): self._halt,
            ("POST", "routes/rollback"): self._rollback,
        }

    async def handle(self, call: HttpRequest) -> HttpResponse:
        """The answer to any call under /fleet/."""
        try:
            return await self._answer(call)
        except (OSError, TimeoutError) as failure:
            self._failures += 1
            if self._failures % 100 == 1:  # every member says it again until there is a leader
                said = f"{type(failure).__name__}: {failure}"[:200]
                self._log.warning(
                    "fleet_call_failed", path=call.path[:100], failures=self._failures, why=said
                )
            return error(503, "no leader with a quorum in time")

    async def _answer(self, call: HttpRequest) -> HttpResponse:
        path = call.path.removeprefix("/fleet/")
        if (call.method, path) == ("GET", "watch"):
            return await self._watch(call)
        handler = self._handler(call.method, path)
        if handler is None:
            return error(404, f"no {call.method} {call.path}")
        limit = MAX_BODY_BYTES_BY_CALL.get((call.method, path), MAX_BODY_BYTES)
        if not self._leader.is_leading:
            self._leader.request_leadership()
            if path == "renew" and self._leader.groups and len(call.body) <= limit:
                return await self._relay_renewal(call)
            return await self._forward(call)
        if len(call.body) > limit:
            return self._reject(call, f"body: {len(call.body)} bytes, over {limit}")
        try:
            return await handler(call)
        except ValueError as failure:  # orjson's error is one too
            return self._reject(call, str(failure))

    def _handler(self, method: str, path: str) -> Handler | None:
        if method == "DELETE" and path.startswith("members/"):
            return self._remove
        if method == "DELETE" and path.startswith("services/"):
            return self._end_service
        if method == "GET" and path.startswith("routes/"):
            return self._text
        return self._handlers.get((method, path))

    def _other_leader(self) -> str | None:
        """Where the instance that leads answers, if it is another."""
        leader = self._fleet.leader_address()
        return None if leader == self._leader.address else leader

    async def _relay_renewal(self, call: HttpRequest) -> HttpResponse:
        try:
            renewal = _read(RenewRequest, call.body)
        except ValueError as failure:
            return self._reject(call, str(failure))
        return await self._relay.renew(renewal)

    async def _forward(self, call: HttpRequest) -> HttpResponse:
        to = self._other_leader()
        if to is None or HOP_HEADER in call.headers:
            return error(503, self._leader.unavailable_reason())
        return await forward(self._client, parse_address(to), call, FORWARD_TIMEOUT_S, hop=True)

    def _reject(self, call: HttpRequest, why: str) -> HttpResponse:
        self._log.warning("fleet_call_refused", method=call.method, path=call.path[:100], why=why[:300])
        return error(400, why)

    # Members.

    async def _enrol(self, call: HttpRequest) -> HttpResponse:
        t2 = self._leader.service_ms()
        body = _read(EnrolRequest, call.body)
        try:
            parse_address(body.address)
        except ValueError as failure:
            raise ValueError(f"address: {failure}") from failure
        member = EnrolMember(body.name, body.address, body.zone, body.start, body.service)
        try:
            grant = await self._leader.enrol(member)
        except MemberLimitError as failure:
            return self._reject_enrolment(member, failure)
        self._log.info(
            "member_enrolled",
            name=body.name,
            service=body.service,
            address=body.address,
            incarnation=grant.lease.incarnation,
        )
        return self._lease(grant, t2)

    def _reject_enrolment(self, member: EnrolMember, failure: MemberLimitError) -> HttpResponse:
        self.rejected_enrolments += 1
        if self.rejected_enrolments % REJECTIONS_PER_LOG_LINE == 1:
            self._log.warning(
                "enrolment_refused",
                name=member.name,
                service=member.service,
                why=str(failure),
                refusals=self.rejected_enrolments,
            )
        return error(409, str(failure))

    async def _renew(self, call: HttpRequest) -> HttpResponse:
        return await self._renew_lease(_read(RenewRequest, call.body))

    async def _renew_many(self, call: HttpRequest) -> HttpResponse:
        renewals = decode_renewals(call.body)
        return encode_answers(await asyncio.gather(*map(self._renew_lease, renewals)))

    async def _renew_lease(self, body: RenewRequest) -> HttpResponse:
        t2 = self._leader.service_ms()
        late = None if body.sent is None else self._leader.out_of_range_by_ms(body.sent)
        if late is not None:
            return error(409, f"sent {late:.0f} ms ago by service time")
        renewal = Renewal(body.incarnation, body.seq, body.answered, body.acked, body.using)
        grant = await self._leader.renew(renewal, body.delta)
        return error(404, "no such row: enrol anew") if grant is None else self._lease(grant, t2)

    def _lease(self, grant: MemberGrant, t2: float) -> HttpResponse:
        leader = self._leader
        answer = LeaseAnswer(
            **msgspec.structs.asdict(grant.lease),
            routes=grant.routes,
            ttl_ms=leader.ttl_ms,
            term=leader.term or 0,
            received_ms=t2,
            answered_ms=leader.service_ms(),
        )
        return HttpResponse(200, msgspec.json.encode(answer))

    async def _leaving(self, call: HttpRequest) -> HttpResponse:
        body = _read(MemberRequest, call.body)
        return reply(200, {"ok": await self._leader.execute(self._fleet.leaving, body.incarnation)})

    async def _leave(self, call: HttpRequest) -> HttpResponse:
        body = _read(MemberRequest, call.body)
        ok = await self._leader.execute(self._fleet.leave, body.incarnation)
        self._log.info("member_left", incarnation=body.incarnation, known=ok)
        return reply(200, {"ok": ok})

    async def _remove(self, call: HttpRequest) -> HttpResponse:
        name = unquote(call.path.removeprefix("/fleet/members/"))
        if len(name) > 100:
            raise ValueError("name: over 100 characters")
        removed = await self._leader.remove(name, call.query.get("service"))
        self._log.warning("member_removed_by_operator", name=name[:100], incarnations=removed)
        return reply(200, {"removed": removed})

    async def _end_service(self, call: HttpRequest) -> HttpResponse:
        service = unquote(call.path.removeprefix("/fleet/services/"))
        if not 0 < len(service) <= 100:
            raise ValueError("service: not of 1 to 100 characters")
        outcome = await self._leader.end_service(service)
        if isinstance(outcome, Rejected):
            return error(409, outcome.reason)
        assert isinstance(outcome, MembersRemoved)
        self._log.warning("service_ended_by_operator", service=service, incarnations=outcome.incarnations)
        return reply(200, {"removed": outcome.incarnations})

    async def _members(self, call: HttpRequest) -> HttpResponse:
        return reply(200, self._fleet.members(call.query.get("service")))

    async def _watch(self, call: HttpRequest) -> HttpResponse:
        """A hint that something has changed, from what this instance has applied: once the revision of the
        member list that `incarnation` knows is not `since`, or the routes' not `routes_since` (not given:
        what it was at the call)."""
        try:
            since, wait_s = watch.parse_query(call, self._max_wait_ms)
            routes_since = watch.optional_integer(call, "routes_since")
            incarnation = watch.optional_integer(call, "incarnation") or 0
        except InvalidFieldError:
            return error(400, "since, routes_since, incarnation and timeout_ms are whole numbers")
        revisions = self._fleet.read(lambda state: state.revisions(incarnation))
        known = (since, revisions[1] if routes_since is None else routes_since)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while revisions == known and loop.time() < deadline:
            news = self._news(self._fleet.read(lambda state: state.service_of(incarnation)))
            try:
                async with asyncio.timeout(deadline - loop.time()):
                    await asyncio.shield(news)
            except TimeoutError:
                pass
            revisions = self._fleet.read(lambda state: state.revisions(incarnation))
        return reply(200, {"rev": revisions[0], "routes_rev": revisions[1]})

    # Routes.

    async def _routes(self, call: HttpRequest) -> HttpResponse:
        return reply(200, self._fleet.read(lambda state: state.routes.status()))

    async def _text(self, call: HttpRequest) -> HttpResponse:
        said = call.path.removeprefix("/fleet/routes/")
        if not (said.isascii() and said.isdigit() and len(said) < 16):
            raise ValueError("version: not a whole number")
        number = int(said)
        text = self._fleet.read(lambda state: state.routes.text(number))
        if text is None:
            return error(404, f"no version {number}")
        return HttpResponse(200, text.encode(), {"content-type": "application/toml"})

    async def _propose(self, call: HttpRequest) -> HttpResponse:
        parse_table(0, call.body)  # ValueError names the key and its line
        deadline = self._leader.service_ms() + self._leader.prepare_ms
        return self._proposed(await self._leader.execute(self._fleet.propose, call.body.decode(), deadline))

    async def _rollback(self, call: HttpRequest) -> HttpResponse:
        body = _read(RollbackRequest, call.body)
        deadline = self._leader.service_ms() + self._leader.prepare_ms
        return self._proposed(await self._leader.execute(self._fleet.rollback, body.number, deadline))

    def _proposed(self, ruling: ActivationOutcome) -> HttpResponse:
        if ruling.rejected:
            return error(409, ruling.reason)
        self._log.info("route_version_proposed", number=ruling.number, phase=ruling.phase)
        return reply(200, {"number": ruling.number, "phase": ruling.phase})

    async def _vote(self, call: HttpRequest) -> HttpResponse:
        body = _read(VoteRequest, call.body)
        fields = (body.incarnation, body.number, body.yes, body.why)
        ruling: ActivationOutcome = await self._leader.execute(self._fleet.vote, *fields)
        return reply(200, {"phase": ruling.phase})

    async def _halt(self, call: HttpRequest) -> HttpResponse:
        body = _read(HaltRequest, call.body)
        ruling: ActivationOutcome = await self._leader.execute(self._fleet.halt, body.number)
        self._log.warning("routes_halted", number=ruling.number, phase=ruling.phase)
        return reply(200, {"number": ruling.number, "phase": ruling.phase})
