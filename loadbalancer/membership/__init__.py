"""Cluster membership: the SWIM protocol with Lifeguard, as a pure state machine over bounded datagrams.

`swim.Swim` combines the modules: `messages` (wire format), `settings`, `state` (member table, shared
context), `dissemination` (gossip), `probe_round` (order of probes), `failure_detector`, `suspicion`,
`transitions` (rules by which one report about a member overrides another), `anti_entropy` (table exchange)
and `rejoin` (after a partition). The package does no I/O and reads no clock: the node runs it on UDP, the
tests on an emulated network.
"""
