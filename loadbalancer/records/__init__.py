"""Replication of small records among the members by anti-entropy, as pure state machines.

Each owner has one record per kind, which consists of a version and a body. The higher version wins; between
two bodies of the same version the higher digest wins, so replicas converge even if datagrams are lost,
reordered or duplicated. A body is sent only on request. What is disseminated is a version vector entry of
16 bytes per owner: a counter that rises with each announcement of the owner, and a checksum over all its
records.

* If the checksum of a received entry differs from that of the stored records, the records are fetched from
  the member that announced the entry. The entry is adopted once the records agree with it.
* A new entry is pushed to a few random members a bounded number of times (rumour mongering).
* Twice a second one random member receives the latest heartbeats and a checksum for each of 32 buckets of
  owners. It replies with newer entries and with its entries of buckets that differ, which repairs losses and
  partitions. A node that has just joined requests all entries.
* An owner's counter also rises without new records, as a heartbeat. Records of an owner that misses several
  heartbeats are stale.
* Nothing is accepted from or about owners that are not live, and their records are dropped after a delay, so
  that late gossip cannot restore them.
* An owner that receives a newer entry of its own, left over from an earlier incarnation, raises its counter
  and its versions above it. Kinds of that incarnation that it does not write again in time are withdrawn,
  that is, their body becomes empty.
* All datagrams are limited by a byte budget that grows with the number of members up to a maximum.

The package contains no I/O, clock or unseeded randomness. The host passes monotonic times in microseconds (a
clock that goes backwards counts as standing still), datagrams with their source, and the live members with
their addresses, and calls `tick` at `next_deadline()`. The calls return the datagrams to send. See
docs/records.md.
"""
