"""Re-exports `Relay`, a TCP relay between two programs that can inject faults, from tests/support/faults."""

from tests.support.faults import Relay

__all__ = ["Relay"]
