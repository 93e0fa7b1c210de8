"""Corrects rejections of which a snapshot of the log would give another result."""

from __future__ import annotations

import gevent
from gevent.event import Event

from lycheeloom.jobs.records import Kind, Record, encode, key_of
from lycheeloom.jobs.table import AppliedRecord
from lycheeloom.telemetry import log_event

from . import metrics
from .ports import StorePort
from .replica import Replica
from .writer import LeaderWriter

# Time for the leader to read a correction before it would be repeated.
CORRECTION_PAUSE_S = 0.25
MAX_CORRECTIONS_PER_APPEND = 64


class RejectionCorrector:
    """Corrects the callers' log while this instance leads.

    The store keeps only the newest record of each key. After some records of instances
    that lag behind, these do not show which came first; see docs/design/admission.md.
    """

    def __init__(
        self, replica: Replica, writer: LeaderWriter, store: StorePort
    ) -> None:
        self._replica = replica
        self._writer = writer
        self._store = store
        self._job_ids: set[str] = set()
        self._has_job_ids = Event()

    def run(self) -> None:
        """Correct rejections until the leader is fenced."""
        self._replica.add_listener(self._note)
        try:
            self._job_ids.update(self._replica.table.entry_by_id)
            self._has_job_ids.set()
            while not self._writer.is_fenced:
                self._has_job_ids.wait(CORRECTION_PAUSE_S)
                self._has_job_ids.clear()
                if self._writer.may_act and self.correct():
                    gevent.sleep(CORRECTION_PAUSE_S)
        finally:
            self._replica.remove_listener(self._note)

    def correct(self) -> int:
        """Append the corrections that are needed; return their number."""
        entry_by_id = self._replica.table.entry_by_id
        self._job_ids = {
            job_id
            for job_id in self._job_ids
            if job_id in entry_by_id and entry_by_id[job_id].needs_correction
        }
        job_ids = sorted(self._job_ids)[:MAX_CORRECTIONS_PER_APPEND]
        records = []
        for job_id in job_ids:
            rejection = entry_by_id[job_id].corrected_rejection()
            value = encode(rejection) if rejection else b""
            records.append(Record(key_of(Kind.REJECTION, job_id), value))
        if records:
            result = self._store.append(records)
            metrics.REJECTION_CORRECTIONS.inc(len(records))
            log_event(
                "rejections_corrected",
                rejections=len(records),
                first=job_ids[0],
                removed=sum(not record.value for record in records),
                result=result,
            )
        return len(records)

    def _note(self, applied: AppliedRecord) -> None:
        if applied.kind not in (Kind.JOB, Kind.REJECTION):
            return
        entry = self._replica.table.entry_by_id.get(applied.name)
        if entry is not None and entry.needs_correction:
            self._job_ids.add(applied.name)
            self._has_job_ids.set()
