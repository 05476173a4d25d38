"""Fault injection between programs over TCP: relays, networks of relays, and a proxy in front of an agent.

All faults are set from the test's thread and apply once the call that sets them has returned. Each random
choice is drawn from a seeded generator of the relay's own.
"""

from tests.support.faults.agent_proxy import AgentProxy, Hold
from tests.support.faults.loops import LoopThread
from tests.support.faults.network import RelayNetwork
from tests.support.faults.relay import Relay

__all__ = ["AgentProxy", "Hold", "LoopThread", "Relay", "RelayNetwork"]
