"""Swarms: many real node processes on loopback with faults between them, by script and seed.

`script` reads what is to happen, `observe` makes figures of what the nodes said (no I/O), `nodes` starts and
ends the processes, `servers` and `load` are their surroundings, `play` puts it all together.
"""
