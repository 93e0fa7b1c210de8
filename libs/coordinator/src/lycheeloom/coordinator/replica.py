"""Follows the job logs and keeps the job table of this instance up to date."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent.event import Event

from lycheeloom.jobs.records import Kind, Record
from lycheeloom.jobs.table import AppliedRecord, JobTable
from lycheeloom.telemetry import log_event

from . import metrics
from .clock import steady_s, wall_ms
from .ports import Log, ReadFailed, RecordsDropped, RecordsRead, StorePort
from .supervision import note_failure, run_supervised
from .turns import Turns

# Long-poll timeout of a read that finds no new records.
READ_WAIT_S = 1.0
# Pause after a read, so that many small appends are fetched together. A caller's
# request for a job that is not known yet triggers a read: see ``refresh_jobs``.
PAUSE_S_BY_LOG = {Log.CALLERS: 0.4, Log.LEADER: 0.15}
# The same on an instance that leads only if no larger one can, and that may notice
# later that a leader is silent. A caller's request for a state triggers a read too: see
# ``refresh_progress``.
SMALL_INSTANCE_PAUSE_S_BY_LOG = {Log.CALLERS: 0.8, Log.LEADER: 0.45}
# Progress that was read within this time is shown to callers without another read.
MAX_PROGRESS_AGE_S = 0.05
# The leader reads more often, as task starts wait for its reads.
LEADER_PAUSE_S = 0.015
RETRY_PAUSE_S = 0.2
# Pause of a caller's answer that waits for its record to be read.
CATCH_UP_PAUSE_S = 0.02
# The table counts as current while the last successful read is not older.
MAX_READ_AGE_S = 2.0
# A store whose reads have failed for longer than this is not expected to accept
# records.
MAX_READ_FAILURE_S = 0.5


_KINDS_OF_CALLERS = frozenset({Kind.JOB, Kind.CANCELLATION, Kind.REJECTION, Kind.BID})


class Replica:
    """The job table of this instance, kept up to date from the logs.

    ``is_small`` is set on an instance that leads only if no larger one can; it reads
    the logs less often.
    """

    def __init__(self, store: StorePort, *, is_small: bool = False) -> None:
        self.table = JobTable()
        self.is_small = is_small
        # Set by ``Leadership``; the logs are read more often meanwhile.
        self.is_leading = False
        # When a record written by a leader was last read, or the leader's log was last
        # loaded; None before the first load.
        self.leader_seen_s: float | None = None
        # When the newest load report was read, by the monotonic clock; None if it was
        # found while loading the log, so that its age is not known.
        self.load_read_s: float | None = None
        # When the last order for an instance was recorded, by the monotonic clock. The
        # wall-clock time in a record is used only if the record was found while loading
        # the log; a new record is taken to have been written when it is read.
        self.last_order_s_by_instance: dict[str, float] = {}
        self._listeners: list[Callable[[AppliedRecord], None]] = []
        self._followers = {log: _LogFollower(self, store, log) for log in Log}

    def add_listener(self, listener: Callable[[AppliedRecord], None]) -> None:
        """Call ``listener`` after each record that is applied to the table."""
        self._listeners.append(listener)

    def remove_listener(self, listener: Callable[[AppliedRecord], None]) -> None:
        """Stop calling ``listener``."""
        self._listeners.remove(listener)

    @property
    def is_loaded(self) -> bool:
        """Return whether all logs have been loaded."""
        return all(follower.is_loaded for follower in self._followers.values())

    @property
    def is_fresh(self) -> bool:
        """Return whether the store has recently answered reads."""
        return self.is_loaded and steady_s() - self.read_at_s < MAX_READ_AGE_S

    @property
    def reaches_store(self) -> bool:
        """Return whether the store can be expected to accept records."""
        return self.is_fresh and not any(
            follower.failing_for_s > MAX_READ_FAILURE_S
            for follower in self._followers.values()
        )

    @property
    def read_at_s(self) -> float:
        """Return the time up to which all logs have been read, by the monotonic clock.

        For each log, that is the start of the last successful read, or the end of its
        wait if it found nothing.
        """
        return min(follower.read_at_s for follower in self._followers.values())

    def run(self) -> None:
        """Load and follow the logs forever."""
        gevent.joinall(
            [
                gevent.spawn(run_supervised, f"log_{log.value}", follower.run)
                for log, follower in self._followers.items()
            ]
        )

    def load(self) -> bool:
        """Load the latest record of each key; return whether that succeeded."""
        return all(follower.load() for follower in self._followers.values())

    def wait_for_leader_record(self, offset: int, timeout_s: float) -> bool:
        """Wait until the leader's records before ``offset`` are applied.

        Returns False if that takes longer than ``timeout_s``.
        """
        return self._followers[Log.LEADER].wait_for(offset, timeout_s)

    def refresh_jobs(self) -> bool:
        """Read the callers' log up to its end; return whether that succeeded."""
        return self._followers[Log.CALLERS].catch_up()

    def read_jobs_to(self, offset: int, timeout_s: float) -> bool:
        """Read the callers' log up to an offset, unless that has been done.

        Returns False if that takes longer than ``timeout_s``. Calls at the same time
        share their reads.
        """
        return self._followers[Log.CALLERS].catch_up_to(offset, timeout_s)

    def refresh_progress(self) -> None:
        """Read the leader's log up to its end, unless it has just been read.

        Does nothing while the store does not answer, so that callers are not kept
        waiting for it.
        """
        follower = self._followers[Log.LEADER]
        is_recent = steady_s() - follower.read_at_s < MAX_PROGRESS_AGE_S
        if self.is_leading or is_recent or follower.failing_for_s:
            return
        follower.catch_up()

    def refresh_leader(self) -> int | None:
        """Read the leader's log up to its end and return that, or None on failure."""
        follower = self._followers[Log.LEADER]
        return follower.next_offset if follower.catch_up() else None

    def apply(self, result: RecordsRead, is_live: bool) -> None:
        """Apply records to the table and notify the listeners.

        ``is_live`` is true for records that have just been written, and false for
        those found while loading the log.
        """
        turns = Turns()
        for offset, record in result.records:
            turns.give_way()
            try:
                self._apply_record(offset, record, is_live)
            except Exception as error:
                # The records that follow must not wait behind this one.
                metrics.UNREADABLE_RECORDS.labels("jobs").inc()
                note_failure("replica", error, offset=offset, key=record.key)

    def _apply_record(self, offset: int, record: Record, is_live: bool) -> None:
        applied = self.table.apply(offset, record, is_live=is_live)
        if applied is None:
            return
        # Only leaders write records of the other kinds.
        if applied.kind not in _KINDS_OF_CALLERS:
            self.leader_seen_s = steady_s()
        if applied.kind is Kind.LOAD:
            self.load_read_s = steady_s() if is_live else None
        if applied.kind is Kind.ORDER:
            self._note_order(applied.name, is_live)
        for listener in list(self._listeners):
            listener(applied)

    def _note_order(self, instance_id: str, is_live: bool) -> None:
        order = self.table.order_by_instance.get(instance_id)
        if order is None:
            self.last_order_s_by_instance.pop(instance_id, None)
            return
        age_s = 0.0 if is_live else max(0.0, (wall_ms() - order.at_ms) / 1000)
        self.last_order_s_by_instance[instance_id] = steady_s() - age_s


