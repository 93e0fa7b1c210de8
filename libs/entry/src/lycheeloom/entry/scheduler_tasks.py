"""Conversion of requests to scheduler tasks, and the state of running attempts.

The scheduler knows each copy of a request as one task: the first submission, and every
retry and hedge. A task keeps its id when it is queued again.
"""

from __future__ import annotations

import gevent

from lycheeloom.sched import Task

from .local_requests import LocalRequest


class AttemptState:
    """The timers of one running attempt, and whether a copy of its request exists."""

    def __init__(self) -> None:
        # A retry or hedge was submitted while this attempt was running, so its end
        # causes no further copy.
        self.has_copy = False
        self.hedge_timer: gevent.Greenlet | None = None
        self.may_have_run_timer: gevent.Greenlet | None = None

    def stop_timers(self) -> None:
        """Stop the timers of the attempt."""
        for timer in (self.hedge_timer, self.may_have_run_timer):
            if timer is not None:
                timer.kill(block=False)


def task_id_of(request: LocalRequest) -> str:
    """Return the scheduler's task id of the newest copy of a request."""
    return f"{request.id}#{request.copy_count}"


def request_id_of(task_id: str) -> str:
    """Return the id of the request that a scheduler task belongs to."""
    return task_id.partition("#")[0]


def task_of(request: LocalRequest) -> Task:
    """Return the scheduler task for the newest copy of a request.

    The deadline bounds the wait for the first start, so later submissions have none.
    """
    submission = request.submission
    return Task(
        id=task_id_of(request),
        organisation=submission.organisation,
        queue=submission.queue,
        resources=submission.resources,
        run_s=submission.run_s,
        submitted_at=submission.submitted_at,
        deadline=submission.deadline if request.requeue_count == 0 else None,
        idempotent=submission.idempotent,
        urgent=submission.urgent,
        checkpointable=submission.checkpointable,
        excluded_workers=frozenset(request.excluded_workers),
    )
