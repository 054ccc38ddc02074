"""Run a small fleet in one process, with stand-ins for its surroundings."""
