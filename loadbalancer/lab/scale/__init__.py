"""Scale: what the control of a node costs as the fleet grows, measured, fitted, and held against a target.

`interface.py` has the forms that its parts share; `docs/CAPACITY.md` is the page that comes of it.
"""
