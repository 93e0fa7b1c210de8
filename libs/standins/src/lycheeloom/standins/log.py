"""Stand-in for the platform's append-only log service."""

from __future__ import annotations

import time
from base64 import b64encode
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from gevent.event import Event

from .server import Reply, Request, StandIn, error_reply

MAX_RECORD_BYTES = 256 * 1024
MAX_WAIT_MS = 30_000
# Limit on the size of the batches in one read response, before base64 encoding.
# A larger batch is returned alone.
MAX_READ_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class LogLimits:
    """Limits of the log: record size, appends per second and retention.

    ``max_record_bytes`` is the maximum size of one appended batch. The oldest batches
    are dropped beyond ``retained_records`` batches or after ``retained_s`` seconds.
    None means unlimited.
    """

    max_record_bytes: int = MAX_RECORD_BYTES
    appends_per_s: int | None = 400
    retained_records: int | None = None
    retained_s: float | None = None


class LogStandIn(StandIn):
    """An in-memory log whose batches have sequential offsets from 0."""

    def __init__(
        self,
        name: str = "log",
        host: str = "127.0.0.1",
        port: int = 0,
        limits: LogLimits = LogLimits(),  # noqa: B008 (frozen)
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__(name, host, port)
        self.limits = limits
        self._clock = clock
        self._oldest_offset = 0
        self._batches: deque[tuple[float, bytes]] = deque()
        self._appended = Event()
        self._tokens = float(limits.appends_per_s or 0)
        self._tokens_updated_at = clock()

    @property
    def next_offset(self) -> int:
        return self._oldest_offset + len(self._batches)

    @property
    def oldest_offset(self) -> int:
        self._apply_retention()
        return self._oldest_offset

    def append(self, batch: bytes) -> int:
        """Append a batch regardless of size and rate limits; returns its offset."""
        offset = self.next_offset
        self._batches.append((self._clock(), batch))
        self._apply_retention()
        appended, self._appended = self._appended, Event()
        appended.set()
        return offset

    def handle(self, request: Request) -> Reply:
        if self.faults.fail_all:
            return error_reply(500, "failed")
        match request.method, request.path:
            case "POST", "/v1/append":
                return self._handle_append(request.body)
            case "GET", "/v1/read":
                return self._handle_read(request.query)
        return error_reply(404, "not_found")

    def _handle_append(self, batch: bytes) -> Reply:
        if len(batch) > self.limits.max_record_bytes:
            return error_reply(413, "too_large")
        if not self._take_token():
            return Reply(429, {"reason": "busy"}, (("Retry-After", "1"),))
        return Reply(200, {"offset": self.append(batch)})

    def _take_token(self) -> bool:
        rate = self.limits.appends_per_s
        if rate is None:
            return True
        now = self._clock()
        refilled = (now - self._tokens_updated_at) * rate
        self._tokens = min(float(rate), self._tokens + refilled)
        self._tokens_updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _handle_read(self, query: dict[str, str]) -> Reply:
        try:
            first = int(query.get("from", "0"))
            limit = int(query.get("limit", "1000"))
            wait_ms = min(int(query.get("wait_ms", "0")), MAX_WAIT_MS)
        except ValueError:
            return error_reply(400, "from, limit and wait_ms must be integers")
        if first == self.next_offset and wait_ms > 0:
            self._appended.wait(wait_ms / 1000)
            if self.faults.outage:
                return error_reply(503, "down")
        return self._read(first, limit)

    def _read(self, first: int, limit: int) -> Reply:
        self._apply_retention()
        if first < self._oldest_offset:
            return Reply(410, {"oldest": self._oldest_offset})
        # A read from beyond the end returns no batches and the next offset.
        first = min(first, self.next_offset)
        batches: list[str] = []
        size = 0
        for offset in range(first, min(first + limit, self.next_offset)):
            batch = self._batches[offset - self._oldest_offset][1]
            size += len(batch)
            if batches and size > MAX_READ_BYTES:
                break
            batches.append(b64encode(batch).decode())
        document = {"first": first, "next": first + len(batches), "batches": batches}
        return Reply(200, document)

    def _apply_retention(self) -> None:
        max_records, max_age_s = self.limits.retained_records, self.limits.retained_s
        while max_records is not None and len(self._batches) > max_records:
            self._drop_oldest()
        if max_age_s is None:
            return
        cutoff = self._clock() - max_age_s
        while self._batches and self._batches[0][0] < cutoff:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        self._batches.popleft()
        self._oldest_offset += 1
