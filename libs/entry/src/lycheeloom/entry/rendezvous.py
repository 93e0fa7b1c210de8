"""Which entry is responsible for something that all of them know of."""

from __future__ import annotations

import xxhash


def select_member(request_id: str, members: list[str]) -> str:
    """Return the member with the highest rendezvous hash, or ``""``."""
    return max(
        members,
        key=lambda member: xxhash.xxh64_intdigest(f"{request_id}\n{member}".encode()),
        default="",
    )
