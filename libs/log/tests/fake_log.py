"""An in-memory log and clients that inject faults."""

from __future__ import annotations

from collections import deque

from lycheeloom.clients import (
    Appended,
    AppendRefusal,
    AppendRefused,
    AppendUnknown,
    Expired,
    ReadBatches,
    Unavailable,
)


class Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


class FakeLog:
    """Keeps every batch in ``archive``; readers see those from ``oldest`` on.

    ``delayed`` holds batches that reach the log only with ``deliver_delayed``.
    """

    def __init__(self) -> None:
        self.archive: list[bytes] = []
        self.oldest = 0
        self.delayed: list[bytes] = []

    def deliver_delayed(self) -> None:
        self.archive += self.delayed
        self.delayed.clear()


class FakeClient:
    """A client of ``FakeLog``; each call takes the next fault of its queue.

    An empty string means no fault. Append faults are "lost_answer", "lost_request",
    "delayed" or an ``AppendRefusal`` value; any other string fails a read.
    """

    def __init__(self, log: FakeLog) -> None:
        self.log = log
        self.append_faults: deque[str] = deque()
        self.read_faults: deque[str] = deque()
        self.reads = 0

    def append(self, batch: bytes):
        match self.append_faults.popleft() if self.append_faults else "":
            case "lost_answer":
                self.log.archive.append(batch)
                return AppendUnknown("no answer in time")
            case "lost_request":
                return AppendUnknown("no answer in time")
            case "delayed":
                self.log.delayed.append(batch)
                return AppendUnknown("no answer in time")
            case "":
                self.log.archive.append(batch)
                return Appended(len(self.log.archive) - 1)
            case refusal:
                return AppendRefused(AppendRefusal(refusal))

    def read(self, first_offset, limit, wait_s, *, margin_s=2.0):
        self.reads += 1
        if self.read_faults and self.read_faults.popleft():
            return Unavailable("down")
        if first_offset < self.log.oldest:
            return Expired(self.log.oldest)
        first = min(first_offset, len(self.log.archive))
        batches = tuple(self.log.archive[first : first + limit])
        return ReadBatches(first, first + len(batches), batches)
