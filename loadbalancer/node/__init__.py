"""The node process: runs the balancer over sockets and forwards requests."""
