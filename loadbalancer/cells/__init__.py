"""Cells: a large fleet is divided into groups of members that replicate records only among themselves."""
