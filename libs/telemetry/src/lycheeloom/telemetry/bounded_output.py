"""Log lines written without blocking and with a bounded volume."""

from __future__ import annotations

import select
import sys
import time
from collections import deque

import gevent
from gevent.event import Event
from gevent.os import make_nonblocking, nb_write

# Lines that wait for a reader; about 600 KB. Later ones are dropped and counted.
MAX_WAITING_LINES = 3_000
# Lines a second on average, and at once after a quiet time.
LINES_PER_S = 400.0
BURST_LINES = 4_000
FLUSH_S = 0.05
# Writes up to this size are whole on a pipe, so that lines are not mixed or cut.
MAX_WRITE_BYTES = select.PIPE_BUF


class BoundedOutput:
    """Queues lines and writes them from a greenlet of its own.

    A reader that stops reading blocks nobody: the queue fills and further lines
    are dropped. How many is said in a line as soon as lines are written again.
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
        self._allowance = float(burst)
        self._refilled_s = time.monotonic()
        self._waiting: deque[str] = deque()
        self._unsaid_drops = 0
        self._work = Event()
        make_nonblocking(descriptor)
        self._writer = gevent.spawn(self._run)

    def write(self, line: str) -> None:
        """Queue a line that ends with a newline, or drop it."""
        if len(self._waiting) >= self._max_waiting or not self._take_allowance():
            self.dropped += 1
            self._unsaid_drops += 1
            return
        if self._unsaid_drops:
            count, self._unsaid_drops = self._unsaid_drops, 0
            self._waiting.append(f"event=log_lines_dropped count={count}\n")
        self._waiting.append(line)
        self._work.set()

    def flush(self, timeout_s: float = 1.0) -> None:
        """Wait until all lines are written, for a limited time."""
        deadline_s = time.monotonic() + timeout_s
        while self._waiting and time.monotonic() < deadline_s:
            gevent.sleep(FLUSH_S / 5)

    def _take_allowance(self) -> bool:
        now_s = time.monotonic()
        earned = (now_s - self._refilled_s) * self._lines_per_s
        self._allowance = min(self._burst, self._allowance + earned)
        self._refilled_s = now_s
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _run(self) -> None:
        while True:
            self._work.wait()
            self._work.clear()
            while self._waiting:
                self._write_some()
            gevent.sleep(FLUSH_S)

    def _write_some(self) -> None:
        """Write whole lines; they leave the queue when they are written."""
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
            # Nobody can be told that the output is gone; the count shows it.
            self.dropped += len(lines)
        for _ in lines:
            self._waiting.popleft()


def standard_output() -> BoundedOutput:
    """Return an output to this process's standard output."""
    return BoundedOutput(sys.stdout.fileno())
