"""A store in memory that can stay silent."""

from __future__ import annotations

from collections.abc import Sequence

import gevent
from gevent.event import Event
from libs.coordinator.tests.fakes import FakeStore

from lycheeloom.coordinator.clock import steady_s
from lycheeloom.coordinator.ports import (
    APPEND_TIMEOUT_S,
    AppendResult,
    AppendUnknown,
    Log,
    Producer,
    ReadFailed,
    ReadResult,
    RecordsRead,
)
from lycheeloom.jobs.model import JobState
from lycheeloom.jobs.records import JobProgress, Kind, Record, decode, key_of

LATENCY_S = 0.01


class SilentStore(FakeStore):
    """A store that can stay silent: calls then take their whole timeout.

    While ``executes_silently`` is set, appends take effect although their answers are
    lost.
    """

    def __init__(self) -> None:
        super().__init__()
        self.silent_until_s = 0.0
        self.executes_silently = False
        self._appended = Event()

    @property
    def is_silent(self) -> bool:
        """Return whether no call is answered now."""
        return steady_s() < self.silent_until_s

    def append(
        self,
        records: Sequence[Record],
        producer: Producer | None = None,
        timeout_s: float = APPEND_TIMEOUT_S,
    ) -> AppendResult:
        """Append records; those of a leader get no answer while the store is silent."""
        if producer is not None and self.is_silent and not self.executes_silently:
            gevent.sleep(timeout_s)
            return AppendUnknown("no answer in time")
        result = super().append(records, producer, timeout_s)
        appended, self._appended = self._appended, Event()
        appended.set()
        if producer is not None and self.is_silent:
            gevent.sleep(timeout_s)
            return AppendUnknown("no answer in time")
        if producer is not None:
            gevent.sleep(LATENCY_S)
        return result

    def read(self, log: Log, offset: int, wait_s: float) -> ReadResult:
        """Read records, waiting until there are some."""
        gevent.sleep(LATENCY_S)
        records = self._records_by_log[log]
        deadline_s = steady_s() + wait_s
        while len(records) <= offset and steady_s() < deadline_s:
            if self.is_silent:
                break
            self._appended.wait(deadline_s - steady_s())
            gevent.sleep(LATENCY_S)
        if self.is_silent:
            gevent.sleep(APPEND_TIMEOUT_S)
            return ReadFailed("no answer in time")
        end = len(records)
        return RecordsRead(tuple(enumerate(records[offset:], offset)), end, end)

    def newest(self, log: Log) -> RecordsRead | ReadFailed:
        """Read the latest record of each key."""
        if self.is_silent:
            gevent.sleep(APPEND_TIMEOUT_S)
            return ReadFailed("no answer in time")
        return super().newest(log)

    def claim_lead(self, expected_end: int, instance: str) -> AppendResult:
        """Claim the lead; has no effect while the store is silent."""
        if self.is_silent:
            gevent.sleep(APPEND_TIMEOUT_S)
            return AppendUnknown("no answer in time")
        return super().claim_lead(expected_end, instance)

    def state_of(self, job_id: str) -> JobState | None:
        """Return the recorded state of a job."""
        key = key_of(Kind.PROGRESS, job_id)
        for record in reversed(self.records):
            if record.key == key:
                progress = decode(JobProgress, record.value)
                return progress.state if progress else None
        return None
