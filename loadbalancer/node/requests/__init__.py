"""The path of a request through the node: intake, forwarding, deadlines and the final response."""
