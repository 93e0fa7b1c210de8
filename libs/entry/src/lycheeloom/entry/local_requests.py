"""Requests that this entry is responsible for, and their verdicts."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass, field

from gevent.event import Event

from lycheeloom.model.resources import Resources
from lycheeloom.model.verdict import Verdict

# Settled requests are kept for this long, so that callers can ask for the verdict.
VERDICT_RETENTION_S = 60.0


@dataclass(frozen=True, slots=True)
class Submission:
    """A validated request of a caller.

    ``submitted_at`` and ``deadline`` are monotonic times in seconds. ``run_s`` is the
    run time that the caller declared. ``wait`` tells whether the caller waits for the
    verdict on its connection. ``idempotency_key`` and ``traceparent`` are empty if the
    caller sent none.
    """

    request_id: str
    organisation: str
    queue: str
    payload: bytes
    resources: Resources
    run_s: float
    submitted_at: float
    deadline: float | None = None
    idempotent: bool = False
    idempotency_key: str = ""
    urgent: bool = False
    checkpointable: bool = False
    wait: bool = True
    traceparent: str = ""

    @property
    def is_recorded(self) -> bool:
        """Whether the request must be in the log before it may start.

        A request is recorded if it may run at most once over repeated submissions, or
        if its caller does not wait and collects the answer later.
        """
        needs_claim = bool(self.idempotency_key) and not self.idempotent
        return needs_claim or not self.wait


@dataclass(slots=True, eq=False)
class LocalRequest:
    """A request that this entry queues or runs.

    Each start at a worker has its own attempt number, so that the answer of an
    earlier attempt is never taken for that of a later one. An attempt of a recorded
    request needs a claim: a record by which this entry reserves the attempt number
    for itself, so that no other entry starts the request meanwhile.

    Copies of a request are retries and hedges. Each copy is a task of its own in the
    scheduler, and the first verdict of any copy settles the request.
    """

    submission: Submission
    # Whether the request is in the log, so that its attempts need claims.
    is_recorded: bool = False
    # The log rejected a claim of this entry, as another entry has claimed the request
    # or it is finished or cancelled: this entry must not run it.
    is_claim_rejected: bool = False
    # The number of the latest attempt.
    attempt: int = 0
    # The checkpoint from which the next attempt resumes; empty without one.
    checkpoint: str = ""
    # Starts that were refused or not sent, and submissions after the first one.
    requeue_count: int = 0
    # Retries and hedges, including those that the scheduler refused.
    copy_count: int = 0
    # Workers where an attempt failed, is slow or is silent; copies go to others.
    excluded_workers: set[str] = field(default_factory=set)
    # The worker addresses of the running attempts.
    address_by_attempt: dict[int, str] = field(default_factory=dict)
    cancel_requested: bool = False
    # An attempt may have started, so the verdict can no longer be "not run".
    may_have_started: bool = False
    verdict: Verdict | None = None
    # Set with the verdict, or without one if another entry runs the request.
    settled: Event = field(default_factory=Event)
    settled_at: float = 0.0

    @property
    def id(self) -> str:
        """The request id."""
        return self.submission.request_id

    def wake_waiters(self) -> None:
        """End the waits for a verdict, as another entry runs the request."""
        self.settled.set()

    def settle(self, verdict: Verdict) -> bool:
        """Set the verdict unless one is set already; return whether it was set."""
        if self.verdict is not None:
            return False
        self.verdict = verdict
        self.settled_at = time.monotonic()
        self.settled.set()
        return True


class LocalRequestTable:
    """The requests of this entry, by request id."""

    def __init__(self) -> None:
        self.by_id: dict[str, LocalRequest] = {}
        self._settled: deque[LocalRequest] = deque()

    def add(self, request: LocalRequest) -> None:
        """Add a request; an older one with the same id is replaced."""
        self.by_id[request.id] = request

    def expire_later(self, request: LocalRequest) -> None:
        """Let a settled request expire after ``VERDICT_RETENTION_S``.

        Expired requests are removed only by calls of this method.
        """
        self._settled.append(request)
        kept_since = time.monotonic() - VERDICT_RETENTION_S
        while self._settled and self._settled[0].settled_at < kept_since:
            self.remove(self._settled.popleft())

    def remove(self, request: LocalRequest) -> None:
        """Remove a request unless a newer one with the same id has replaced it."""
        if self.by_id.get(request.id) is request:
            del self.by_id[request.id]

    def unsettled(self) -> list[LocalRequest]:
        """Return the requests without a verdict."""
        return [request for request in self.by_id.values() if request.verdict is None]
