"""The exchange between two processes of one node during an upgrade, for the balancer of this one."""

from __future__ import annotations

from loadbalancer.balancing.events import SiblingProcessLoad
from loadbalancer.node.balancer_driver import BalancerDriver
from loadbalancer.node.clock import Clock
from loadbalancer.node.state.handover import HandoverFiles


class SiblingProcess:
    """Reports this process's state to the node's other process, and that one's state to the balancer."""

    def __init__(self, handover: HandoverFiles, clock: Clock, driver: BalancerDriver) -> None:
        self.handover = handover
        self._clock = clock
        self._driver = driver
        self._has_load = False  # whether the other process had requests in flight when last read

    def exchange(self, at_start: bool = False) -> None:
        """Read the other process's files, then write this one's.

        The balancer starts from what the other process has learned only `at_start`; it gets that one's load
        every time, and once more, empty, when there is none left.
        """
        sibling = self.handover.read_siblings(self._clock.unix_ms())
        if at_start and sibling.learned is not None:
            self._driver.handle_event(sibling.learned)
        if sibling.in_flight or self._has_load:
            self._driver.handle_event(SiblingProcessLoad(sibling.in_flight))
        self._has_load = bool(sibling.in_flight)
        balancer = self._driver.balancer
        self.handover.write(self._clock.unix_ms(), balancer.learned_state(), balancer.in_flight())

    def close(self) -> None:
        """Remove this process's file."""
        self.handover.close()
