"""Entry host: assembly, lifecycle, membership, view updates and the admin port."""

from damasktally.host.host import Host

__all__ = ["Host"]
