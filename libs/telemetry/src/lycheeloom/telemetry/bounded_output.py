"""Non-blocking, rate-limited output of log lines."""

from __future__ import annotations

import math
import select
import sys
import time
from collections import deque

import gevent
from gevent.event import Event
from gevent.os import make_nonblocking, nb_write

# Maximum number of queued lines, about 600 KB, while the reader is slow. Further lines
# are dropped and counted.
MAX_WAITING_LINES = 3_000
# A token bucket limits the lines: to this average rate, and to this number at once
# after a quiet time.
LINES_PER_S = 1_000.0
BURST_LINES = 4_000
# Routine lines leave this part of the queue and of the bucket to other lines.
RESERVED_SHARE = 0.25
# Dropped lines are reported at most this often.
DROP_REPORT_INTERVAL_S = 1.0
# After writing, the greenlet pauses for this long, so that the next lines collect and
# are written together.
WRITE_INTERVAL_S = 0.05
# A write to a pipe is atomic up to this size. Lines of several processes that write to
# the same pipe are thus neither mixed nor cut.
MAX_WRITE_BYTES = select.PIPE_BUF


class BoundedOutput:
    """Queues lines and writes them in a greenlet of its own.

    A reader that stops reading does not block the process: the queue fills up and
    further lines are dropped. Lines above the rate limit are dropped too. A part of the
    queue and of the rate limit is reserved for lines that are not routine, so that a
    surge of routine lines does not displace them. Accepted lines are preceded by a line
    with the number of dropped ones, once in ``DROP_REPORT_INTERVAL_S``.

    ``dropped`` counts the dropped lines and those that could not be written.
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
        self._drops_reported_s = -math.inf
        self._has_lines = Event()
        make_nonblocking(descriptor)
        self._writer = gevent.spawn(self._run)

    def write(self, line: str, *, is_routine: bool = False) -> None:
        """Queue a line, which must end with a newline, or drop it.

        Routine lines are dropped first.
        """
        now_s = time.monotonic()
        reserved_share = RESERVED_SHARE if is_routine else 0.0
        max_waiting = self._max_waiting * (1 - reserved_share)
        is_full = len(self._waiting) >= max_waiting
        if is_full or not self._take_token(self._burst * reserved_share, now_s):
            self.dropped += 1
            self._unreported_drops += 1
            return
        is_report_due = now_s - self._drops_reported_s >= DROP_REPORT_INTERVAL_S
        if self._unreported_drops and is_report_due:
            count, self._unreported_drops = self._unreported_drops, 0
            self._drops_reported_s = now_s
            self._waiting.append(f"event=log_lines_dropped count={count}\n")
        self._waiting.append(line)
        self._has_lines.set()

    def flush(self, timeout_s: float = 1.0) -> None:
        """Wait up to ``timeout_s`` until all queued lines are written."""
        deadline_s = time.monotonic() + timeout_s
        while self._waiting and time.monotonic() < deadline_s:
            gevent.sleep(WRITE_INTERVAL_S / 5)

    def _take_token(self, reserved: float, now_s: float) -> bool:
        """Take a token for one line; return False if only ``reserved`` are left."""
        refill = (now_s - self._refilled_at_s) * self._lines_per_s
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at_s = now_s
        if self._tokens < reserved + 1:
            return False
        self._tokens -= 1
        return True

    def _run(self) -> None:
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            while self._waiting:
                self._write_batch()
            gevent.sleep(WRITE_INTERVAL_S)

    def _write_batch(self) -> None:
        """Write as many lines as fit into one write, then remove them from the queue.

        A line that is longer than ``MAX_WRITE_BYTES`` is written alone.
        """
        lines, length = [], 0
        for line in self._waiting:
            if lines and length + len(line) > MAX_WRITE_BYTES:
                break
            lines.append(line)
            length += len(line)
        data = "".join(lines).encode(errors="replace")
        try:
            while data:
                data = data[nb_write(self._descriptor, data) :]
        except OSError:
            # The output is closed, so the error cannot be logged. Only the count shows
            # that lines are lost.
            self.dropped += len(lines)
        for _ in lines:
            self._waiting.popleft()


def standard_output() -> BoundedOutput:
    """Return an output that writes to this process's standard output."""
    return BoundedOutput(sys.stdout.fileno())
