"""Soak test of entry hosts that run as processes, with faults injected from outside."""
