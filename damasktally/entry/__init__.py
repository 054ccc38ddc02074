"""Run an entry host on one event loop: callers' requests, look-ups, readiness."""
