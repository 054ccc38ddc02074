"""Run a whole small fleet in one process, with stand-ins around it."""
