"""Client connections: the listener, its connection limits, and the requests received on its connections."""
