"""The relay between two programs; faults and networks of relays are in tests/support/faults."""

from tests.support.faults import Relay

__all__ = ["Relay"]
