"""Rendezvous hashing: entries that know the same members select the same one."""

from __future__ import annotations

import xxhash


def select_member(request_id: str, members: list[str]) -> str:
    """Return the member whose hash with the request id is highest, or ``""``.

    ``""`` is returned if there are no members.
    """
    return max(
        members,
        key=lambda member: xxhash.xxh64_intdigest(f"{request_id}\n{member}".encode()),
        default="",
    )
