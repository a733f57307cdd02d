"""Optional features of a node, each switched on by a table of the operator configuration."""
