"""Requests that this entry is responsible for, and their verdicts."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass, field

from gevent.event import Event

from lycheeloom.model.resources import Resources
from lycheeloom.model.verdict import Verdict

# Callers can read the verdict of an unrecorded request here for this long.
VERDICT_KEPT_S = 60.0


@dataclass(frozen=True, slots=True)
class Submission:
    """A validated request of a caller.

    ``submitted_at`` and ``deadline`` are monotonic times in seconds, ``run_s`` is the
    declared run time, and ``wait`` tells whether the caller waits on its connection.
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
        """Whether the request must be in the log before it may start."""
        needs_claim = bool(self.idempotency_key) and not self.idempotent
        return needs_claim or not self.wait


@dataclass(slots=True, eq=False)
class LocalRequest:
    """A request that this entry queues or runs.

    Each start at a worker has its own attempt number, so that the answer of an
    earlier attempt is never taken for that of a later one.
    """

    submission: Submission
    is_recorded: bool = False
    # Another entry holds the claim; this one must not run the request.
    is_claimed_elsewhere: bool = False
    attempt: int = 0
    checkpoint: str = ""
    # Starts that had no effect, and submissions after the first one.
    tries: int = 0
    # Retries and hedges; each is a task of its own in the scheduler.
    copies: int = 0
    excluded_workers: set[str] = field(default_factory=set)
    address_by_attempt: dict[int, str] = field(default_factory=dict)
    cancel_requested: bool = False
    # An attempt may have started, so no later refusal may be told as "not run".
    may_have_started: bool = False
    verdict: Verdict | None = None
    settled: Event = field(default_factory=Event)
    settled_at: float = 0.0

    @property
    def id(self) -> str:
        """The request id."""
        return self.submission.request_id

    def wake_waiters(self) -> None:
        """End the waits for a verdict here, as another entry runs the request."""
        self.settled.set()

    def settle(self, verdict: Verdict) -> bool:
        """Set the verdict unless there is one; return whether it was set."""
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
        """Add a request, in place of an older one with the same id."""
        self.by_id[request.id] = request

    def expire_later(self, request: LocalRequest) -> None:
        """Remove a settled request after ``VERDICT_KEPT_S``, on a later call."""
        self._settled.append(request)
        oldest = time.monotonic() - VERDICT_KEPT_S
        while self._settled and self._settled[0].settled_at < oldest:
            self.remove(self._settled.popleft())

    def remove(self, request: LocalRequest) -> None:
        """Remove a request unless a newer one has taken its id."""
        if self.by_id.get(request.id) is request:
            del self.by_id[request.id]

    def unsettled(self) -> list[LocalRequest]:
        """Return the requests without a verdict."""
        return [request for request in self.by_id.values() if request.verdict is None]
