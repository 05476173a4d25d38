"""Files that outlive a process or that two processes of a node share: state file, ejections, handover."""
