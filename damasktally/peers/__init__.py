"""Exchange heartbeats, loans and changes with the other hosts of the fleet."""

from damasktally.peers.network import GrpcPeerNetwork, PeerHandler

__all__ = ["GrpcPeerNetwork", "PeerHandler"]
