"""The client side of a node: accepts connections, reads requests and writes responses."""
