"""Chains of tiers in simulated time (bench/scale): the same by seed, all answered, what repeats come to."""

from __future__ import annotations

import functools

import pytest
import typer

from bench.scale import records
from bench.scale.chain_model import Answer, Chain, Shape, Trouble, UserCall
from bench.scale.chains import add_run, outcome, parse_depths, phase

DEPTH = 4
WARM_MS, MEASURED_MS = 2000.0, 5000.0


@functools.cache
def users(trouble: Trouble, seed: int = 1, depth: int = DEPTH, attempts: int = 3) -> list[UserCall]:
    return Chain(Shape(depth, max_attempts=attempts), seed).run(WARM_MS, MEASURED_MS, trouble)


def test_the_same_seed_gives_the_same_run_and_another_seed_another() -> None:
    shape = Shape(DEPTH)
    again = Chain(shape, 1).run(WARM_MS, MEASURED_MS, Trouble.SATURATED)
    assert again == users(Trouble.SATURATED)
    assert users(Trouble.SATURATED, seed=2) != again


@pytest.mark.parametrize("trouble", Trouble)
def test_every_call_is_answered_before_its_user_gives_up(trouble: Trouble) -> None:
    shape = Shape(DEPTH)
    assert len(users(trouble)) > 300
    for user in users(trouble):
        assert user.answer is not None
        assert user.ended_ms - user.arrived_ms <= shape.give_up_ms


def test_a_healthy_chain_sends_once_to_each_tier() -> None:
    for user in users(Trouble.HEALTHY):
        assert user.sends == [1] * DEPTH
        assert user.answer is Answer.OK


@pytest.mark.parametrize("attempts", [1, 3])
def test_a_node_makes_no_more_attempts_than_it_may(attempts: int) -> None:
    for trouble in Trouble:
        for user in users(trouble, attempts=attempts):
            calls = 1
            for sends in user.sends:
                assert sends <= calls * attempts
                calls = sends


def test_errors_of_the_last_tier_are_repeated_there_alone() -> None:
    found = outcome(users(Trouble.FAILING), Shape(DEPTH).aim_ms)
    assert found.last_tier == pytest.approx(1 + 0.3 + 0.3**2, rel=0.1)
    assert found.by_tier[0] == pytest.approx(1.0, abs=0.01)


def test_a_saturated_last_tier_is_sent_what_it_can_serve() -> None:
    shape = Shape(DEPTH)
    found = outcome(users(Trouble.SATURATED), shape.aim_ms)
    assert found.last_tier <= 1.2 / shape.overload
    assert found.in_aim > 0.4
    assert found.refused > 0.1


def test_a_run_records_every_figure_and_names_sends_that_multiply() -> None:
    run = records.Run("chains", 0.0, 1, {})
    for trouble in (Trouble.HEALTHY, Trouble.SATURATED):
        found = outcome(users(trouble), Shape(DEPTH).aim_ms)
        add_run(run, trouble, DEPTH, found, MEASURED_MS / 1000.0)
    assert not [failure for failure in run.failures if failure.startswith("healthy")]
    record = run.finish()
    at = phase(Trouble.HEALTHY, DEPTH)
    assert record.number("chain", "sends_per_call", at) == DEPTH
    assert record.number("chain", "goodput_share", at) == 1.0
    assert record.number("chain", "unanswered", phase(Trouble.SATURATED, DEPTH)) == 0


def test_depths_are_whole_numbers_in_range() -> None:
    assert parse_depths("1,24") == [1, 24]
    for text in ("0", "65", "2.5", "", "1,"):
        with pytest.raises(typer.BadParameter):
            parse_depths(text)
