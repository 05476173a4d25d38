"""Reads a node's state file when the node starts."""

from __future__ import annotations

import logging
from pathlib import Path

from loadbalancer.node.failure_log import one_line
from loadbalancer.node.state.errors import StateRejectedError
from loadbalancer.node.state.rules import Rule
from loadbalancer.node.state.snapshot import RestoredState, verify_state

log = logging.getLogger("loadbalancer")

MAX_FILE_BYTES = 64 * 1024 * 1024


def read_state(path: Path, node: str, now_ms: float, configured_revision: int) -> RestoredState:
    """Return the parts of the state file that the rules accept; arguments as for `verify_state`.

    One log line reports what was restored, or which rule rejected the file or a part of it.
    """
    restored = _read(path, node, now_ms, configured_revision)
    rules = "; ".join(f"{rule.label}, {rule.explanation}" for rule in restored.violated_rules)
    log.info(
        "state %s: %s; age %.0f ms, learned state %s, %d ejected, %d listed",
        path,
        rules or "verified",
        restored.age_ms,
        "yes" if restored.learned is not None else "no",
        len(restored.ejected_since_ms),
        0 if restored.endpoint_list is None else len(restored.endpoint_list.endpoints),
    )
    return restored


def _read(path: Path, node: str, now_ms: float, configured_revision: int) -> RestoredState:
    try:
        with path.open("rb") as opened:
            data = opened.read(MAX_FILE_BYTES + 1)
        return verify_state(data, node, now_ms, configured_revision)
    except FileNotFoundError:
        return RestoredState(violated_rules=[Rule.MISSING])
    except OSError as error:
        log.error("state %s: %s", path, one_line(error))
        return RestoredState(violated_rules=[Rule.UNREADABLE])
    except StateRejectedError as error:
        return RestoredState(violated_rules=[error.rule])
    except ValueError:  # raised for a path that contains a null character
        return RestoredState(violated_rules=[Rule.MALFORMED])
