"""Names shared by a run and its processes of hollow nodes."""

# Prefix of the uids of servers whose propagation is measured: change-NUMBER-NANOSECONDS.
CHANGE = "change-"
