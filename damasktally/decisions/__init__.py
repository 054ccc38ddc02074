"""Decide about requests with pure functions and objects that only hold state.

Nothing here reads a clock, a socket or the store: the caller passes the time in. Each
decision can therefore be tested and measured alone.
"""
