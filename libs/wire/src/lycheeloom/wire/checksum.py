"""Checksum in front of each encoded message.

The Cap'n Proto library collects a stack trace for every error. In a greenlet, this
reads past the end of the stack and crashes the process, so damaged bytes must be
detected before the library decodes them.
"""

from __future__ import annotations

import xxhash

CHECKSUM_BYTES = 8


def add_checksum(message: bytes) -> bytes:
    """Return the message with its checksum in front."""
    return xxhash.xxh64_digest(message) + message


def strip_checksum(data: bytes) -> bytes | None:
    """Return the message, or None if it is empty or its checksum does not match."""
    message = data[CHECKSUM_BYTES:]
    if not message or xxhash.xxh64_digest(message) != data[:CHECKSUM_BYTES]:
        return None
    return message
