"""Hand-over between two processes of one node: what they tell each other, and what the module hears of it."""

from __future__ import annotations

from loadbalancer.balancing.events import SiblingProcessLoad
from loadbalancer.node.balancer_driver import Driver
from loadbalancer.node.clock import Clock
from loadbalancer.node.state.handover import HandoverFiles


class SiblingProcess:
    def __init__(self, handover: HandoverFiles, clock: Clock, driver: Driver) -> None:
        self.handover = handover
        self._clock = clock
        self._driver = driver
        self._beside = False  # another process of this node holds calls

    def exchange(self, starts: bool = False) -> None:
        """Tell another process of this node what is held and known here, and the module what is there."""
        learned, held = self.handover.read_siblings(self._clock.ms())
        if starts and learned is not None:
            self._driver.tell(learned)
        if held or self._beside:
            self._driver.tell(SiblingProcessLoad(held))
        self._beside = bool(held)
        balancer = self._driver.balancer
        self.handover.write(self._clock.ms(), balancer.learned_state(), balancer.in_flight())

    def close(self) -> None:
        self.handover.close()
