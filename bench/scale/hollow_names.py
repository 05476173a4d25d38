"""Names that a run and its hollow processes agree on."""

CHANGE = "change-"  # uids of servers that are listed to be waited for: change-NUMBER-NANOSECONDS
