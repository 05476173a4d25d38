"""Explicit-state model checker for a small fleet: explores all interleavings of messages, faults and time.

The models run the product's own state machines. `explore` searches; `shares` models leases and quotas,
`rounds` the same in longer runs with few faults, `routes` adds two-phase activation of route versions;
`mistakes` contains faulty implementations that a search has to find.
"""
