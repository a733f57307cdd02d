"""The node: runs the load-balancing policy on sockets, timers and signals."""
