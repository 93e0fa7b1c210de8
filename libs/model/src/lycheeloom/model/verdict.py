"""Verdict on a request: it did not run, it may have run, or it ran."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RefusalReason(StrEnum):
    """Machine-readable reasons for not running a request."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UNKNOWN_QUEUE = "unknown_queue"
    KEY_MISSING = "key_missing"
    KEY_REJECTED = "key_rejected"
    ORGANISATION_NOT_ALLOWED = "organisation_not_allowed"
    IDEMPOTENCY_CONFLICT = "idempotency_conflict"
    NEVER_FITS = "never_fits"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    STALE_ENTRY = "stale_entry"
    LOG_UNAVAILABLE = "log_unavailable"
    DRAINING = "draining"
    NO_WORKER = "no_worker"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request was not run: a reason for programs and a message for people."""

    reason: RefusalReason
    message: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request certainly did not run."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """It is unknown whether the request ran, so it must not be repeated."""

    message: str


@dataclass(frozen=True, slots=True)
class Ran:
    """The request ran; ``answer`` is its complete answer."""

    answer: bytes


Verdict = NotRun | MayHaveRun | Ran
