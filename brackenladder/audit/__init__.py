"""Who acted on which version of what: a ledger in each node, and the fleet's view of all."""
