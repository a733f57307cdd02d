"""The upstream side of a node: connections to servers, attempts, and health checks."""
