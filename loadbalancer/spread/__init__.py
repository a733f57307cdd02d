"""Spreads load evenly over the servers: ring positions of the live members, rate reports, weights."""
