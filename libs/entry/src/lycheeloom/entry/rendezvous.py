"""Selection of one member by rendezvous hashing, the same at every entry."""

from __future__ import annotations

import xxhash


def select_member(request_id: str, members: list[str]) -> str:
    """Return the member with the highest hash for a request; ``""`` without members."""
    return max(
        members,
        key=lambda member: xxhash.xxh64_intdigest(f"{request_id}\n{member}".encode()),
        default="",
    )
