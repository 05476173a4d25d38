"""Chains of tiers in simulated time (bench/scale): determinism by seed, results of calls, retries."""

from __future__ import annotations

import functools

import pytest
import typer

from bench.scale import records
from bench.scale.chain_model import CallResult, Chain, ClientCall, Fault, Shape
from bench.scale.chains import add_run, outcome, parse_depths, phase

DEPTH = 4
WARM_MS, MEASURED_MS = 2000.0, 5000.0


@functools.cache
def client_calls(fault: Fault, seed: int = 1, depth: int = DEPTH, attempts: int = 3) -> list[ClientCall]:
    return Chain(Shape(depth, max_attempts=attempts), seed).run(WARM_MS, MEASURED_MS, fault)


def test_same_seed_gives_same_run_and_other_seed_gives_another() -> None:
    shape = Shape(DEPTH)
    again = Chain(shape, 1).run(WARM_MS, MEASURED_MS, Fault.SATURATED)
    assert again == client_calls(Fault.SATURATED)
    assert client_calls(Fault.SATURATED, seed=2) != again


@pytest.mark.parametrize("fault", Fault)
def test_every_call_gets_result_within_client_timeout(fault: Fault) -> None:
    shape = Shape(DEPTH)
    assert len(client_calls(fault)) > 300
    for client_call in client_calls(fault):
        assert client_call.result is not None
        assert client_call.ended_ms - client_call.arrived_ms <= shape.client_timeout_ms


def test_healthy_chain_needs_one_attempt_at_each_tier() -> None:
    for client_call in client_calls(Fault.HEALTHY):
        assert client_call.attempts_by_tier == [1] * DEPTH
        assert client_call.result is CallResult.OK


@pytest.mark.parametrize("attempts", [1, 3])
def test_node_keeps_to_max_attempts(attempts: int) -> None:
    for fault in Fault:
        for client_call in client_calls(fault, attempts=attempts):
            calls = 1
            for attempts_at_tier in client_call.attempts_by_tier:
                assert attempts_at_tier <= calls * attempts
                calls = attempts_at_tier


def test_errors_of_last_tier_are_retried_only_there() -> None:
    found = outcome(client_calls(Fault.FAILING), Shape(DEPTH).latency_objective_ms)
    assert found.last_tier_attempts == pytest.approx(1 + 0.3 + 0.3**2, rel=0.1)
    assert found.mean_attempts_by_tier[0] == pytest.approx(1.0, abs=0.01)


def test_saturated_last_tier_gets_attempts_near_its_capacity() -> None:
    shape = Shape(DEPTH)
    found = outcome(client_calls(Fault.SATURATED), shape.latency_objective_ms)
    assert found.last_tier_attempts <= 1.2 / shape.overload
    assert found.within_objective > 0.4
    assert found.rejected > 0.1


def test_run_records_every_figure_and_reports_multiplied_retries() -> None:
    run = records.Run("chains", 0.0, 1, {})
    for fault in (Fault.HEALTHY, Fault.SATURATED):
        found = outcome(client_calls(fault), Shape(DEPTH).latency_objective_ms)
        add_run(run, fault, DEPTH, found, MEASURED_MS / 1000.0)
    assert not [failure for failure in run.failures if failure.startswith("healthy")]
    record = run.finish()
    phase_name = phase(Fault.HEALTHY, DEPTH)
    assert record.number("chain", "sends_per_call", phase_name) == DEPTH
    assert record.number("chain", "goodput_share", phase_name) == 1.0
    assert record.number("chain", "unanswered", phase(Fault.SATURATED, DEPTH)) == 0


def test_depths_outside_range_are_rejected() -> None:
    assert parse_depths("1,24") == [1, 24]
    for text in ("0", "65", "2.5", "", "1,"):
        with pytest.raises(typer.BadParameter):
            parse_depths(text)
