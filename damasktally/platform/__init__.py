"""Adapt the users' platform: its names, formats and calls, and no decisions.

Everything that is spelled as on the platform's wire is spelled here and nowhere
else. The folder lies inside the package because a top-level ``platform`` package
would hide Python's own module of that name.
"""
