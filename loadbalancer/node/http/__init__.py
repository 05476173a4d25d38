"""HTTP/1.1 shared by both sides of the node: bodies, one client connection, calls between programs."""
