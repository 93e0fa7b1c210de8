"""Token buckets that limit the retries and hedged requests of a queue."""

from __future__ import annotations

from lycheeloom.model.config import Queue

# Largest number of unused retries, and so the largest burst, of a queue.
MAX_SAVED_TOKENS = 10.0


class RetryBudget:
    """Limits retries to a percentage of a queue's requests.

    Without a budget, retries multiply the load of a fleet that fails because
    it is overloaded. Call ``on_request()`` for each first attempt and
    ``try_spend()`` before each retry.
    """

    def __init__(self, queue: Queue) -> None:
        self.percent = queue.retry_budget_percent
        self._tokens = 1.0 if self.percent > 0 else 0.0

    def on_request(self) -> None:
        """Count a first attempt, which adds a fraction of a retry to the budget."""
        self._tokens = min(MAX_SAVED_TOKENS, self._tokens + self.percent / 100.0)

    def try_spend(self) -> bool:
        """Take one retry out of the budget; return whether there was one left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class HedgeBudget(RetryBudget):
    """Limits hedged requests to a percentage; queues must be idempotent to have any."""

    def __init__(self, queue: Queue) -> None:
        super().__init__(queue)
        self.percent = queue.hedge_budget_percent if queue.idempotent else 0.0
        self._tokens = 1.0 if self.percent > 0 else 0.0
