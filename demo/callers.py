"""Callers of the demonstration and the outcomes of their calls."""

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
MAX_ATTEMPTS = 60


class CallKind(StrEnum):
    """Kinds of calls: lookups are idempotent, the others are not."""

    LOOKUP = "lookup"
    BOOKING = "booking"
    OVERNIGHT = "overnight"


class Outcome(StrEnum):
    """How a call ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused as not run"
    MAY_HAVE_RUN = "may have run"
    LOST = "lost"


@dataclass(slots=True)
class Call:
    """One call and its outcome for the caller; times are monotonic, in seconds."""

    name: str
    kind: CallKind
    organisation: str
    queue: str
    sent_at: float
    outcome: Outcome | None = None
    reason: str = ""
    ended_at: float = 0.0
    request_id: str = ""
    accepted_at: float | None = None
    refusals: int = 0


@dataclass
class Callers:
    """Sends calls of several organisations to random entries, as a load balancer would.

    A call is repeated only after a refusal with the verdict "not_run" or after a
    broken connection. The latter is safe because lookups are idempotent and other
    calls carry an idempotency key.
    """

    entry_addresses: Callable[[], list[str]]
    token_by_organisation: dict[str, str]
    seed: int
    calls: list[Call] = field(default_factory=list)
    transport: Transport = field(default_factory=Transport)

    def __post_init__(self) -> None:
        self._rng = random.Random(self.seed)

    def send(
        self,
        kind: CallKind,
        organisation: str,
        queue: str,
        work_ms: int,
        max_attempts: int = MAX_ATTEMPTS,
    ) -> Call:
        """Start a call in its own greenlet."""
        name = f"{kind}-{len(self.calls)}"
        call = Call(name, kind, organisation, queue, time.monotonic())
        self.calls.append(call)
        gevent.spawn(self._run, call, work_ms, max_attempts)
        return call

    def wait_all(self, timeout_s: float) -> None:
        """Wait until every call has ended; calls still open then count as lost."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if all(call.outcome is not None for call in self.calls):
                return
            gevent.sleep(0.05)
        for call in self.calls:
            if call.outcome is None:
                self._end(call, Outcome.LOST, "not ended before the timeout")

    def _run(self, call: Call, work_ms: int, max_attempts: int) -> None:
        payload = {"call": call.name, "work_ms": work_ms}
        document = {
            "payload": payload,
            "run_ms": work_ms,
            "cores": 1,
            "memory_mb": 1024,
            "idempotent": call.kind is CallKind.LOOKUP,
            "wait": call.kind is not CallKind.OVERNIGHT,
        }
        for _ in range(max_attempts):
            if self._attempt(call, document):
                break
            gevent.sleep(RETRY_DELAY_S)
        else:
            self._end(call, Outcome.REFUSED, call.reason)
        if call.kind is CallKind.OVERNIGHT and call.request_id and call.outcome is None:
            self._collect_answer(call)

    def _attempt(self, call: Call, document: dict) -> bool:
        """Send the call once; returns False if it may be sent again."""
        answer = self._request(call, "POST", self._submit_path(call), document)
        if answer is None:
            # Safe to repeat: the call is idempotent or its key finds the first request.
            call.reason = "connection broken"
            return False
        status, reply = answer
        if status == 202:
            call.request_id = reply["request_id"]
            call.accepted_at = time.monotonic()
            if call.kind is not CallKind.OVERNIGHT:
                self._collect_answer(call)
            return True
        if reply.get("verdict") == "not_run":
            call.refusals += 1
            call.reason = reply["reason"]
            if reply["reason"] in ("key_rejected", "never_fits"):
                self._end(call, Outcome.REFUSED, call.reason)
                return True
            return False
        self._record_verdict(call, reply)
        return True

    def _collect_answer(self, call: Call) -> None:
        path = f"/v1/requests/{call.request_id}?wait_ms=2000"
        for _ in range(MAX_ATTEMPTS):
            answer = self._request(call, "GET", path, None)
            if answer is not None and "verdict" in answer[1]:
                self._record_verdict(call, answer[1])
                return
            gevent.sleep(RETRY_DELAY_S)
        self._end(call, Outcome.LOST, "no answer could be collected")

    def _record_verdict(self, call: Call, reply: dict) -> None:
        call.request_id = reply.get("request_id", call.request_id)
        if reply.get("verdict") == "ran":
            is_own = json.loads(reply["answer"]).get("call") == call.name
            reason = "" if is_own else "answer of another call"
            self._end(call, Outcome.ANSWERED if is_own else Outcome.LOST, reason)
            return
        if reply.get("verdict") == "not_run":
            self._end(call, Outcome.REFUSED, reply["reason"])
            return
        self._end(call, Outcome.MAY_HAVE_RUN, reply.get("message", ""))

    def _end(self, call: Call, outcome: Outcome, reason: str) -> None:
        call.outcome = outcome
        call.reason = reason
        call.ended_at = time.monotonic()

    def _submit_path(self, call: Call) -> str:
        return f"/v1/queues/{call.queue}/requests"

    def _request(
        self, call: Call, method: str, path: str, document: dict | None
    ) -> tuple[int, dict] | None:
        address = self._rng.choice(self.entry_addresses())
        headers = {
            "Content-Type": "application/json",
            "Authorization": f"Bearer {self.token_by_organisation[call.organisation]}",
        }
        if call.kind is not CallKind.LOOKUP:
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
