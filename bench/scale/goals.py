"""Goals of a control-path run: an upper bound for each figure that must meet one."""

from __future__ import annotations

from msgspec import Struct

from bench.scale.records import Figure, Role, Run

ZONE_LOSS_FACTOR = 3.0  # relaxes the bounds for some seconds after the loss of a zone
BUSY_NOTE = " (the machine did not keep up with its own timers)"
ORDINARY = ("steady",)
LEASE_PHASES = ("steady", "leader_killed", "leader_back")


class Goal(Struct, frozen=True):
    """The maximum allowed for one figure."""

    role: Role
    name: str
    max_value: float
    phases: tuple[str, ...] = ()  # empty: all phases that have the figure


def control_goals(cpu_percent: float, memory_mb: float, bytes_per_s: float) -> list[Goal]:
    """Return all goals; the arguments are the operators' bounds for a node (size.toml)."""
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
        Goal("node", "cpu_percent_max", ZONE_LOSS_FACTOR * cpu_percent, first),
        Goal("node", "bytes_in_max", ZONE_LOSS_FACTOR * bytes_per_s, first),
        Goal("node", "bytes_out_max", ZONE_LOSS_FACTOR * bytes_per_s, first),
        Goal("leader", "cpu_percent_max", 50.0, ORDINARY),
        Goal("follower", "cpu_percent_max", 50.0, ORDINARY),
        Goal("leader", "rss_mb_max", 512.0),
        Goal("follower", "rss_mb_max", 512.0),
        Goal("hollow", "changes_p99", 1_000.0, ("list_changes",)),
        Goal("platform", "share_sums_over_1", 0),
        Goal("platform", "share_sums_over_1.05", 0),
    ]


def missed(run: Run, goals: list[Goal]) -> list[str]:
    """Return a line for each figure that is over its goal or was not reached."""
    busy = {figure.phase for figure in run.figures if figure.name == "kept_up" and not figure.value}
    lines = []
    for goal in goals:
        for figure in run.figures:
            line = _miss(goal, figure)
            if line:
                lines.append(line + (BUSY_NOTE if figure.phase in busy else ""))
    return lines


def _miss(goal: Goal, figure: Figure) -> str:
    if (figure.role, figure.name) != (goal.role, goal.name):
        return ""
    if goal.phases and figure.phase not in goal.phases:
        return ""
    label = f"{figure.phase}: {figure.role} {figure.name}"
    if figure.value is None:
        return f"{label}: not reached, goal {goal.max_value:g}"
    if isinstance(figure.value, str) or figure.value <= goal.max_value:
        return ""
    return f"{label}: {figure.value:g} {figure.unit}, goal {goal.max_value:g}"
