"""Files that outlive a process or that two processes of a node share: snapshot, ejections, handover."""
