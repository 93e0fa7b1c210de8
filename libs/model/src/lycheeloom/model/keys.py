"""Creation and verification of organisation keys.

A key token is ``<key id>.<secret>``. The secret has 256 random bits, so a single
round of a salted hash is enough; a slow password hash would cost each entry more
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
    """A created key: ``token`` is shown once, ``document`` goes into the config."""

    id: str
    token: str
    document: KeyDocument


def create_key(key_id: str) -> NewKey:
    """Create a key with a random secret; store its document, never its token."""
    secret = secrets.token_hex(SECRET_BYTES)
    salt = secrets.token_bytes(SALT_BYTES)
    document = KeyDocument(salt=salt.hex(), digest=_digest(secret, salt).hex())
    return NewKey(key_id, f"{key_id}.{secret}", document)


def verify_key(config: FleetConfig, token: str) -> Key | None:
    """Return the configured key that ``token`` matches, or None."""
    key_id, _, secret = token.partition(".")
    key = config.key_by_id.get(key_id)
    if key is None:
        return None
    if not hmac.compare_digest(_digest(secret, key.salt), key.digest):
        return None
    return key


def _digest(secret: str, salt: bytes) -> bytes:
    return hashlib.blake2b(secret.encode(), salt=salt, digest_size=32).digest()
