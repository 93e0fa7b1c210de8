"""The workers that the advice service allows for steps."""

from __future__ import annotations

from .fleet import WorkerState
from .task_numbering import StepKey


class AdvisedWorkers:
    """Workers that the advice service allows for a step, with their tickets.

    The leader sends the ticket along with a start; the worker checks it.
    """

    def __init__(self) -> None:
        # Ticket, and the time of the monotonic clock until which it may be used, by job
        # id, step and worker id.
        self.ticket_by_key: dict[tuple[str, StepKey, str], tuple[str, float]] = {}

    def filter(
        self, job_id: str, step_key: StepKey, states: list[WorkerState]
    ) -> list[WorkerState]:
        """Return the workers for which a ticket is known."""
        return [
            state
            for state in states
            if (job_id, step_key, state.worker.worker_id) in self.ticket_by_key
        ]

    def forget_job(self, job_id: str) -> None:
        """Discard the tickets of a job that has ended."""
        for ticket_key in [key for key in self.ticket_by_key if key[0] == job_id]:
            del self.ticket_by_key[ticket_key]

    def forget_worker(self, worker_id: str) -> None:
        """Discard the tickets of a worker that has restarted."""
        for ticket_key in [key for key in self.ticket_by_key if key[2] == worker_id]:
            del self.ticket_by_key[ticket_key]
