"""Requests that this entry is responsible for, and their verdicts."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass, field

from gevent.event import Event

from lycheeloom.model.resources import Resources
from lycheeloom.model.verdict import Verdict

# How long the verdict of a request without a record stays readable here.
VERDICT_KEPT_S = 60.0


@dataclass(frozen=True, slots=True)
class Submission:
    """A checked request of a caller; times are monotonic seconds."""

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
    """One request while this entry runs it.

    Each run at a worker has its own attempt number, so that an answer of an
    earlier attempt is never taken for that of a later one.
    """

    submission: Submission
    is_recorded: bool = False
    # Another entry holds the claim; this one must not run the job.
    is_claimed_elsewhere: bool = False
    attempt: int = 0
    checkpoint: str = ""
    tries: int = 0
    # Times that the job was submitted again beside an attempt or after it failed.
    copies: int = 0
    excluded_workers: set[str] = field(default_factory=set)
    address_by_attempt: dict[int, str] = field(default_factory=dict)
    cancel_requested: bool = False
    # An earlier attempt may have started, so no later refusal is "not run".
    may_have_started: bool = False
    verdict: Verdict | None = None
    settled: Event = field(default_factory=Event)
    settled_at: float = 0.0

    @property
    def id(self) -> str:
        """The request id."""
        return self.submission.request_id

    def wake_waiters(self) -> None:
        """Wake those that wait here, as another entry decides about the job."""
        self.settled.set()

    def settle(self, verdict: Verdict) -> bool:
        """Set the verdict; the first one stays. Tells whether it was set."""
        if self.verdict is not None:
            return False
        self.verdict = verdict
        self.settled_at = time.monotonic()
        self.settled.set()
        return True


class LocalRequestTable:
    """All jobs of this entry by request id."""

    def __init__(self) -> None:
        self.by_id: dict[str, LocalRequest] = {}
        self._settled: deque[LocalRequest] = deque()

    def add(self, request: LocalRequest) -> None:
        """Add a job."""
        self.by_id[request.id] = request

    def expire_later(self, request: LocalRequest) -> None:
        """Keep a settled job readable for ``VERDICT_KEPT_S``."""
        self._settled.append(request)
        oldest = time.monotonic() - VERDICT_KEPT_S
        while self._settled and self._settled[0].settled_at < oldest:
            self.remove(self._settled.popleft())

    def remove(self, request: LocalRequest) -> None:
        """Forget a job unless its id was taken by a newer one."""
        if self.by_id.get(request.id) is request:
            del self.by_id[request.id]

    def unsettled(self) -> list[LocalRequest]:
        """Return the jobs without a verdict."""
        return [request for request in self.by_id.values() if request.verdict is None]
