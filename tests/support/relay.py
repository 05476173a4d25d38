"""The relay between two programs; its faults and the net of many are in tests/faults."""

from tests.support.faults import Relay

__all__ = ["Relay"]
