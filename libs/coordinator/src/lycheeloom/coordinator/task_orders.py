"""Sends start and stop orders and handles those with an unknown outcome."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

import gevent
from gevent.lock import BoundedSemaphore
from gevent.pool import Group

from lycheeloom.jobs.fleet import Fleet, Run, RunState, WorkerState
from lycheeloom.jobs.model import RunningTask, TaskKey
from lycheeloom.jobs.planner import Start
from lycheeloom.telemetry import log_event

from . import metrics
from .clock import steady_s, wall_ms
from .job_registry import JobRegistry
from .ports import CallOutcome, CallReply, WorkerPort
from .worker_link import WorkerLink
from .writer import LeaderWriter

# A stopped run disappears from the worker's lists within this time after the answer to
# the stop order.
STOP_SETTLE_S = 0.25
# Delay before a stop order that was not carried out is repeated.
STOP_RETRY_DELAY_S = 0.2
# A worker that reported insufficient resources gets no starts for this long.
NO_ROOM_BACKOFF_S = 0.1
# A worker that rejected a start for another reason gets none for this long.
REFUSED_BACKOFF_S = 0.5
# Reason for stopping a run whose start has an unknown outcome.
START_NOT_ANSWERED = "start not answered"
# Stop orders in flight to workers that answer polls, and to those that do not.
MAX_STOPS_IN_FLIGHT = 64
# Nothing is planned while a planned start has waited longer than this for being sent:
# the processor is busy, and later plans would wait behind it.
MAX_UNSENT_S = 0.5


class TaskOrders:
    """Sends start and stop orders to workers while this instance leads.

    An order is for one incarnation of a worker. ``on_reply`` is called if another one
    has answered, or if a worker knows a later leader.
    """

    def __init__(
        self,
        workers: WorkerPort,
        fleet: Fleet,
        registry: JobRegistry,
        writer: LeaderWriter,
        link_by_id: Mapping[str, WorkerLink],
        on_reply: Callable[[WorkerLink, CallReply], None],
    ) -> None:
        self._workers = workers
        self._fleet = fleet
        self._registry = registry
        self._writer = writer
        self._link_by_id = link_by_id
        self._on_reply = on_reply
        self._stops = Group()
        self._stop_slots = BoundedSemaphore(MAX_STOPS_IN_FLIGHT)
        # Orders to workers that do not answer take their whole timeout, so they have
        # slots of their own and do not delay those to other workers.
        self._silent_stop_slots = BoundedSemaphore(MAX_STOPS_IN_FLIGHT)
        # When each start that has not been sent yet was planned, oldest first, by the
        # identity of its run.
        self._unsent_since_s_by_run: dict[int, float] = {}

    @property
    def is_behind(self) -> bool:
        """Return whether planned starts have waited too long for being sent."""
        oldest_s = next(iter(self._unsent_since_s_by_run.values()), math.inf)
        return steady_s() - oldest_s > MAX_UNSENT_S

    def close(self) -> None:
        """Abort the stop orders in flight."""
        self._stops.kill(block=False)

    def begin(self, start: Start, now_s: float) -> None:
        """Start a planned task; its run occupies the worker from now on.

        The order is sent in a greenlet.
        """
        run = Run(
            start.task,
            start.run,
            start.worker_id,
            start.step,
            start.organisation,
            start.queue,
            RunState.STARTING,
            now_s,
            start.checkpoint,
            progress_changed_s=now_s,
        )
        self._fleet.add_run(run)
        self._unsent_since_s_by_run[id(run)] = now_s
        gevent.spawn(self._start, start, run, self._link_by_id[start.worker_id])

    def stop_run(self, run: Run, reason: str) -> None:
        """Stop a run; it occupies the worker until the worker no longer lists it."""
        if run.state is RunState.STOPPING:
            return
        run.state = RunState.STOPPING
        run.stop_reason = reason
        # Until the worker has answered the stop order, the start may still be in
        # flight, so lists without the run do not show that it is gone.
        run.gone_if_unlisted_after_s = math.inf
        log_event(
            "task_stop",
            task=run.task,
            run=run.run,
            worker=run.worker_id,
            reason=reason,
        )
        self._stops.spawn(self._stop_until_answered, run)

    def stop_listed(self, link: WorkerLink, row: RunningTask) -> None:
        """Stop a run that a worker lists but that the leader does not need."""
        self._stops.spawn(self._stop_listed, link, row)

    def note_restart(self, run: Run) -> None:
        """Find out whether the new incarnation of a restarted worker has a run.

        An order that is still under way is settled by its own answer. An answered stop
        order is repeated: the new incarnation does not know it, so it would not reject
        a start that arrives late.
        """
        now_s = steady_s()
        match run.state:
            case RunState.RUNNING | RunState.UNSURE:
                run.state = RunState.UNSURE
                run.gone_if_unlisted_after_s = now_s
            case RunState.STOPPING if run.gone_if_unlisted_after_s < math.inf:
                run.gone_if_unlisted_after_s = math.inf
                self._stops.spawn(self._stop_until_answered, run)

    def _find_obstacle(self, run: Run, link: WorkerLink) -> str:
        """Return why a planned start must not be sent any more, or an empty string."""
        state = self._fleet.state_by_id.get(run.worker_id)
        if run.state is not RunState.STARTING or not self._is_current(run):
            return run.stop_reason or "released"
        if self._link_by_id.get(run.worker_id) is not link:
            return "worker restarted"
        if link.is_lease_expired or not state.has_current_lists:
            return "lists outdated"
        if not self._writer.may_act or not self._registry.is_current:
            return "leader may not act"
        return ""

    def _start(self, start: Start, run: Run, link: WorkerLink) -> None:
        """Send a start order and process the reply.

        The order may have waited for its turn; by then, the run may have been stopped
        or released, or the worker may have restarted.
        """
        del self._unsent_since_s_by_run[id(run)]
        obstacle = self._find_obstacle(run, link)
        deadline_ms = None if obstacle else link.grant_lease()
        if deadline_ms is None:
            self._undo_start(run, obstacle or "clock of the worker not known")
            return
        job_and_step = (start.task.job_id, (start.task.occurrence, start.task.step))
        # The ticket is empty if the queue does not require advice.
        ticket, _ = self._registry.advised_workers.ticket_by_key.get(
            (*job_and_step, start.worker_id), ("", 0.0)
        )
        began_s = steady_s()
        reply = self._workers.start(
            link.worker, start, self._writer.token, deadline_ms, ticket
        )
        if self._writer.is_fenced:
            return
        link.note_clock(reply.clock_ms, began_s)
        self._settle_start(start, run, link, reply, began_s)

    def _settle_start(
        self,
        start: Start,
        run: Run,
        link: WorkerLink,
        reply: CallReply,
        began_s: float,
    ) -> None:
        """Update the run and the worker according to the reply to a start order."""
        state = self._fleet.state_by_id.get(start.worker_id)
        now_s = steady_s()
        log_event(
            "task_start",
            is_routine=reply.outcome is CallOutcome.DONE,
            task=start.task,
            run=start.run,
            worker=start.worker_id,
            started_ms=link.worker.started_ms,
            token=self._writer.token,
            outcome=reply.outcome.value,
            reason=reply.reason,
            took_ms=(now_s - began_s) * 1000,
        )
        metrics.START_SECONDS.labels(reply.outcome.value).observe(now_s - began_s)
        match reply.outcome:
            case CallOutcome.DONE:
                self._note_started(start, run, now_s)
            case CallOutcome.UNKNOWN:
                run.unanswered_s = now_s
                self._settle_unknown_start(run, now_s)
            case CallOutcome.FENCED:
                self._on_reply(link, reply)
            case CallOutcome.GONE:
                self._on_reply(link, reply)
                self._undo_start(run, "another worker answered")
            case CallOutcome.RESTARTED:
                self._undo_start(run, "worker restarted")
                self._on_reply(link, reply)
                # Still the known incarnation if the other one has a lower start time.
                if state and self._link_by_id.get(start.worker_id) is link:
                    self._back_off_worker(state, reply.outcome, now_s)
            case CallOutcome.BAD_TICKET:
                step_key = (start.task.occurrence, start.task.step)
                self._registry.advised_workers.ticket_by_key.pop(
                    (start.task.job_id, step_key, start.worker_id), None
                )
                self._undo_start(run, "ticket rejected")
            case outcome:
                if state is not None:
                    self._back_off_worker(state, outcome, now_s)
                self._undo_start(run, outcome.value)

    def _settle_unknown_start(self, run: Run, now_s: float) -> None:
        """Stop a run that may have started, unless its task is long-running.

        For a long-running task, the next list shows whether the run exists. A stop
        could end a task that has become available, while other tasks of its step are
        still unavailable.
        """
        if run.state is not RunState.STARTING:
            return
        if run.step.long_running:
            run.state = RunState.UNSURE
            run.gone_if_unlisted_after_s = now_s
        else:
            self.stop_run(run, START_NOT_ANSWERED)

    def _note_started(self, start: Start, run: Run, now_s: float) -> None:
        # The run may have left STARTING while the reply was awaited: a list may already
        # have shown it, or it may have been stopped.
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
            run.progress_changed_s = now_s
            run.gone_if_unlisted_after_s = now_s
        active_job = self._registry.active_job_by_id.get(start.task.job_id)
        if active_job is None:
            self.stop_run(run, "job has ended")
        elif self._registry.note_begun(active_job):
            waited_s = (wall_ms() - active_job.job.accepted_ms) / 1000
            metrics.FIRST_START_SECONDS.observe(max(0.0, waited_s))
            self._registry.flush()

    def _back_off_worker(
        self, state: WorkerState, outcome: CallOutcome, now_s: float
    ) -> None:
        """Exclude a worker that has rejected a start from further starts for a time."""
        match outcome:
            case CallOutcome.NO_ROOM:
                backoff_s = NO_ROOM_BACKOFF_S
            case CallOutcome.OLD_RUN:
                # Says nothing about the worker.
                return
            case _:
                backoff_s = REFUSED_BACKOFF_S
        state.backoff_until_s = max(state.backoff_until_s, now_s + backoff_s)

    def _undo_start(self, run: Run, reason: str) -> None:
        """Undo a start that definitely did not happen."""
        if not self._is_current(run):
            return
        self._fleet.remove_run(run)
        self._registry.put_back(run, reason)

    def _is_current(self, run: Run) -> bool:
        """Return whether the fleet still counts the run."""
        return self._fleet.find_run(run.worker_id, run.task, run.run) is run

    def _stop_until_answered(self, run: Run) -> None:
        """Send the stop order until it is carried out or the run or worker is gone."""
        while not self._writer.is_fenced:
            link = self._link_by_id.get(run.worker_id)
            if link is None or not self._is_current(run):
                return
            if self._writer.may_act:
                reply = self._send_stop(link, str(run.task), run.run)
                if reply is None:
                    continue
                if self._link_by_id.get(run.worker_id) is not link:
                    # The answer is from a former incarnation of the worker.
                    continue
                if reply.outcome is CallOutcome.DONE:
                    run.gone_if_unlisted_after_s = steady_s() + STOP_SETTLE_S
                    return
                if reply.outcome in (CallOutcome.FENCED, CallOutcome.GONE):
                    self._on_reply(link, reply)
                    return
                if reply.outcome is CallOutcome.RESTARTED:
                    self._log_stop(link, run.task, run.run, run.stop_reason, reply)
                    self._on_reply(link, reply)
            gevent.sleep(STOP_RETRY_DELAY_S)

    def _send_stop(self, link: WorkerLink, task: str, run: int) -> CallReply | None:
        """Send a stop order; return None if it has to be tried again.

        The order may have waited for other stop orders. By then, this instance may not
        act any more, or the worker may need the slots for the other kind of workers.
        """
        is_silent = link.failing_for_s > 0
        with self._silent_stop_slots if is_silent else self._stop_slots:
            if not self._writer.may_act or is_silent is not (link.failing_for_s > 0):
                return None
            return self._workers.stop(link.worker, task, run, self._writer.token)

    def _stop_listed(self, link: WorkerLink, row: RunningTask) -> None:
        # Sent once: the next list that contains the run triggers another stop.
        reply = self._send_stop(link, str(row.task), row.run)
        if reply is None:
            return
        self._log_stop(link, row.task, row.run, "not needed", reply)
        if reply.outcome is CallOutcome.RESTARTED:
            self._on_reply(link, reply)

    @staticmethod
    def _log_stop(
        link: WorkerLink, task: TaskKey, run: int, reason: str, reply: CallReply
    ) -> None:
        log_event(
            "task_stop",
            task=task,
            run=run,
            worker=link.worker.worker_id,
            started_ms=link.worker.started_ms,
            reason=reason,
            outcome=reply.outcome.value,
        )
