"""`python -m bench.scale chains`: attempts for a client's call in chains of tiers with a faulty last tier.

Real Balancers in simulated time (bench/scale/chain_model.py); one record holds all depths and faults.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Annotated

import numpy as np
import typer

from bench.scale import records
from bench.scale.chain_model import CallResult, Chain, ClientCall, Fault, Shape

KIND = "chains"
DEPTHS = "1,8,16,24"
MAX_DEPTH = 64
# Maximum of attempts at one tier for a call that the front tier admitted. With three attempts and 30% failed
# responses the faulty tier gets 1.39; a higher value means that retries of several tiers multiply.
MAX_RETRY_MULTIPLICATION = 1.5

app = typer.Typer()


@dataclass(frozen=True)
class Outcome:
    """Results of one run: means for one client's call unless stated otherwise."""

    calls: int
    attempts_per_call: float  # at all tiers together
    attempts_p99: float
    max_attempts_per_call: int
    mean_attempts_by_tier: list[float]
    admitted: float  # fraction of calls that the front tier attempted at least once
    rejections_behind_front: float  # by nodes of the tiers behind the front
    within_objective: float  # fraction with a successful response within the latency objective
    rejected: float  # fraction
    failed: float  # fraction
    without_result: int  # number of calls

    @property
    def last_tier_attempts(self) -> float:
        """Attempts at the last tier."""
        return self.mean_attempts_by_tier[-1]

    @property
    def worst_tier(self) -> int:
        """Index of the tier with the most attempts."""
        return max(range(len(self.mean_attempts_by_tier)), key=self.mean_attempts_by_tier.__getitem__)

    @property
    def retry_multiplication(self) -> float:
        """Attempts at the tier with the most of them, for a call that the front tier admitted."""
        return self.mean_attempts_by_tier[self.worst_tier] / self.admitted if self.admitted else 0.0


def outcome(client_calls: Sequence[ClientCall], latency_objective_ms: float) -> Outcome:
    """Return the results over these calls."""
    calls = len(client_calls)
    attempts_by_tier = np.array([client_call.attempts_by_tier for client_call in client_calls], dtype=float)
    totals = attempts_by_tier.sum(axis=1)
    within_objective = [
        client_call
        for client_call in client_calls
        if client_call.result is CallResult.OK and _latency_ms(client_call) <= latency_objective_ms
    ]
    return Outcome(
        calls=calls,
        attempts_per_call=float(totals.mean()),
        attempts_p99=float(np.percentile(totals, 99)),
        max_attempts_per_call=int(totals.max()),
        mean_attempts_by_tier=[float(mean) for mean in attempts_by_tier.mean(axis=0)],
        admitted=float((attempts_by_tier[:, 0] > 0).mean()),
        rejections_behind_front=sum(sum(client_call.rejections_by_tier[1:]) for client_call in client_calls)
        / calls,
        within_objective=len(within_objective) / calls,
        rejected=_fraction(client_calls, CallResult.REJECTED),
        failed=_fraction(client_calls, CallResult.FAILED),
        without_result=sum(client_call.result is None for client_call in client_calls),
    )


def _latency_ms(client_call: ClientCall) -> float:
    return client_call.ended_ms - client_call.arrived_ms


def _fraction(client_calls: Sequence[ClientCall], result: CallResult) -> float:
    return sum(client_call.result is result for client_call in client_calls) / len(client_calls)


# ---------------------------------------------------------------------- the record


def phase(fault: Fault, depth: int) -> str:
    """Return the phase's name in the records."""
    return f"{fault.value}, depth {depth}"


