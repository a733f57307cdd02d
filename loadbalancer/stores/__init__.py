"""Durable state of a node: an interface, and its implementations in memory, files and SQLite."""
