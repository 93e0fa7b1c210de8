"""Jobs that the previous leader left unfinished, some of whose runs may be unknown."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from lycheeloom.jobs.active_job import ActiveJob
from lycheeloom.jobs.fleet import Fleet
from lycheeloom.jobs.model import Job
from lycheeloom.model.resources import NO_RESOURCES, Resources
from lycheeloom.telemetry import log_event

from .clock import steady_s
from .view import View
from .worker_link import CLOCK_RATE_MARGIN, LEASE_MARGIN_S, WORKER_LEASE_S

# All leases granted by the previous leader have expired this long after the takeover.
MAX_INHERITED_LEASE_S = WORKER_LEASE_S * CLOCK_RATE_MARGIN + LEASE_MARGIN_S


class InheritedJobs:
    """Decides which inherited jobs have to wait for lists of workers.

    ``job_ids`` contains the ids of these jobs; it is cleared once all runs of the
    previous leader are known or have ended.
    """

    def __init__(self, job_ids: set[str], fleet: Fleet, view: View) -> None:
        # Pool of each worker that has an instance, by worker id, according to the
        # latest list of instances; None before the first list.
        self.pool_by_live_worker: Mapping[str, str] | None = None
        self._job_ids = job_ids
        self._fleet = fleet
        self._view = view
        self._took_over_s = steady_s()
        # Pools that may have unknown runs, as of the last ``refresh``.
        self._unknown_pools: Collection[str] = frozenset()

    def refresh(self) -> None:
        """Find out which pools may still have unknown runs."""
        unknown_pools = self._pools_with_unknown_runs()
        if unknown_pools == self._unknown_pools:
            return
        self._unknown_pools = unknown_pools
        log_event(
            "inherited_jobs_wait" if unknown_pools else "inherited_jobs_released",
            pools=",".join(sorted(unknown_pools)),
            after_s=steady_s() - self._took_over_s,
        )

    def must_wait(self, job: Job) -> bool:
        """Return whether tasks of a job may have runs that are not known.

        They can be in any pool: the previous leader may have sent the job's queue
        elsewhere, by an earlier policy or by one that this instance has not read yet.
        """
        return bool(self._unknown_pools) and job.job_id in self._job_ids

    def unknown_use(
        self, active_job_by_id: Mapping[str, ActiveJob], now_ms: float
    ) -> dict[str, Resources]:
        """Return the resources that unknown runs may use, by organisation.

        These are at most those of all tasks that may start and have no known run.
        ``now_ms`` is Unix time.
        """
        use_by_organisation: dict[str, Resources] = {}
        if not self._unknown_pools:
            return use_by_organisation
        for job_id in self._job_ids:
            active_job = active_job_by_id.get(job_id)
            if active_job is None:
                continue
            name = active_job.job.organisation
            use = use_by_organisation.get(name, NO_RESOURCES)
            for _, step_tasks in active_job.startable_steps(now_ms):
                use += step_tasks.step.limit_use.times(len(step_tasks.waiting))
            use_by_organisation[name] = use
        return use_by_organisation

    def _pools_with_unknown_runs(self) -> Collection[str]:
        """Return the pools that may have unknown runs of the previous leader.

        These are the pools with a worker whose lists this leader has not received or
        that only the list of instances names: for some seconds after an outage of the
        store, the platform's list of workers lacks some that are running. All pools are
        returned as long as no worker is known, or no list of instances. Once the leases
        of the previous leader have expired, only pools with ends that are still being
        listed count.
        """
        if not self._job_ids:
            return frozenset()
        if steady_s() - self._took_over_s > MAX_INHERITED_LEASE_S:
            pools = self._pools_with_unlisted_ends()
            if not pools:
                self._job_ids.clear()
            return pools
        if self.pool_by_live_worker is None or not self._fleet.state_by_id:
            return set(self._view.policy.pool_by_name)
        pools = {
            state.worker.pool
            for state in self._fleet.state_by_id.values()
            if not state.has_current_lists
        }
        pools |= {
            pool
            for worker_id, pool in self.pool_by_live_worker.items()
            if worker_id not in self._fleet.state_by_id
        }
        if not pools:
            self._job_ids.clear()
        return pools

    def _pools_with_unlisted_ends(self) -> Collection[str]:
        return {
            state.worker.pool
            for state in self._fleet.state_by_id.values()
            if state.has_unlisted_ends
        }
