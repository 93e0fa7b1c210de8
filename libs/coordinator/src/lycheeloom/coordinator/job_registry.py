"""The jobs that the leader schedules, and the recording of their progress."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from lycheeloom.jobs.active_job import ActiveJob
from lycheeloom.jobs.advised_workers import AdvisedWorkers
from lycheeloom.jobs.demand import PoolDemand
from lycheeloom.jobs.fleet import Fleet, Run
from lycheeloom.jobs.model import FINAL_STATES
from lycheeloom.jobs.planner import Planner, Start
from lycheeloom.jobs.records import (
    JobProgress,
    Kind,
    ProgressPart,
    Record,
    encode,
    key_of,
    part_key,
    smaller_versions,
)
from lycheeloom.jobs.run_numbers import highest_former_run
from lycheeloom.jobs.table import AppliedRecord
from lycheeloom.model.resources import Resources
from lycheeloom.telemetry import log_event

from .clock import steady_s, wall_ms
from .features import NO_FEATURES, Features
from .overload_log import OverloadLog
from .replica import Replica
from .turns import Turns
from .view import View
from .writer import Commit, LeaderWriter


class JobRegistry:
    """Tracks the jobs that have not ended, from log records and ended runs.

    Progress records are written in groups: a change marks its job, and the next
    ``flush`` writes the progress of all marked jobs. ``stop_run`` is called for each
    remaining run of a job that has ended.
    """

    def __init__(
        self,
        replica: Replica,
        writer: LeaderWriter,
        view: View,
        fleet: Fleet,
        wake: Callable[[], None],
        features: Features = NO_FEATURES,
    ) -> None:
        self.active_job_by_id: dict[str, ActiveJob] = {}
        self.planner = Planner(fleet, uses_overload_order=features.overload_control)
        self._overload_log = OverloadLog()
        self.demand = PoolDemand(measures_fast=features.overload_control)
        self.advised_workers = AdvisedWorkers()
        self.stop_run: Callable[[Run, str], None] = lambda run, reason: None
        # Ids of the jobs that the previous leader left unfinished; empty once no pool
        # can have unknown runs any more.
        self.inherited_job_ids: set[str] = set()
        # Ids of the jobs that ``inherit`` has yet to open.
        self._job_ids_to_inherit: set[str] = set()
        # Commit of the last progress records; it becomes durable only after all records
        # written before.
        self.last_commit: Commit | None = None
        self._replica = replica
        self._writer = writer
        self._view = view
        self._fleet = fleet
        self._wake = wake
        self._changed_job_ids: set[str] = set()
        # Ids of the jobs that this leader has closed and that are still in the table.
        self._closed_job_ids: set[str] = set()

    @property
    def is_current(self) -> bool:
        """Return whether the logs have been read recently.

        Otherwise jobs may have been cancelled without this leader knowing.
        """
        return self._replica.is_fresh

    def inherit(self) -> None:
        """Open the jobs that are in the table when this instance becomes leader.

        The lease is renewed meanwhile, and records that arrive are processed.
        """
        job_ids = list(self._replica.table.entry_by_id)
        self._job_ids_to_inherit.update(job_ids)
        turns = Turns()
        for job_id in job_ids:
            self._open_job(job_id)
            turns.give_way()
        self._job_ids_to_inherit.clear()

    def on_record(self, applied: AppliedRecord) -> None:
        """Process a record that was applied to the table."""
        match applied.kind:
            case Kind.JOB:
                self._open_job(applied.name)
            case Kind.REJECTION:
                # The removal of a rejection may put a job into effect.
                self._open_job(applied.name)
                return
            case Kind.CANCELLATION:
                self._cancel_job(applied.name)
            case Kind.PROGRESS if applied.name not in self._replica.table.entry_by_id:
                # The record of the progress was removed, and the job with it.
                self._closed_job_ids.discard(applied.name)
                return
            case _:
                return
        self._wake()

    def plan(
        self,
        active_jobs: Iterable[ActiveJob],
        now_s: float,
        unknown_use_by_organisation: Mapping[str, Resources],
    ) -> list[Start]:
        """Return the tasks of the given jobs to start now; see ``Planner.plan``."""
        starts = self.planner.plan(
            active_jobs,
            self._view.policy,
            self._view.zones_out_of_service,
            now_s,
            wall_ms(),
            self.advised_workers,
            unknown_use_by_organisation,
        )
        overload_order = self.planner.overload_order
        if overload_order is not None:
            self._overload_log.note(overload_order.count_by_queue, now_s)
        return starts

    def note_begun(self, active_job: ActiveJob) -> bool:
        """Note that a task of a job runs; return whether it is the job's first."""
        if not active_job.note_begun():
            return False
        self._changed_job_ids.add(active_job.job.job_id)
        return True

    def note_changed(self, active_job: ActiveJob) -> None:
        """Mark a job's progress to be written by the next ``flush``."""
        self._changed_job_ids.add(active_job.job.job_id)

    def refresh_max_attempts(self, active_job: ActiveJob) -> None:
        """Set a job's limit of attempts from the current policy.

        The limit stays as it is while the job's queue is not in the policy.
        """
        queue = self._view.policy.queue_by_name.get(active_job.job.queue)
        if queue is not None:
            active_job.max_attempts = queue.max_attempts

    def close_job(self, active_job: ActiveJob) -> None:
        """Record the end of a job and stop its remaining runs."""
        job_id = active_job.job.job_id
        active_job.finished_ms = wall_ms()
        log_event("job_ended", job=job_id, state=active_job.state.value)
        for run in self._fleet.runs_of_job(job_id):
            self.stop_run(run, f"job {active_job.state.value}")
        self._changed_job_ids.add(job_id)
        self.flush()
        del self.active_job_by_id[job_id]
        self._closed_job_ids.add(job_id)
        self.planner.forget_job(job_id)
        self.advised_workers.forget_job(job_id)

    def flush(self) -> None:
        """Write the progress of the jobs that have changed since the last flush."""
        records = []
        for job_id in self._changed_job_ids:
            active_job = self.active_job_by_id.get(job_id)
            if active_job is None:
                continue
            records += self._progress_records(active_job)
        self._changed_job_ids.clear()
        if records:
            self.last_commit = self._writer.write(records)

    def _progress_records(self, active_job: ActiveJob) -> list[Record]:
        """Return the records of what has changed in the progress of a job.

        The parts come first: they must be durable when the job counts as completed.
        """
        job_id = active_job.job.job_id
        parts = active_job.changed_parts().items()
        records = [
            self._fitting_record(part_key(job_id, number), part)
            for number, part in parts
        ]
        key = key_of(Kind.PROGRESS, job_id)
        return [*records, self._fitting_record(key, active_job.progress())]

    def _fitting_record(self, key: str, progress: JobProgress | ProgressPart) -> Record:
        """Return a record with as many details as the store accepts."""
        record = Record(key, b"")
        for version in smaller_versions(progress):
            record = Record(key, encode(version))
            if record.size_bytes <= self._writer.max_record_bytes:
                break
        return record

    def put_back(self, run: Run, reason: str) -> None:
        """Return the task of an unfinished run to the waiting ones.

        Does nothing if the task still has another run or the job has ended.
        """
        active_job = self.active_job_by_id.get(run.task.job_id)
        if active_job is None or run.task in self._fleet.runs_by_task:
            return
        log_event("task_waits_again", task=run.task, run=run.run, reason=reason)
        active_job.put_back(run.task, run.checkpoint)
        self._wake()

    def _open_job(self, job_id: str) -> None:
        entry = self._replica.table.entry_by_id.get(job_id)
        if entry is None or entry.job is None or job_id in self.active_job_by_id:
            return
        if job_id in self._closed_job_ids:
            # A duplicate record; the table may not contain the job's end yet.
            return
        progress = entry.progress
        active_job = ActiveJob(entry.job, progress, entry.part_by_number)
        if active_job.is_final:
            if progress is None or progress.state not in FINAL_STATES:
                # The former leader has recorded the last ends, but not the result.
                self.active_job_by_id[job_id] = active_job
                self.close_job(active_job)
            return
        self.active_job_by_id[job_id] = active_job
        self.planner.note_job(active_job, self._view.policy)
        queue = self._view.policy.queue_by_name.get(entry.job.queue)
        is_inherited = job_id in self._job_ids_to_inherit
        if is_inherited:
            self.inherited_job_ids.add(job_id)
            token, highest_run = self._writer.token, active_job.highest_run
            active_job.note_run(highest_former_run(token, highest_run))
        elif queue is not None and not entry.cancelled:
            self.demand.note(queue.pool, entry.job, steady_s())
        if entry.cancelled:
            self._cancel_job(job_id)
            return
        log_event(
            "job_opened",
            job=job_id,
            queue=entry.job.queue,
            tasks=sum(step.count for step in entry.job.steps),
            age_ms=wall_ms() - entry.job.accepted_ms,
            inherited=is_inherited,
        )

    def _cancel_job(self, job_id: str) -> None:
        active_job = self.active_job_by_id.get(job_id)
        if active_job is None or active_job.is_final:
            return
        active_job.cancel()
        self.close_job(active_job)
