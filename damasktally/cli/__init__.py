"""Offer the command line: one module for each command."""
