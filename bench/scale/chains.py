"""`python -m bench.scale chains`: what a user's call sends in chains of tiers whose last tier is in trouble.

Real Balancers in simulated time (bench/scale/chain_model.py); one record holds all depths and troubles.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Annotated

import numpy as np
import typer

from bench.scale import records
from bench.scale.chain_model import Answer, Chain, Shape, Trouble, UserCall

KIND = "chains"
DEPTHS = "1,8,16,24"
DEEPEST = 64
# Sends to one tier for a call that the front let in. Three attempts where 30% of the answers fail are 1.39,
# at the tier that failed; more than this is repeats of repeats.
MULTIPLIED = 1.5

app = typer.Typer()


@dataclass(frozen=True)
class Outcome:
    """What the calls of one run came to, for one user's call unless it says otherwise."""

    calls: int
    sends: float
    sends_p99: float
    most_sends: int  # for one call
    by_tier: list[float]
    let_in: float  # share of the calls that the front sent on at all
    refusals_inside: float  # by nodes of the tiers behind the front
    in_aim: float  # share answered well within the aim
    refused: float  # share
    failed: float  # share
    unanswered: int  # calls

    @property
    def last_tier(self) -> float:
        return self.by_tier[-1]

    @property
    def worst_tier(self) -> int:
        return max(range(len(self.by_tier)), key=self.by_tier.__getitem__)

    @property
    def multiplied(self) -> float:
        """Sends to the tier that got most, for a call that the front let in."""
        return self.by_tier[self.worst_tier] / self.let_in if self.let_in else 0.0


def outcome(users: Sequence[UserCall], aim_ms: float) -> Outcome:
    calls = len(users)
    sends = np.array([user.sends for user in users], dtype=float)
    each = sends.sum(axis=1)
    in_aim = [user for user in users if user.answer is Answer.OK and _took_ms(user) <= aim_ms]
    return Outcome(
        calls=calls,
        sends=float(each.mean()),
        sends_p99=float(np.percentile(each, 99)),
        most_sends=int(each.max()),
        by_tier=[float(mean) for mean in sends.mean(axis=0)],
        let_in=float((sends[:, 0] > 0).mean()),
        refusals_inside=sum(sum(user.refusals[1:]) for user in users) / calls,
        in_aim=len(in_aim) / calls,
        refused=_share(users, Answer.REFUSED),
        failed=_share(users, Answer.FAILED),
        unanswered=sum(user.answer is None for user in users),
    )


def _took_ms(user: UserCall) -> float:
    return user.ended_ms - user.arrived_ms


def _share(users: Sequence[UserCall], answer: Answer) -> float:
    return sum(user.answer is answer for user in users) / len(users)


# ---------------------------------------------------------------------- the record


def phase(trouble: Trouble, depth: int) -> str:
    return f"{trouble.value}, depth {depth}"


def _figures(found: Outcome, span_s: float) -> Iterator[tuple[str, float, str]]:
    """Name, value and unit."""
    yield "calls", found.calls, "calls"
    yield "sends_per_call", found.sends, ""
    yield "sends_per_call_p99", found.sends_p99, ""
    yield "most_sends_for_a_call", found.most_sends, ""
    yield "last_tier_sends_per_call", found.last_tier, ""
    yield "worst_tier", found.worst_tier + 1, ""
    yield "worst_tier_sends_per_call", found.by_tier[found.worst_tier], ""
    yield "worst_tier_sends_per_call_let_in", found.multiplied, ""
    yield "let_in_share", found.let_in, ""
    yield "goodput_per_s", found.in_aim * found.calls / span_s, "1/s"
    yield "goodput_share", found.in_aim, ""
    yield "refused_share", found.refused, ""
    yield "failed_share", found.failed, ""
    yield "refusals_inside_per_call", found.refusals_inside, ""
    yield "unanswered", found.unanswered, "calls"


def add_run(run: records.Run, trouble: Trouble, depth: int, found: Outcome, span_s: float) -> None:
    at = phase(trouble, depth)
    for name, value, unit in _figures(found, span_s):
        run.add("chain", name, round(value, 4), unit, at, found.calls)
    if found.unanswered:
        run.failures.append(f"{at}: {found.unanswered} calls had no answer")
    if found.multiplied > MULTIPLIED:
        tier = found.worst_tier + 1
        run.failures.append(f"{at}: {found.multiplied:.2f} sends to tier {tier} for a call let in")


def parse_depths(text: str) -> list[int]:
    words = text.split(",")
    depths = [int(word) for word in words if word.isdecimal()]
    if len(depths) != len(words) or not all(1 <= depth <= DEEPEST for depth in depths):
        raise typer.BadParameter(f"{text!r}: depths are whole numbers from 1 to {DEEPEST}")
    return depths


@app.command()
def chains(
    depths: Annotated[str, typer.Option(help="Tiers of the chains, each in turn.")] = DEPTHS,
    rate: Annotated[float, typer.Option(min=1.0, max=250.0, help="Users' calls a second.")] = 100.0,
    attempts: Annotated[int, typer.Option(min=1, max=10, help="The most attempts that a node makes.")] = 3,
    seconds: Annotated[float, typer.Option(min=1.0, max=60.0, help="Simulated, in trouble.")] = 12.0,
    warm: Annotated[float, typer.Option(min=0.0, max=60.0, help="Simulated seconds before that.")] = 4.0,
    seed: int = 1,
    record: Annotated[bool, typer.Option(help="Write a record.")] = True,
) -> None:
    """Sends, goodput and refusals of a user's call through chains of tiers, in simulated time."""
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
        for trouble in Trouble:
            users = Chain(shape, seed).run(warm * 1000.0, seconds * 1000.0, trouble)
            found = outcome(users, shape.aim_ms)
            add_run(run, trouble, depth, found, seconds)
            typer.echo(_line(trouble, depth, found))
    finished = run.finish()
    for failure in finished.failures:
        typer.echo(f"missed: {failure}")
    if record:
        typer.echo(f"record: {records.append(finished).name}")


def _line(trouble: Trouble, depth: int, found: Outcome) -> str:
    worst = f"{found.by_tier[found.worst_tier]:.2f} at tier {found.worst_tier + 1}"
    return (
        f"depth {depth:>2} {trouble.value:<9} sends {found.sends:6.2f} (most {found.most_sends}), {worst}, "
        f"{found.last_tier:.2f} at the last; in time {found.in_aim:.3f}, refused {found.refused:.3f}"
    )
