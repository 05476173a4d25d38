"""What the instance that leads does for the fleet: service time, leases, renewals gathered into few entries.

Whoever has been replaced as leader may not know it yet. So nothing here is done or answered but by commands
that carry the Raft term, which the log refuses once a later leader has begun (fleet_state.py).
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

import structlog

from loadbalancer.membership.lease_clock import MAX_DELAY_TERM_FRACTION, LeaseClock
from loadbalancer.registry.batch import Batcher
from loadbalancer.registry.clock_file import ClockFile
from loadbalancer.registry.commands import Command, EndService, EnrolMember, RemoveMembers, encode
from loadbalancer.registry.fleet_catalog import (
    FleetCatalog,
    MemberGrant,
    MembersRemoved,
    Outcome,
    Rejected,
    Renewal,
)
from loadbalancer.registry.fleet_state import LimitReachedError, TermStart
from loadbalancer.registry.service_clock import ServiceClock
from loadbalancer.registry.settings import MemberSettings

Commit = Callable[..., Awaitable[Any]]  # a command and its arguments; ConnectionError or TimeoutError


class GroupsOffError(ValueError):
    """A call on one group, where the list service has no groups."""


class NotLeadingError(ConnectionError):
    """This instance does not lead, or not yet."""


class FleetLeader:
    """Leads the fleet while this instance is Raft's leader; `http` is where it answers, host:port."""

    def __init__(
        self,
        config: MemberSettings,
        http: str,
        fleet: FleetCatalog,
        clock: ServiceClock,
        file: ClockFile,
        commit: Commit,
        log: structlog.stdlib.BoundLogger,
    ) -> None:
        self._config, self.address, self._fleet = config, http, fleet
        self._clock, self._file, self._clocks = clock, file, file.clocks
        self._commit, self._log = commit, log
        self._leases = LeaseClock(config.ttl_ms)
        self._term: int | None = None  # in which calls are answered
        self._renewals: Batcher[Renewal, MemberGrant | None] = Batcher("renewals", self._commit_renewals, log)
        self._writes: Batcher[Command, Outcome] = Batcher("commands", self._commit_commands, log)
        self._wake_up = asyncio.Event()
        self._requested = False
        self._period_s = min(0.25, max(0.05, config.ttl_ms / 20_000.0))
        self._save_failed = False

    # Calls.

    @property
    def is_leading(self) -> bool:
        """Whether calls are answered here."""
        return self._term is not None and self._fleet.leader_term == self._term and self._fleet.has_quorum()

    @property
    def term(self) -> int | None:
        """Raft's, in which calls are answered: another one is another clock behind service time."""
        return self._term

    @property
    def groups(self) -> bool:
        """Whether all instances know groups and what came with them."""
        return self._config.groups

    @property
    def ttl_ms(self) -> float:
        """Of the leases in force."""
        return self._leases.ttl_ms

    @property
    def prepare_ms(self) -> float:
        return self._config.prepare_ms

    def service_ms(self) -> float:
        """S now; NotLeadingError on an instance that does not lead."""
        if self._term is None:
            raise NotLeadingError("not the leader")
        return self._clock.service_ms(self._clocks.monotonic_ms())

    def out_of_range_by_ms(self, sent: float) -> float | None:
        """How many ms ago a renewal was sent, where that is more than it may be or lies ahead by as much."""
        ago = self.service_ms() - sent
        return ago if abs(ago) > MAX_DELAY_TERM_FRACTION * self.ttl_ms else None

    async def execute(self, command: Callable[..., Any], *args: Any) -> Any:
        """Commit a command in the term that this instance leads in, and return its result; ConnectionError or
        TimeoutError if that can't be had, when it may have been done nevertheless."""
        term = self._term
        if term is None or self._fleet.leader_term != term:
            raise NotLeadingError("not the leader")
        result = await self._commit(command, self.service_ms(), term, *args)
        if result is None:
            raise NotLeadingError("replaced as leader")
        return result

    async def renew(self, renewal: Renewal, takes_deltas: bool) -> MemberGrant | None:
        """What the process is told, None where it has no row; as `ask`."""
        if takes_deltas:
            self._fleet.request_delta(renewal.incarnation)
        return await self._renewals.add(renewal)

    async def enrol(self, member: EnrolMember) -> MemberGrant:
        """What the process is told; LimitReachedError where no further member is taken, else as `ask`.

        Where groups are off, all members are one group, whatever service they name.
        """
        if self._config.groups:
            outcome = await self._writes.add(member)
            if isinstance(outcome, Rejected):
                raise LimitReachedError(outcome.reason)
            assert isinstance(outcome, MemberGrant)
            return outcome
        fields = (member.name, member.address, member.zone, member.start)
        (grant,) = await self.execute(self._fleet.enrol, *fields)
        if grant is None:
            raise LimitReachedError("too many members")
        return grant  # type: ignore[no-any-return]

    async def remove(self, name: str, service: str | None) -> list[int]:
        """The incarnations that an operator's word ended; GroupsOffError for one service's, else as `ask`."""
        if service is not None:
            self._require_groups()
        if self._config.groups:
            outcome = await self._writes.add(RemoveMembers(name, service))
            assert isinstance(outcome, MembersRemoved)
            return outcome.incarnations
        return await self.execute(self._fleet.remove, name)  # type: ignore[no-any-return]

    async def end_service(self, service: str) -> Outcome:
        """Remove the group of a service that has ended; GroupsOffError, else as `ask`."""
        self._require_groups()
        return await self._writes.add(EndService(service))

    def _require_groups(self) -> None:
        # Guard: an instance of an earlier release, which does not know the command, would apply nothing more.
        if not self._config.groups:
            raise GroupsOffError("groups are off at the instance that leads")

    async def _commit_renewals(self, renewals: list[Renewal]) -> list[MemberGrant | None]:
        return await self.execute(self._fleet.renew_many, [tuple(renewal) for renewal in renewals])  # type: ignore[no-any-return]

    async def _commit_commands(self, commands: list[Command]) -> list[Outcome]:
        return await self.execute(self._fleet.write, [encode(command) for command in commands])  # type: ignore[no-any-return]

    # Duties.

    def request_leadership(self) -> None:
        """A call has come. Until the first ever, the log has no command of the fleet's, so that a service
        without members can be upgraded one by one from a release that would not know them."""
        if not self._requested:
            self._requested = True
            self._wake_up.set()

    def wake(self) -> None:
        """This instance may have begun or ceased to lead."""
        if self._fleet.leader_term != self._term:
            self._wake_up.set()

    async def run(self) -> None:
        while True:
            self._wake_up.clear()
            try:
                await self._run_tasks()
            except (TimeoutError, ConnectionError) as failure:
                self._log.info("fleet_duty_not_committed", why=str(failure) or "timeout")
            except Exception:
                self._log.exception("fleet_duty_failed")  # Guard: leases must go on being counted
            self._save_clock()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._period_s):
                    await self._wake_up.wait()

    async def _run_tasks(self) -> None:
        term = self._fleet.leader_term
        if term is None:
            if self._term is not None:
                self._term = None
                self._fleet.read(lambda state: self._clock.stop_leading(self._clocks.monotonic_ms()))
                self._log.info("fleet_leading_ended")
            return
        if not self._fleet.has_quorum():
            return
        if term != self._term:
            if not self._requested and self._fleet.read(lambda state: state.term < 0):
                return
            await self._start_term(term)
        await self._expire_leases()
        if self._fleet.read(lambda state: state.decision_due(self.service_ms())):
            await self.execute(self._fleet.decide)

    async def _start_term(self, term: int) -> None:
        """Begin to lead: the log's first command of the term, then service time, then whole leases."""
        self._term = None
        self._fleet.start_answering(term)
        known = self._clock.bound(self._clocks.monotonic_ms())
        config = self._config
        begun: TermStart | None = await self._commit(
            self._fleet.lead, 0.0, term, self.address, known.epoch if known else None, config.ttl_ms,
            config.clock_bound_ms,
        )  # fmt: skip
        if begun is None:
            raise NotLeadingError("replaced as leader")
        goes_on = begun.log_ms == 0.0 or (known is not None and known.epoch == begun.epoch)
        if not goes_on:
            # Nodes may rest on service time as it was: by the end of this no lease is left that does.
            self._log.warning("service_time_lost", log_ms=begun.log_ms, wait_ms=begun.ttl_ms)
            await asyncio.sleep((begun.ttl_ms + config.clock_bound_ms) / 1000.0)
            if self._fleet.leader_term != term:
                raise NotLeadingError("replaced as leader")
        now = self._clocks.monotonic_ms()
        unix = self._clocks.unix_ms()
        self._fleet.read(lambda state: self._clock.start_leading(now, unix, begun.log_ms, begun.epoch))
        self._leases = LeaseClock(begun.ttl_ms)
        self._leases.begin_term(now, begun.renewals)
        self._term = term
        self._log.info(
            "fleet_leading", term=term, rows=len(begun.renewals), service_ms=round(self.service_ms())
        )
        await self.execute(self._fleet.decide)  # a first stamp, by which all instances know service time

    async def _expire_leases(self) -> None:
        for renewed in self._fleet.take_applied_renewals():
            self._leases.record_renewal(renewed.at_ms, renewed.incarnation, renewed.seq, renewed.answered)
        self._leases.retain(self._fleet.read(lambda state: {row.incarnation for row in state.rows()}))
        lapsed, support = self._leases.expired_and_attached(self._clocks.monotonic_ms())
        if not lapsed:
            return
        due = self._fleet.read(lambda state: state.due_expiry(lapsed, support))
        if due is None:
            return
        newly, removed = await self.execute(
            self._fleet.expire, due.lapsed, due.support, due.repeated_enrolments
        )
        for incarnation in newly:
            self._log.info("member_lapsed", incarnation=incarnation, attached=len(due.support))
        for incarnation in removed:
            self._log.info("member_removed", incarnation=incarnation, attached=len(due.support))

    def _save_clock(self) -> None:
        try:
            self._file.save(self._clock.bound(self._clocks.monotonic_ms()))
            self._save_failed = False
        except OSError as failure:
            if not self._save_failed:  # once a stretch
                self._log.warning("service_clock_not_kept", why=str(failure))
            self._save_failed = True
