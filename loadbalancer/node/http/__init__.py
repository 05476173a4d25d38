"""HTTP/1.1 for both sides of the node: message bodies, client connections, and calls between programs."""
