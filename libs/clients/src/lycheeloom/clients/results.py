"""Parsing of responses, shared by the clients."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from .transport import CallFailed, Response

# Errors that parsing raises for missing keys and wrong types or values.
PARSE_ERRORS = (KeyError, TypeError, ValueError)
Parsed = TypeVar("Parsed")


@dataclass(frozen=True, slots=True)
class Unavailable:
    """There was no usable response; ``reason`` says why.

    The call may have taken effect, unless ``sent`` is False.
    """

    reason: str
    sent: bool = True


def parse_object(response: Response) -> dict[str, Any]:
    """Return the JSON object in a response, or ``{}`` if there is none."""
    try:
        document = json.loads(response.body)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}


def read_reason(response: Response) -> str:
    """Return the ``reason`` that a response gives, or else its HTTP status."""
    reason = parse_object(response).get("reason")
    return reason if isinstance(reason, str) else f"http status {response.status}"


def to_unavailable(failed: CallFailed) -> Unavailable:
    """Convert a failed call to a result."""
    return Unavailable(failed.reason, failed.sent)


def parse_response(
    response: Response | CallFailed,
    parse: Callable[[dict[str, Any]], Parsed],
    success_statuses: tuple[int, ...] = (200,),
) -> Parsed | Unavailable:
    """Parse the JSON object in a response with one of ``success_statuses``.

    ``parse`` may raise any of ``PARSE_ERRORS``, which makes the response malformed.
    """
    if isinstance(response, CallFailed):
        return to_unavailable(response)
    if response.status not in success_statuses:
        return Unavailable(read_reason(response))
    try:
        return parse(parse_object(response))
    except PARSE_ERRORS:
        return Unavailable("malformed answer")
