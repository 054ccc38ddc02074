"""State of the fleet as one host knows it: configuration, servers, other hosts."""
