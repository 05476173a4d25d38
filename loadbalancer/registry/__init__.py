"""The list service: PROTOCOL's discovery list, replicated over Raft, and the agent that serves a node."""
