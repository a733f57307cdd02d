"""The lab: the real decision module played against modelled servers, clients, discovery and network.

`scenario` reads what to play, `world` draws one instance of it from a seed, `emulator` plays it in virtual
time, `measures` counts from the servers' and clients' side, `claims` holds the counts against the scenario's
bounds. `experiments` plays many seeds or variants, `report` draws them. `live` plays the same scenario with
real processes on loopback sockets. The node imports nothing from here.
"""
