"""Benchmarks of decisions, requests and whole fleets.

``python -m benchmarks`` runs all of them.
"""
