"""Transports that carry datagrams between nodes: the interface, shared code, and two implementations."""
