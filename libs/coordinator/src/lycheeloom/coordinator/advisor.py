"""Asks the advice service which workers may run the waiting steps."""

from __future__ import annotations

import gevent

from lycheeloom.jobs.active_job import StepKey
from lycheeloom.jobs.model import AdviceTerms
from lycheeloom.telemetry import log_event

from .clock import steady_s, wall_ms
from .dispatcher import Dispatcher
from .ports import Advice, AdvicePort, CallReply

STEP_PAUSE_S = 0.02
# Maximum workers per call; the duration of a call grows with their number.
MAX_WORKERS = 30
TIMEOUT_MARGIN_S = 1.0
# A ticket is not used during this last part of its validity.
VALIDITY_MARGIN_S = 0.3
RETRY_S = 0.5


class Advisor:
    """Fetches tickets while this instance leads.

    Makes one call at a time, since the service processes one at a time.
    """

    def __init__(self, dispatcher: Dispatcher, port: AdvicePort) -> None:
        self._dispatcher = dispatcher
        self._port = port
        # Earliest time of the next call for a step.
        self._next_ask_s: dict[tuple[str, StepKey], float] = {}

    def run(self) -> None:
        """Fetch tickets until the leader is fenced."""
        while not self._dispatcher.writer.is_fenced:
            if not self._dispatcher.writer.may_act or not self._ask_first():
                gevent.sleep(STEP_PAUSE_S)

    def _ask_first(self) -> bool:
        """Ask about the first step that needs tickets; return whether it did so."""
        dispatcher = self._dispatcher
        self._drop_expired()
        policy = dispatcher.view.policy
        for active_job in list(dispatcher.active_job_by_id.values()):
            queue = policy.queue_by_name.get(active_job.job.queue)
            if queue is None or queue.advice is None:
                continue
            for key, _ in active_job.startable_steps(wall_ms()):
                step_id = (active_job.job.job_id, key)
                if steady_s() < self._next_ask_s.get(step_id, 0.0):
                    continue
                if self._ask(active_job.job.job_id, key, queue.pool, queue.advice):
                    return True
        return False

    def _ask(self, job_id: str, key: StepKey, pool: str, terms: AdviceTerms) -> bool:
        advised = self._dispatcher.advised
        worker_ids = [
            worker_id
            for worker_id, state in self._dispatcher.fleet.state_by_id.items()
            if state.worker.pool == pool
            and state.has_current_lists
            and not state.worker.draining
            and (job_id, key, worker_id) not in advised.ticket_by_key
        ][:MAX_WORKERS]
        if not worker_ids:
            return False
        step = f"{job_id}.{key[0]}.{key[1]}"
        expected_s = (terms.decision_ms + terms.each_worker_ms * len(worker_ids)) / 1000
        result = self._port.advise(step, worker_ids, expected_s + TIMEOUT_MARGIN_S)
        now_s = steady_s()
        if isinstance(result, CallReply):
            log_event(
                "advice_failed",
                level="WARNING",
                step=step,
                outcome=result.outcome.value,
                reason=result.reason,
            )
            self._next_ask_s[job_id, key] = now_s + RETRY_S
            return True
        self._store_tickets(result, job_id, key, now_s)
        log_event(
            "advice",
            step=step,
            asked=len(worker_ids),
            eligible=len(result.ticket_by_worker),
            validity_s=result.validity_s,
        )
        return True

    def _store_tickets(
        self, advice: Advice, job_id: str, key: StepKey, now_s: float
    ) -> None:
        until_s = now_s + advice.validity_s - VALIDITY_MARGIN_S
        for worker_id, ticket in advice.ticket_by_worker.items():
            entry = (job_id, key, worker_id)
            self._dispatcher.advised.ticket_by_key[entry] = (ticket, until_s)
        # Workers without a ticket stay ineligible: a step keeps its eligible workers.
        self._next_ask_s[job_id, key] = max(until_s, now_s + RETRY_S)
        self._dispatcher.wake()

    def _drop_expired(self) -> None:
        now_s = steady_s()
        tickets = self._dispatcher.advised.ticket_by_key
        for entry in [e for e, (_, until_s) in tickets.items() if now_s >= until_s]:
            del tickets[entry]
        active_jobs = self._dispatcher.active_job_by_id
        for step_id in [a for a in self._next_ask_s if a[0] not in active_jobs]:
            del self._next_ask_s[step_id]
