"""Soak entry hosts as real processes, with faults from outside them."""
