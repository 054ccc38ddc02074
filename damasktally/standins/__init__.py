"""Stand in for outside systems, for the demo and the tests."""
