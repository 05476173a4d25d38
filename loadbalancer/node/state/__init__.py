"""Files that persist across restarts or are shared by two processes of a node.

They are the state file, the files of operators' ejections and the handover files of an upgrade.
"""
