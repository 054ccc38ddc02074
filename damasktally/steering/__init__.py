"""Choose: entry hosts for a caller, and a backend server for a request."""
