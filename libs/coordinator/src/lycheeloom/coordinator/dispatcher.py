"""The leader's main loop: tracks workers and starts tasks on them."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable, Mapping

import gevent

from lycheeloom.jobs.active_job import ActiveJob
from lycheeloom.jobs.advised_workers import AdvisedWorkers
from lycheeloom.jobs.demand import PoolDemand
from lycheeloom.jobs.fleet import Fleet, Run, WorkerState
from lycheeloom.jobs.model import Job, Worker
from lycheeloom.jobs.planner import MAX_STARTS_PER_ROUND
from lycheeloom.jobs.trial_round import Trial, try_round
from lycheeloom.model.resources import Resources
from lycheeloom.telemetry import log_event

from .clock import steady_s, wall_ms
from .features import NO_FEATURES, Features
from .inherited_jobs import InheritedJobs
from .job_registry import JobRegistry
from .late_starts import find_ended_with_lease
from .list_reconciler import ListReconciler
from .ports import CallOutcome, CallReply, WorkerPort
from .rating_recorder import RatingRecorder
from .replica import Replica
from .round_timer import RoundTimer
from .supervision import note_failure, run_supervised
from .task_orders import TaskOrders
from .view import View
from .worker_link import LONGEST_LEASE_S, WorkerLink
from .writer import LeaderWriter

# A list of instances requested this long after a worker was first seen contains its
# instance.
INSTANCE_LIST_LAG_S = 0.5
# A worker that has been missing from the platform's list of workers for less than this
# may still come back.
UNLISTED_GRACE_S = 2.5
# Pause between planning rounds, in durations of a round. With overload control, rounds
# take longest when the leader has most starts to send, which need the processor too.
OVERLOAD_PAUSE_FACTOR = 3.0


class Dispatcher:
    """Schedules tasks on workers while this instance leads.

    A link polls each worker that the platform lists. After a takeover, the first lists
    of the workers show which runs the previous leader has started.
    """

    def __init__(
        self,
        workers: WorkerPort,
        replica: Replica,
        writer: LeaderWriter,
        view: View,
        longest_lease_s: float = LONGEST_LEASE_S,
        features: Features = NO_FEATURES,
    ) -> None:
        self.features = features
        self.fleet = Fleet()
        self.link_by_id: dict[str, WorkerLink] = {}
        self.view = view
        self.writer = writer
        self.replica = replica
        self._workers = workers
        self._longest_lease_s = longest_lease_s
        self._registry = JobRegistry(
            replica, writer, view, self.fleet, self.wake, features
        )
        self._orders = TaskOrders(
            workers, self.fleet, self._registry, writer, self.link_by_id, self.on_reply
        )
        self._ratings = RatingRecorder(self.fleet, is_enabled=features.worker_ratings)
        self._list_reconciler = ListReconciler(
            self.fleet,
            self._registry,
            self._orders,
            self._ratings,
            self._on_restart,
            self.wake,
        )
        # Set here since the registry and the orders need each other.
        self._registry.stop_run = self._orders.stop_run
        self._inherited = InheritedJobs(
            self._registry.inherited_job_ids, self.fleet, view, longest_lease_s
        )
        self._round_timer = RoundTimer(
            OVERLOAD_PAUSE_FACTOR if features.overload_control else 1.0
        )
        self._unlisted_since_s_by_worker: dict[str, float] = {}
        # Worker id and start time of incarnations that have definitely ended but are
        # still listed by the platform.
        self._ended_incarnations: set[tuple[str, int]] = set()
        # Why no tasks are planned at present; empty if they are.
        self.pause_reason = ""
        # Resources that unknown runs may use, by organisation, as of the last round.
        self._unknown_use: Mapping[str, Resources] = {}
        self._greenlets: list[gevent.Greenlet] = []

    @property
    def active_job_by_id(self) -> dict[str, ActiveJob]:
        """Return the jobs that have not ended, by id."""
        return self._registry.active_job_by_id

    def find_known_jobs(self) -> list[ActiveJob]:
        """Return the active jobs that can have no unknown runs of a former leader."""
        return [
            active_job
            for active_job in self.active_job_by_id.values()
            if not self._inherited.must_wait(active_job.job)
        ]

    def may_have_unknown_runs(self, worker_id: str) -> bool:
        """Return whether a worker that is not listed may run tasks of a former leader.

        ``worker_id`` is empty for an instance without a worker.
        """
        return self._inherited.may_run_on(worker_id)

    @property
    def advised_workers(self) -> AdvisedWorkers:
        """Return the workers allowed by the advice service, with their tickets."""
        return self._registry.advised_workers

    @property
    def demand(self) -> PoolDemand:
        """Return the measurement of the work submitted to each pool."""
        return self._registry.demand

    def stop_run(self, run: Run, reason: str) -> None:
        """Stop a run; it counts as running until the worker no longer has it."""
        self._orders.stop_run(run, reason)

    def run(
        self, background_loop_by_name: Mapping[str, Callable[[], None]] | None = None
    ) -> None:
        """Schedule tasks until the leader is fenced.

        The background loops run in greenlets meanwhile, which are killed at the end.
        """
        self._greenlets.append(gevent.spawn(self._write))
        self.replica.add_listener(self._registry.on_record)
        try:
            self._registry.inherit()
            for name, loop in (background_loop_by_name or {}).items():
                self._spawn(name, loop)
            while not self.writer.is_fenced:
                self._round_timer.begin()
                self.sync_workers()
                self._check_links()
                start_count = self._plan() if self._may_start() else 0
                self._round_timer.end(start_count, len(self.link_by_id))
                self._round_timer.wait()
        finally:
            self.replica.remove_listener(self._registry.on_record)
            for link in self.link_by_id.values():
                link.is_stopped = True
            gevent.killall(self._greenlets, block=False)
            self._orders.close()

    def _may_start(self) -> bool:
        """Return whether this leader may act, is up to date and keeps up."""
        if not self.writer.may_act:
            return False
        reason = ""
        if not self._registry.is_current:
            reason = "logs not read"
        elif self._orders.is_behind:
            reason = "orders not sent"
        if reason != self.pause_reason:
            self.pause_reason = reason
            log_event(
                "starts_paused" if reason else "starts_resumed",
                level="WARNING" if reason else "INFO",
                reason=reason,
                read_age_s=steady_s() - self.replica.read_at_s,
            )
        return not reason

    def wake(self) -> None:
        """Trigger a planning round."""
        self._round_timer.wake()

    def sync_workers(self) -> None:
        """Add, update and drop workers according to the platform's list.

        A worker that is no longer listed is dropped after ``UNLISTED_GRACE_S`` if it
        does not respond and its lease has expired.
        """
        now_s = steady_s()
        listed = self.view.worker_by_id.values()
        self._ended_incarnations &= {(w.worker_id, w.started_ms) for w in listed}
        for worker in listed:
            self._unlisted_since_s_by_worker.pop(worker.worker_id, None)
            if (worker.worker_id, worker.started_ms) not in self._ended_incarnations:
                self._sync_worker(worker)
        for worker_id in list(self.link_by_id):
            if worker_id in self.view.worker_by_id:
                continue
            if worker_id not in self._unlisted_since_s_by_worker:
                self._unlisted_since_s_by_worker[worker_id] = now_s
                log_event("worker_unlisted", worker=worker_id)
            since_s = self._unlisted_since_s_by_worker[worker_id]
            link = self.link_by_id[worker_id]
            if now_s - since_s <= UNLISTED_GRACE_S or not link.is_lost:
                continue
            state = self.fleet.state_by_id[worker_id]
            if len(self._find_ended_with_lease(state)) == len(state.run_by_task):
                self._drop_worker(worker_id, "not listed")

    def note_instances(
        self, pool_by_live_worker: Mapping[str, str], requested_s: float
    ) -> None:
        """Drop workers that do not respond and no longer belong to any instance.

        The worker of an instance that moves, is maintained or crashes ends
        immediately, but the platform lists the worker for some seconds longer.
        A worker with a run that no list has shown yet is kept until its lease ends, or
        longer if the start got no answer: its next incarnation may carry it out.
        ``pool_by_live_worker`` contains the workers that have an instance, by id, and
        ``requested_s`` is when the list of instances was requested.
        """
        self._inherited.pool_by_live_worker = pool_by_live_worker
        for worker_id, link in list(self.link_by_id.items()):
            if worker_id in pool_by_live_worker or not link.failing_for_s:
                continue
            if requested_s < link.created_s + INSTANCE_LIST_LAG_S:
                continue
            reason = "no instance runs it"
            state = self.fleet.state_by_id[worker_id]
            ended = [run for run in state.run_by_task.values() if run.is_listed]
            if link.is_lease_expired:
                ended = self._find_ended_with_lease(state)
            if len(ended) == len(state.run_by_task):
                self._ended_incarnations.add((worker_id, link.worker.started_ms))
                self._drop_worker(worker_id, reason)
                continue
            self._release(ended, reason)

    def _sync_worker(self, worker: Worker) -> None:
        link = self.link_by_id.get(worker.worker_id)
        if link is None:
            # A pool that the policy does not name may be an error of another writer.
            policy = self.view.policy
            if not policy.version or worker.pool in policy.pool_by_name:
                link = self._add_worker(worker)
                if self.view.restarts.has_restarted(worker.worker_id):
                    link.expect_longest_lease()
            return
        if worker.started_ms < link.worker.started_ms:
            # The platform still lists an earlier incarnation.
            return
        if worker.started_ms > link.worker.started_ms:
            self._replace_incarnation(worker, "worker restarted")
            return
        state = self.fleet.state_by_id[worker.worker_id]
        if link.worker != worker or state.awaits_description:
            link.worker = worker
            state.awaits_description = False
            self.fleet.add_worker(worker)
            self.wake()

    def _add_worker(self, worker: Worker) -> WorkerLink:
        """Track a worker and poll it."""
        self.fleet.add_worker(worker)
        link = WorkerLink(
            worker,
            self._workers,
            self.writer.token,
            lambda: self.writer.may_act,
            self._list_reconciler.reconcile,
            self.on_reply,
            self._needs_frequent_polls,
            self._longest_lease_s,
        )
        self.link_by_id[worker.worker_id] = link
        self._spawn("worker_link", link.run)
        return link

    def _replace_incarnation(self, worker: Worker, reason: str) -> None:
        """Track the new incarnation of a worker that has restarted under its id.

        Runs that the former incarnation has listed have ended with it. The start
        orders of the others may be carried out by the new one, so they are kept until
        its lists show whether they exist. They carry the end of a lease by the clock of
        the former incarnation.
        """
        worker_id = worker.worker_id
        self.link_by_id.pop(worker_id).is_stopped = True
        former_state = self.fleet.state_by_id[worker_id]
        runs = self.fleet.remove_worker(worker_id)
        self._add_worker(worker).expect_longest_lease()
        self.advised_workers.forget_worker(worker_id)
        self._ratings.forget_worker(worker_id, steady_s())
        # A restart does not show that the worker or its instance has been repaired.
        state = self.fleet.state_by_id[worker_id]
        state.is_cordoned = former_state.is_cordoned
        state.backoff_until_s = former_state.backoff_until_s
        state.consecutive_failures = former_state.consecutive_failures
        kept = [run for run in runs if not run.is_listed]
        for run in kept:
            self.fleet.add_run(run)
            self._orders.note_restart(run)
        log_event(
            "worker_restarted",
            worker=worker_id,
            reason=reason,
            started_ms=worker.started_ms,
            runs=len(runs),
            kept=len(kept),
        )
        for run in runs:
            if run.is_listed:
                self._registry.put_back(run, reason)
        self.wake()

    def _drop_worker(self, worker_id: str, reason: str) -> None:
        link = self.link_by_id.pop(worker_id)
        link.is_stopped = True
        runs = self.fleet.remove_worker(worker_id)
        self._ratings.forget_worker(worker_id, steady_s())
        self._unlisted_since_s_by_worker.pop(worker_id, None)
        log_event("worker_dropped", worker=worker_id, reason=reason, runs=len(runs))
        for run in runs:
            self._registry.put_back(run, reason)
        self.wake()

    def _check_links(self) -> None:
        """Mark the lists of workers as outdated, and release runs that have ended.

        After its lease, a worker gets no tasks until it lists its runs again: some may
        have ended before the lease did. The same holds while another incarnation may
        have taken its place. Only if a worker does not respond, its runs are released
        without a list, but for those that its next incarnation may still start.
        """
        for link in self.link_by_id.values():
            state = self.fleet.state_by_id[link.worker.worker_id]
            if link.failing_for_s > 0 or link.is_lease_expired or link.is_in_doubt:
                state.has_current_lists = False
            if link.failing_for_s > 0:
                state.has_unlisted_ends = False
            ended = self._find_ended_with_lease(state) if link.is_lost else []
            if not ended:
                continue
            log_event(
                "worker_lapsed",
                worker=link.worker.worker_id,
                runs=len(ended),
                kept=len(state.run_by_task) - len(ended),
                failing_for_s=link.failing_for_s,
                expired_for_s=steady_s() - link.granted_until_s,
            )
            self._release(ended, "lease expired")

    def _find_ended_with_lease(self, state: WorkerState) -> list[Run]:
        return find_ended_with_lease(state, self._longest_lease_s)

    def _release(self, runs: Iterable[Run], reason: str) -> None:
        """Remove runs that have ended; their tasks wait again."""
        for run in runs:
            self.fleet.remove_run(run)
            self._registry.put_back(run, reason)

    def on_reply(self, link: WorkerLink, reply: CallReply) -> None:
        """Handle replies that concern the leader or all runs of a worker."""
        worker_id = link.worker.worker_id
        match reply.outcome:
            case CallOutcome.FENCED:
                self._note_fenced(worker_id)
            case CallOutcome.RESTARTED:
                self._on_restart(link, reply.started_ms)
            case CallOutcome.GONE if self.link_by_id.get(worker_id) is link:
                self._ended_incarnations.add((worker_id, link.worker.started_ms))
                self._drop_worker(worker_id, "another worker answered")

    def _on_restart(self, link: WorkerLink, started_ms: int) -> None:
        """Handle an answer of an incarnation of a worker that is not the known one.

        It gets no tasks before the platform lists it: capacity, labels and zone are
        those of the former incarnation until then.
        """
        is_current = self.link_by_id.get(link.worker.worker_id) is link
        if is_current and started_ms > link.worker.started_ms:
            worker = dataclasses.replace(link.worker, started_ms=started_ms)
            self._replace_incarnation(worker, "another incarnation answered")
            self.fleet.state_by_id[worker.worker_id].awaits_description = True

    def _note_fenced(self, worker_id: str) -> None:
        log_event("leader_fenced", level="WARNING", worker=worker_id)
        self.writer.is_fenced = True
        self.wake()

    def _needs_frequent_polls(self, link: WorkerLink) -> bool:
        state = self.fleet.state_by_id.get(link.worker.worker_id)
        return state is not None and state.needs_frequent_polls

    def _plan(self) -> int:
        """Start tasks; return their number."""
        now_s = steady_s()
        self._inherited.refresh()
        self._ratings.refresh(now_s)
        self._unknown_use = self._inherited.unknown_use(
            self.active_job_by_id, wall_ms()
        )
        starts = self._registry.plan(self.find_known_jobs(), now_s, self._unknown_use)
        for start in starts:
            self._orders.begin(start, now_s)
        if len(starts) >= MAX_STARTS_PER_ROUND:
            self.wake()
        return len(starts)

    def try_round(self, job: Job) -> Trial:
        """Return what a round would do with a further job now; nothing changes."""
        return try_round(
            self._registry.planner,
            self.fleet,
            self.find_known_jobs(),
            job,
            self.view.policy,
            self.view.zones_out_of_service,
            steady_s(),
            wall_ms(),
            self.advised_workers,
            self._unknown_use,
        )

    def _write(self) -> None:
        """Write the leader's records.

        After an unexpected exception, some records may be lost, so this instance gives
        up the lead: the next leader learns the ends of runs from the workers.
        """
        try:
            self.writer.run()
        except Exception as error:
            note_failure("leader_writer", error, token=self.writer.token)
            self.writer.is_fenced = True
            self.wake()

    def _spawn(self, name: str, loop: Callable[[], None]) -> None:
        self._greenlets.append(gevent.spawn(run_supervised, name, loop))
