"""Accepts, cancels and looks up jobs, on any instance, whether it leads or not."""

from __future__ import annotations

from dataclasses import replace

import gevent
from gevent.event import Event

from lycheeloom.jobs.model import FINAL_STATES, Job, JobState, Queue
from lycheeloom.jobs.records import Cancellation, Kind, Record, encode, key_of
from lycheeloom.telemetry import log_event

from . import metrics
from .admission import Admission, Assessment, find_too_large
from .clock import steady_s, wall_ms
from .decisions import Decision, Verdict
from .features import NO_FEATURES, Features
from .ports import (
    APPEND_TIMEOUT_S,
    MAX_APPEND_BYTES,
    MAX_RECORD_BYTES,
    Appended,
    AppendResult,
    AppendUnknown,
    NotAppended,
    StorePort,
)
from .replica import Replica

# Records that arrive within this time are appended together.
GROUP_PAUSE_S = 0.004
MAX_RECORDS_PER_APPEND = 64
# A caller waits at most this long for the store, since another instance may be able to
# reach it.
ANSWER_TIMEOUT_S = 2.0
# An append with an unknown outcome is repeated for this long, since the answer to a
# repetition makes the outcome known. An append whose first attempt is refused is
# not repeated: the caller may try another instance.
REPEAT_WINDOW_S = 1.0
# Two attempts, with timeouts of 0.8 s and of this value, end before the deadline of
# most callers (3 s).
MAX_APPEND_TIMEOUT_S = 1.6
RETRY_PAUSE_S = 0.1
# The store may carry out an append without an answer this long after it was sent.
MAX_LATE_APPEND_S = 30.0


