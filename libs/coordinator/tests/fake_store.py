"""An in-memory store with faults."""

from __future__ import annotations

import time
from collections.abc import Sequence

import gevent

from lycheeloom.coordinator.clock import steady_s
from lycheeloom.coordinator.ports import (
    APPEND_TIMEOUT_S,
    Appended,
    AppendResult,
    AppendUnknown,
    ConditionFailed,
    Fenced,
    Log,
    Producer,
    ReadFailed,
    ReadResult,
    RecordsRead,
)
from lycheeloom.jobs.model import Job
from lycheeloom.jobs.records import (
    Cancellation,
    InstanceOrder,
    Kind,
    Record,
    encode,
    key_of,
)

# Duration of an append by the leader.
APPEND_DURATION_S = 0.03


class FakeStore:
    """A store that fences the leader's appends and keeps the logs in memory.

    While ``is_down`` is set, appends, reads and claims of the lead fail as if they had
    timed out.
    """

    def __init__(self) -> None:
        # Records of the leader's log.
        self.records: list[Record] = []
        self._records_by_log = {Log.CALLERS: [], Log.LEADER: self.records}
        self.is_down = False
        # Reads fail, but appends succeed.
        self.rejects_reads = False
        # The next appends, as many as this number, take effect but their answers are
        # lost.
        self.answers_to_lose = 0
        self.wave_states: list[tuple[str, str]] = []
        self._election_end = 0
        self._highest_token = 0
        # Results by fencing token and sequence number, returned to repeated appends.
        self._results: dict[tuple[int, int], Appended] = {}

    def append(
        self,
        records: Sequence[Record],
        producer: Producer | None = None,
        timeout_s: float = APPEND_TIMEOUT_S,
    ) -> AppendResult:
        if self.is_down:
            return AppendUnknown("no answer in time")
        if producer is not None:
            gevent.sleep(APPEND_DURATION_S)
            if producer.token < self._highest_token:
                return Fenced()
            self._highest_token = producer.token
            first_result = self._results.get((producer.token, producer.sequence))
            if first_result is not None:
                return first_result
        log = Log.CALLERS if producer is None else Log.LEADER
        log_records = self._records_by_log[log]
        log_records.extend(records)
        result = Appended(len(log_records))
        if producer is not None:
            self._results[producer.token, producer.sequence] = result
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return AppendUnknown("answer lost")
        return result

    def read(self, log: Log, offset: int, wait_s: float) -> ReadResult:
        log_records = self._records_by_log[log]
        deadline_s = steady_s() + wait_s
        while not self.is_down and not self.rejects_reads:
            end = len(log_records)
            if end > offset or steady_s() >= deadline_s:
                new_records = tuple(enumerate(log_records[offset:], offset))
                return RecordsRead(new_records, end, end)
            gevent.sleep(0.005)
        return ReadFailed("no answer in time")

    def newest(self, log: Log) -> RecordsRead | ReadFailed:
        if self.is_down:
            return ReadFailed("no answer in time")
        log_records = self._records_by_log[log]
        newest_by_key = {
            record.key: (offset, record) for offset, record in enumerate(log_records)
        }
        end = len(log_records)
        return RecordsRead(tuple(sorted(newest_by_key.values())), end, end)

    def claim_lead(self, expected_end: int, instance: str) -> AppendResult:
        if self.is_down:
            return AppendUnknown("no answer in time")
        if expected_end != self._election_end:
            return ConditionFailed(self._election_end)
        self._election_end += 1
        return Appended(self._election_end)

    def write_wave_state(self, wave: str, state: str) -> AppendResult:
        self.wave_states.append((wave, state))
        return Appended(len(self.wave_states))

    def add_job(self, job: Job) -> None:
        """Append a job record, as if an instance had accepted the job."""
        self.append([Record(key_of(Kind.JOB, job.job_id), encode(job))])

    def append_order(
        self, instance_id: str, age_s: float = 0.0, wave: str = ""
    ) -> None:
        """Append the record of a move or maintenance order to the leader's log.

        The record says that the order was sent ``age_s`` ago. ``wave`` is empty for a
        move.
        """
        order = InstanceOrder(int(time.time() * 1000 - age_s * 1000), wave)
        self.records.append(Record(key_of(Kind.ORDER, instance_id), encode(order)))

    def cancel(self, job_id: str) -> None:
        """Append a cancellation record, as if an instance had accepted the call."""
        cancellation = Cancellation(int(time.time() * 1000))
        self.append([Record(key_of(Kind.CANCELLATION, job_id), encode(cancellation))])
