"""Adapter for the users' platform: its names, formats and calls, without any decisions.

Names that are spelled as on the platform's wire occur only in this package. It is a
subpackage because a top-level package ``platform`` would hide the module of that name
in Python's standard library.
"""
