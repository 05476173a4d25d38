"""An explicit-state checker: every order of messages, faults and time for a small fleet of the real cores.

`explore` searches; `shares` is the world of leases and shares, `rounds` the same in longer runs with few
faults, `routes` adds two-phase activation; `mistakes` holds the wrong cores that a search has to find.
"""
