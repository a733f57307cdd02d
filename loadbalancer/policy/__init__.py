"""The load-balancing policy: modules that decide on requests without I/O, a clock or unseeded randomness."""