class _LogFollower:
    """Loads one log and follows it."""

    def __init__(self, replica: Replica, store: StorePort, log: Log) -> None:
        self.is_loaded = False
        # Time up to which the log has been read, by the monotonic clock.
        self.read_at_s = 0.0
        # Offset of the next record to read.
        self.next_offset = 0
        self._replica = replica
        self._store = store
        self._log = log
        self._failing_since_s: float | None = None
        self._advanced = Event()
        # Reads up to the highest offset that ``catch_up_to`` waits for.
        self._catch_up_greenlet: gevent.Greenlet | None = None
        self._wanted_offset = 0
        self._wanted_until_s = 0.0

    @property
    def failing_for_s(self) -> float:
        if self._failing_since_s is None:
            return 0.0
        return steady_s() - self._failing_since_s

    def run(self) -> None:
        while True:
            if not self.is_loaded:
                if not self.load():
                    gevent.sleep(RETRY_PAUSE_S)
                continue
            if not self._read(READ_WAIT_S):
                gevent.sleep(RETRY_PAUSE_S)
                continue
            gevent.sleep(self._pause_s())

    def _pause_s(self) -> float:
        if self._replica.is_leading:
            return LEADER_PAUSE_S
        if self._replica.is_small:
            return SMALL_INSTANCE_PAUSE_S_BY_LOG[self._log]
        return PAUSE_S_BY_LOG[self._log]

    def load(self) -> bool:
        began_s = steady_s()
        result = self._store.newest(self._log)
        if isinstance(result, ReadFailed):
            self._note_failure(result.reason)
            return False
        self._apply(result)
        self.is_loaded = True
        self.read_at_s = began_s
        if self._log is Log.LEADER:
            self._replica.leader_seen_s = steady_s()
        self._note_success()
        log_event(
            "log_loaded",
            log=self._log.value,
            records=len(result.records),
            offset=self.next_offset,
        )
        return True

    def wait_for(self, offset: int, timeout_s: float) -> bool:
        deadline_s = steady_s() + timeout_s
        while self.next_offset < offset:
            self._advanced.clear()
            if not self._advanced.wait(max(0.0, deadline_s - steady_s())):
                return self.next_offset >= offset
        return True

    def catch_up(self) -> bool:
        """Read up to the current end of the log; return whether that succeeded."""
        return self.is_loaded and self._read(0.0)

    def catch_up_to(self, offset: int, timeout_s: float) -> bool:
        """Read up to an offset; return whether that succeeded in time."""
        if self.next_offset >= offset:
            return True
        self._wanted_offset = max(self._wanted_offset, offset)
        self._wanted_until_s = steady_s() + timeout_s
        if self._catch_up_greenlet is None or self._catch_up_greenlet.dead:
            self._catch_up_greenlet = gevent.spawn(
                run_supervised, "log_catch_up", self._catch_up_to_wanted
            )
        return self.wait_for(offset, timeout_s)

    def _catch_up_to_wanted(self) -> None:
        while self.next_offset < self._wanted_offset:
            if steady_s() > self._wanted_until_s:
                return
            if not self.catch_up() or self.next_offset < self._wanted_offset:
                gevent.sleep(CATCH_UP_PAUSE_S)

    def _read(self, wait_s: float) -> bool:
        """Read up to the end of the log; return whether that succeeded.

        Waits up to ``wait_s`` if there are no new records. Loads the log again if
        unread records have been removed from it.
        """
        began_s = steady_s()
        result = self._store.read(self._log, self.next_offset, wait_s)
        match result:
            case RecordsRead():
                self._apply(result)
                self._note_success()
                if self.next_offset < result.end:
                    return self._read(0.0)
                # A read without records was answered at the end of its wait.
                waited_s = 0.0 if result.records else wait_s
                read_at_s = min(steady_s(), began_s + waited_s)
                self.read_at_s = max(self.read_at_s, read_at_s)
                return True
            case RecordsDropped(first_kept=first_kept):
                log_event(
                    "log_dropped",
                    log=self._log.value,
                    wanted=self.next_offset,
                    first_kept=first_kept,
                )
                self.is_loaded = False
                return self.load()
            case ReadFailed(reason=reason):
                self._note_failure(reason)
        return False

    def _apply(self, result: RecordsRead) -> None:
        self._replica.apply(result, self.is_loaded)
        self.next_offset = max(self.next_offset, result.next_offset)
        self._advanced.set()

    def _note_failure(self, reason: str) -> None:
        if self._failing_since_s is None:
            self._failing_since_s = steady_s()
            log_event("store_lost", level="WARNING", log=self._log.value, reason=reason)

    def _note_success(self) -> None:
        if self._failing_since_s is not None:
            log_event(
                "store_regained",
                log=self._log.value,
                after_s=steady_s() - self._failing_since_s,
            )
            self._failing_since_s = None
