"""What discovery has is learned within 6 s of when it could be had, whatever its calls come to."""

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
    Luck,
    Source,
    now,
    watching,
)

# ------------------------------------------------------------------------- the clock


@MODES
def test_what_a_silent_watch_misses_is_learned_in_time(pause_s):
    policy = PollPolicy(20.0, pause_s, Luck(1.0))
    policy.record_success()
    silent_s = policy.timeout_s
    assert silent_s + policy.record_failure() + policy.timeout_s < PROPAGATION_DEADLINE_S


@MODES
def test_the_call_after_any_number_of_failures_comes_in_time(pause_s):
    """The worst: discovery is back right after a call was sent that it will never answer."""
    policy = PollPolicy(20.0, pause_s, Luck(1.0))
    pauses = []
    for _ in range(5000):  # some hours of an outage
        unheard_s = policy.timeout_s
        pauses.append(policy.record_failure())
        assert unheard_s + pauses[-1] + policy.timeout_s < PROPAGATION_DEADLINE_S
    assert pauses == sorted(pauses)
    assert pauses[-1] == (
        PUSH_BACKOFF_S if pause_s == PUSH_BACKOFF_S else pytest.approx(3.2)
    )  # backs off where it may crowd
    policy.record_success()
    assert policy.record_failure() == pauses[0]


@MODES
def test_pauses_are_drawn_apart_at_every_failure(pause_s):
    fleet = [PollPolicy(20.0, pause_s, Random(seed)) for seed in range(40)]
    for _ in range(6):
        pauses = sorted(policy.record_failure() for policy in fleet)
        assert pauses[-1] > 1.8 * pauses[0]
        assert max(later - earlier for earlier, later in itertools.pairwise(pauses)) < 0.1 * pauses[-1]


def test_settings_may_leave_less():
    policy = PollPolicy(0.1, 0.1, Luck(1.0))
    assert policy.wait_ms == 50
    policy.record_success()
    assert policy.wait_ms == 100
    assert [policy.record_failure() for _ in range(4)] == [0.1] * 4


@MODES
@pytest.mark.parametrize("how", ["silent", "drip"])
@pytest.mark.parametrize("into_s", [0.0, 0.7, 2.7])
def test_a_watch_that_falls_silent_is_opened_anew_in_time(pause_s, how, into_s):
    """Guard: a wait of 5 s that fell silent was noticed 6.2 s after it began."""

    async def main():
        await (source := Source(rev=2)).open()
        async with watching(source, pause_s) as (_, listener):
            began = await listener.learned(2)
            await asyncio.sleep(into_s)
            fell_silent = source.fall_silent(how)
            assert fell_silent - began < 2.75  # in the first long wait
            source.change()
            assert await listener.learned(3) - fell_silent < PROPAGATION_DEADLINE_S
            assert source.connections == 2

    run(main())


# ------------------------------------------------- older versions, a move, and the end


@MODES
@pytest.mark.parametrize("known", [41, 2], ids=["known before the start", "heard"])
def test_a_discovery_that_counts_again_is_followed_in_time(pause_s, known):
    """Guard: it told nothing but changes since its own version, which were refused as stale for good, or were
    taken for all that is new."""

    async def main():
        await (source := Source(rev=41)).open()
        async with watching(source, pause_s, known) as (_, listener):
            if known == 2:
                await listener.learned(41)
            source.fall_silent("reset")
            began = source.change(7)
            while not any((form, rev) == (EndpointListKind.FULL, 7) for _, form, rev in listener.heard):
                await listener.next()
                assert now() - began < PROPAGATION_DEADLINE_S

    run(main())


@MODES
@pytest.mark.parametrize("act", ["silent", "drip", "reset", "cut", "no length", "302", "500", "503"])
@pytest.mark.parametrize("outage_s", [0.1, 3.0, 8.0])
def test_discovery_that_fails_from_the_start_is_followed_at_its_return(pause_s, act, outage_s):
    async def main():
        await (source := Source(rev=2, act=act)).open()
        async with watching(source, pause_s) as (_, listener):
            await asyncio.sleep(outage_s)
            source.act = "answer"
            assert await listener.learned(2) - outage_s < PROPAGATION_DEADLINE_S

    run(main())


@MODES
@pytest.mark.parametrize("old", ["answer", "silent", "503", "reset"])
@pytest.mark.parametrize("after_s", [0.0, 0.4, 1.5])
def test_a_move_is_followed_at_once_whatever_the_old_address_does(pause_s, old, after_s):
    """After SIGHUP a change counts as told 4 s later; a second SIGHUP to the same address changes nothing."""

    async def main():
        await (source := Source(act=old)).open()
        await (new := Source(rev=3)).open()
        async with watching(source, pause_s) as (watcher, listener):
            await asyncio.sleep(after_s)
            moved = now()
            watcher.change_address(new.address)
            watcher.change_address(new.address)
            assert await listener.learned(3) - moved < 0.1
            assert new.connections == 1
            watcher.change_address(source.address)
            watcher.change_address(new.address)
            new.change()
            assert await listener.learned(4) - moved < 0.3
        new.close()

    run(main())


@MODES
@pytest.mark.parametrize("lower", [3, 40])
def test_a_move_to_where_versions_count_from_lower_is_followed_in_time(pause_s, lower):
    """Guard: its whole list was taken 4.55 s after SIGHUP, as that of a source rebuilt at the old address."""

    async def main():
        await (source := Source(rev=41)).open()
        await (new := Source(rev=lower)).open()
        async with watching(source, pause_s) as (watcher, listener):
            await listener.learned(41)
            moved = now()
            watcher.change_address(new.address)
            while not any((form, rev) == (EndpointListKind.FULL, lower) for _, form, rev in listener.heard):
                await listener.next()
            assert (
                2.0 < now() - moved < ADDRESS_CHANGE_DEADLINE_S
            )  # a replica that only lags has some time to catch up
        new.close()

    run(main())


def test_no_watch_begins_after_the_end():
    async def main():
        await (source := Source(rev=2)).open()
        await (new := Source(rev=3)).open()
        async with watching(source) as (watcher, listener):
            await listener.learned(2)
            watcher.close()
            watcher.change_address(new.address)
            watcher.start()
            await asyncio.sleep(10.0)
            assert not new.connections
            assert len(listener.heard) == 1
        new.close()

    run(main())
