"""Budgets for retries and hedged requests, one per queue."""

from __future__ import annotations

from lycheeloom.model.config import Queue

# Retries that a queue may make at once after a quiet time.
MAX_SAVED_TOKENS = 10.0


class RetryBudget:
    """Lets retries be at most a percentage of a queue's requests.

    Without a budget, retries multiply the load of a fleet that fails because
    it is overloaded. ``on_request()`` is called for each first attempt and
    ``try_spend()`` before each retry.
    """

    def __init__(self, queue: Queue) -> None:
        self.percent = queue.retry_budget_percent
        self._tokens = 1.0 if self.percent > 0 else 0.0

    def on_request(self) -> None:
        """Count a first attempt, which pays for a fraction of a retry."""
        self._tokens = min(MAX_SAVED_TOKENS, self._tokens + self.percent / 100.0)

    def try_spend(self) -> bool:
        """Take one retry out of the budget, if there is one left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class HedgeBudget(RetryBudget):
    """Lets hedged requests be a percentage, on idempotent queues only."""

    def __init__(self, queue: Queue) -> None:
        super().__init__(queue)
        self.percent = queue.hedge_budget_percent if queue.idempotent else 0.0
        self._tokens = 1.0 if self.percent > 0 else 0.0
