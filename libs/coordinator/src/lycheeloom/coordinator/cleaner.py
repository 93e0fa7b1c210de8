"""Removes the records of jobs whose retention time is over."""

from __future__ import annotations

import gevent

from lycheeloom.jobs.model import FINAL_STATES
from lycheeloom.jobs.records import Kind, Record, key_of
from lycheeloom.telemetry import log_event

from .clock import wall_ms
from .dispatcher import Dispatcher
from .ports import Appended, StorePort
from .replica import Replica

INTERVAL_S = 10.0
# Callers must be able to read the state for the retention time; the factor adds a
# margin for differences between the clocks of instances.
RETENTION_FACTOR = 1.5
MAX_JOBS = 200


class Cleaner:
    """Removes expired job records while this instance leads."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        replica: Replica,
        store: StorePort,
        kept_state_s: float,
    ) -> None:
        self._dispatcher = dispatcher
        self._replica = replica
        self._store = store
        self._retention_ms = kept_state_s * RETENTION_FACTOR * 1000

    def run(self) -> None:
        """Remove expired records until the leader is fenced."""
        while not self._dispatcher.writer.is_fenced:
            gevent.sleep(INTERVAL_S)
            if self._dispatcher.writer.may_act:
                self.clean()

    def clean(self) -> None:
        """Remove the records of up to ``MAX_JOBS`` expired jobs."""
        expired = self._expired()[:MAX_JOBS]
        if not expired:
            return
        records = [
            Record(key_of(kind, job_id), b"")
            for job_id in expired
            for kind in (Kind.CANCELLATION, Kind.JOB)
        ]
        result = self._store.append(records)
        log_event("jobs_expired", jobs=len(expired), first=expired[0], result=result)
        if isinstance(result, Appended):
            # Progress records are removed last: a job without one appears to be new.
            self._dispatcher.writer.write(
                [Record(key_of(Kind.PROGRESS, job_id), b"") for job_id in expired]
            )

    def _expired(self) -> list[str]:
        before_ms = wall_ms() - self._retention_ms
        return [
            job_id
            for job_id, entry in self._replica.table.entry_by_id.items()
            if entry.progress is not None
            and entry.progress.state in FINAL_STATES
            and 0 < entry.progress.finished_ms < before_ms
        ]
