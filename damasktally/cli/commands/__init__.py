"""Hold the commands, one module each."""
