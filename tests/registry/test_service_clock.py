"""Service time through changes of leader, on injected clocks."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from loadbalancer.registry.service_clock import MAX_DRIFT_RATIO, ClockBound, ServiceClock


class Machine:
    """An instance's clocks: readings of true time `t`, each with its own offset and rate."""

    def __init__(self, mono_off: float, wall_off: float, rate: float = 1.0) -> None:
        self.mono_off, self.wall_off, self.rate = mono_off, wall_off, rate
        self.clock = ServiceClock()

    def mono(self, t: float) -> float:
        return t * self.rate + self.mono_off

    def wall(self, t: float) -> float:
        return 1.7e12 + t + self.wall_off


def test_a_leader_whose_clocks_are_2_s_off_goes_on_within_ms() -> None:
    first, second = Machine(5_000.0, 0.0), Machine(-90_000.0, 2_000.0, 1.0 + 80e-6)
    first.clock.start_leading(first.mono(0.0), first.wall(0.0), 0.0, 1)
    assert first.clock.service_ms(first.mono(0.0)) == first.wall(0.0)
    log_ms = 0.0
    for step in range(1, 200):
        t = step * 100.0
        log_ms = first.clock.service_ms(first.mono(t))
        late = 4.0 if step % 7 == 0 else 30.0  # replication's delay; the quickest one counts
        second.clock.observe(second.mono(t + late), log_ms, 1)
    first.wall_off = 86_400_000.0  # a wall clock that jumps is not read again
    t = 20_900.0  # an election later
    was = first.clock.service_ms(first.mono(t))
    second.clock.start_leading(second.mono(t), second.wall(t), log_ms, 1)
    assert second.clock.service_ms(second.mono(t)) == pytest.approx(was - 4.0, abs=1.0)
    # The first one follows again, and comes back: it still knows S by its own clock.
    first.clock.stop_leading(first.mono(t))
    with pytest.raises(ValueError, match="only the leader"):
        first.clock.service_ms(first.mono(t))
    first.clock.start_leading(first.mono(t + 500.0), first.wall(t + 500.0), log_ms, 1)
    assert first.clock.service_ms(first.mono(t + 500.0)) == pytest.approx(was + 500.0, abs=1.0)


def test_a_bound_of_an_earlier_epoch_is_worth_nothing_and_log_time_is_never_gone_behind() -> None:
    clock = ServiceClock(ClockBound(ahead_ms=9_000.0, read_at_ms=0.0, epoch=1))
    clock.start_leading(10.0, 1.7e12, 500.0, 2)
    assert clock.service_ms(10.0) == 500.0
    clock.stop_leading(20.0)
    clock.observe(30.0, 400.0, 3)  # lower, but of the epoch that counts
    clock.start_leading(40.0, 1.7e12, 405.0, 3)
    assert clock.service_ms(40.0) == pytest.approx(410.0, abs=0.01)
    clock.start_leading(50.0, 1.7e12, 7_000.0, 3)
    assert clock.service_ms(50.0) == 7_000.0


@given(
    st.lists(st.tuples(st.floats(1, 500), st.floats(0, 60), st.booleans()), min_size=1, max_size=60),
    st.floats(-1e6, 1e6),
    st.floats(-90e-6, 90e-6),
)
def test_log_time_only_rises_through_any_changes_of_leader(
    steps: list[tuple[float, float, bool]], off: float, ppm: float
) -> None:
    machines = [Machine(0.0, 0.0), Machine(off, off, 1.0 + ppm)]
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
    # Behind by one replication a change at the most, and ahead by what two clocks' rates differ by.
    assert -61.0 * len(steps) <= (log_ms - began) - t <= 0.01 + t * MAX_DRIFT_RATIO
