"""Handles the fleet's HTTP calls (docs/fleet.md): carries them out on the leader, or forwards them to it.

Status 200: carried out, and the result in the body is committed. 400: a malformed call, with the reason in
one line. 404: no such record, version or path. 409: rejected, or its send time is out of range. 503: it
is not known whether the call was carried out; the caller retries.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from urllib.parse import unquote

import msgspec
import structlog
from msgspec import UnsetType

from loadbalancer.membership.messages import LeaseResponse
from loadbalancer.node.http.service_client import HttpClient
from loadbalancer.node.http.service_server import HttpRequest, HttpResponse
from loadbalancer.registry import watch
from loadbalancer.registry.addresses import parse_address
from loadbalancer.registry.answers import error_response, json_response
from loadbalancer.registry.commands import EnrolMember
from loadbalancer.registry.errors import InvalidAddressError, InvalidFieldError, MemberLimitError
from loadbalancer.registry.fleet_catalog import FleetCatalog
from loadbalancer.registry.fleet_leader import FleetLeader
from loadbalancer.registry.fleet_results import MemberGrant, MembersRemoved, Rejected, Renewal
from loadbalancer.registry.forwarding import HOP_HEADER, forward
from loadbalancer.registry.messages import (
    MAX_NAME_CHARACTERS,
    EnrolRequest,
    HaltRequest,
    MemberRequest,
    RenewRequest,
    RollbackRequest,
    VoteRequest,
    decode_body,
)
from loadbalancer.registry.renewal_relay import (
    FORWARD_TIMEOUT_S,
    MAX_BATCH_BODY_BYTES,
    RenewalRelay,
    decode_renewals,
    encode_responses,
)
from loadbalancer.routing.route_table import MAX_TEXT_BYTES, parse_table
from loadbalancer.routing.version_record import ActivationOutcome

MAX_BODY_BYTES = 8 * 1024
MAX_BODY_BYTES_BY_CALL = {
    ("PUT", "routes"): MAX_TEXT_BYTES,
    ("POST", "renew-many"): MAX_BATCH_BODY_BYTES,
}
MAX_ERROR_CHARACTERS = 300
MAX_LOGGED_PATH_CHARACTERS = 100
MAX_LOGGED_CHARACTERS = 200
MAX_VERSION_DIGITS = 15
FAILURES_PER_LOG_LINE = 100  # without a leader, every member repeats its failing calls
REJECTIONS_PER_LOG_LINE = 1_000  # enrolments rejected at a member limit

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class FleetApi:
    """Handles the calls under /fleet/.

    `next_change(group)` returns a future that completes at the next change of this group's member list or of
    the routes.
    """

    def __init__(
        self,
        fleet: FleetCatalog,
        leader: FleetLeader,
        next_change: Callable[[str], asyncio.Future[None]],
        max_wait_ms: int,
        log: structlog.stdlib.BoundLogger,
    ) -> None:
        self._fleet, self._leader, self._next_change = fleet, leader, next_change
        self._max_wait_ms, self._log = max_wait_ms, log
        self._client = HttpClient()
        self._relay = RenewalRelay(self._client, self._other_leader, log)
        self._failures = 0
        self.rejected_enrolments = 0  # enrolments rejected at a member limit since the start
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
        """Respond to any call under /fleet/."""
        try:
            return await self._respond(call)
        except (OSError, TimeoutError) as failure:
            self._log_failure(call, failure)
            return _error(HTTPStatus.SERVICE_UNAVAILABLE, "no leader with a quorum in time")

    def _log_failure(self, call: HttpRequest, failure: Exception) -> None:
        self._failures += 1
        if self._failures % FAILURES_PER_LOG_LINE == 1:
            reason = f"{type(failure).__name__}: {failure}"[:MAX_LOGGED_CHARACTERS]
            path = call.path[:MAX_LOGGED_PATH_CHARACTERS]
            self._log.warning("fleet_call_failed", path=path, failures=self._failures, why=reason)

    async def _respond(self, call: HttpRequest) -> HttpResponse:
        path = call.path.removeprefix("/fleet/")
        if (call.method, path) == ("GET", "watch"):
            return await self._watch(call)
        handler = self._handler(call.method, path)
        if handler is None:
            return _error(HTTPStatus.NOT_FOUND, f"no {call.method} {call.path}")
        limit_bytes = MAX_BODY_BYTES_BY_CALL.get((call.method, path), MAX_BODY_BYTES)
        is_too_large = len(call.body) > limit_bytes
        if not self._leader.is_leading:
            self._leader.request_leadership()
            if path == "renew" and self._leader.groups and not is_too_large:
                return await self._relay_renewal(call)
            return await self._forward(call)
        if is_too_large:
            return self._reject(call, f"body: {len(call.body)} bytes, over {limit_bytes}")
        try:
            return await handler(call)
        except ValueError as failure:  # includes orjson's errors and this package's for invalid calls
            return self._reject(call, str(failure))

    def _handler(self, method: str, path: str) -> Handler | None:
        if method == "DELETE" and path.startswith("members/"):
            return self._remove
        if method == "DELETE" and path.startswith("services/"):
            return self._end_service
        if method == "GET" and path.startswith("routes/"):
            return self._route_text
        return self._handlers.get((method, path))

    def _other_leader(self) -> str | None:
        """Return the host:port of the leader if it is another instance, else None."""
        leader = self._fleet.leader_address()
        return None if leader == self._leader.address else leader

    async def _relay_renewal(self, call: HttpRequest) -> HttpResponse:
        try:
            renewal = decode_body(RenewRequest, call.body)
        except ValueError as failure:
            return self._reject(call, str(failure))
        return await self._relay.renew(renewal)

    async def _forward(self, call: HttpRequest) -> HttpResponse:
        leader = self._other_leader()
        if leader is None or HOP_HEADER in call.headers:
            return _error(HTTPStatus.SERVICE_UNAVAILABLE, self._leader.unavailable_reason())
        return await forward(self._client, parse_address(leader), call, FORWARD_TIMEOUT_S, hop=True)

    def _reject(self, call: HttpRequest, reason: str) -> HttpResponse:
        self._log.warning(
            "fleet_call_rejected",
            method=call.method,
            path=call.path[:MAX_LOGGED_PATH_CHARACTERS],
            why=reason[:MAX_ERROR_CHARACTERS],
        )
        return _error(HTTPStatus.BAD_REQUEST, reason)

    # Members.

    async def _enrol(self, call: HttpRequest) -> HttpResponse:
        received_ms = self._leader.service_ms()
        body = decode_body(EnrolRequest, call.body)
        try:
            parse_address(body.address)
        except InvalidAddressError as failure:
            raise InvalidFieldError(field="address", value=body.address, problem=str(failure)) from failure
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
        return self._lease_response(grant, received_ms, body.call)

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
        return _error(HTTPStatus.CONFLICT, str(failure))

    async def _renew(self, call: HttpRequest) -> HttpResponse:
        return await self._renew_lease(decode_body(RenewRequest, call.body))

    async def _renew_many(self, call: HttpRequest) -> HttpResponse:
        renewals = decode_renewals(call.body)
        return encode_responses(await asyncio.gather(*map(self._renew_lease, renewals)))

    async def _renew_lease(self, body: RenewRequest) -> HttpResponse:
        received_ms = self._leader.service_ms()
        age_ms = None if body.sent is None else self._leader.out_of_range_age_ms(body.sent)
        if age_ms is not None:
            return _error(HTTPStatus.CONFLICT, f"sent {age_ms:.0f} ms ago by service time")
        renewal = Renewal(body.incarnation, body.seq, body.answered, body.acked, body.using)
        grant = await self._leader.renew(renewal, body.delta)
        return (
            _error(HTTPStatus.NOT_FOUND, "no such row: enrol anew")
            if grant is None
            else self._lease_response(grant, received_ms, body.call)
        )

    def _lease_response(self, grant: MemberGrant, received_ms: float, call: int | UnsetType) -> HttpResponse:
        leader = self._leader
        response = LeaseResponse(
            **msgspec.structs.asdict(grant.lease),
            routes=grant.routes,
            ttl_ms=leader.ttl_ms,
            term=leader.term or 0,
            received_ms=received_ms,
            responded_ms=leader.service_ms(),
            call=call,
        )
        return HttpResponse(HTTPStatus.OK, msgspec.json.encode(response))

    async def _leaving(self, call: HttpRequest) -> HttpResponse:
        body = decode_body(MemberRequest, call.body)
        return json_response(
            HTTPStatus.OK, {"ok": await self._leader.execute(self._fleet.leaving, body.incarnation)}
        )

    async def _leave(self, call: HttpRequest) -> HttpResponse:
        body = decode_body(MemberRequest, call.body)
        ok = await self._leader.execute(self._fleet.leave, body.incarnation)
        self._log.info("member_left", incarnation=body.incarnation, known=ok)
        return json_response(HTTPStatus.OK, {"ok": ok})

    async def _remove(self, call: HttpRequest) -> HttpResponse:
        name = unquote(call.path.removeprefix("/fleet/members/"))
        if len(name) > MAX_NAME_CHARACTERS:
            problem = f"over {MAX_NAME_CHARACTERS} characters"
            raise InvalidFieldError(field="name", value=name, problem=problem)
        removed = await self._leader.remove(name, call.query.get("service"))
        self._log.warning("member_removed_by_operator", name=name, incarnations=removed)
        return json_response(HTTPStatus.OK, {"removed": removed})

    async def _end_service(self, call: HttpRequest) -> HttpResponse:
        service = unquote(call.path.removeprefix("/fleet/services/"))
        if not 0 < len(service) <= MAX_NAME_CHARACTERS:
            problem = f"not of 1 to {MAX_NAME_CHARACTERS} characters"
            raise InvalidFieldError(field="service", value=service, problem=problem)
        outcome = await self._leader.end_service(service)
        if isinstance(outcome, Rejected):
            return _error(HTTPStatus.CONFLICT, outcome.reason)
        assert isinstance(outcome, MembersRemoved)
        self._log.warning("service_ended_by_operator", service=service, incarnations=outcome.incarnations)
        return json_response(HTTPStatus.OK, {"removed": outcome.incarnations})

    async def _members(self, call: HttpRequest) -> HttpResponse:
        return json_response(HTTPStatus.OK, self._fleet.members(call.query.get("service")))

    async def _watch(self, call: HttpRequest) -> HttpResponse:
        """Respond when the member list or the routes have changed for a process, or when the wait is over.

        The query names the process by its `incarnation`. It gives the known revision of its group's member
        list as `since`, and that of the routes as `routes_since`, by default the revision at the call's
        arrival. Both are compared with the state that this instance has applied.
        """
        try:
            query = watch.parse_query(call, self._max_wait_ms)
            routes_since = watch.optional_integer(call, "routes_since")
            incarnation = watch.optional_integer(call, "incarnation") or 0
        except InvalidFieldError:
            return _error(
                HTTPStatus.BAD_REQUEST, "since, routes_since, incarnation and timeout_ms are whole numbers"
            )
        revisions = self._fleet.read(lambda state: state.revisions(incarnation))
        known = (query.since, revisions.routes if routes_since is None else routes_since)
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + query.wait_s
        while revisions == known and loop.time() < deadline_s:
            group = self._fleet.read(lambda state: state.service_of(incarnation))
            await watch.wait_until(self._next_change(group), deadline_s)
            revisions = self._fleet.read(lambda state: state.revisions(incarnation))
        return json_response(HTTPStatus.OK, {"rev": revisions.members, "routes_rev": revisions.routes})

    # Routes.

    async def _routes(self, call: HttpRequest) -> HttpResponse:
        return json_response(HTTPStatus.OK, self._fleet.read(lambda state: state.routes.status()))

    async def _route_text(self, call: HttpRequest) -> HttpResponse:
        number_text = call.path.removeprefix("/fleet/routes/")
        if not (number_text.isascii() and number_text.isdigit() and len(number_text) <= MAX_VERSION_DIGITS):
            raise InvalidFieldError(field="version", value=number_text, problem="not a whole number")
        number = int(number_text)
        text = self._fleet.read(lambda state: state.routes.text(number))
        if text is None:
            return _error(HTTPStatus.NOT_FOUND, f"no version {number}")
        return HttpResponse(HTTPStatus.OK, text.encode(), {"content-type": "application/toml"})

    async def _propose(self, call: HttpRequest) -> HttpResponse:
        parse_table(0, call.body)  # raises a ValueError that names the key and its line
        deadline = self._leader.service_ms() + self._leader.prepare_ms
        return self._proposal_response(
            await self._leader.execute(self._fleet.propose, call.body.decode(), deadline)
        )

    async def _rollback(self, call: HttpRequest) -> HttpResponse:
        body = decode_body(RollbackRequest, call.body)
        deadline = self._leader.service_ms() + self._leader.prepare_ms
        return self._proposal_response(
            await self._leader.execute(self._fleet.rollback, body.number, deadline)
        )

    def _proposal_response(self, outcome: ActivationOutcome) -> HttpResponse:
        if outcome.rejected:
            return _error(HTTPStatus.CONFLICT, outcome.reason)
        self._log.info("route_version_proposed", number=outcome.number, phase=outcome.phase)
        return json_response(HTTPStatus.OK, {"number": outcome.number, "phase": outcome.phase})

    async def _vote(self, call: HttpRequest) -> HttpResponse:
        body = decode_body(VoteRequest, call.body)
        fields = (body.incarnation, body.number, body.yes, body.why)
        outcome: ActivationOutcome = await self._leader.execute(self._fleet.vote, *fields)
        return json_response(HTTPStatus.OK, {"phase": outcome.phase})

    async def _halt(self, call: HttpRequest) -> HttpResponse:
        body = decode_body(HaltRequest, call.body)
        outcome: ActivationOutcome = await self._leader.execute(self._fleet.halt, body.number)
        self._log.warning("routes_halted", number=outcome.number, phase=outcome.phase)
        return json_response(HTTPStatus.OK, {"number": outcome.number, "phase": outcome.phase})


def _error(status: int, reason: str) -> HttpResponse:
    return error_response(status, reason[:MAX_ERROR_CHARACTERS])
