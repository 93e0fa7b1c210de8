"""Follows the log of jobs and keeps the table of this instance up to date."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent.event import Event

from lycheeloom.jobs.records import Kind
from lycheeloom.jobs.table import Applied, JobTable
from lycheeloom.telemetry import log_event

from .clock import steady_s
from .ports import ReadFailed, RecordsDropped, RecordsRead, StorePort

# Wait of the store for new records in one read.
READ_WAIT_S = 1.0
# A read that finds new records is followed by a pause, so that many small
# appends are fetched together. The leader reads sooner: starts wait for it.
FOLLOWER_PAUSE_S = 0.15
LEADER_PAUSE_S = 0.015
RETRY_PAUSE_S = 0.2
# Age of the last successful read up to which the table counts as current.
FRESH_S = 2.0


class Replica:
    """The table of jobs and how current it is."""

    def __init__(self, store: StorePort) -> None:
        self.table = JobTable()
        self.is_loaded = False
        self.is_leading = False
        # Start of the last read that succeeded.
        self.read_at_s = 0.0
        # When a record of the leader was last read; None before the first load.
        self.leader_seen_s: float | None = None
        self.offset = 0
        self._store = store
        self._listeners: list[Callable[[Applied], None]] = []
        self._failing_since_s: float | None = None
        self._advanced = Event()

    def listen(self, listener: Callable[[Applied], None]) -> None:
        """Call ``listener`` after each change of the table."""
        self._listeners.append(listener)

    def remove_listener(self, listener: Callable[[Applied], None]) -> None:
        """Stop calling ``listener``."""
        self._listeners.remove(listener)

    @property
    def is_fresh(self) -> bool:
        """Tell whether the store has answered a read lately."""
        return self.is_loaded and steady_s() - self.read_at_s < FRESH_S

    def run(self) -> None:
        """Follow the log for ever."""
        while True:
            if not self.is_loaded and not self.load():
                gevent.sleep(RETRY_PAUSE_S)
                continue
            if not self._read(READ_WAIT_S):
                gevent.sleep(RETRY_PAUSE_S)
                continue
            pause_s = LEADER_PAUSE_S if self.is_leading else FOLLOWER_PAUSE_S
            gevent.sleep(pause_s)

    def load(self) -> bool:
        """Fetch the newest record of each key; tells whether that succeeded."""
        began_s = steady_s()
        result = self._store.newest()
        if isinstance(result, ReadFailed):
            self._note_failure(result.reason)
            return False
        self._apply(result)
        self.is_loaded = True
        self.read_at_s = began_s
        self.leader_seen_s = steady_s()
        self._note_success()
        log_event("table_loaded", jobs=len(self.table.entry_by_id), offset=self.offset)
        return True

    def wait_for(self, offset: int, timeout_s: float) -> bool:
        """Wait until records before ``offset`` are applied."""
        deadline_s = steady_s() + timeout_s
        while self.offset < offset:
            self._advanced.clear()
            if not self._advanced.wait(max(0.0, deadline_s - steady_s())):
                return self.offset >= offset
        return True

    def refresh(self) -> bool:
        """Read what the log has now; tells whether that succeeded."""
        return self.is_loaded and self._read(0.0)

    def _read(self, wait_s: float) -> bool:
        began_s = steady_s()
        result = self._store.read(self.offset, wait_s)
        match result:
            case RecordsRead():
                self._apply(result)
                self.read_at_s = max(self.read_at_s, began_s)
                self._note_success()
                return True
            case RecordsDropped(first_kept=first):
                log_event("log_dropped", wanted=self.offset, first_kept=first)
                self.is_loaded = False
                return True
            case ReadFailed(reason=reason):
                self._note_failure(reason)
        return False

    def _apply(self, result: RecordsRead) -> None:
        for offset, record in result.records:
            applied = self.table.apply(offset, record)
            if applied is None:
                continue
            if applied.kind in (Kind.LEADER, Kind.PROGRESS, Kind.WAVE):
                self.leader_seen_s = steady_s()
            for listener in list(self._listeners):
                listener(applied)
        self.offset = max(self.offset, result.next_offset)
        self._advanced.set()

    def _note_failure(self, reason: str) -> None:
        if self._failing_since_s is None:
            self._failing_since_s = steady_s()
            log_event("store_lost", level="WARNING", reason=reason)

    def _note_success(self) -> None:
        if self._failing_since_s is not None:
            log_event("store_regained", after_s=steady_s() - self._failing_since_s)
            self._failing_since_s = None
