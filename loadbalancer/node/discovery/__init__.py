"""The client of the discovery agent, from which the node receives the endpoint list."""
