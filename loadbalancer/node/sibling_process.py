"""Exchange of balancer state between the two processes of a node during an upgrade."""

from __future__ import annotations

import math

from loadbalancer.balancing.events import SiblingProcessLoad
from loadbalancer.node.balancer_driver import BalancerDriver
from loadbalancer.node.clock import Clock
from loadbalancer.node.state.handover import FRESHNESS_MS, HandoverFiles


class SiblingProcess:
    """Writes this process's state for the sibling process, and passes the sibling's state to the balancer."""

    def __init__(self, handover: HandoverFiles, clock: Clock, driver: BalancerDriver) -> None:
        self.handover = handover
        self._clock = clock
        self._driver = driver
        self._has_load = False  # whether the sibling had requests in flight at the last read
        self._takes_over_until_ms = -math.inf  # until then the sibling's learned state is taken over

    def exchange(self, at_start: bool = False) -> None:
        """Read the sibling's file, then write this process's file.

        The balancer takes over the learned state of a sibling that runs `at_start`, as soon as it is known to
        be alive. It gets the sibling's load every time, and an empty load once after that load has ended.
        """
        now_ms = self._clock.unix_ms()
        sibling = self.handover.read_siblings(now_ms)
        if at_start and self.handover.has_siblings:
            self._takes_over_until_ms = now_ms + FRESHNESS_MS
        if now_ms <= self._takes_over_until_ms and sibling.learned is not None:
            self._takes_over_until_ms = -math.inf
            self._driver.handle_event(sibling.learned)
        if sibling.in_flight or self._has_load:
            self._driver.handle_event(SiblingProcessLoad(sibling.in_flight))
        self._has_load = bool(sibling.in_flight)
        balancer = self._driver.balancer
        self.handover.write(self._clock.unix_ms(), balancer.learned_state(), balancer.in_flight())

    def close(self) -> None:
        """Remove this process's file."""
        self.handover.close()