def _figures(found: Outcome, span_s: float) -> Iterator[tuple[str, float, str]]:
    """Yield name, value and unit of each figure."""
    yield "calls", found.calls, "calls"
    yield "sends_per_call", found.attempts_per_call, ""
    yield "sends_per_call_p99", found.attempts_p99, ""
    yield "most_sends_for_a_call", found.max_attempts_per_call, ""
    yield "last_tier_sends_per_call", found.last_tier_attempts, ""
    yield "worst_tier", found.worst_tier + 1, ""
    yield "worst_tier_sends_per_call", found.mean_attempts_by_tier[found.worst_tier], ""
    yield "worst_tier_sends_per_call_let_in", found.retry_multiplication, ""
    yield "let_in_share", found.admitted, ""
    yield "goodput_per_s", found.within_objective * found.calls / span_s, "1/s"
    yield "goodput_share", found.within_objective, ""
    yield "refused_share", found.rejected, ""
    yield "failed_share", found.failed, ""
    yield "refusals_inside_per_call", found.rejections_behind_front, ""
    yield "unanswered", found.without_result, "calls"


def add_run(run: records.Run, fault: Fault, depth: int, found: Outcome, span_s: float) -> None:
    """Add the figures of one chain to the run, and its failures."""
    phase_name = phase(fault, depth)
    for name, value, unit in _figures(found, span_s):
        run.add("chain", name, round(value, 4), unit, phase_name, found.calls)
    if found.without_result:
        run.failures.append(f"{phase_name}: {found.without_result} calls got no response")
    if found.retry_multiplication > MAX_RETRY_MULTIPLICATION:
        tier = found.worst_tier + 1
        run.failures.append(
            f"{phase_name}: {found.retry_multiplication:.2f} attempts at tier {tier} for each admitted call"
        )


def parse_depths(text: str) -> list[int]:
    """Return the depths, or raise BadParameter."""
    words = text.split(",")
    depths = [int(word) for word in words if word.isdecimal()]
    if len(depths) != len(words) or not all(1 <= depth <= MAX_DEPTH for depth in depths):
        raise typer.BadParameter(f"{text!r}: depths are whole numbers from 1 to {MAX_DEPTH}")
    return depths


@app.command()
def chains(
    depths: Annotated[str, typer.Option(help="Numbers of tiers, simulated one after another.")] = DEPTHS,
    rate: Annotated[float, typer.Option(min=1.0, max=250.0, help="Clients' calls per second.")] = 100.0,
    attempts: Annotated[int, typer.Option(min=1, max=10, help="Maximum attempts of a node for a call.")] = 3,
    seconds: Annotated[float, typer.Option(min=1.0, max=60.0, help="Simulated time with the fault.")] = 12.0,
    warm: Annotated[float, typer.Option(min=0.0, max=60.0, help="Simulated seconds before the fault.")] = 4.0,
    seed: int = 1,
    record: Annotated[bool, typer.Option(help="Write a record.")] = True,
) -> None:
    """Measure attempts, goodput and rejections of calls through chains of tiers, in simulated time."""
    options: dict[str, records.Option] = {
        "depths": depths,
        "rate": rate,
        "attempts": attempts,
        "seconds": seconds,
        "warm": warm,
    }
    run = records.Run(KIND, 0.0, seed, options)
    for depth in parse_depths(depths):
        shape = Shape(depth, calls_per_s=rate, max_attempts=attempts)
        for fault in Fault:
            client_calls = Chain(shape, seed).run(warm * 1000.0, seconds * 1000.0, fault)
            found = outcome(client_calls, shape.latency_objective_ms)
            add_run(run, fault, depth, found, seconds)
            typer.echo(_line(fault, depth, found))
    finished = run.finish()
    for failure in finished.failures:
        typer.echo(f"missed: {failure}")
    if record:
        typer.echo(f"record: {records.append(finished).name}")


def _line(fault: Fault, depth: int, found: Outcome) -> str:
    worst = f"{found.mean_attempts_by_tier[found.worst_tier]:.2f} at tier {found.worst_tier + 1}"
    return (
        f"depth {depth:>2} {fault.value:<9} attempts {found.attempts_per_call:6.2f} "
        f"(max {found.max_attempts_per_call}), {worst}, {found.last_tier_attempts:.2f} at the last; "
        f"within objective {found.within_objective:.3f}, rejected {found.rejected:.3f}"
    )
