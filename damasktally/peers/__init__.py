"""Exchange heartbeats, loans and changes with the other hosts of the fleet."""

from damasktally.peers.network import PeerHandler, PeerNetwork

__all__ = ["PeerHandler", "PeerNetwork"]
