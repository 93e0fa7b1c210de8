"""Removes the records of jobs that ended longer ago than the retention time.

Cancellations of jobs that were never recorded, and rejections, are removed after the
same time.
"""

from __future__ import annotations

import gevent

from lycheeloom.jobs.model import FINAL_STATES
from lycheeloom.jobs.records import Kind, Record, key_of, part_key
from lycheeloom.telemetry import log_event

from .clock import wall_ms
from .dispatcher import Dispatcher
from .ports import Appended, StorePort
from .replica import Replica

CLEANING_INTERVAL_S = 10.0
# Callers must be able to read the state of an ended job for the retention time. The
# factor adds a margin for differences between the clocks of instances.
RETENTION_FACTOR = 1.5
MAX_JOBS_PER_ROUND = 200


class Cleaner:
    """Removes the records of expired jobs while this instance leads.

    A job expires when it has been in a final state for ``state_retention_s`` times
    ``RETENTION_FACTOR``, and the cancellation of an unknown job, or a rejection after
    which the job was not accepted, at that age.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        replica: Replica,
        store: StorePort,
        state_retention_s: float,
    ) -> None:
        self._dispatcher = dispatcher
        self._replica = replica
        self._store = store
        self._retention_ms = state_retention_s * RETENTION_FACTOR * 1000

    def run(self) -> None:
        """Remove expired records until the leader is fenced."""
        while not self._dispatcher.writer.is_fenced:
            gevent.sleep(CLEANING_INTERVAL_S)
            if self._dispatcher.writer.may_act:
                self.clean()

    def clean(self) -> None:
        """Remove the records of up to ``MAX_JOBS_PER_ROUND`` expired jobs.

        A record with an empty value removes the earlier record of its key.
        """
        self._clean_cancellations()
        self._clean_rejections()
        job_ids = self._expired_job_ids()[:MAX_JOBS_PER_ROUND]
        if not job_ids:
            return
        records = [
            Record(key_of(kind, job_id), b"")
            for job_id in job_ids
            for kind in (Kind.CANCELLATION, Kind.JOB)
        ] + [
            Record(key_of(Kind.REJECTION, job_id), b"")
            for job_id in job_ids
            if self._replica.table.entry_by_id[job_id].rejection is not None
        ]
        part_keys = [
            part_key(job_id, number)
            for job_id in job_ids
            for number in self._replica.table.entry_by_id[job_id].encoded_part_by_number
        ]
        result = self._store.append(records)
        log_event("jobs_expired", jobs=len(job_ids), first=job_ids[0], result=result)
        if isinstance(result, Appended):
            # Progress records are removed last: a job record without a progress record
            # stands for a new job, which would run again.
            progress_keys = [key_of(Kind.PROGRESS, job_id) for job_id in job_ids]
            self._dispatcher.writer.write(
                [Record(key, b"") for key in (*part_keys, *progress_keys)]
            )

    def _clean_cancellations(self) -> None:
        """Remove expired cancellations of jobs without any other record."""
        cancelled_before_ms = wall_ms() - self._retention_ms
        job_ids = [
            job_id
            for job_id, entry in self._replica.table.entry_by_id.items()
            if entry.is_only_cancelled and entry.cancelled_ms < cancelled_before_ms
        ][:MAX_JOBS_PER_ROUND]
        if not job_ids:
            return
        result = self._store.append(
            [Record(key_of(Kind.CANCELLATION, job_id), b"") for job_id in job_ids]
        )
        log_event(
            "cancellations_expired",
            cancellations=len(job_ids),
            first=job_ids[0],
            result=result,
        )

    def _clean_rejections(self) -> None:
        """Remove expired rejections of jobs that were not accepted afterwards.

        A job record without effect is removed first: it would take effect without the
        rejection. A cancellation must have expired as well, since the record of a
        submission that it cancels may be appended late.
        """
        rejected_before_ms = wall_ms() - self._retention_ms
        job_ids = [
            job_id
            for job_id, entry in self._replica.table.entry_by_id.items()
            if entry.rejection is not None
            and entry.job is None
            and entry.rejection.at_ms < rejected_before_ms
            and entry.cancelled_ms < rejected_before_ms
        ][:MAX_JOBS_PER_ROUND]
        if not job_ids:
            return
        records: list[Record] = []
        for job_id in job_ids:
            entry = self._replica.table.entry_by_id[job_id]
            if entry.latest_job is not None:
                records.append(Record(key_of(Kind.JOB, job_id), b""))
            records.append(Record(key_of(Kind.REJECTION, job_id), b""))
            if entry.cancelled:
                records.append(Record(key_of(Kind.CANCELLATION, job_id), b""))
        result = self._store.append(records)
        log_event(
            "rejections_expired",
            rejections=len(job_ids),
            first=job_ids[0],
            result=result,
        )

    def _expired_job_ids(self) -> list[str]:
        finished_before_ms = wall_ms() - self._retention_ms
        # A ``finished_ms`` of 0 means that the record lacks the time of the end.
        return [
            job_id
            for job_id, entry in self._replica.table.entry_by_id.items()
            if entry.progress is not None
            and entry.progress.state in FINAL_STATES
            and 0 < entry.progress.finished_ms < finished_before_ms
        ]
