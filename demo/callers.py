"""Callers of the demonstration and what they saw."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

import gevent

from lycheeloom.clients import CallFailed, Transport

CALL_TIMEOUT_S = 40.0
RETRY_DELAY_S = 0.1
MAX_TRIES = 60


class Work(StrEnum):
    """Kinds of calls: lookups are idempotent, bookings are not."""

    LOOKUP = "lookup"
    BOOKING = "booking"
    OVERNIGHT = "overnight"


class Seen(StrEnum):
    """How a call ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused as not run"
    DOUBTFUL = "may have run"
    LOST = "lost"


@dataclass(slots=True)
class Call:
    """One call with everything its caller saw."""

    name: str
    work: Work
    organisation: str
    queue: str
    began_at: float
    seen: Seen | None = None
    reason: str = ""
    ended_at: float = 0.0
    request_id: str = ""
    accepted_at: float | None = None
    refusals: int = 0


@dataclass
class Callers:
    """Sends calls of several organisations to entries, as a balancer would spread them.

    A call is sent again only after a refusal that says it did not run, or, for
    a lookup or a booking with its idempotency key, after a broken connection.
    """

    entries: Callable[[], list[str]]
    token_by_organisation: dict[str, str]
    seed: int
    calls: list[Call] = field(default_factory=list)
    transport: Transport = field(default_factory=Transport)

    def __post_init__(self) -> None:
        self._rng = random.Random(self.seed)

    def send(
        self,
        work: Work,
        organisation: str,
        queue: str,
        work_ms: int,
        tries: int = MAX_TRIES,
    ) -> Call:
        """Begin a call in its own greenlet."""
        name = f"{work}-{len(self.calls)}"
        call = Call(name, work, organisation, queue, time.monotonic())
        self.calls.append(call)
        gevent.spawn(self._run, call, work_ms, tries)
        return call

    def wait_all(self, timeout_s: float) -> None:
        """Wait until every call has ended; the others count as lost."""
        give_up_at = time.monotonic() + timeout_s
        while time.monotonic() < give_up_at:
            if all(call.seen is not None for call in self.calls):
                return
            gevent.sleep(0.05)
        for call in self.calls:
            if call.seen is None:
                self._end(call, Seen.LOST, "no end in time")

    def _run(self, call: Call, work_ms: int, tries: int) -> None:
        payload = {"call": call.name, "work_ms": work_ms}
        document = {
            "payload": payload,
            "run_ms": work_ms,
            "cores": 1,
            "memory_mb": 1024,
            "idempotent": call.work is Work.LOOKUP,
            "wait": call.work is not Work.OVERNIGHT,
        }
        for _ in range(tries):
            if self._try_once(call, document):
                break
            gevent.sleep(RETRY_DELAY_S)
        else:
            self._end(call, Seen.REFUSED, call.reason)
        if call.work is Work.OVERNIGHT and call.request_id and call.seen is None:
            self._collect(call)

    def _try_once(self, call: Call, document: dict) -> bool:
        """Send the call; returns whether it must not be sent again."""
        answer = self._request(call, "POST", self._submit_path(call), document)
        if answer is None:
            # A repeated key finds the first request, so repeating is safe.
            call.reason = "connection broken"
            return False
        status, reply = answer
        if status == 202:
            call.request_id = reply["request_id"]
            call.accepted_at = time.monotonic()
            if call.work is not Work.OVERNIGHT:
                self._collect(call)
            return True
        if reply.get("verdict") == "not_run":
            call.refusals += 1
            call.reason = reply["reason"]
            if reply["reason"] in ("key_rejected", "never_fits"):
                self._end(call, Seen.REFUSED, call.reason)
                return True
            return False
        self._take_final(call, reply)
        return True

    def _collect(self, call: Call) -> None:
        path = f"/v1/requests/{call.request_id}?wait_ms=2000"
        for _ in range(MAX_TRIES):
            answer = self._request(call, "GET", path, None)
            if answer is not None and "verdict" in answer[1]:
                self._take_final(call, answer[1])
                return
            gevent.sleep(RETRY_DELAY_S)
        self._end(call, Seen.LOST, "no answer to collect")

    def _take_final(self, call: Call, reply: dict) -> None:
        call.request_id = reply.get("request_id", call.request_id)
        if reply.get("verdict") == "ran":
            is_own = json.loads(reply["answer"]).get("call") == call.name
            reason = "" if is_own else "answer of another call"
            self._end(call, Seen.ANSWERED if is_own else Seen.LOST, reason)
            return
        if reply.get("verdict") == "not_run":
            self._end(call, Seen.REFUSED, reply["reason"])
            return
        self._end(call, Seen.DOUBTFUL, reply.get("message", ""))

    def _end(self, call: Call, seen: Seen, reason: str) -> None:
        call.seen = seen
        call.reason = reason
        call.ended_at = time.monotonic()

    def _submit_path(self, call: Call) -> str:
        return f"/v1/queues/{call.queue}/requests"

    def _request(
        self, call: Call, method: str, path: str, document: dict | None
    ) -> tuple[int, dict] | None:
        address = self._rng.choice(self.entries())
        headers = {
            "Content-Type": "application/json",
            "Authorization": f"Bearer {self.token_by_organisation[call.organisation]}",
        }
        if call.work is not Work.LOOKUP:
            headers["Idempotency-Key"] = call.name
        body = None if document is None else json.dumps(document).encode()
        answer = self.transport.call(
            address, method, path, body=body, headers=headers, timeout_s=CALL_TIMEOUT_S
        )
        if isinstance(answer, CallFailed):
            return None
        try:
            return answer.status, json.loads(answer.body)
        except ValueError:
            return None
