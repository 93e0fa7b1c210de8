"""The leader's appends: batched, repeated until answered and fenced by its token."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent.event import Event

from lycheeloom.jobs.records import Kind, LeaderRecord, Record, encode, key_of
from lycheeloom.telemetry import log_event

from .clock import steady_s
from .ports import (
    APPEND_TIMEOUT_S,
    MAX_APPEND_BYTES,
    MAX_RECORD_BYTES,
    Appended,
    Fenced,
    NotAppended,
    Producer,
    StorePort,
)

# Duration of the leader's lease, from the first attempt of its last successful append.
# Other instances wait longer than this, from the record, before they take over.
LEADER_LEASE_S = 1.5
# Interval at which a leader without records to write renews its lease.
RENEWAL_INTERVAL_S = 0.4
RETRY_PAUSE_S = 0.1
# The store limits the size of a call.
MAX_RECORDS_PER_APPEND = 400


class Commit:
    """Lets callers of ``LeaderWriter.write`` wait until their records are durable.

    One commit covers all records that were queued while the earlier ones were written.
    """

    def __init__(self) -> None:
        self._done = Event()

    @property
    def is_durable(self) -> bool:
        """Return whether the records are in the store."""
        return self._done.is_set()

    def mark_durable(self) -> None:
        """Mark the records as durable and wake the waiting greenlets."""
        self._done.set()

    def wait(self, timeout_s: float) -> bool:
        """Wait for the records to become durable; False on timeout."""
        return self._done.wait(timeout_s)


class LeaderWriter:
    """Writes the leader's records and thereby renews its lease.

    Of pending records with the same key, only the latest is written. An append without
    an answer is repeated with the same sequence number, so that the store carries it
    out only once. ``on_fenced`` is called when the store rejects an append because a
    later leader has written. ``cores`` is the processor capacity of this instance,
    which its records tell the others.
    """

    def __init__(
        self,
        store: StorePort,
        token: int,
        instance: str,
        on_fenced: Callable[[], None],
        cores: float = 0.0,
        max_record_bytes: int = MAX_RECORD_BYTES,
        max_append_bytes: int = MAX_APPEND_BYTES,
    ) -> None:
        self.token = token
        self.max_record_bytes = max_record_bytes
        self._max_append_bytes = max_append_bytes
        # By the monotonic clock.
        self.lease_until_s = 0.0
        self._store = store
        self._instance = instance
        self._cores = cores
        self._on_fenced = on_fenced
        self._sequence = 0
        # When the first attempt of the current append was sent that may have taken
        # effect; None if there was none.
        self._first_sent_s: float | None = None
        self._pending_value_by_key: dict[str, bytes] = {}
        # Keys whose latest record was left out because it is too large.
        self._left_out_keys: set[str] = set()
        self._commit = Commit()
        self._has_pending_records = Event()
        # The leader must not act any more: a later leader has written or acted, or this
        # one has resigned.
        self.is_fenced = False
        # Others may take over as soon as they read the resignation, which may be before
        # this instance learns that it is recorded.
        self._is_resigning = False

    @property
    def may_act(self) -> bool:
        """Return whether this instance definitely still leads and may send orders."""
        is_leading = not self.is_fenced and not self._is_resigning
        return is_leading and steady_s() < self.lease_until_s

    def open(self, timeout_s: float) -> int | None:
        """Write the first leader record, which fences earlier leaders.

        Returns the end of the leader's log, or None if that failed for ``timeout_s`` or
        a later leader has written.
        """
        deadline_s = steady_s() + timeout_s
        record = self._leader_record(resigned=False)
        while steady_s() < deadline_s:
            end = self._append([record])
            if end is not None or self.is_fenced:
                return end
            gevent.sleep(RETRY_PAUSE_S)
        return None

    def hold(self, duration_s: float) -> bool:
        """Only renew the lease for a duration; return whether it is still held."""
        until_s = steady_s() + duration_s
        while (remaining_s := until_s - steady_s()) > 0:
            gevent.sleep(min(RENEWAL_INTERVAL_S, remaining_s))
            if self.open(LEADER_LEASE_S) is None or self.is_fenced:
                return False
        return True

    def write(self, records: list[Record]) -> Commit:
        """Queue records; the returned commit becomes durable when they are written.

        A record that the store would not accept is left out: repeating its append would
        keep this leader from renewing its lease, and the next leaders too. Until a
        smaller record of its key is written, no commit becomes durable, so that no
        worker forgets an end that is not recorded.
        """
        for record in records:
            if record.size_bytes > self.max_record_bytes:
                log_event(
                    "record_too_large",
                    level="ERROR",
                    key=record.key,
                    size_bytes=record.size_bytes,
                    max_bytes=self.max_record_bytes,
                )
                self._left_out_keys.add(record.key)
                continue
            self._left_out_keys.discard(record.key)
            self._pending_value_by_key[record.key] = record.value
        self._has_pending_records.set()
        return Commit() if self._left_out_keys else self._commit

    def run(self) -> None:
        """Write records and renew the lease until the leader is fenced."""
        while not self.is_fenced:
            self._has_pending_records.wait(self._renewal_delay_s())
            self._has_pending_records.clear()
            batch = self._take_batch()
            if self._pending_value_by_key:
                # Only the batch with the last pending records makes the commit durable
                # that callers wait for.
                self._has_pending_records.set()
                commit = Commit()
            else:
                commit, self._commit = self._commit, Commit()
            if not batch:
                batch = [self._leader_record(resigned=False)]
            while self._append(batch) is None:
                if self.is_fenced:
                    return
                gevent.sleep(RETRY_PAUSE_S)
            commit.mark_durable()

    def resign(self, timeout_s: float) -> None:
        """Give up the lease, so that another instance can take over immediately.

        Waits up to ``timeout_s`` until the resignation is durable.
        """
        self._is_resigning = True
        self.write([self._leader_record(resigned=True)]).wait(timeout_s)
        self.is_fenced = True

    def _take_batch(self) -> list[Record]:
        """Take the pending records that fit into one append, oldest first."""
        batch: list[Record] = []
        size_bytes = 0
        for key, value in self._pending_value_by_key.items():
            record = Record(key, value)
            size_bytes += record.size_bytes
            is_full = size_bytes > self._max_append_bytes
            if batch and (is_full or len(batch) >= MAX_RECORDS_PER_APPEND):
                break
            batch.append(record)
        for record in batch:
            del self._pending_value_by_key[record.key]
        return batch

    def _append(self, batch: list[Record]) -> int | None:
        """Append a batch; return the new end of the log, or None on failure."""
        sent_s = steady_s()
        result = self._store.append(batch, Producer(self.token, self._sequence))
        if self._first_sent_s is None and not isinstance(result, NotAppended):
            self._first_sent_s = sent_s
        match result:
            case Appended(end=end):
                self._note_appended(sent_s)
                return end
            case Fenced():
                self.is_fenced = True
                log_event("leader_fenced", level="WARNING", token=self.token)
                self._on_fenced()
        return None

    def _renewal_delay_s(self) -> float:
        """Return for how long to wait for records before the lease is renewed.

        The renewal may take its whole timeout before the lease ends. No time is left
        for a wait if the last append had to be repeated.
        """
        left_s = self.lease_until_s - steady_s() - APPEND_TIMEOUT_S
        return min(RENEWAL_INTERVAL_S, max(0.0, left_s))

    def _note_appended(self, sent_s: float) -> None:
        """Renew the lease after an answer to an attempt that was sent at ``sent_s``.

        The record may be as old as the first attempt, and the other instances count
        from the record.
        """
        first_sent_s, self._first_sent_s = self._first_sent_s, None
        self.lease_until_s = first_sent_s + LEADER_LEASE_S
        if first_sent_s < sent_s:
            log_event(
                "leader_append_repeated",
                token=self.token,
                sequence=self._sequence,
                first_sent_for_s=steady_s() - first_sent_s,
                lease_left_s=self.lease_until_s - steady_s(),
            )
        self._sequence += 1

    def _leader_record(self, *, resigned: bool) -> Record:
        record = LeaderRecord(self.token, self._instance, resigned, self._cores)
        return Record(key_of(Kind.LEADER), encode(record))
