"""The node's process: configuration reload, and sharing its limits during a process upgrade."""
