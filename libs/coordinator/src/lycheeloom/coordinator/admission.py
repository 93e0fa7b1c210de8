"""Accepts or rejects jobs by the load that the leader reports.

Used only with ``Features.overload_control``; see docs/design/admission.md.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from lycheeloom.jobs.acceptance import excess_ms, retry_after_s
from lycheeloom.jobs.model import Job, Queue
from lycheeloom.jobs.records import (
    Kind,
    LoadReport,
    Record,
    Rejection,
    encode,
    key_of,
)
from lycheeloom.jobs.table import JobEntry

from .clock import steady_s, wall_ms
from .decisions import Decision, Verdict
from .replica import Replica

# The leader reports every 0.25 s while a queue is overloaded, and small instances read
# its log every 0.45 s. An older report may come from a leader that has lost its lease.
MAX_LOAD_AGE_S = 1.5
# An append takes up to 2 s, and most callers wait 3 s for their answer. The read after
# an append and the time until the last append begins share the rest.
READ_TIMEOUT_S = 0.8
LAST_APPEND_AFTER_S = 0.2
MAX_APPENDS = 3
_OVERTAKEN = Decision(Verdict.UNKNOWN, "overtaken by other instances")


@dataclass(frozen=True, slots=True)
class Assessment:
    """How a submission would be decided now.

    ``wait_ms`` is the reported wait, ``excess_ms`` by how much the job would end too
    late, and ``report_age_s`` the age of the load report; None without one that counts.
    """

    decision: Decision
    wait_ms: float = 0.0
    excess_ms: float = 0.0
    report_age_s: float | None = None


def find_too_large(record: Record, max_record_bytes: int) -> Decision | None:
    """Return the refusal of a job's record that the store does not accept, if so."""
    if record.size_bytes <= max_record_bytes:
        return None
    return Decision(
        Verdict.TOO_LARGE,
        f"the record of the job has {record.size_bytes} bytes of at most "
        f"{max_record_bytes}",
    )


