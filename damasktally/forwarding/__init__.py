"""Carry requests to backend servers and answers back, each at most once."""
