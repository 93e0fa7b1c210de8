"""Fetches the tickets that steps need to start on certain workers."""

from __future__ import annotations

import dataclasses

import gevent

from lycheeloom.jobs.model import AdviceTerms
from lycheeloom.jobs.task_numbering import StepKey
from lycheeloom.telemetry import log_event

from .clock import steady_s, wall_ms
from .dispatcher import Dispatcher
from .ports import Advice, AdvicePort, CallReply
from .worker_link import WorkerLink

# Pause while no step needs tickets or this instance may not act as leader.
IDLE_PAUSE_S = 0.02
# The duration of a call grows with the number of workers named in it.
MAX_WORKERS_PER_CALL = 30
# Added to the expected duration of a call to obtain its timeout.
TIMEOUT_MARGIN_S = 1.0
# A ticket is not used for the last 0.3 s of its validity.
VALIDITY_MARGIN_S = 0.3
# Minimum time between two calls for the same step, also after a successful call.
MIN_CALL_INTERVAL_S = 0.5


class TicketFetcher:
    """Fetches tickets from the advice service while this instance leads.

    Some queues require advice: their tasks may start only on workers that the service
    allows. For each of these workers the service issues a ticket, which is valid for
    some seconds and is sent along with the start. Only one call is made at a time,
    since the service processes one call at a time.
    """

    def __init__(self, dispatcher: Dispatcher, port: AdvicePort) -> None:
        self._dispatcher = dispatcher
        self._port = port
        # Earliest time of the next call, by job id and step.
        self._next_call_s_by_step: dict[tuple[str, StepKey], float] = {}

    def run(self) -> None:
        """Fetch tickets until the leader is fenced."""
        while not self._dispatcher.writer.is_fenced:
            if (
                not self._dispatcher.writer.may_act
                or not self._fetch_for_first_due_step()
            ):
                gevent.sleep(IDLE_PAUSE_S)

    def _fetch_for_first_due_step(self) -> bool:
        """Call the service for the first step that is due for a call.

        Returns whether a call was made, successful or not.
        """
        dispatcher = self._dispatcher
        self._remove_outdated()
        policy = dispatcher.view.policy
        for active_job in list(dispatcher.active_job_by_id.values()):
            queue = policy.queue_by_name.get(active_job.job.queue)
            if queue is None or queue.advice is None:
                continue
            for step_key, _ in active_job.startable_steps(wall_ms()):
                step_id = (active_job.job.job_id, step_key)
                if steady_s() < self._next_call_s_by_step.get(step_id, 0.0):
                    continue
                if self._fetch_tickets(
                    active_job.job.job_id, step_key, queue.pool, queue.advice
                ):
                    return True
        return False

    def _fetch_tickets(
        self, job_id: str, step_key: StepKey, pool: str, terms: AdviceTerms
    ) -> bool:
        """Call the service about the pool's workers without a ticket for the step.

        Returns False, without a call, if there are no such workers.
        """
        advised_workers = self._dispatcher.advised_workers
        worker_ids = [
            worker_id
            for worker_id, state in self._dispatcher.fleet.state_by_id.items()
            if state.worker.pool == pool
            and state.has_current_lists
            and not state.worker.draining
            and (job_id, step_key, worker_id) not in advised_workers.ticket_by_key
        ][:MAX_WORKERS_PER_CALL]
        if not worker_ids:
            return False
        step = f"{job_id}.{step_key[0]}.{step_key[1]}"
        expected_s = (terms.decision_ms + terms.each_worker_ms * len(worker_ids)) / 1000
        link_by_id = self._dispatcher.link_by_id
        asked_link_by_id = {i: link_by_id[i] for i in worker_ids}
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
            self._next_call_s_by_step[job_id, step_key] = now_s + MIN_CALL_INTERVAL_S
            return True
        result = self._without_restarted(result, asked_link_by_id)
        self._store_tickets(result, job_id, step_key, now_s)
        log_event(
            "advice",
            step=step,
            asked=len(worker_ids),
            eligible=len(result.ticket_by_worker),
            validity_s=result.validity_s,
        )
        return True

    def _without_restarted(
        self, advice: Advice, asked_link_by_id: dict[str, WorkerLink]
    ) -> Advice:
        """Leave out the tickets of workers that have restarted during the call.

        A ticket is valid for one incarnation of its worker.
        """
        link_by_id = self._dispatcher.link_by_id
        ticket_by_worker = {
            worker_id: ticket
            for worker_id, ticket in advice.ticket_by_worker.items()
            if worker_id in asked_link_by_id
            and link_by_id.get(worker_id) is asked_link_by_id[worker_id]
        }
        return dataclasses.replace(advice, ticket_by_worker=ticket_by_worker)

    def _store_tickets(
        self, advice: Advice, job_id: str, step_key: StepKey, now_s: float
    ) -> None:
        expires_s = now_s + advice.validity_s - VALIDITY_MARGIN_S
        for worker_id, ticket in advice.ticket_by_worker.items():
            ticket_key = (job_id, step_key, worker_id)
            self._dispatcher.advised_workers.ticket_by_key[ticket_key] = (
                ticket,
                expires_s,
            )
        # The service is not called again about the workers without a ticket before the
        # new tickets expire: until then, the step keeps its eligible workers.
        self._next_call_s_by_step[job_id, step_key] = max(
            expires_s, now_s + MIN_CALL_INTERVAL_S
        )
        self._dispatcher.wake()

    def _remove_outdated(self) -> None:
        """Remove expired tickets, and the call times of jobs that have ended."""
        now_s = steady_s()
        tickets = self._dispatcher.advised_workers.ticket_by_key
        for ticket_key in [
            key for key, (_, expires_s) in tickets.items() if now_s >= expires_s
        ]:
            del tickets[ticket_key]
        active_jobs = self._dispatcher.active_job_by_id
        for step_id in [
            step_id
            for step_id in self._next_call_s_by_step
            if step_id[0] not in active_jobs
        ]:
            del self._next_call_s_by_step[step_id]
