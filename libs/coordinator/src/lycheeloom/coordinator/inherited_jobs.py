"""Jobs that the previous leader left unfinished, some of whose runs may be unknown."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from lycheeloom.jobs.active_job import ActiveJob
from lycheeloom.jobs.fleet import Fleet
from lycheeloom.jobs.model import Job
from lycheeloom.model.resources import NO_RESOURCES, Resources
from lycheeloom.telemetry import log_event

from .clock import steady_s
from .view import View
from .worker_link import LONGEST_LEASE_S, WORKER_LEASE_S, max_lease_duration_s

# All leases granted by the previous leader have expired this long after the takeover,
# except those of workers that have restarted.
MAX_INHERITED_LEASE_S = max_lease_duration_s(WORKER_LEASE_S)
MAX_LOGGED_WORKERS = 20


@dataclass(frozen=True, slots=True)
class _Unknown:
    """What may have runs of the previous leader that are not known."""

    # The pools that may have such runs.
    pools: frozenset[str] = frozenset()
    # Jobs wait until at most this long after the takeover.
    max_wait_s: float = 0.0
    # Silent workers that have restarted.
    restarted_workers: frozenset[str] = field(default=frozenset(), compare=False)


class InheritedJobs:
    """Decides which inherited jobs have to wait for lists of workers.

    ``job_ids`` contains the ids of these jobs; it is cleared once all runs of the
    previous leader are known or have ended. A worker that has restarted under its id
    may have got a lease by the clock of its former incarnation, which lasts up to
    ``longest_lease_s``.
    """

    def __init__(
        self,
        job_ids: set[str],
        fleet: Fleet,
        view: View,
        longest_lease_s: float = LONGEST_LEASE_S,
    ) -> None:
        # Pool of each worker that has an instance, by worker id, according to the
        # latest list of instances; None before the first list.
        self.pool_by_live_worker: Mapping[str, str] | None = None
        self._job_ids = job_ids
        self._fleet = fleet
        self._view = view
        self._max_restarted_lease_s = max_lease_duration_s(longest_lease_s)
        self._took_over_s = steady_s()
        # As of the last ``refresh``.
        self._unknown = _Unknown()
        # Organisation of each job and what its unknown runs may use, by job id.
        self._use_by_job: dict[str, tuple[str, Resources]] = {}

    def refresh(self) -> None:
        """Find out which pools may still have unknown runs."""
        unknown = self._find_unknown()
        if unknown == self._unknown:
            return
        self._unknown = unknown
        after_s = steady_s() - self._took_over_s
        if not unknown.pools:
            log_event("inherited_jobs_released", pools="", after_s=after_s)
            return
        restarted = sorted(unknown.restarted_workers)
        log_event(
            "inherited_jobs_wait",
            pools=",".join(sorted(unknown.pools)),
            after_s=after_s,
            max_wait_s=unknown.max_wait_s,
            restarted_workers=",".join(restarted[:MAX_LOGGED_WORKERS]),
            restarted=len(restarted),
        )

    def must_wait(self, job: Job) -> bool:
        """Return whether tasks of a job may have runs that are not known.

        They can be in any pool: the previous leader may have sent the job's queue
        elsewhere, by an earlier policy or by one that this instance has not read yet.
        """
        return bool(self._unknown.pools) and job.job_id in self._job_ids

    def may_run_on(self, worker_id: str) -> bool:
        """Return whether a worker may have runs although this leader does not know it.

        So it is until the leases of the previous leader have expired: the list of
        instances names the worker, but the platform's list of workers lacks it.
        """
        if not worker_id or worker_id in self._fleet.state_by_id:
            return False
        max_lease_s = MAX_INHERITED_LEASE_S
        if self._view.restarts.has_restarted(worker_id):
            max_lease_s = self._max_restarted_lease_s
        return steady_s() - self._took_over_s <= max_lease_s

    def unknown_use(
        self, active_job_by_id: Mapping[str, ActiveJob], now_ms: float
    ) -> dict[str, Resources]:
        """Return the resources that unknown runs may use, by organisation.

        These are at most those of all tasks that may start and have no known run. A job
        that has ended since the takeover may still have the unknown runs that it had.
        ``now_ms`` is Unix time.
        """
        if not self._unknown.pools:
            self._use_by_job.clear()
            return {}
        for job_id in self._job_ids:
            active_job = active_job_by_id.get(job_id)
            if active_job is None:
                continue
            use = NO_RESOURCES
            for _, step_tasks in active_job.startable_steps(now_ms):
                use += step_tasks.step.limit_use.times(len(step_tasks.waiting))
            self._use_by_job[job_id] = (active_job.job.organisation, use)
        use_by_organisation: dict[str, Resources] = {}
        for name, use in self._use_by_job.values():
            use_by_organisation[name] = (
                use_by_organisation.get(name, NO_RESOURCES) + use
            )
        return use_by_organisation

    def _find_unknown(self) -> _Unknown:
        """Return what may have unknown runs of the previous leader.

        These are the pools with a worker whose lists this leader has not received or
        that only the list of instances names: for some seconds after an outage of the
        store, the platform's list of workers lacks some that are running. All pools are
        returned as long as no worker is known, or no list of instances. Once the leases
        of the previous leader have expired, only pools with ends that are still being
        listed count, and those of restarted workers whose leases may last longer.
        """
        if not self._job_ids:
            return _Unknown()
        after_s = steady_s() - self._took_over_s
        may_be_unlisted = (
            self.pool_by_live_worker is None or not self._fleet.state_by_id
        )
        if after_s <= MAX_INHERITED_LEASE_S and may_be_unlisted:
            pools = frozenset(self._view.policy.pool_by_name)
            return _Unknown(pools, MAX_INHERITED_LEASE_S)
        pool_by_restarted = {}
        if after_s <= self._max_restarted_lease_s:
            pool_by_restarted = self._silent_restarted_workers()
        if after_s > MAX_INHERITED_LEASE_S:
            pools = self._pools_with_unlisted_ends()
        else:
            pools = self._pools_with_silent_workers()
        pools |= set(pool_by_restarted.values())
        if not pools:
            self._job_ids.clear()
            return _Unknown()
        max_wait_s = MAX_INHERITED_LEASE_S
        if pool_by_restarted:
            max_wait_s = self._max_restarted_lease_s
        return _Unknown(frozenset(pools), max_wait_s, frozenset(pool_by_restarted))

    def _pools_with_silent_workers(self) -> set[str]:
        pools = {
            state.worker.pool
            for state in self._fleet.state_by_id.values()
            if not state.has_current_lists
        }
        return pools | {
            pool
            for worker_id, pool in (self.pool_by_live_worker or {}).items()
            if worker_id not in self._fleet.state_by_id
        }

    def _pools_with_unlisted_ends(self) -> set[str]:
        return {
            state.worker.pool
            for state in self._fleet.state_by_id.values()
            if state.has_unlisted_ends
        }

    def _silent_restarted_workers(self) -> dict[str, str]:
        """Return the pools of restarted workers without current lists, by worker id.

        A worker is left out if neither list names it any more.
        """
        pool_by_id = {}
        since_s = self._took_over_s - self._max_restarted_lease_s
        for restart in self._view.restarts.find_since(since_s):
            worker_id = restart.worker.worker_id
            state = self._fleet.state_by_id.get(worker_id)
            if state is not None and state.has_current_lists:
                continue
            live = self.pool_by_live_worker
            if state is None and live is not None and worker_id not in live:
                continue
            pool_by_id[worker_id] = restart.worker.pool
        return pool_by_id
