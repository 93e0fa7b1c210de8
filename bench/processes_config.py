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

from .processes_fleet import INTERACTIVE, SHAPES, World, running_world
from .processes_stats import machine_load, summary_ms

ENTRIES = 9
# Each entry is asked this often; times are exact to this and a round trip.
POLL_S = 0.02
GIVE_UP_S = 30.0
# Changes come at random moments of the entries' read cycle.
MAX_PAUSE_S = 0.3
NEVER_REACHED_OFFSET = 2**40


class Publisher:
    """Appends changes straight to the log and knows when each was accepted.

    Nothing is handed to the entries: each learns of a change from the log or
    from its peers, as it does when the operator's machine cannot reach it.
    """

    def __init__(self, log: LogClient, version: int) -> None:
        self.version = version
        self._log = log
        self._sequence = 0

    def publish(self, patch: dict) -> tuple[int, float]:
        """Return the offset of a change and the time of its acceptance."""
        self._sequence += 1
        change = ConfigChanged(self.version, json.dumps(patch), "bench")
        batch = Batch("operator:bench:changes", self._sequence, (change,))
        answer = self._log.append(encode_batch(batch))
        if not isinstance(answer, Appended):
            raise RuntimeError(f"not appended: {answer}")
        self.version += 1
        return answer.offset, time.monotonic()


def measure(workers: int, count: int) -> dict:
    """Measure ``count`` changes of limits and as many key revocations."""
    with running_world(SHAPES[workers], ENTRIES, keys_of_organisation_0=count) as world:
        operator = world.operator(hands_over=False)
        operator.refresh()
        publisher = Publisher(world.log(), operator.version)
        rows = [
            _row("change", workers, 2.0 if workers < 5100 else 11.0),
            _row("key", workers, 3.0),
        ]
        rows[0] |= summary_ms(_changes(world, publisher, count))
        rows[0]["load"] = machine_load()
        rows[1] |= summary_ms(_revocations(world, publisher, count))
        rows[1]["load"] = machine_load()
        versions = {status.config_version for status in _statuses(world)}
        if versions != {publisher.version}:
            raise RuntimeError(f"in force: {versions}, last: {publisher.version}")
    return {"rows": rows}


def _row(what: str, workers: int, goal_s: float) -> dict:
    return {"what": what, "workers": workers, "entries": ENTRIES, "goal_s": goal_s}


def _statuses(world: World) -> list:
    return list(world.operator().statuses().values())


def _changes(world: World, publisher: Publisher, count: int) -> list[float]:
    rng = random.Random(1)
    durations = []
    for number in range(count):
        gevent.sleep(rng.random() * MAX_PAUSE_S)
        patch = {"organisations": {"organisation-1": {"upper_limit": 91 + number % 2}}}
        offset, accepted_at = publisher.publish(patch)
        durations.append(
            _wait_all(world, accepted_at, lambda *to, o=offset: _has_replayed(*to, o))
        )
    return durations


def _revocations(world: World, publisher: Publisher, count: int) -> list[float]:
    rng = random.Random(2)
    durations = []
    for number in range(count):
        key = f"spare-{number}"
        token = world.token_by_organisation[key]
        if _refuses_key(Transport(), world.addresses()[0], token):
            raise RuntimeError(f"key {key} was not in force")
        gevent.sleep(rng.random() * MAX_PAUSE_S)
        patch = {"organisations": {"organisation-0": {"keys": {key: None}}}}
        _, accepted_at = publisher.publish(patch)
        durations.append(
            _wait_all(world, accepted_at, lambda *to, t=token: _refuses_key(*to, t))
        )
    return durations


def _wait_all(
    world: World, accepted_at: float, follows: Callable[[Transport, str], bool]
) -> float:
    """Return the time until the last entry follows a change."""
    waiters = [
        gevent.spawn(_wait_one, address, follows) for address in world.addresses()
    ]
    gevent.joinall(waiters, raise_error=True)
    return max(waiter.value for waiter in waiters) - accepted_at


def _wait_one(address: str, follows: Callable[[Transport, str], bool]) -> float:
    transport = Transport()
    give_up_at = time.monotonic() + GIVE_UP_S
    try:
        while time.monotonic() < give_up_at:
            if follows(transport, address):
                return time.monotonic()
            gevent.sleep(POLL_S)
    finally:
        transport.close()
    raise TimeoutError(f"entry {address} does not follow the change")


def _has_replayed(transport: Transport, address: str, offset: int) -> bool:
    # The configuration is adopted in the same step as its record is replayed.
    body = json.dumps({"offset": NEVER_REACHED_OFFSET, "batches": []}).encode()
    headers = {"Authorization": f"Bearer {HANDOVER_TOKEN}"}
    answer = transport.call(
        address, "POST", "/v1/records", body=body, headers=headers, timeout_s=10
    )
    if not isinstance(answer, Response) or answer.status != 200:
        raise RuntimeError(f"entry {address}: {answer}")
    return json.loads(answer.body)["next_offset"] > offset


def _refuses_key(transport: Transport, address: str, token: str) -> bool:
    """Try a key with a request that is refused also if the key is in force."""
    answer = transport.call(
        address,
        "POST",
        f"/v1/queues/{INTERACTIVE}/requests",
        body=b'{"cores": 0}',
        headers={"Authorization": f"Bearer {token}"},
        timeout_s=10,
    )
    if not isinstance(answer, Response):
        raise RuntimeError(f"entry {address}: {answer}")
    return json.loads(answer.body)["reason"] == "key_rejected"
