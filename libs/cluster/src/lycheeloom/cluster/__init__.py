"""Peer links, membership and freshness."""
