"""A load balancer for services that call other services: its policy, its node and its test tools."""

__version__ = "0.1.0"
