"""Fetches the tickets that steps need to start on certain workers."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass

import gevent

from lycheeloom.jobs.model import AdviceTerms, Worker
from lycheeloom.jobs.task_numbering import StepKey
from lycheeloom.telemetry import log_event

from .clock import steady_s, wall_ms
from .dispatcher import Dispatcher
from .ports import Advice, AdvicePort, CallReply
from .step_advice import StepAdvice
from .worker_link import WorkerLink

# Pause while no step needs tickets or this instance may not act as leader.
IDLE_PAUSE_S = 0.02
# The duration of a call grows with the number of workers named in it.
MAX_WORKERS_PER_CALL = 30
# Added to the expected duration of a call to obtain its timeout.
TIMEOUT_MARGIN_S = 1.0
# A ticket is not used for the last 0.3 s of its validity.
VALIDITY_MARGIN_S = 0.3
# Minimum time between two calls for the same step, unless no worker is known yet that
# may run it; also the longest time until a step is looked at again.
MIN_CALL_INTERVAL_S = 0.5
# What is known of a step that could not start tasks for this long is discarded.
KEPT_S = 30.0


@dataclass(frozen=True, slots=True)
class _DueStep:
    """A step for which the service is to be called, in a queue that requires advice."""

    job_id: str
    step_key: StepKey
    pool: str
    terms: AdviceTerms
    advice: StepAdvice


class TicketFetcher:
    """Fetches tickets from the advice service while this instance leads.

    Some queues require advice: their tasks may start only on workers that the service
    allows. For each of these workers the service issues a ticket, which is valid for
    some seconds and is sent along with the start. Only one call is made at a time,
    since the service processes one call at a time. The step that has been due for
    longest comes first, so that no step waits for good behind others.
    """

    def __init__(self, dispatcher: Dispatcher, port: AdvicePort) -> None:
        self._dispatcher = dispatcher
        self._port = port
        # By job id and step.
        self._advice_by_step: dict[tuple[str, StepKey], StepAdvice] = {}

    def run(self) -> None:
        """Fetch tickets until the leader is fenced."""
        while not self._dispatcher.writer.is_fenced:
            if not self._dispatcher.writer.may_act or not self._fetch_for_due_step():
                gevent.sleep(IDLE_PAUSE_S)

    def _fetch_for_due_step(self) -> bool:
        """Call the service for the step that has been due for a call for longest.

        Returns whether a call was made, successful or not.
        """
        self._remove_outdated()
        due_steps = sorted(self._find_due_steps(), key=lambda due: due.advice.due_s)
        return any(self._fetch_tickets(due) for due in due_steps)

    def _find_due_steps(self) -> list[_DueStep]:
        """Return the steps that may start tasks and whose call is due."""
        now_s = steady_s()
        policy = self._dispatcher.view.policy
        due_steps = []
        for active_job in list(self._dispatcher.active_job_by_id.values()):
            queue = policy.queue_by_name.get(active_job.job.queue)
            if queue is None or queue.advice is None:
                continue
            job_id = active_job.job.job_id
            for step_key, _ in active_job.startable_steps(wall_ms()):
                advice = self._advice_by_step.setdefault(
                    (job_id, step_key), StepAdvice(now_s)
                )
                advice.startable_s = now_s
                if advice.due_s <= now_s:
                    due_steps.append(
                        _DueStep(job_id, step_key, queue.pool, queue.advice, advice)
                    )
        return due_steps

    def _fetch_tickets(self, due: _DueStep) -> bool:
        """Call the service about workers without a ticket for the step.

        Returns False, without a call, if there are no such workers.
        """
        asked = due.advice.choose(
            self._without_ticket(due),
            self._pool_workers(due.pool),
            steady_s(),
            MAX_WORKERS_PER_CALL,
        )
        if not asked:
            self._put_off(due)
            return False
        step = f"{due.job_id}.{due.step_key[0]}.{due.step_key[1]}"
        expected_s = (
            due.terms.decision_ms + due.terms.each_worker_ms * len(asked)
        ) / 1000
        asked_link_by_id = {
            worker.worker_id: self._dispatcher.link_by_id[worker.worker_id]
            for worker in asked
        }
        result = self._port.advise(
            step, list(asked_link_by_id), expected_s + TIMEOUT_MARGIN_S
        )
        now_s = steady_s()
        if isinstance(result, CallReply):
            log_event(
                "advice_failed",
                level="WARNING",
                step=step,
                outcome=result.outcome.value,
                reason=result.reason,
            )
            due.advice.due_s = now_s + MIN_CALL_INTERVAL_S
            return True
        due.advice.note(asked, result.ticket_by_worker)
        result = self._without_restarted(result, asked_link_by_id)
        self._store_tickets(result, due, now_s)
        log_event(
            "advice",
            step=step,
            asked=len(asked),
            eligible=len(result.ticket_by_worker),
            has_unasked=due.advice.has_unasked(self._without_ticket(due)),
            validity_s=result.validity_s,
        )
        return True

    def _pool_workers(self, pool: str) -> list[Worker]:
        return [
            state.worker
            for state in self._dispatcher.fleet.state_by_id.values()
            if state.worker.pool == pool
        ]

    def _without_ticket(self, due: _DueStep) -> list[Worker]:
        """Return the workers of the pool that could get tasks with a ticket."""
        tickets = self._dispatcher.advised_workers.ticket_by_key
        return [
            state.worker
            for worker_id, state in self._dispatcher.fleet.state_by_id.items()
            if state.worker.pool == due.pool
            and state.has_current_lists
            and not state.worker.draining
            and (due.job_id, due.step_key, worker_id) not in tickets
        ]

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

    def _store_tickets(self, advice: Advice, due: _DueStep, now_s: float) -> None:
        """Store the tickets and set when the next call for the step may be made.

        That is at once while the service has not been asked about all workers and none
        of them is eligible so far.
        """
        expires_s = now_s + advice.validity_s - VALIDITY_MARGIN_S
        tickets = self._dispatcher.advised_workers.ticket_by_key
        for worker_id, ticket in advice.ticket_by_worker.items():
            tickets[due.job_id, due.step_key, worker_id] = (ticket, expires_s)
        due.advice.repeat_s = expires_s
        has_unasked = due.advice.has_unasked(self._without_ticket(due))
        due.advice.due_s = now_s
        if due.advice.has_eligible or not has_unasked:
            due.advice.due_s += MIN_CALL_INTERVAL_S
        self._dispatcher.wake()

    def _put_off(self, due: _DueStep) -> None:
        """Put a step off that needs no call now.

        It needs one when its next ticket expires, or when further workers have come.
        """
        tickets = self._dispatcher.advised_workers.ticket_by_key
        due.advice.due_s = steady_s() + MIN_CALL_INTERVAL_S
        for worker in self._pool_workers(due.pool):
            key = (due.job_id, due.step_key, worker.worker_id)
            if key in tickets:
                due.advice.due_s = min(due.advice.due_s, tickets[key][1])

    def _remove_outdated(self) -> None:
        """Remove expired tickets, and what is known of steps that have long started."""
        now_s = steady_s()
        tickets = self._dispatcher.advised_workers.ticket_by_key
        for ticket_key in [
            key for key, (_, expires_s) in tickets.items() if now_s >= expires_s
        ]:
            del tickets[ticket_key]
        active_jobs = self._dispatcher.active_job_by_id
        for step_id, advice in list(self._advice_by_step.items()):
            if step_id[0] not in active_jobs or now_s - advice.startable_s > KEPT_S:
                del self._advice_by_step[step_id]
