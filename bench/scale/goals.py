"""What a control-path run has to show: the goals, each by the figure that answers it."""

from __future__ import annotations

from msgspec import Struct

from bench.scale.records import Figure, Role, Run

FIRST_FACTOR = 3.0  # for some seconds around the loss of a zone
BUSY = " (the machine did not keep up with its own timers)"
ORDINARY = ("steady",)
LEASE_PHASES = ("steady", "leader_killed", "leader_back")


class Goal(Struct, frozen=True):
    role: Role
    name: str
    most: float
    phases: tuple[str, ...] = ()  # none: all that have the figure


def control_goals(cpu_percent: float, memory_mb: float, bytes_per_s: float) -> list[Goal]:
    """The bounds on a node are the operators' (size.toml)."""
    first = ("zone_lost_first",)
    return [
        Goal("platform", "all_enrolled", 30.0, ("enrolment",)),
        Goal("hollow", "late", 0, LEASE_PHASES),
        Goal("hollow", "unknown", 0, LEASE_PHASES),
        Goal("hollow", "yielded", 0, LEASE_PHASES),
        Goal("node", "cpu_percent_max", cpu_percent, ORDINARY),
        Goal("node", "rss_mb_max", memory_mb),
        Goal("node", "bytes_in_max", bytes_per_s, ORDINARY),
        Goal("node", "bytes_out_max", bytes_per_s, ORDINARY),
        Goal("node", "cpu_percent_max", FIRST_FACTOR * cpu_percent, first),
        Goal("node", "bytes_in_max", FIRST_FACTOR * bytes_per_s, first),
        Goal("node", "bytes_out_max", FIRST_FACTOR * bytes_per_s, first),
        Goal("leader", "cpu_percent_max", 50.0, ORDINARY),
        Goal("follower", "cpu_percent_max", 50.0, ORDINARY),
        Goal("leader", "rss_mb_max", 512.0),
        Goal("follower", "rss_mb_max", 512.0),
        Goal("hollow", "changes_p99", 1_000.0, ("list_changes",)),
        Goal("platform", "share_sums_over_1", 0),
        Goal("platform", "share_sums_over_1.05", 0),
    ]


def missed(run: Run, goals: list[Goal]) -> list[str]:
    """A line for each figure that is over its goal, or that was not reached at all."""
    busy = {figure.phase for figure in run.figures if figure.name == "kept_up" and not figure.value}
    lines = []
    for goal in goals:
        for figure in run.figures:
            line = _miss(goal, figure)
            if line:
                lines.append(line + (BUSY if figure.phase in busy else ""))
    return lines


def _miss(goal: Goal, figure: Figure) -> str:
    if (figure.role, figure.name) != (goal.role, goal.name):
        return ""
    if goal.phases and figure.phase not in goal.phases:
        return ""
    what = f"{figure.phase}: {figure.role} {figure.name}"
    if figure.value is None:
        return f"{what}: not reached, goal {goal.most:g}"
    if isinstance(figure.value, str) or figure.value <= goal.most:
        return ""
    return f"{what}: {figure.value:g} {figure.unit}, goal {goal.most:g}"
