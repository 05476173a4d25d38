"""Faults injected between programs over TCP: a relay for each way one dials another, and a net of them.

All faults are set from the test's thread and hold once the call that sets them has returned; all
chances are drawn from seeded sources of the relay's own.
"""

from tests.support.faults.loops import LoopThread
from tests.support.faults.net import Net
from tests.support.faults.post import Hold, Post
from tests.support.faults.relay import Relay

__all__ = ["Hold", "LoopThread", "Net", "Post", "Relay"]
