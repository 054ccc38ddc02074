"""State of the fleet as known to one host: configuration, servers, other hosts."""
