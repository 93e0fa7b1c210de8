"""Results that several clients share."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from .transport import CallFailed, Response


@dataclass(frozen=True, slots=True)
class Unavailable:
    """No usable answer; ``reason`` says what happened.

    The call may have had its effect; ``sent`` is False if it certainly had none.
    """

    reason: str
    sent: bool = True


def read_object(response: Response) -> dict[str, Any]:
    """Return the JSON object in an answer, ``{}`` if there is none."""
    try:
        document = json.loads(response.body)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}


def read_reason(response: Response) -> str:
    """Return the reason that an answer carries, or its HTTP status."""
    reason = read_object(response).get("reason")
    return reason if isinstance(reason, str) else f"http status {response.status}"


def unavailable(failed: CallFailed) -> Unavailable:
    """Turn a failed call into a result."""
    return Unavailable(failed.reason, failed.sent)
