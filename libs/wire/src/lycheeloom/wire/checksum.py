"""A checksum in front of each encoded message.

The Cap'n Proto library collects a stack trace for every error. On the stack of a
greenlet that reads past the end of the stack and ends the process, so damaged
bytes must be found before they reach the library.
"""

from __future__ import annotations

import xxhash

DIGEST_BYTES = 8


def add_checksum(message: bytes) -> bytes:
    """Put a checksum in front of a message."""
    return xxhash.xxh64_digest(message) + message


def strip_checksum(data: bytes) -> bytes | None:
    """Return the message, or None if the checksum does not match."""
    message = data[DIGEST_BYTES:]
    if not message or xxhash.xxh64_digest(message) != data[:DIGEST_BYTES]:
        return None
    return message
