"""The endpoint list as discovery publishes it, and the watch that follows it."""
