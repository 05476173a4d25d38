"""The leader's tasks for the fleet: service time, the members' leases, batches of renewals and commands.

A replaced leader may not yet know that it was replaced. So every change and every response here depends on a
command that carries the Raft term; it is rejected once a later leader's term has begun (fleet_state.py).
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
from loadbalancer.registry.errors import (
    GroupsDisabledError,
    LeaderReplacedError,
    MemberLimitError,
    NotLeadingError,
)
from loadbalancer.registry.fleet_catalog import FleetCatalog
from loadbalancer.registry.fleet_results import (
    ExpiryResult,
    MemberGrant,
    MembersRemoved,
    Outcome,
    Rejected,
    Renewal,
    TermStart,
)
from loadbalancer.registry.service_clock import ClockBound, ServiceClock
from loadbalancer.registry.settings import MemberSettings

Commit = Callable[..., Awaitable[Any]]  # commits a command with its arguments; returns its result

MIN_PERIOD_S, MAX_PERIOD_S = 0.05, 0.25  # bounds of the interval between runs of the tasks
PERIODS_PER_LEASE = 20
MS_PER_S = 1000.0


class FleetLeader:
    """Leads the fleet while this instance is Raft's leader.

    `address` is this instance's host:port for HTTP. `commit` raises ConnectionError or TimeoutError if it has
    no result.
    """

    def __init__(
        self,
        config: MemberSettings,
        address: str,
        fleet: FleetCatalog,
        clock: ServiceClock,
        file: ClockFile,
        commit: Commit,
        log: structlog.stdlib.BoundLogger,
    ) -> None:
        self._config, self.address, self._fleet = config, address, fleet
        self._clock, self._file, self._clocks = clock, file, file.clocks
        self._commit, self._log = commit, log
        self._leases = LeaseClock(config.ttl_ms)
        self._term: int | None = None  # Raft's term in which this instance serves calls
        # The end of `_wait_for_leases_to_end`, in ms of the monotonic clock.
        self._waits_until_ms: float | None = None
        self._renewals: Batcher[Renewal, MemberGrant | None] = Batcher("renewals", self._commit_renewals, log)
        self._commands: Batcher[Command, Outcome] = Batcher("commands", self._commit_commands, log)
        self._wake_up = asyncio.Event()
        self._requested = False
        self._period_s = min(MAX_PERIOD_S, max(MIN_PERIOD_S, config.ttl_ms / MS_PER_S / PERIODS_PER_LEASE))
        self._save_failed = False

    # Calls.

    @property
    def is_leading(self) -> bool:
        """Whether this instance leads the fleet and serves its calls."""
        return self._term is not None and self._fleet.leader_term == self._term and self._fleet.has_quorum()

    @property
    def term(self) -> int | None:
        """Raft's term in which this instance serves calls, or None.

        Each term runs service time by another clock.
        """
        return self._term

    @property
    def groups(self) -> bool:
        """Whether groups are enabled: all instances support them and the calls added with them."""
        return self._config.groups

    @property
    def ttl_ms(self) -> float:
        """The lease term in force."""
        return self._leases.ttl_ms

    @property
    def prepare_ms(self) -> float:
        """The time within which all members must prepare a proposed route version."""
        return self._config.prepare_ms

    def service_ms(self) -> float:
        """Return service time now; raise NotLeadingError if this instance does not lead."""
        if self._term is None:
            raise NotLeadingError
        return self._clock.service_ms(self._clocks.monotonic_ms())

    def out_of_range_age_ms(self, sent_ms: float) -> float | None:
        """Return the age in ms of a renewal sent at service time `sent_ms`, or None if it is in range.

        A renewal is out of range if it is older than MAX_DELAY_TERM_FRACTION of the lease term, or that far
        in the future (a negative age).
        """
        age_ms = self.service_ms() - sent_ms
        return age_ms if abs(age_ms) > MAX_DELAY_TERM_FRACTION * self.ttl_ms else None

    def unavailable_reason(self) -> str:
        """Return the reason why calls are neither served here nor forwarded."""
        if self._fleet.leader_term is None:
            known = self._fleet.knows_raft_leader()
            return "the leader has not begun its term" if known else "no leader in reach"
        if not self._fleet.has_quorum():
            return "the leader has no quorum"
        if self._waits_until_ms is not None:
            remaining_ms = max(0.0, self._waits_until_ms - self._clocks.monotonic_ms())
            return (
                f"the leader waits for service time: leases given before it led end in {remaining_ms:.0f} ms"
            )
        return "the leader begins its term"

    async def execute(self, command: Callable[..., object], *args: object) -> Any:  # noqa: ANN401  # depends on the command
        """Commit a command in the term in which this instance leads, and return its result.

        Raise ConnectionError or TimeoutError if there is no result; the command may still be carried out.
        """
        term = self._term
        if term is None or self._fleet.leader_term != term:
            raise NotLeadingError
        result = await self._commit(command, self.service_ms(), term, *args)
        if result is None:
            raise LeaderReplacedError
        return result

    async def renew(self, renewal: Renewal, takes_delta: bool) -> MemberGrant | None:
        """Return the process's grant, or None if it has no record; errors as in `execute`."""
        if takes_delta:
            self._fleet.request_delta(renewal.incarnation)
        return await self._renewals.add(renewal)

    async def enrol(self, member: EnrolMember) -> MemberGrant:
        """Enrol a process and return its grant.

        Raise MemberLimitError if a limit on members is reached; other errors as in `execute`. While groups
        are disabled, all members form one group, whatever service they name.
        """
        if self._config.groups:
            outcome = await self._commands.add(member)
            if isinstance(outcome, Rejected):
                raise MemberLimitError(outcome.reason)
            assert isinstance(outcome, MemberGrant)
            return outcome
        fields = (member.name, member.address, member.zone, member.start)
        grants: list[MemberGrant | None] = await self.execute(self._fleet.enrol, *fields)
        if grants[0] is None:
            message = "too many members"
            raise MemberLimitError(message)
        return grants[0]

    async def remove(self, name: str, service: str | None) -> list[int]:
        """Remove the processes of this name and return their incarnations.

        `service` limits this to one group, for which GroupsDisabledError is raised while groups are disabled;
        other errors as in `execute`.
        """
        if service is not None:
            self._require_groups()
        if self._config.groups:
            outcome = await self._commands.add(RemoveMembers(name, service))
            assert isinstance(outcome, MembersRemoved)
            return outcome.incarnations
        removed: list[int] = await self.execute(self._fleet.remove, name)
        return removed

    async def end_service(self, service: str) -> Outcome:
        """Remove the group of a service that has ended.

        Raise GroupsDisabledError while groups are disabled; other errors as in `execute`.
        """
        self._require_groups()
        return await self._commands.add(EndService(service))

    def _require_groups(self) -> None:
        # An instance of a release without this command could apply no log entry after it.
        if not self._config.groups:
            raise GroupsDisabledError

    async def _commit_renewals(self, renewals: list[Renewal]) -> list[MemberGrant | None]:
        plain = [tuple(renewal) for renewal in renewals]  # the log must not contain classes of this program
        grants: list[MemberGrant | None] = await self.execute(self._fleet.renew_many, plain)
        return grants

    async def _commit_commands(self, commands: list[Command]) -> list[Outcome]:
        encoded = [encode(command) for command in commands]
        outcomes: list[Outcome] = await self.execute(self._fleet.write, encoded)
        return outcomes

    # Tasks.

    def request_leadership(self) -> None:
        """Lead the fleet from now on, if this instance leads Raft; invoked when a call arrives.

        No fleet command enters the log before the first call ever. A list service without members can
        therefore be upgraded one instance at a time from a release that has no such commands.
        """
        if not self._requested:
            self._requested = True
            self._wake_up.set()

    def wake(self) -> None:
        """Run the tasks now if this instance has begun or ceased to lead."""
        if self._fleet.leader_term != self._term:
            self._wake_up.set()

    async def run(self) -> None:
        """Carry out the tasks every period, until cancelled."""
        while True:
            self._wake_up.clear()
            try:
                await self._run_tasks()
            except (TimeoutError, ConnectionError) as failure:
                self._log.info("leader_task_not_committed", why=str(failure) or "timeout")
            except Exception:
                self._log.exception("leader_task_failed")  # retried in the next period
            self._save_clock()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._period_s):
                    await self._wake_up.wait()

    async def _run_tasks(self) -> None:
        term = self._fleet.leader_term
        if term is None:
            self._end_term()
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

    def _end_term(self) -> None:
        if self._term is not None:
            self._term = None
            self._fleet.read(lambda state: self._clock.stop_leading(self._clocks.monotonic_ms()))
            self._log.info("fleet_leading_ended")

    async def _start_term(self, term: int) -> None:
        """Begin to lead: commit the term's first command, start service time, count every lease from now."""
        self._term = None
        self._fleet.start_answering(term)
        known = self._clock.bound(self._clocks.monotonic_ms())
        begun = await self._commit_lead(term, known)
        continues = begun.log_ms == 0.0 or (known is not None and known.epoch == begun.epoch)
        if not continues:
            await self._wait_for_leases_to_end(begun)
            if self._fleet.leader_term != term:
                raise LeaderReplacedError
        now_ms, unix_ms = self._clocks.monotonic_ms(), self._clocks.unix_ms()
        self._fleet.read(lambda state: self._clock.start_leading(now_ms, unix_ms, begun.log_ms, begun.epoch))
        self._leases = LeaseClock(begun.ttl_ms)
        self._leases.begin_term(now_ms, begun.renewals)
        self._term = term
        self._log.info(
            "fleet_leading", term=term, rows=len(begun.renewals), service_ms=round(self.service_ms())
        )
        await self.execute(self._fleet.decide)  # its stamp lets all instances bound service time at once

    async def _commit_lead(self, term: int, known: ClockBound | None) -> TermStart:
        epoch = None if known is None else known.epoch
        settings = (self._config.ttl_ms, self._config.clock_bound_ms)
        begun: TermStart | None = await self._commit(
            self._fleet.lead, 0.0, term, self.address, epoch, *settings
        )
        if begun is None:
            raise LeaderReplacedError
        return begun

    async def _wait_for_leases_to_end(self, begun: TermStart) -> None:
        """Wait until all leases granted under the previous service time, which is lost, have ended."""
        wait_ms = begun.ttl_ms + self._config.clock_bound_ms
        self._log.warning("service_time_lost", log_ms=begun.log_ms, wait_ms=begun.ttl_ms)
        self._waits_until_ms = self._clocks.monotonic_ms() + wait_ms
        try:
            await asyncio.sleep(wait_ms / MS_PER_S)
        finally:
            self._waits_until_ms = None

    async def _expire_leases(self) -> None:
        for renewal in self._fleet.take_applied_renewals():
            self._leases.record_renewal(renewal.at_ms, renewal.incarnation, renewal.seq, renewal.answered_seq)
        self._leases.retain(
            self._fleet.read(lambda state: {record.incarnation for record in state.records()})
        )
        overdue, attached = self._leases.expired_and_attached(self._clocks.monotonic_ms())
        if not overdue:
            return
        due = self._fleet.read(lambda state: state.due_expiry(overdue, attached))
        if due is None:
            return
        # The log must not contain classes of this program.
        leases = [(incarnation, seq) for incarnation, seq in due.expired]
        result: ExpiryResult = await self.execute(
            self._fleet.expire, leases, due.attached, due.repeated_enrolments
        )
        for incarnation in result.expired:
            self._log.info("member_lapsed", incarnation=incarnation, attached=len(due.attached))
        for incarnation in result.removed:
            self._log.info("member_removed", incarnation=incarnation, attached=len(due.attached))

    def _save_clock(self) -> None:
        try:
            self._file.save(self._clock.bound(self._clocks.monotonic_ms()))
            self._save_failed = False
        except OSError as failure:
            if not self._save_failed:  # log one line for a series of failures
                self._log.warning("service_clock_not_saved", why=str(failure))
            self._save_failed = True
