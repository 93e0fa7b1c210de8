"""Sessions at workers, opened before the starts that refer to them.

A worker accepts a start only within ``SESSION_TTL_S`` after it created the session.
Sessions are never renewed: each new one has a new id, so that a delayed call cannot
extend the time in which an earlier start is accepted.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.event import AsyncResult

from lycheeloom.clients import Session, Unavailable, WorkerClient
from lycheeloom.model.limits import SESSION_TTL_S

# A session older than this is replaced before it is used in a start.
MAX_SESSION_AGE_S = 1.2
# A session older than this is used, and replaced in the background.
REFRESH_AGE_S = 0.7


@dataclass(slots=True)
class _Opened:
    session: Session
    requested_at: float


class WorkerSessions:
    """The newest session of each worker; concurrent calls share one opening."""

    def __init__(
        self,
        client: WorkerClient,
        holder: Callable[[], str],
        on_opened: Callable[[str, Session | Unavailable], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._client = client
        self._holder = holder
        self._on_opened = on_opened
        self._clock = clock
        self._opened_by_worker: dict[str, _Opened] = {}
        self._opening_by_worker: dict[str, AsyncResult] = {}

    def get(self, worker: str, address: str) -> Session | Unavailable:
        """Return a session that a start can use now; may wait for the worker."""
        opened = self._opened_by_worker.get(worker)
        age_s = self._clock() - opened.requested_at if opened else MAX_SESSION_AGE_S
        if age_s >= MAX_SESSION_AGE_S:
            return self.open(worker, address)
        if age_s >= REFRESH_AGE_S and worker not in self._opening_by_worker:
            gevent.spawn(self.open, worker, address)
        return opened.session

    def open(self, worker: str, address: str) -> Session | Unavailable:
        """Open a new session, or wait for the one that another greenlet opens."""
        opening = self._opening_by_worker.get(worker)
        if opening is not None:
            return opening.get()
        opening = self._opening_by_worker[worker] = AsyncResult()
        result: Session | Unavailable = Unavailable("not opened")
        try:
            result = self._open(worker, address)
        finally:
            del self._opening_by_worker[worker]
            opening.set(result)
        return result

    def drop(self, worker: str) -> None:
        """Discard a session that the worker no longer accepts."""
        self._opened_by_worker.pop(worker, None)

    def _open(self, worker: str, address: str) -> Session | Unavailable:
        requested_at = self._clock()
        result = self._client.open_session(address, self._holder(), SESSION_TTL_S)
        if isinstance(result, Session):
            self._opened_by_worker[worker] = _Opened(result, requested_at)
        else:
            self._opened_by_worker.pop(worker, None)
        self._on_opened(worker, result)
        return result
