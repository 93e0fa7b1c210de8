"""Results of the calls of callers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Verdict(Enum):
    """Result of a submission, cancellation or query of a job."""

    ACCEPTED = "accepted"
    # Definitely not recorded; the job will not run.
    NOT_ACCEPTED = "not_accepted"
    # The store did not answer; the job may run.
    UNKNOWN = "unknown"
    NO_SUCH_JOB = "no_such_job"
    # The job is too large to be recorded.
    TOO_LARGE = "too_large"
    # There is not enough capacity. The job will not run, unless it is submitted again.
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class Decision:
    """A verdict and its reason, for the caller and the log; the reason may be empty.

    ``retry_after_s`` is set in a rejection. ``end`` is the offset after the record in
    the callers' log, if one was appended for the decision.
    """

    verdict: Verdict
    reason: str = ""
    retry_after_s: int = 0
    end: int = field(default=0, compare=False)
