"""Hold what a host knows of the fleet: configuration, servers and other hosts."""