class _PendingRecord:
    """A record to append; ``done`` is set once ``result`` is known."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.result: AppendResult | None = None
        # Offset after the record, once it is appended.
        self.end = 0
        self.done = Event()


class Intake:
    """Records submissions and cancellations, and answers once they are durable."""

    def __init__(
        self,
        store: StorePort,
        replica: Replica,
        max_record_bytes: int = MAX_RECORD_BYTES,
        max_append_bytes: int = MAX_APPEND_BYTES,
        features: Features = NO_FEATURES,
    ) -> None:
        self._store = store
        self.replica = replica
        self._max_record_bytes = max_record_bytes
        self._max_append_bytes = max_append_bytes
        self._pending: list[_PendingRecord] = []
        self._has_pending = Event()
        self._timeout_s = APPEND_TIMEOUT_S
        # Until when an append of a record that is under way, or has got no answer, may
        # still be carried out, by the record's key; in the order of these times.
        self._unsettled_until_s_by_key: dict[str, float] = {}
        self._admission = (
            Admission(replica, self._record, self.is_unsettled, max_record_bytes)
            if features.overload_control
            else None
        )

    def run(self) -> None:
        """Append pending records in groups, forever."""
        while True:
            self._has_pending.wait()
            gevent.sleep(GROUP_PAUSE_S)
            group = self._take_group()
            if not self._pending:
                self._has_pending.clear()
            if group:
                # One append at a time: when the store is slow, records that arrive
                # meanwhile share the next append.
                self._append(group)

    def submit(self, job: Job, queue: Queue | None = None) -> Decision:
        """Record a job, or reject it if its queue is overloaded.

        Without ``queue``, or without ``Features.overload_control``, no job is rejected
        for the load.

        A job whose id is already known is accepted without a further record, since
        callers may repeat a submission. A job that was cancelled before its submission
        is recorded and does not run.
        """
        if self.state(job.job_id) is not None:
            return Decision(Verdict.ACCEPTED, "known")
        if self._admission is not None:
            return self._admission.submit(job, queue)
        entry = self.replica.table.entry_by_id.get(job.job_id)
        if entry is not None and entry.rejection is not None:
            # Rejected before the feature was turned off; without the count, the record
            # of the job would have no effect.
            job = replace(
                job,
                rejections=entry.rejections,
                first_offered_ms=entry.rejection.first_offered_ms,
            )
        record = Record(key_of(Kind.JOB, job.job_id), encode(job))
        too_large = find_too_large(record, self._max_record_bytes)
        return too_large or self._record(record)

    def as_returning(self, job: Job) -> Job:
        """Return a job as ``submit`` would record it after rejections of its id."""
        return job if self._admission is None else self._admission.as_returning(job)

    def assess(self, job: Job, queue: Queue) -> Assessment:
        """Return how ``submit`` would decide now, from what is known here.

        Nothing is recorded, and the logs are not read for it.
        """
        if self.state(job.job_id) is not None:
            return Assessment(Decision(Verdict.ACCEPTED, "known"))
        assessment = Assessment(Decision(Verdict.ACCEPTED))
        if self._admission is not None:
            assessment = self._admission.assess(job, queue)
        decision = assessment.decision
        if decision.verdict is Verdict.ACCEPTED:
            job = self.as_returning(job)
            record = Record(key_of(Kind.JOB, job.job_id), encode(job))
            decision = find_too_large(record, self._max_record_bytes) or decision
        if decision.verdict is not Verdict.TOO_LARGE and not self.replica.reaches_store:
            decision = Decision(Verdict.NOT_ACCEPTED, "store not reached")
        return replace(assessment, decision=decision)

    def cancel(self, job_id: str) -> Decision:
        """Record the cancellation of a job, unless the job has ended.

        The cancellation of a job that has ended is accepted, with the state as reason.
        That of an unknown job is recorded too: the record of a submission may arrive
        later, and the job must not run then.
        """
        found = self.look_up(job_id)
        match found:
            case JobState() if found in FINAL_STATES:
                return Decision(Verdict.ACCEPTED, found.value)
            case Decision(verdict=Verdict.NOT_ACCEPTED):
                return found
        cancellation = encode(Cancellation(wall_ms()))
        decision = self._record(Record(key_of(Kind.CANCELLATION, job_id), cancellation))
        match found, decision:
            case Decision(verdict=Verdict.NO_SUCH_JOB), Decision(
                verdict=Verdict.ACCEPTED
            ):
                return found
        return decision

    def state(self, job_id: str) -> JobState | None:
        """Return the state of a job; None if this instance does not know the job."""
        entry = self.replica.table.entry_by_id.get(job_id)
        return entry.state if entry is not None and entry.job is not None else None

    def look_up(self, job_id: str) -> JobState | Decision:
        """Return the state of a job, reading the logs if it may have changed.

        A job whose submission by this instance has got no answer from the store may
        still be recorded, so it does not count as unknown, unless it is cancelled.
        """
        state = self.state(job_id)
        if state in FINAL_STATES:
            return state
        if state is not None:
            self.replica.refresh_progress()
            return self.state(job_id) or state
        # The job may have just been submitted to another instance.
        if not self.replica.refresh_jobs():
            return Decision(Verdict.NOT_ACCEPTED, "store not reached")
        entry = self.replica.table.entry_by_id.get(job_id)
        if entry is not None and entry.job is not None:
            return entry.state
        may_run = entry is None or not entry.cancelled
        if may_run and self.is_unsettled(key_of(Kind.JOB, job_id)):
            return Decision(Verdict.UNKNOWN, "submission not settled")
        return Decision(Verdict.NO_SUCH_JOB)

    def _record(self, record: Record) -> Decision:
        """Record an entry of the log; a refusal means that it is not in the log.

        If an earlier append of the same record had no answer, that append may still be
        carried out, so a refusal of this one leaves the outcome unknown.
        """
        was_unsettled = self.is_unsettled(record.key)
        self._note_unsettled(record.key)
        decision = self._append_and_wait(record)
        match decision.verdict:
            case Verdict.UNKNOWN:
                self._note_unsettled(record.key)
            case Verdict.NOT_ACCEPTED if was_unsettled:
                return Decision(Verdict.UNKNOWN, decision.reason)
            case _:
                self._unsettled_until_s_by_key.pop(record.key, None)
        return decision

    def _note_unsettled(self, key: str) -> None:
        now_s = steady_s()
        until_s_by_key = self._unsettled_until_s_by_key
        until_s_by_key.pop(key, None)
        until_s_by_key[key] = now_s + MAX_LATE_APPEND_S
        while until_s_by_key[oldest := next(iter(until_s_by_key))] < now_s:
            del until_s_by_key[oldest]

    def is_unsettled(self, key: str) -> bool:
        """Return whether a record without a known outcome may still be appended."""
        return self._unsettled_until_s_by_key.get(key, 0.0) > steady_s()

    def _take_group(self) -> list[_PendingRecord]:
        """Take the pending records that fit into one append, oldest first."""
        group: list[_PendingRecord] = []
        size_bytes = 0
        for pending in self._pending[:MAX_RECORDS_PER_APPEND]:
            size_bytes += pending.record.size_bytes
            if group and size_bytes > self._max_append_bytes:
                break
            group.append(pending)
        del self._pending[: len(group)]
        return group

    def _append_and_wait(self, record: Record) -> Decision:
        """Queue a record for the next append and wait for its result."""
        if not self.replica.reaches_store:
            return Decision(Verdict.NOT_ACCEPTED, "store not reached")
        began_s = steady_s()
        pending = _PendingRecord(record)
        self._pending.append(pending)
        self._has_pending.set()
        if not pending.done.wait(ANSWER_TIMEOUT_S):
            if pending in self._pending:
                # The record has not been sent and never will be.
                self._pending.remove(pending)
                return Decision(Verdict.NOT_ACCEPTED, "store too slow")
            return Decision(Verdict.UNKNOWN, "store has not answered")
        if isinstance(pending.result, Appended):
            metrics.DURABLE_SECONDS.observe(steady_s() - began_s)
        match pending.result:
            case Appended():
                return Decision(Verdict.ACCEPTED, end=pending.end)
            case NotAppended(reason=reason):
                return Decision(Verdict.NOT_ACCEPTED, reason)
            case AppendUnknown(reason=reason):
                return Decision(Verdict.UNKNOWN, reason)
        return Decision(Verdict.UNKNOWN, "unexpected answer of the store")

    def _append(self, group: list[_PendingRecord]) -> None:
        """Append records, repeating the append after an unknown outcome.

        Repeating is safe since applying a record twice has no further effect. Once the
        outcome of an attempt was unknown, a later refusal does not settle it: the
        append is repeated until it succeeds or ``REPEAT_WINDOW_S`` is over.
        """
        deadline_s = steady_s() + REPEAT_WINDOW_S
        records = [pending.record for pending in group]
        was_unknown = False
        while True:
            result = self._append_once(records)
            if isinstance(result, Appended):
                break
            is_refused = isinstance(result, NotAppended)
            was_unknown = was_unknown or not is_refused
            is_out_of_time = steady_s() + RETRY_PAUSE_S > deadline_s
            if is_out_of_time or (is_refused and not was_unknown):
                if was_unknown and is_refused:
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
        for number, pending in enumerate(group, 1):
            pending.result = result
            if isinstance(result, Appended):
                pending.end = result.end - len(group) + number
            pending.done.set()

    def _append_once(self, records: list[Record]) -> AppendResult:
        """Append with a timeout that increases while the store is slow.

        The store still carries out an append that timed out here, so an early
        repetition would slow the store further. The timeout is reset after a fast
        append.
        """
        began_s = steady_s()
        result = self._store.append(records, timeout_s=self._timeout_s)
        took_s = steady_s() - began_s
        # An unknown outcome well before the timeout has another cause than slowness.
        if isinstance(result, AppendUnknown) and took_s >= self._timeout_s * 0.9:
            self._timeout_s = min(2 * self._timeout_s, MAX_APPEND_TIMEOUT_S)
        elif isinstance(result, Appended) and took_s < APPEND_TIMEOUT_S / 2:
            self._timeout_s = APPEND_TIMEOUT_S
        return result
