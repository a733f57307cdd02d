"""Live mode: a scenario played by real processes on loopback sockets.

`fleet` runs the modelled servers behind real HTTP listeners, with an agent of discovery for each node;
`load` is the clients, in a process of its own; `play` starts nodes, applies the script of faults and adds up.
"""
