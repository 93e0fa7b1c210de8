"""Open-loop load on entries that records latencies and verdicts."""

from __future__ import annotations

import json
import random
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import gevent
import gevent.pool

from lycheeloom.clients import CallFailed, Transport

CALL_TIMEOUT_S = 40.0
RETRY_DELAY_S = 0.1
# Bounds the number of greenlets when the entries cannot keep up with the load.
MAX_OPEN_CALLS = 2000


@dataclass(slots=True)
class Caller:
    """Sends requests to randomly chosen entries, as a load balancer would."""

    addresses: Callable[[], Sequence[str]]
    queue: str
    seed: int = 1
    max_attempts: int = 1
    latencies_s: list[float] = field(default_factory=list)
    count_by_verdict: Counter = field(default_factory=Counter)
    count_by_refusal: Counter = field(default_factory=Counter)
    transport: Transport = field(default_factory=Transport)
    rng: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)

    def call(self, token: str, document: dict, name: str = "") -> None:
        """Send one request, repeated after a refusal up to ``max_attempts`` times.

        ``name`` becomes the idempotency key.
        """
        began_at = time.monotonic()
        body = json.dumps(document).encode()
        headers = {"Authorization": f"Bearer {token}"}
        if name:
            headers["Idempotency-Key"] = name
        verdict = "none"
        for attempt in range(self.max_attempts):
            if attempt:
                gevent.sleep(RETRY_DELAY_S)
            verdict = self._send_once(headers, body)
            if verdict in ("ran", "accepted", "may_have_run"):
                break
        self.count_by_verdict[verdict] += 1
        self.latencies_s.append(time.monotonic() - began_at)

    def _send_once(self, headers: dict, body: bytes) -> str:
        answer = self.transport.call(
            self.rng.choice(self.addresses()),
            "POST",
            f"/v1/queues/{self.queue}/requests",
            body=body,
            headers=headers,
            timeout_s=CALL_TIMEOUT_S,
        )
        if isinstance(answer, CallFailed):
            self.count_by_refusal["connection broken"] += 1
            return "broken"
        if answer.status == 202:
            return "accepted"
        document = json.loads(answer.body)
        verdict = document.get("verdict", "none")
        if verdict != "ran":
            self.count_by_refusal[document.get("reason", verdict)] += 1
        return verdict


def lookup_body(work_ms: float, **fields: object) -> dict:
    """Return the body of a request for one core.

    ``fields`` are added to the body or replace its fields.
    """
    payload = {"work_ms": work_ms}
    return {
        "payload": payload,
        "run_ms": max(1, int(work_ms)),
        "memory_mb": 64,
        **fields,
    }


def run_at_rate(rate_per_s: float, duration_s: float, call: Callable) -> int:
    """Run ``call(number)`` in greenlets at a steady rate and wait until they end.

    Returns the number of calls.
    """
    pool = gevent.pool.Pool(MAX_OPEN_CALLS)
    began_at = time.monotonic()
    count = int(rate_per_s * duration_s)
    for number in range(count):
        gevent.sleep(max(0.0, began_at + number / rate_per_s - time.monotonic()))
        pool.spawn(call, number)
    pool.join(timeout=CALL_TIMEOUT_S)
    return count