class Admission:
    """Decides on submissions, and settles them against those at other instances.

    ``record`` appends a record to the callers' log. ``is_unsettled`` returns whether
    the record of a key may still be appended by an earlier call of this instance.
    """

    def __init__(
        self,
        replica: Replica,
        record: Callable[[Record], Decision],
        is_unsettled: Callable[[str], bool],
        max_record_bytes: int,
    ) -> None:
        self._replica = replica
        self._record = record
        self._is_unsettled = is_unsettled
        self._max_record_bytes = max_record_bytes

    def submit(self, job: Job, queue: Queue | None) -> Decision:
        """Record the job or its rejection, and answer by what the log then contains.

        A rejection that was overtaken by records of other instances is repeated with
        what they say. A job is recorded only by the first append: after a rejection by
        another instance, the caller may have been told that the job does not run, and
        this call may be one that it has given up. The outcome is unknown then, and
        after ``MAX_APPENDS`` appends.
        """
        began_s = steady_s()
        for number in range(MAX_APPENDS):
            entry = self._entry(job.job_id)
            if entry.job is not None:
                return Decision(Verdict.ACCEPTED, "known")
            job = self.as_returning(job)
            decision = self._decide(job, queue, may_accept=number == 0)
            if decision is not None:
                return decision
            if steady_s() - began_s > LAST_APPEND_AFTER_S:
                break
        return _OVERTAKEN

    def assess(self, job: Job, queue: Queue | None) -> Assessment:
        """Return how the load lets ``submit`` decide now; nothing is recorded."""
        job = self.as_returning(job)
        wait_ms, excess = self._load(job, queue, wall_ms())
        decision = Decision(Verdict.ACCEPTED)
        if excess > 0:
            delay_s = retry_after_s(excess, job.job_id, job.rejections + 1)
            decision = Decision(Verdict.REJECTED, _reason(wait_ms, excess), delay_s)
        age_s = None
        if self._current_report() is not None:
            age_s = steady_s() - self._replica.load_read_s
        return Assessment(decision, wait_ms, excess, age_s)

    def as_returning(self, job: Job) -> Job:
        """Return a job with the rejections of its id that are known here."""
        entry = self._entry(job.job_id)
        if entry.rejection is None:
            return job
        return replace(
            job,
            rejections=entry.rejections,
            first_offered_ms=entry.rejection.first_offered_ms,
        )

    def wait_ms(self, queue: str, organisation: str) -> float:
        """Return the reported wait of an organisation's jobs in a queue.

        Returns 0 without a report that counts.
        """
        report = self._current_report()
        if report is None:
            return 0.0
        return next(
            (
                wait.wait_ms
                for load in report.queues
                if load.queue == queue
                for wait in load.organisations
                if wait.organisation == organisation
            ),
            0.0,
        )

    def _current_report(self) -> LoadReport | None:
        """Return the load report if it counts."""
        report, leader = self._replica.table.load, self._replica.table.leader
        read_s = self._replica.load_read_s
        if report is None or leader is None or read_s is None:
            return None
        if report.token != leader.token or leader.resigned:
            return None
        return report if steady_s() - read_s <= MAX_LOAD_AGE_S else None

    def _load(
        self, job: Job, queue: Queue | None, now_ms: float
    ) -> tuple[float, float]:
        """Return the wait of a job, and by how much it would end too late, in ms."""
        wait_ms = self.wait_ms(queue.name, job.organisation) if queue else 0.0
        excess = excess_ms(job, queue, wait_ms, now_ms) if queue and wait_ms else 0.0
        return wait_ms, excess

    def _decide(
        self, job: Job, queue: Queue | None, *, may_accept: bool
    ) -> Decision | None:
        """Append a record and read it; None if a rejection was overtaken."""
        now_ms = wall_ms()
        wait_ms, excess = self._load(job, queue, now_ms)
        if excess <= 0:
            return self._accept(job) if may_accept else _OVERTAKEN
        rejection = Rejection(job.rejections + 1, job.offered_ms, int(now_ms))
        return self._reject(job, rejection, excess, _reason(wait_ms, excess))

    def _accept(self, job: Job) -> Decision:
        record = Record(key_of(Kind.JOB, job.job_id), encode(job))
        too_large = find_too_large(record, self._max_record_bytes)
        if too_large is not None:
            return too_large
        decision = self._record(record)
        if decision.verdict is not Verdict.ACCEPTED:
            return decision
        if not self._replica.read_jobs_to(decision.end, READ_TIMEOUT_S):
            return Decision(Verdict.UNKNOWN, "log not read after the append")
        return decision if self._entry(job.job_id).job is not None else _OVERTAKEN

    def _reject(
        self, job: Job, rejection: Rejection, excess: float, reason: str
    ) -> Decision | None:
        record = Record(key_of(Kind.REJECTION, job.job_id), encode(rejection))
        decision = self._record(record)
        is_refused = decision.verdict is Verdict.NOT_ACCEPTED
        if is_refused and self._is_unsettled(key_of(Kind.JOB, job.job_id)):
            # The record of an earlier submission may still arrive.
            return Decision(Verdict.UNKNOWN, decision.reason)
        if decision.verdict is not Verdict.ACCEPTED:
            return decision
        if not self._replica.read_jobs_to(decision.end, READ_TIMEOUT_S):
            return Decision(Verdict.UNKNOWN, "log not read after the append")
        entry = self._entry(job.job_id)
        if entry.job is not None:
            return Decision(Verdict.ACCEPTED, "accepted before")
        if entry.raised_offset < decision.end - 1:
            # A record that knew as many rejections may still arrive and take effect.
            return None
        delay_s = retry_after_s(excess, job.job_id, rejection.count)
        return Decision(Verdict.REJECTED, reason, delay_s)

    def _entry(self, job_id: str) -> JobEntry:
        return self._replica.table.entry_by_id.get(job_id) or JobEntry()


def _reason(wait_ms: float, excess: float) -> str:
    return f"queue waits {wait_ms:.0f} ms, {excess:.0f} ms too long"
