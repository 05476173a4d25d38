"""The form in which the replicated state is stored: pickled classes keep the names of the first release.

A snapshot written by an earlier release names classes by the modules that held them then. This module maps
those names to the present classes, so that moving a class changes nothing for stored data.
"""

from __future__ import annotations

import pickle
from gzip import GzipFile
from typing import IO, Any

STORED_MODULES = {
    "orchidledge.members.ledger": "loadbalancer.membership.quota_ledger",
    "orchidledge.registry.fleet_state": "loadbalancer.registry.fleet_state",
    "orchidledge.routes.activation": "loadbalancer.routing.coordinator",
}


class StoredUnpickler(pickle.Unpickler):
    """Reads pickles that name classes by their stored module paths."""

    def find_class(self, module: str, name: str) -> Any:
        """The class or function of this name; AttributeError where the present release has none."""
        return super().find_class(STORED_MODULES.get(module, module), name)


def load(file: IO[bytes] | GzipFile) -> Any:
    """Read one pickled object."""
    return StoredUnpickler(file).load()
