"""`loadbalancer lab`: experiments in virtual time and with real processes.

`commands` defines the command group. The commands are in `virtual_time` (runs in virtual time), `live` (real
processes), `report` and `overhead`; `options` and `runs` hold what they share.
"""
