"""Results that several clients share."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from .transport import CallFailed, Response

# What parsing raises for a document with missing or wrong parts.
MALFORMED = (KeyError, TypeError, ValueError)
Parsed = TypeVar("Parsed")


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


def read_answer(
    response: Response | CallFailed,
    parse: Callable[[dict[str, Any]], Parsed],
    good_statuses: tuple[int, ...] = (200,),
) -> Parsed | Unavailable:
    """Parse the JSON object of a good answer, or say why there is none."""
    if isinstance(response, CallFailed):
        return unavailable(response)
    if response.status not in good_statuses:
        return Unavailable(read_reason(response))
    try:
        return parse(read_object(response))
    except MALFORMED:
        return Unavailable("malformed answer")
