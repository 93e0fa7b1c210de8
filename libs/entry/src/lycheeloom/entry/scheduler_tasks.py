"""Conversion of requests to scheduler tasks, and the state of running attempts."""

from __future__ import annotations

import gevent

from lycheeloom.sched import Task

from .local_requests import LocalRequest


class AttemptState:
    """Whether a running attempt has a second copy, and the timers that it set."""

    def __init__(self) -> None:
        self.has_copy = False
        self.hedge_timer: gevent.Greenlet | None = None
        self.may_have_run_timer: gevent.Greenlet | None = None

    def stop_timers(self) -> None:
        """Cancel the timers that have not fired."""
        for timer in (self.hedge_timer, self.may_have_run_timer):
            if timer is not None:
                timer.kill(block=False)


def task_id_of(request: LocalRequest) -> str:
    """Return the scheduler's task id of the newest copy of a request."""
    return f"{request.id}#{request.copies}"


def request_id_of(task_id: str) -> str:
    """Return the id of the request that a scheduler task belongs to."""
    return task_id.partition("#")[0]


def task_of(request: LocalRequest) -> Task:
    """Return the scheduler task for the newest copy of a request.

    Only the task of the first submission has a deadline.
    """
    submission = request.submission
    return Task(
        id=task_id_of(request),
        organisation=submission.organisation,
        queue=submission.queue,
        resources=submission.resources,
        run_s=submission.run_s,
        submitted_at=submission.submitted_at,
        deadline=submission.deadline if request.tries == 0 else None,
        idempotent=submission.idempotent,
        urgent=submission.urgent,
        checkpointable=submission.checkpointable,
        excluded_workers=frozenset(request.excluded_workers),
    )
