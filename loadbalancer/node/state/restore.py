"""Reading a node's state file at its start."""

from __future__ import annotations

import logging
from pathlib import Path

from loadbalancer.node.failure_log import one_line
from loadbalancer.node.state.errors import StateRejectedError
from loadbalancer.node.state.rules import Rule
from loadbalancer.node.state.snapshot import RestoredState, verify_state

log = logging.getLogger("loadbalancer")

MAX_FILE_BYTES = 64 * 1024 * 1024


def read_state(path: Path, node: str, now_ms: float, given_revision: int) -> RestoredState:
    """Return what the rules accept of the state file; arguments as for `verify_state`.

    One log line says what the file gave, or which rule rejected it or a part of it.
    """
    found = _read(path, node, now_ms, given_revision)
    rules = "; ".join(f"{rule.label}, {rule.explanation}" for rule in found.violated_rules)
    log.info(
        "state %s: %s; age %.0f ms, learned state %s, %d ejected, %d listed",
        path,
        rules or "verified",
        found.age_ms,
        "yes" if found.learned is not None else "no",
        len(found.ejected_since_ms),
        0 if found.endpoint_list is None else len(found.endpoint_list.endpoints),
    )
    return found


def _read(path: Path, node: str, now_ms: float, given_revision: int) -> RestoredState:
    try:
        with path.open("rb") as opened:
            data = opened.read(MAX_FILE_BYTES + 1)
        return verify_state(data, node, now_ms, given_revision)
    except FileNotFoundError:
        return RestoredState(violated_rules=[Rule.MISSING])
    except OSError as error:
        log.error("state %s: %s", path, one_line(error))
        return RestoredState(violated_rules=[Rule.UNREADABLE])
    except StateRejectedError as error:
        return RestoredState(violated_rules=[error.rule])
    except ValueError:  # of the path itself, which may hold a null character
        return RestoredState(violated_rules=[Rule.MALFORMED])
