"""Time from the acceptance of a change until every entry follows it."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable

import gevent
from demo.processes import HANDOVER_TOKEN

from lycheeloom.clients import Appended, LogClient, Response, Transport
from lycheeloom.model.records import Batch, ConfigChanged
from lycheeloom.wire import encode_batch

from .processes_fleet import (
    INTERACTIVE_QUEUE,
    SHAPE_BY_WORKERS,
    BenchFleet,
    running_bench_fleet,
)
from .processes_stats import machine_load, summary_ms

ENTRIES = 9
# Times are exact to one poll interval and a round trip.
POLL_S = 0.02
TIMEOUT_S = 30.0
# A random delay before each change spreads them over the entries' read cycle.
MAX_DELAY_S = 0.3
UNREACHABLE_OFFSET = 2**40


class Publisher:
    """Appends configuration changes directly to the log.

    No change is handed to the entries: each reads it from the log or receives it
    from a peer, as it does when the operator's machine cannot reach the entry.
    """

    def __init__(self, log: LogClient, version: int) -> None:
        self.version = version
        self._log = log
        self._sequence = 0

    def publish(self, patch: dict) -> tuple[int, float]:
        """Append a change; return its offset and the time of its acceptance."""
        self._sequence += 1
        change = ConfigChanged(self.version, json.dumps(patch), "bench")
        batch = Batch("operator:bench:changes", self._sequence, (change,))
        answer = self._log.append(encode_batch(batch))
        if not isinstance(answer, Appended):
            raise RuntimeError(f"the log did not append the change: {answer}")
        self.version += 1
        return answer.offset, time.monotonic()


def measure(workers: int, count: int) -> dict:
    """Measure ``count`` changes of limits and as many key revocations."""
    with running_bench_fleet(
        SHAPE_BY_WORKERS[workers], ENTRIES, extra_key_count=count
    ) as bench_fleet:
        operator = bench_fleet.operator(hand_over=False)
        operator.refresh()
        publisher = Publisher(bench_fleet.log(), operator.version)
        rows = [
            _row_header("change", workers, 2.0 if workers < 5100 else 11.0),
            _row_header("key", workers, 3.0),
        ]
        rows[0] |= summary_ms(_time_changes(bench_fleet, publisher, count))
        rows[0]["load"] = machine_load()
        rows[1] |= summary_ms(_time_revocations(bench_fleet, publisher, count))
        rows[1]["load"] = machine_load()
        versions = {status.config_version for status in _statuses(bench_fleet)}
        if versions != {publisher.version}:
            raise RuntimeError(
                f"entries are at versions {versions}, "
                f"the last published one is {publisher.version}"
            )
    return {"rows": rows}


def _row_header(what: str, workers: int, goal_s: float) -> dict:
    return {"what": what, "workers": workers, "entries": ENTRIES, "goal_s": goal_s}


def _statuses(bench_fleet: BenchFleet) -> list:
    return list(bench_fleet.operator().statuses().values())


def _time_changes(
    bench_fleet: BenchFleet, publisher: Publisher, count: int
) -> list[float]:
    rng = random.Random(1)
    durations = []
    for number in range(count):
        gevent.sleep(rng.random() * MAX_DELAY_S)
        patch = {"organisations": {"organisation-1": {"upper_limit": 91 + number % 2}}}
        offset, accepted_at = publisher.publish(patch)
        durations.append(
            _wait_for_all(
                bench_fleet, accepted_at, lambda *to, o=offset: _has_replayed(*to, o)
            )
        )
    return durations


def _time_revocations(
    bench_fleet: BenchFleet, publisher: Publisher, count: int
) -> list[float]:
    rng = random.Random(2)
    durations = []
    for number in range(count):
        key = f"spare-{number}"
        token = bench_fleet.token_by_organisation[key]
        if _refuses_key(Transport(), bench_fleet.addresses()[0], token):
            raise RuntimeError(f"key {key} is refused before its revocation")
        gevent.sleep(rng.random() * MAX_DELAY_S)
        patch = {"organisations": {"organisation-0": {"keys": {key: None}}}}
        _, accepted_at = publisher.publish(patch)
        durations.append(
            _wait_for_all(
                bench_fleet, accepted_at, lambda *to, t=token: _refuses_key(*to, t)
            )
        )
    return durations


def _wait_for_all(
    bench_fleet: BenchFleet,
    accepted_at: float,
    follows_change: Callable[[Transport, str], bool],
) -> float:
    """Return the seconds from acceptance until the last entry follows a change."""
    waiters = [
        gevent.spawn(_wait_for_entry, address, follows_change)
        for address in bench_fleet.addresses()
    ]
    gevent.joinall(waiters, raise_error=True)
    return max(waiter.value for waiter in waiters) - accepted_at


def _wait_for_entry(
    address: str, follows_change: Callable[[Transport, str], bool]
) -> float:
    transport = Transport()
    give_up_at = time.monotonic() + TIMEOUT_S
    try:
        while time.monotonic() < give_up_at:
            if follows_change(transport, address):
                return time.monotonic()
            gevent.sleep(POLL_S)
    finally:
        transport.close()
    raise TimeoutError(f"entry {address} does not follow the change")


def _has_replayed(transport: Transport, address: str, offset: int) -> bool:
    # An empty hand-over changes nothing, but its answer has the entry's next offset.
    # An entry adopts a configuration in the same step as it replays the record.
    body = json.dumps({"offset": UNREACHABLE_OFFSET, "batches": []}).encode()
    headers = {"Authorization": f"Bearer {HANDOVER_TOKEN}"}
    answer = transport.call(
        address, "POST", "/v1/records", body=body, headers=headers, timeout_s=10
    )
    if not isinstance(answer, Response) or answer.status != 200:
        raise RuntimeError(f"entry {address} did not answer the request: {answer}")
    return json.loads(answer.body)["next_offset"] > offset


def _refuses_key(transport: Transport, address: str, token: str) -> bool:
    """Send a request that is refused in any case, and tell if the key is why."""
    answer = transport.call(
        address,
        "POST",
        f"/v1/queues/{INTERACTIVE_QUEUE}/requests",
        body=b'{"cores": 0}',
        headers={"Authorization": f"Bearer {token}"},
        timeout_s=10,
    )
    if not isinstance(answer, Response):
        raise RuntimeError(f"entry {address} did not answer the request: {answer}")
    return json.loads(answer.body)["reason"] == "key_rejected"
