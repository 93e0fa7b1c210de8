"""Retry and hedge budgets of the queues."""

from __future__ import annotations

from collections.abc import Iterable

from lycheeloom.model.config import Queue
from lycheeloom.sched import HedgeBudget, RetryBudget

_UNKNOWN_QUEUE = Queue("", "", retry_budget_percent=0)


class QueueBudgets:
    """Retry and hedge budgets by queue; a queue that is not configured has none."""

    def __init__(self) -> None:
        self._retry_by_queue: dict[str, RetryBudget] = {}
        self._hedge_by_queue: dict[str, HedgeBudget] = {}

    def set_queues(self, queues: Iterable[Queue]) -> None:
        """Replace the queues; a budget with the same percentage keeps its balance."""
        retries, hedges = self._retry_by_queue, self._hedge_by_queue
        self._retry_by_queue, self._hedge_by_queue = {}, {}
        for queue in queues:
            retry = retries.get(queue.id)
            if retry is None or retry.percent != queue.retry_budget_percent:
                retry = RetryBudget(queue)
            self._retry_by_queue[queue.id] = retry
            hedge = hedges.get(queue.id)
            if hedge is None or hedge.percent != queue.hedge_budget_percent:
                hedge = HedgeBudget(queue)
            self._hedge_by_queue[queue.id] = hedge

    def on_request(self, queue: str) -> None:
        """Credit both budgets of a queue for a first attempt."""
        self.retry(queue).on_request()
        self.hedge(queue).on_request()

    def retry(self, queue: str) -> RetryBudget:
        """Return the budget for retries after a failure."""
        return self._retry_by_queue.get(queue) or RetryBudget(_UNKNOWN_QUEUE)

    def hedge(self, queue: str) -> HedgeBudget:
        """Return the budget for second copies of slow requests."""
        return self._hedge_by_queue.get(queue) or HedgeBudget(_UNKNOWN_QUEUE)
