"""Starts without an answer that the next incarnation of a worker may carry out."""

from __future__ import annotations

from lycheeloom.jobs.fleet import Run, WorkerState

from .clock import steady_s
from .worker_link import max_lease_duration_s


def find_ended_with_lease(state: WorkerState, longest_lease_s: float) -> list[Run]:
    """Return the runs of a lost worker that have ended by the end of its lease.

    The others have not been listed, and their starts got no answer. The next
    incarnation of the worker may carry out such a start; the lease, by the clock of the
    former one, then lasts up to ``longest_lease_s``.
    """
    since_s = steady_s() - max_lease_duration_s(longest_lease_s)
    ended = []
    for run in state.run_by_task.values():
        is_answered = run.is_listed or run.unanswered_s is None
        if is_answered or run.unanswered_s < since_s:
            ended.append(run)
    return ended
