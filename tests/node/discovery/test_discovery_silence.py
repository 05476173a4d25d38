"""Changes in discovery reach the node within the deadlines, also after failed polls and address changes."""

from __future__ import annotations

import asyncio
import itertools
from random import Random

import pytest

from loadbalancer.endpoints import EndpointListKind
from loadbalancer.node.discovery.poll_policy import PollPolicy
from tests.support.clocks import run
from tests.support.discoveries import (
    ADDRESS_CHANGE_DEADLINE_S,
    MODES,
    PROPAGATION_DEADLINE_S,
    PUSH_BACKOFF_S,
    FixedUniform,
    StubDiscovery,
    now,
    running_watcher,
)

# ------------------------------------------------------------------------- timing policy


@MODES
def test_poll_without_response_and_next_poll_fit_deadline(max_backoff_s):
    policy = PollPolicy(20.0, max_backoff_s, FixedUniform(1.0))
    policy.record_success()
    lost_poll_s = policy.timeout_s
    assert lost_poll_s + policy.record_failure() + policy.timeout_s < PROPAGATION_DEADLINE_S


@MODES
def test_poll_after_any_number_of_failures_fits_deadline(max_backoff_s):
    """The worst case: discovery recovers just after a poll was sent to which it will never respond."""
    policy = PollPolicy(20.0, max_backoff_s, FixedUniform(1.0))
    backoffs = []
    for _ in range(5000):  # an outage of several hours
        lost_poll_s = policy.timeout_s
        backoffs.append(policy.record_failure())
        assert lost_poll_s + backoffs[-1] + policy.timeout_s < PROPAGATION_DEADLINE_S
    assert backoffs == sorted(backoffs)
    # Where the settings allow it, the backoff grows up to the maximum that the deadline leaves.
    assert backoffs[-1] == (PUSH_BACKOFF_S if max_backoff_s == PUSH_BACKOFF_S else pytest.approx(3.2))
    policy.record_success()
    assert policy.record_failure() == backoffs[0]


@MODES
def test_jitter_spreads_backoffs_of_nodes_at_every_failure(max_backoff_s):
    policies = [PollPolicy(20.0, max_backoff_s, Random(seed)) for seed in range(40)]
    for _ in range(6):
        backoffs = sorted(policy.record_failure() for policy in policies)
        assert backoffs[-1] > 1.8 * backoffs[0]
        assert max(later - earlier for earlier, later in itertools.pairwise(backoffs)) < 0.1 * backoffs[-1]


def test_settings_lower_wait_and_backoff():
    policy = PollPolicy(0.1, 0.1, FixedUniform(1.0))
    assert policy.wait_ms == 50
    policy.record_success()
    assert policy.wait_ms == 100
    assert [policy.record_failure() for _ in range(4)] == [0.1] * 4


@MODES
@pytest.mark.parametrize("fault", ["silent", "drip"])
@pytest.mark.parametrize("delay_s", [0.0, 0.7, 2.7])
def test_stalled_connection_is_replaced_within_deadline(max_backoff_s, fault, delay_s):
    """A connection may stall during a long poll.

    With a wait of 5 s this was detected only 6.2 s after the poll began, after the deadline.
    """

    async def main():
        await (discovery := StubDiscovery(rev=2)).open()
        async with running_watcher(discovery, max_backoff_s) as (_, recorder):
            began = await recorder.wait_for_revision(2)
            await asyncio.sleep(delay_s)
            stalled_at = discovery.break_connections(fault)
            assert stalled_at - began < 2.75  # during the first long poll
            discovery.change()
            assert await recorder.wait_for_revision(3) - stalled_at < PROPAGATION_DEADLINE_S
            assert discovery.connections == 2

    run(main())


# ------------------------------------------------- lower revisions, address changes, closing


