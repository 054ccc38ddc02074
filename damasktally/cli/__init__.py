"""Provide the command line of the product."""
