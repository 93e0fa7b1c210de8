"""Entries as a cluster: links between peers, membership and freshness."""

from .framing import Connection, PeerConnectionError, connect
from .freshness import Freshness, FreshnessReason
from .membership import Identity, MembershipManager, new_incarnation
from .mesh import PeerMesh, PeerView
from .node import ClusterNode

__all__ = [
    "ClusterNode",
    "Connection",
    "PeerConnectionError",
    "FreshnessReason",
    "Freshness",
    "Identity",
    "MembershipManager",
    "PeerMesh",
    "PeerView",
    "connect",
    "new_incarnation",
]
