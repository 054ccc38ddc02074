"""Assemble one entry host from its parts, and run it."""

from damasktally.host.host import Host

__all__ = ["Host"]
