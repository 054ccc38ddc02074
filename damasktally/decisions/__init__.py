"""Decide about requests: pure state and functions, with the clock passed in.

Nothing here reads a clock, a socket or the store, so that each decision can be
tested and measured alone.
"""
