"""The jobs that a leader works on, and the records of their progress."""

from __future__ import annotations

from collections.abc import Callable

from lycheeloom.jobs.active_job import JobWork
from lycheeloom.jobs.demand import PoolDemand
from lycheeloom.jobs.fleet import Fleet, Run
from lycheeloom.jobs.planner import AdvisedWorkers, Planner
from lycheeloom.jobs.records import Kind, Record, encode, key_of
from lycheeloom.jobs.table import Applied
from lycheeloom.telemetry import log_event

from .clock import steady_s, wall_ms
from .replica import Replica
from .view import View
from .writer import Commit, LeaderWriter


class JobRegistry:
    """Opens and closes jobs as records come and tasks end.

    ``stop_run`` is called for each run of a job that has ended.
    """

    def __init__(
        self,
        replica: Replica,
        writer: LeaderWriter,
        view: View,
        fleet: Fleet,
        wake: Callable[[], None],
    ) -> None:
        self.work_by_id: dict[str, JobWork] = {}
        self.planner = Planner(fleet)
        self.demand = PoolDemand()
        self.advised = AdvisedWorkers()
        self.stop_run: Callable[[Run, str], None] = lambda run, reason: None
        # Jobs of the leader before, until all lists of their pool are known.
        self.inherited: set[str] = set()
        # Durable no sooner than every record handed over so far.
        self.last_commit: Commit | None = None
        self._replica = replica
        self._writer = writer
        self._view = view
        self._fleet = fleet
        self._wake = wake
        self._changed_jobs: set[str] = set()
        # Jobs that have ended under this leader and are still in the table.
        self._closed_jobs: set[str] = set()

    def inherit(self) -> None:
        """Open the jobs that are in the table already."""
        for job_id in self._replica.table.entry_by_id:
            self._open_job(job_id, inherited=True)

    def take_record(self, applied: Applied) -> None:
        """Follow a change of the table."""
        match applied.kind:
            case Kind.JOB:
                self._open_job(applied.name, inherited=False)
            case Kind.CANCELLATION:
                self._cancel_job(applied.name)
            case Kind.PROGRESS if applied.name not in self._replica.table.entry_by_id:
                self._closed_jobs.discard(applied.name)
                return
            case _:
                return
        self._wake()

    def note_begun(self, work: JobWork) -> bool:
        """Note that a task of a job runs; tells whether it is the first one."""
        if not work.note_begun():
            return False
        self._changed_jobs.add(work.job.job_id)
        return True

    def note_changed(self, work: JobWork) -> None:
        """Note that a job's progress is to be recorded."""
        self._changed_jobs.add(work.job.job_id)

    def refresh_limit(self, work: JobWork) -> None:
        """Read a job's limit of attempts from the policy in force."""
        queue = self._view.policy.queue_by_name.get(work.job.queue)
        if queue is not None:
            work.max_attempts = queue.max_attempts

    def close_job(self, work: JobWork) -> None:
        """Record the end of a job and stop what still runs of it."""
        job_id = work.job.job_id
        work.finished_ms = wall_ms()
        log_event("job_ended", job=job_id, state=work.state.value)
        for run in self._fleet.runs_of_job(job_id):
            self.stop_run(run, f"job {work.state.value}")
        self._changed_jobs.add(job_id)
        self.flush()
        del self.work_by_id[job_id]
        self._closed_jobs.add(job_id)
        self.planner.forget_job(job_id)
        self.advised.forget_job(job_id)

    def flush(self) -> None:
        """Hand the progress of changed jobs to the writer."""
        records = []
        for job_id in self._changed_jobs:
            work = self.work_by_id.get(job_id)
            if work is None:
                continue
            records.append(
                Record(key_of(Kind.PROGRESS, job_id), encode(work.progress()))
            )
        self._changed_jobs.clear()
        if records:
            self.last_commit = self._writer.write(records)

    def put_back(self, run: Run, reason: str) -> None:
        """Let the task of a run that has ended wait again."""
        work = self.work_by_id.get(run.task.job_id)
        if work is None or run.task in self._fleet.runs_by_task:
            return
        log_event("task_waits_again", task=run.task, run=run.run, reason=reason)
        work.put_back(run.task, run.checkpoint)
        self._wake()

    def _open_job(self, job_id: str, *, inherited: bool) -> None:
        entry = self._replica.table.entry_by_id.get(job_id)
        if entry is None or entry.job is None or job_id in self.work_by_id:
            return
        if job_id in self._closed_jobs:
            # A repeated record; the table may not show the job's end yet.
            return
        work = JobWork(entry.job, entry.progress)
        if work.is_final:
            return
        self.work_by_id[job_id] = work
        self.planner.note_job(work, self._view.policy)
        queue = self._view.policy.queue_by_name.get(entry.job.queue)
        if inherited:
            self.inherited.add(job_id)
        elif queue is not None:
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
            inherited=inherited,
        )

    def _cancel_job(self, job_id: str) -> None:
        work = self.work_by_id.get(job_id)
        if work is None or work.is_final:
            return
        work.cancel()
        self.close_job(work)
