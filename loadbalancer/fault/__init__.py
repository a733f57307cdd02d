"""Fault injection between loopback sockets: delays, paces, cuts, freezes, splits and corrupts traffic.

* Connections: `script` reads the fault injection rules, `stream_injector` decides what happens to each byte
  and does no I/O, `proxy` and `proxied_connection` apply the faults to sockets, and `control` accepts
  commands while the proxy runs.
* Datagrams: `datagram_rules` and `datagram_plan` decide, `datagram_proxy` applies the faults to UDP and
  `faulty_transport` to any transport.

The node does not import this package.
"""
