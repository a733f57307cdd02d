"""The command line. Starting a node does not import this package."""
