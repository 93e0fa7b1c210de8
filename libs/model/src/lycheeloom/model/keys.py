"""Organisation keys: creation, salted hashing and checking.

A key is ``<key id>.<secret>``. The secret has 256 random bits, so one round of
a keyed hash is enough; slow password hashing would cost each entry more
processor time than the request itself.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from dataclasses import dataclass

from .config import FleetConfig, Key, KeyDocument

SECRET_BYTES = 32
SALT_BYTES = 16


@dataclass(frozen=True, slots=True)
class NewKey:
    """A created key: ``token`` is shown once, ``document`` is published."""

    id: str
    token: str
    document: KeyDocument


def create_key(key_id: str) -> NewKey:
    """Create a key; only its salted hash is meant to be stored."""
    secret = secrets.token_hex(SECRET_BYTES)
    salt = secrets.token_bytes(SALT_BYTES)
    document = KeyDocument(salt=salt.hex(), digest=_digest(secret, salt).hex())
    return NewKey(key_id, f"{key_id}.{secret}", document)


def verify_key(config: FleetConfig, token: str) -> Key | None:
    """Return the key in force that ``token`` proves, or None."""
    key_id, _, secret = token.partition(".")
    key = config.key_by_id.get(key_id)
    if key is None:
        return None
    if not hmac.compare_digest(_digest(secret, key.salt), key.digest):
        return None
    return key


def _digest(secret: str, salt: bytes) -> bytes:
    return hashlib.blake2b(secret.encode(), salt=salt, digest_size=32).digest()
