"""Jobs as tasks of the scheduler, and the state of their attempts."""

from __future__ import annotations

import gevent

from lycheeloom.sched import Task

from .jobs import Job


class AttemptState:
    """What was done about an attempt that has not ended."""

    def __init__(self) -> None:
        self.is_repeated = False
        self.hedge: gevent.Greenlet | None = None
        self.give_up: gevent.Greenlet | None = None

    def stop_timers(self) -> None:
        """Stop what is due later."""
        for timer in (self.hedge, self.give_up):
            if timer is not None:
                timer.kill(block=False)


def task_id_of(job: Job) -> str:
    """Return the id of the newest copy of a job in the scheduler."""
    return f"{job.id}#{job.copies}"


def request_id_of(task_id: str) -> str:
    """Return the request that a scheduler's task belongs to."""
    return task_id.partition("#")[0]


def task_of(job: Job) -> Task:
    """Return the newest copy of a job as the scheduler sees it."""
    submission = job.submission
    return Task(
        id=task_id_of(job),
        organisation=submission.organisation,
        queue=submission.queue,
        resources=submission.resources,
        run_s=submission.run_s,
        submitted_at=submission.submitted_at,
        deadline=submission.deadline if job.tries == 0 else None,
        idempotent=submission.idempotent,
        urgent=submission.urgent,
        checkpointable=submission.checkpointable,
        excluded_workers=frozenset(job.excluded_workers),
    )