@MODES
@pytest.mark.parametrize("known", [41, 2], ids=["known before start", "received"])
def test_rebuilt_discovery_with_lower_revision_is_followed_within_deadline(max_backoff_s, known):
    """A discovery that is rebuilt from nothing counts its revisions from the start.

    Its response to a poll has only the changes since one of its own, lower revisions. The watcher used to
    reject such responses permanently as stale, or to apply them as if they had all changes.
    """

    async def main():
        await (discovery := StubDiscovery(rev=41)).open()
        async with running_watcher(discovery, max_backoff_s, known) as (_, recorder):
            if known == 2:
                await recorder.wait_for_revision(41)
            discovery.break_connections("reset")
            changed_at = discovery.change(7)
            while not any((kind, rev) == (EndpointListKind.FULL, 7) for _, kind, rev in recorder.updates):
                await recorder.next()
                assert now() - changed_at < PROPAGATION_DEADLINE_S

    run(main())


@MODES
@pytest.mark.parametrize("fault", ["silent", "drip", "reset", "cut", "no length", "302", "500", "503"])
@pytest.mark.parametrize("outage_s", [0.1, 3.0, 8.0])
def test_discovery_that_fails_from_start_is_followed_after_recovery(max_backoff_s, fault, outage_s):
    async def main():
        await (discovery := StubDiscovery(rev=2, behaviour=fault)).open()
        async with running_watcher(discovery, max_backoff_s) as (_, recorder):
            await asyncio.sleep(outage_s)
            discovery.behaviour = "respond"
            assert await recorder.wait_for_revision(2) - outage_s < PROPAGATION_DEADLINE_S

    run(main())


@MODES
@pytest.mark.parametrize("old", ["respond", "silent", "503", "reset"])
@pytest.mark.parametrize("after_s", [0.0, 0.4, 1.5])
def test_new_address_is_polled_at_once_in_any_state_of_old_address(max_backoff_s, old, after_s):
    """The deadline after SIGHUP is 4 s; a second SIGHUP with the same address changes nothing."""

    async def main():
        await (discovery := StubDiscovery(behaviour=old)).open()
        await (new := StubDiscovery(rev=3)).open()
        async with running_watcher(discovery, max_backoff_s) as (watcher, recorder):
            await asyncio.sleep(after_s)
            switched_at = now()
            watcher.change_address(new.address)
            watcher.change_address(new.address)
            assert await recorder.wait_for_revision(3) - switched_at < 0.1
            assert new.connections == 1
            watcher.change_address(discovery.address)
            watcher.change_address(new.address)
            new.change()
            assert await recorder.wait_for_revision(4) - switched_at < 0.3
        new.close()

    run(main())


@MODES
@pytest.mark.parametrize("lower", [3, 40])
def test_new_address_with_lower_revision_is_followed_within_deadline(max_backoff_s, lower):
    """The revisions of another discovery may be lower than those of the old address.

    Its complete list was accepted only 4.55 s after SIGHUP, since it was held back for as long as the list of
    a source rebuilt at the old address.
    """

    async def main():
        await (discovery := StubDiscovery(rev=41)).open()
        await (new := StubDiscovery(rev=lower)).open()
        async with running_watcher(discovery, max_backoff_s) as (watcher, recorder):
            await recorder.wait_for_revision(41)
            switched_at = now()
            watcher.change_address(new.address)
            while not any((kind, rev) == (EndpointListKind.FULL, lower) for _, kind, rev in recorder.updates):
                await recorder.next()
            # The lower bound gives a replica that only lags time to catch up.
            assert 2.0 < now() - switched_at < ADDRESS_CHANGE_DEADLINE_S
        new.close()

    run(main())


def test_closed_watcher_starts_no_watch():
    async def main():
        await (discovery := StubDiscovery(rev=2)).open()
        await (new := StubDiscovery(rev=3)).open()
        async with running_watcher(discovery) as (watcher, recorder):
            await recorder.wait_for_revision(2)
            watcher.close()
            watcher.change_address(new.address)
            watcher.start()
            await asyncio.sleep(10.0)
            assert not new.connections
            assert len(recorder.updates) == 1
        new.close()

    run(main())
