"""The state of zones and regions that all nodes agree on, and the call quotas that follow from it.

See docs/zones.md.
"""
