"""Behaviour of the worker stand-in that clients and the demo's counts rely on."""

import json
from base64 import b64encode

import pytest

from lycheeloom.standins import Amount, TaskStatus, WorkerStandIn
from lycheeloom.standins.server import Request

HOUR_OF_WORK = b'{"work_ms": 3600000}'


def post(worker, path, **document):
    return worker.handle(Request("POST", path, body=json.dumps(document).encode()))


@pytest.fixture
def worker():
    return WorkerStandIn("w1", zone="z2", capacity=Amount(4, 1000, 1))


def start(worker, task, payload=b"", **changes):
    document = {
        "session": post(worker, "/v1/sessions", ttl_ms=60_000).document["session"],
        "lease_ms": 60_000,
        "organisation": "red",
        "queue": "lookups",
        "resources": {"cores": 1, "memory_mb": 10, "accelerators": 0},
        "payload": b64encode(payload).decode(),
        "wait": False,
    }
    return post(worker, f"/v1/tasks/{task}", **{**document, **changes})


def status(worker, task):
    return worker.handle(Request("GET", f"/v1/tasks/{task}")).document["status"]


def stop_all(worker):
    for task in list(worker.running):
        post(worker, f"/v1/tasks/{task}/stop")


@pytest.mark.parametrize(
    "resources",
    [{"cores": 2}, {"memory_mb": 600}, {"accelerators": 1}],
    ids=str,
)
def test_capacity_is_enforced(worker, resources):
    """A worker that accepted too many tasks would hide faults of the scheduler."""
    codes = [
        start(worker, f"r{n}.1", HOUR_OF_WORK, resources=resources).status
        for n in range(5)
    ]
    assert codes.count(202) == int(4 // resources.get("cores", 4))
    assert set(codes) == {202, 409}
    stop_all(worker)
    assert start(worker, "r9.1", HOUR_OF_WORK, resources=resources).status == 202
    stop_all(worker)


@pytest.mark.parametrize(
    ("payload", "changes", "expected"),
    [
        (b"", {}, TaskStatus.DONE),
        (b'{"work_ms": 1}', {}, TaskStatus.DONE),
        (b'{"work_ms": 1, "fail": true}', {}, TaskStatus.FAILED),
        (b'{"fail": true}', {}, TaskStatus.FAILED),
        (HOUR_OF_WORK, {"lease_ms": 1}, TaskStatus.STOPPED),
        (b"{broken", {}, TaskStatus.DONE),
        (b'{"work_ms": "x"}', {}, TaskStatus.DONE),
    ],
)
def test_final_status_of_a_task(worker, payload, changes, expected):
    """A task ends with its work or is stopped when its lease expires."""
    reply = start(worker, "r1.1", payload, wait=True, **changes)
    assert reply.document["status"] is expected
    assert status(worker, "r1.1") is expected
    assert worker.running == {}


def test_expired_leases_stop_tasks_and_refuse_starts(worker):
    start(worker, "r1.1", HOUR_OF_WORK)
    worker.set_faults(lapse_leases=True)
    assert status(worker, "r1.1") is TaskStatus.STOPPED
    assert start(worker, "r2.1").document["reason"] == "lease_lapsed"
    worker.set_faults(lapse_leases=False)
    assert start(worker, "r2.1").status == 200


def test_reboot_forgets_tasks_but_not_the_ledger(worker):
    """A new boot id shows that the status "unknown" doesn't mean "never started"."""
    boot_id = worker.boot_id
    start(worker, "r1.1", HOUR_OF_WORK)
    worker.reboot()
    assert status(worker, "r1.1") is TaskStatus.UNKNOWN
    assert worker.boot_id != boot_id
    (entry,) = worker.ledger_entries()
    assert entry["status"] is TaskStatus.STOPPED
    assert entry["started_at"] <= entry["ended_at"]
    assert (entry["organisation"], entry["zone"], entry["task"]) == (
        "red",
        "z2",
        "r1.1",
    )


def test_throttled_task_takes_longer(worker):
    start(worker, "r1.1", b'{"work_ms": 1000000}')
    task = worker.running["r1.1"]
    started_at = task.progress_updated_at
    post(worker, "/v1/tasks/r1.1/throttle", fraction=0.5)
    assert task.remaining_s(task.progress_updated_at) == pytest.approx(
        2 * (1000 - (task.progress_updated_at - started_at))
    )
    assert start(worker, "r2.1", HOUR_OF_WORK, resources={"cores": 3.5}).status == 202
    refused = post(worker, "/v1/tasks/r1.1/throttle", fraction=1)
    assert refused.document["reason"] == "no_capacity"
    stop_all(worker)
    assert worker._free_resources()["cores"] == 4


def test_usage_lags_and_shows_actual_use(worker):
    """A report shows past use, which can differ from the requested resources."""
    payload = b'{"work_ms": 3600000, "used_cores": 3, "used_memory_mb": 7}'
    start(worker, "r1.1", payload)
    (entry,) = worker.usage()["tasks"]
    assert (entry["cores"], entry["memory_mb"]) == (3, 7)
    worker.set_faults(lag_ms=3_600_000)
    assert worker.usage()["tasks"] == []
    worker.running["r1.1"].started_at -= 100
    stop_all(worker)
    worker.faults.lag_ms = 50_000
    (entry,) = worker.usage()["tasks"]
    assert 50_000 <= entry["ran_ms"] < 100_000
    worker.faults.lag_ms = 0
    assert worker.usage()["tasks"] == []
