"""Token buckets that limit the retries and hedged requests of a queue.

One token pays for one retry or hedged request.
"""

from __future__ import annotations

from lycheeloom.model.config import Queue

# Tokens that a queue can save up, and so its largest burst of retries or hedges.
MAX_SAVED_TOKENS = 10.0


class RetryBudget:
    """Limits retries to a percentage of a queue's requests.

    Without a budget, retries multiply the load of a fleet that fails because
    it is overloaded. Call ``on_request()`` for each first attempt and
    ``try_spend()`` before each retry.
    """

    def __init__(self, queue: Queue) -> None:
        self.percent = queue.retry_budget_percent
        # The first token makes a retry possible while few requests have been counted.
        self._tokens = 1.0 if self.percent > 0 else 0.0

    def on_request(self) -> None:
        """Count a first attempt, which adds a fraction of a token to the budget."""
        self._tokens = min(MAX_SAVED_TOKENS, self._tokens + self.percent / 100.0)

    def try_spend(self) -> bool:
        """Spend a token on a retry; return False if the budget does not allow one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class HedgeBudget(RetryBudget):
    """Limits hedged requests to a percentage of a queue's requests.

    A queue that is not idempotent has no hedged requests.
    """

    def __init__(self, queue: Queue) -> None:
        super().__init__(queue)
        self.percent = queue.hedge_budget_percent if queue.idempotent else 0.0
        self._tokens = 1.0 if self.percent > 0 else 0.0
