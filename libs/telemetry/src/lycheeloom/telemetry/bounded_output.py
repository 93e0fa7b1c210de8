"""Non-blocking, rate-limited output of log lines."""

from __future__ import annotations

import select
import sys
import time
from collections import deque

import gevent
from gevent.event import Event
from gevent.os import make_nonblocking, nb_write

# Lines that are queued while the reader is slow, about 600 KB. Further lines are
# dropped and counted.
MAX_WAITING_LINES = 3_000
# Token bucket: the average rate of lines, and the burst allowed after a quiet time.
LINES_PER_S = 400.0
BURST_LINES = 4_000
FLUSH_INTERVAL_S = 0.05
# Writes to a pipe are atomic up to this size, so that lines of several processes are
# neither mixed nor cut.
MAX_WRITE_BYTES = select.PIPE_BUF


class BoundedOutput:
    """Queues lines and writes them in a greenlet of its own.

    A reader that stops reading does not block the process: the queue fills up and
    further lines are dropped. Once lines are accepted again, a line reports how many
    were dropped.
    """

    def __init__(
        self,
        descriptor: int,
        *,
        max_waiting: int = MAX_WAITING_LINES,
        lines_per_s: float = LINES_PER_S,
        burst: int = BURST_LINES,
    ) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._max_waiting = max_waiting
        self._lines_per_s = lines_per_s
        self._burst = burst
        self._tokens = float(burst)
        self._refilled_at_s = time.monotonic()
        self._waiting: deque[str] = deque()
        self._unreported_drops = 0
        self._has_lines = Event()
        make_nonblocking(descriptor)
        self._writer = gevent.spawn(self._run)

    def write(self, line: str) -> None:
        """Queue a line, which must end with a newline, or drop it."""
        if len(self._waiting) >= self._max_waiting or not self._take_token():
            self.dropped += 1
            self._unreported_drops += 1
            return
        if self._unreported_drops:
            count, self._unreported_drops = self._unreported_drops, 0
            self._waiting.append(f"event=log_lines_dropped count={count}\n")
        self._waiting.append(line)
        self._has_lines.set()

    def flush(self, timeout_s: float = 1.0) -> None:
        """Wait up to ``timeout_s`` until all queued lines are written."""
        deadline_s = time.monotonic() + timeout_s
        while self._waiting and time.monotonic() < deadline_s:
            gevent.sleep(FLUSH_INTERVAL_S / 5)

    def _take_token(self) -> bool:
        now_s = time.monotonic()
        refill = (now_s - self._refilled_at_s) * self._lines_per_s
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _run(self) -> None:
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            while self._waiting:
                self._write_batch()
            gevent.sleep(FLUSH_INTERVAL_S)

    def _write_batch(self) -> None:
        """Write whole lines, then remove them from the queue."""
        lines, size = [], 0
        for line in self._waiting:
            if lines and size + len(line) > MAX_WRITE_BYTES:
                break
            lines.append(line)
            size += len(line)
        data = "".join(lines).encode(errors="replace")
        try:
            while data:
                data = data[nb_write(self._descriptor, data) :]
        except OSError:
            # The output is closed, so this cannot be logged; only the count shows it.
            self.dropped += len(lines)
        for _ in lines:
            self._waiting.popleft()


def standard_output() -> BoundedOutput:
    """Return an output that writes to this process's standard output."""
    return BoundedOutput(sys.stdout.fileno())
