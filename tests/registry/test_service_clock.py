"""Service time over changes of leader, on injected clocks."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from loadbalancer.registry.service_clock import MAX_DRIFT_RATIO, ClockBound, ServiceClock


class Machine:
    """An instance's clocks: readings at true time `t` with an offset and, for the monotonic clock, a rate."""

    def __init__(self, mono_offset: float, wall_offset: float, rate: float = 1.0) -> None:
        self.mono_offset, self.wall_offset, self.rate = mono_offset, wall_offset, rate
        self.clock = ServiceClock()

    def mono(self, t: float) -> float:
        return t * self.rate + self.mono_offset

    def wall(self, t: float) -> float:
        return 1.7e12 + t + self.wall_offset


def test_new_leader_with_wrong_clocks_continues_service_time_within_ms() -> None:
    first, second = Machine(5_000.0, 0.0), Machine(-90_000.0, 2_000.0, 1.0 + 80e-6)
    first.clock.start_leading(first.mono(0.0), first.wall(0.0), 0.0, 1)
    assert first.clock.service_ms(first.mono(0.0)) == first.wall(0.0)
    log_ms = 0.0
    for step in range(1, 200):
        t = step * 100.0
        log_ms = first.clock.service_ms(first.mono(t))
        late = 4.0 if step % 7 == 0 else 30.0  # replication delay; the shortest one determines the bound
        second.clock.observe(second.mono(t + late), log_ms, 1)
    first.wall_offset = 86_400_000.0  # the wall clock is not read again, so its jump has no effect
    t = 20_900.0  # after an election
    before = first.clock.service_ms(first.mono(t))
    second.clock.start_leading(second.mono(t), second.wall(t), log_ms, 1)
    assert second.clock.service_ms(second.mono(t)) == pytest.approx(before - 4.0, abs=1.0)
    # The first instance becomes a follower and then leader again; it still has S from its monotonic clock.
    first.clock.stop_leading(first.mono(t))
    with pytest.raises(ValueError, match="only the leader"):
        first.clock.service_ms(first.mono(t))
    first.clock.start_leading(first.mono(t + 500.0), first.wall(t + 500.0), log_ms, 1)
    assert first.clock.service_ms(first.mono(t + 500.0)) == pytest.approx(before + 500.0, abs=1.0)


def test_new_leader_ignores_bound_of_earlier_epoch_and_never_precedes_log() -> None:
    clock = ServiceClock(ClockBound(ahead_ms=9_000.0, read_at_ms=0.0, epoch=1))
    clock.start_leading(10.0, 1.7e12, 500.0, 2)
    assert clock.service_ms(10.0) == 500.0
    clock.stop_leading(20.0)
    clock.observe(30.0, 400.0, 3)  # lower, but of the current epoch
    clock.start_leading(40.0, 1.7e12, 405.0, 3)
    assert clock.service_ms(40.0) == pytest.approx(410.0, abs=0.01)
    clock.start_leading(50.0, 1.7e12, 7_000.0, 3)
    assert clock.service_ms(50.0) == 7_000.0


@given(
    st.lists(st.tuples(st.floats(1, 500), st.floats(0, 60), st.booleans()), min_size=1, max_size=60),
    st.floats(-1e6, 1e6),
    st.floats(-90e-6, 90e-6),
)
def test_log_time_never_falls_over_changes_of_leader(
    steps: list[tuple[float, float, bool]], offset: float, rate_error: float
) -> None:
    machines = [Machine(0.0, 0.0), Machine(offset, offset, 1.0 + rate_error)]
    machines[0].clock.start_leading(0.0, machines[0].wall(0.0), 0.0, 1)
    began = log_ms = machines[0].clock.service_ms(0.0)
    machines[1].clock.observe(machines[1].mono(0.0), began, 1)
    t, leader = 0.0, 0
    for gap, late, change in steps:
        t += gap
        if change:
            machines[leader].clock.stop_leading(machines[leader].mono(t))
            leader = 1 - leader
            new = machines[leader]
            new.clock.start_leading(new.mono(t), new.wall(t), log_ms, 1)
        stamp = machines[leader].clock.service_ms(machines[leader].mono(t))
        assert stamp >= log_ms
        log_ms = stamp
        other = machines[1 - leader]
        other.clock.observe(other.mono(t + late), stamp, 1)
    # At most one replication delay behind per change, and ahead by at most the clocks' difference in rate.
    assert -61.0 * len(steps) <= (log_ms - began) - t <= 0.01 + t * MAX_DRIFT_RATIO
