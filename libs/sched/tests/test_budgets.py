"""Tests of the budgets for retries and hedged requests."""

from lycheeloom.model.config import Queue
from lycheeloom.sched import HedgeBudget, RetryBudget


def test_retries_are_limited_to_a_percentage_of_requests():
    """Guards against retries that multiply the load of a failing fleet."""
    budget = RetryBudget(Queue("q", "p", retry_budget_percent=10))
    allowed = 0
    for _ in range(1000):
        budget.on_request()
        allowed += budget.try_spend()
    assert 95 <= allowed <= 101


def test_hedges_only_on_idempotent_queues():
    """Guards against running a task twice that is not idempotent."""
    bookings = HedgeBudget(Queue("q", "p", hedge_budget_percent=50))
    lookups = HedgeBudget(Queue("q", "p", idempotent=True, hedge_budget_percent=50))
    for budget in (bookings, lookups):
        budget.on_request()
    assert not bookings.try_spend()
    assert lookups.try_spend()
