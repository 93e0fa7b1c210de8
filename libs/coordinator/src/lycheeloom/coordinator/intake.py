"""Accepts, cancels and looks up jobs; any instance does so for any job."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import gevent
from gevent.event import Event

from lycheeloom.jobs.model import FINAL_STATES, Job, JobState
from lycheeloom.jobs.records import Kind, Record, encode, key_of
from lycheeloom.telemetry import log_event

from . import metrics
from .clock import steady_s
from .ports import Appended, AppendResult, AppendUnknown, NotAppended, StorePort
from .replica import Replica

# Records that arrive within this time share an append.
GROUP_PAUSE_S = 0.004
MAX_GROUP = 64
# A caller's record is offered to the store this long.
APPEND_PATIENCE_S = 2.0
RETRY_PAUSE_S = 0.1


class Verdict(Enum):
    """What became of a call."""

    ACCEPTED = "accepted"
    # Certainly not accepted; the job never runs.
    NOT_ACCEPTED = "not_accepted"
    # The store has not answered; the job may run.
    UNKNOWN = "unknown"
    NO_SUCH_JOB = "no_such_job"


@dataclass(frozen=True, slots=True)
class Decision:
    """A verdict with its reason for the caller and the log."""

    verdict: Verdict
    reason: str = ""


class _Pending:
    def __init__(self, record: Record) -> None:
        self.record = record
        self.result: AppendResult | None = None
        self.done = Event()


class Intake:
    """Records what callers ask for, and answers only when it is durable."""

    def __init__(self, store: StorePort, replica: Replica) -> None:
        self._store = store
        self._replica = replica
        self._pending: list[_Pending] = []
        self._work = Event()

    def run(self) -> None:
        """Append waiting records in groups, for ever."""
        while True:
            self._work.wait()
            gevent.sleep(GROUP_PAUSE_S)
            group = self._pending[:MAX_GROUP]
            del self._pending[:MAX_GROUP]
            if not self._pending:
                self._work.clear()
            if group:
                # One append at a time: when the store is slow, what arrives
                # meanwhile shares the next one.
                self._append(group)

    def submit(self, job: Job) -> Decision:
        """Accept a job; a job of that id that is known stays as it is."""
        entry = self._replica.table.entry_by_id.get(job.job_id)
        if entry is not None and entry.job is not None:
            return Decision(Verdict.ACCEPTED, "known")
        record = Record(key_of(Kind.JOB, job.job_id), encode(job))
        return self._record(record)

    def cancel(self, job_id: str) -> Decision:
        """Cancel a job."""
        state = self.state(job_id)
        if state is None:
            self._replica.refresh_jobs()
            state = self.state(job_id)
        if state is None:
            if not self._replica.is_fresh:
                return Decision(Verdict.NOT_ACCEPTED, "store not reached")
            return Decision(Verdict.NO_SUCH_JOB)
        if state in FINAL_STATES:
            return Decision(Verdict.ACCEPTED, state.value)
        return self._record(Record(key_of(Kind.CANCELLATION, job_id), b"1"))

    def state(self, job_id: str) -> JobState | None:
        """Return what is known of a job; None if it is not known here."""
        entry = self._replica.table.entry_by_id.get(job_id)
        return entry.state if entry is not None and entry.job is not None else None

    def look_up(self, job_id: str) -> JobState | Decision:
        """Return a job's state, asking the store about a job not known here."""
        state = self.state(job_id)
        if state is None and self._replica.refresh_jobs():
            state = self.state(job_id)
        if state is not None:
            return state
        if self._replica.is_fresh:
            return Decision(Verdict.NO_SUCH_JOB)
        return Decision(Verdict.NOT_ACCEPTED, "store not reached")

    def _record(self, record: Record) -> Decision:
        began_s = steady_s()
        pending = _Pending(record)
        self._pending.append(pending)
        self._work.set()
        pending.done.wait()
        if isinstance(pending.result, Appended):
            metrics.DURABLE_SECONDS.observe(steady_s() - began_s)
        match pending.result:
            case Appended():
                return Decision(Verdict.ACCEPTED)
            case NotAppended(reason=reason):
                return Decision(Verdict.NOT_ACCEPTED, reason)
            case AppendUnknown(reason=reason):
                return Decision(Verdict.UNKNOWN, reason)
        return Decision(Verdict.UNKNOWN, "unexpected answer of the store")

    def _append(self, group: list[_Pending]) -> None:
        """Append records; repeating one whose outcome is unknown does no harm."""
        deadline_s = steady_s() + APPEND_PATIENCE_S
        records = [pending.record for pending in group]
        was_unknown = False
        while True:
            result = self._store.append(records)
            if isinstance(result, Appended):
                break
            was_unknown = was_unknown or not isinstance(result, NotAppended)
            if steady_s() + RETRY_PAUSE_S > deadline_s:
                if was_unknown and isinstance(result, NotAppended):
                    result = AppendUnknown(result.reason)
                log_event(
                    "record_not_durable",
                    level="WARNING",
                    records=len(records),
                    first=records[0].key,
                    result=result,
                )
                break
            gevent.sleep(RETRY_PAUSE_S)
        for pending in group:
            pending.result = result
            pending.done.set()
