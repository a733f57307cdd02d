"""The audit: records which node acted on which version, detects outdated nodes and lets them catch up.

A version is the content of an input that a node acts on, above all of its endpoint list. Its origin is the
discovery that numbers the lists; the frontier of an origin is the highest number that a quorum holds or has
passed.

* `ledger` records the versions of one node and the attempts under each of them.
* `status` is the record by which nodes report their versions to each other.
* `fleet_observer` determines from these records which members are outdated.
* `remediator` decides how an outdated node catches up and when it may be quarantined.
* `endpoint_transfer` transfers endpoint lists between peers.

Everything here is pure: no I/O, no clock. `node/features/audit.py` hosts it.
"""
