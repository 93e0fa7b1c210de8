"""Client of the workers: which responses prove that a task did not run."""

import gevent
import pytest

from lycheeloom.clients import (
    ActionRefused,
    StartRefusal,
    StartRefused,
    StartUnknown,
    TaskReport,
    TaskStatus,
    Unavailable,
    UsageReport,
)
from lycheeloom.model.resources import Resources
from lycheeloom.standins import Amount, PlatformStandIns, WorkerStandIn

LONG_S = 60.0
SHORT_S = 0.1
HOUR_OF_WORK = b'{"work_ms": 3600000}'


def wait_until(condition):
    while not condition():
        gevent.sleep(0.001)


def test_start_returns_the_answer(worker, workers, make_start):
    """Guards against changed payloads and a missing traceparent."""
    payload = bytes(range(256))
    start = make_start(payload=payload)
    report = workers.start(
        worker.address, start, timeout_s=LONG_S, traceparent="00-a-b-01"
    )
    free = Resources(64, 256 * 1024, 0)
    assert report == TaskReport(
        "r1.1", TaskStatus.DONE, worker.boot_id, free, answer=payload
    )
    (entry,) = worker.ledger_entries()
    assert (entry["request_id"], entry["traceparent"]) == ("r1", "00-a-b-01")


def test_task_id_is_quoted(worker, workers, make_start):
    """A task id with reserved characters must not change the URL path."""
    start = make_start("a/b?c d%é.1")
    report = workers.start(worker.address, start, timeout_s=LONG_S)
    assert report.task == start.task
    assert workers.status(worker.address, start.task).status is TaskStatus.DONE


@pytest.mark.parametrize(
    ("faults", "changes", "reason"),
    [
        ({"lapse_leases": True}, {}, StartRefusal.LEASE_LAPSED),
        ({}, {"session": "unknown"}, StartRefusal.LEASE_LAPSED),
        ({}, {"resources": Resources(65)}, StartRefusal.NO_CAPACITY),
        ({}, {"resources": Resources(1, 0, 1)}, StartRefusal.NO_CAPACITY),
        ({}, {"organisation": None}, StartRefusal.BAD_REQUEST),
        ({}, {"lease_s": -1.0}, StartRefusal.BAD_REQUEST),
        ({}, {"resources": Resources(-1)}, StartRefusal.BAD_REQUEST),
        ({"down": True}, {}, StartRefusal.UNREACHABLE),
    ],
    ids=str,
)
def test_start_refused(worker, workers, make_start, faults, changes, reason):
    """A refused start must not have had any effect at the worker."""
    worker.set_faults(**faults)
    start = make_start(**changes)
    result = workers.start(worker.address, start, timeout_s=LONG_S)
    assert isinstance(result, StartRefused)
    assert result.reason is reason
    assert worker.ledger == []


def test_start_refused_while_draining(worker, workers, make_start):
    worker.drain()
    result = workers.start(worker.address, make_start(), timeout_s=LONG_S)
    assert result == StartRefused(StartRefusal.DRAINING, Resources(64, 256 * 1024, 0))


@pytest.mark.parametrize(
    ("faults", "started"),
    [
        ({"lose_answers": 1}, 1),
        ({"silent": True}, 0),
        ({"slow_ms": 60_000}, 0),
        ({"outage": True}, 0),
    ],
    ids=str,
)
def test_start_unknown(worker, workers, make_start, faults, started):
    """Without a response, nothing proves that the task did not run."""
    start = make_start()
    worker.set_faults(**faults)
    ends_by_timeout = "silent" in faults or "slow_ms" in faults
    timeout_s = SHORT_S if ends_by_timeout else LONG_S
    result = workers.start(worker.address, start, timeout_s=timeout_s)
    assert isinstance(result, StartUnknown)
    assert len(worker.ledger) == started
    worker.set_faults(**{name: type(value)() for name, value in faults.items()})
    report = workers.status(worker.address, start.task)
    assert report.status is (TaskStatus.DONE if started else TaskStatus.UNKNOWN)


def test_duplicate_start_is_not_a_refusal(worker, workers, make_start):
    """The worker refuses a task that it knows, but that task may have run."""
    start = make_start()
    workers.start(worker.address, start, timeout_s=LONG_S)
    result = workers.start(worker.address, start, timeout_s=LONG_S)
    assert result == StartUnknown("duplicate")


def test_task_outlives_the_timeout_of_its_start(worker, workers, make_start):
    """After the timeout, the outcome is unknown and the status says running."""
    start = make_start(payload=HOUR_OF_WORK)
    result = workers.start(worker.address, start, timeout_s=SHORT_S)
    assert isinstance(result, StartUnknown)
    wait_until(lambda: worker.running)
    assert workers.status(worker.address, start.task).status is TaskStatus.RUNNING
    workers.stop(worker.address, start.task)


def test_failed_task_ran(worker, workers, make_start):
    worker.set_faults(fail_all=True)
    report = workers.start(worker.address, make_start(), timeout_s=LONG_S)
    assert report.status is TaskStatus.FAILED


def test_lapsed_session_gets_a_new_one(worker, workers):
    """A renewal after a session has lapsed must not revive it."""
    first = workers.open_session(worker.address, "e", 0.001)
    gevent.sleep(0.01)
    second = workers.open_session(worker.address, "e", LONG_S, first.id)
    third = workers.open_session(worker.address, "e", LONG_S, second.id)
    assert first.id != second.id
    assert second.id == third.id


def test_checkpoint_resumes_in_another_attempt(worker, workers, make_start):
    """Guards against losing the work done before a checkpoint."""
    first = make_start(payload=b'{"work_ms": 3600000}', wait=False)
    assert workers.start(worker.address, first, timeout_s=LONG_S).status == "running"
    worker.running["r1.1"].worked_s = 3599.999
    report = workers.checkpoint(worker.address, "r1.1")
    assert report.status is TaskStatus.CHECKPOINTED
    second = make_start("r1.2", payload=HOUR_OF_WORK, checkpoint=report.checkpoint)
    report = workers.start(worker.address, second, timeout_s=LONG_S)
    assert report.status is TaskStatus.DONE


@pytest.mark.parametrize("action", ["cancel", "stop"])
def test_stopping_frees_capacity(worker, workers, make_start, action):
    """The waiting start gets the final report, and the resources are free again."""
    start = make_start(payload=HOUR_OF_WORK, resources=Resources(64, 1, 0))
    waiting = gevent.spawn(workers.start, worker.address, start, timeout_s=LONG_S)
    wait_until(lambda: worker.running)
    assert workers.usage(worker.address).tasks[0].used.cores == 64
    report = getattr(workers, action)(worker.address, start.task)
    assert (report.status, report.free.cores) == (TaskStatus.STOPPED, 64)
    assert waiting.get().status is TaskStatus.STOPPED
    assert workers.usage(worker.address) == UsageReport(worker.boot_id, 0, ())


def test_throttle_frees_processors(worker, workers, make_start):
    start = make_start(payload=HOUR_OF_WORK, resources=Resources(8, 1, 0), wait=False)
    workers.start(worker.address, start, timeout_s=LONG_S)
    report = workers.throttle(worker.address, start.task, 0.25)
    assert report.free.cores == 62
    refused = workers.throttle(worker.address, start.task, 2)
    assert isinstance(refused, ActionRefused)
    workers.stop(worker.address, start.task)


def test_renew_sets_the_end_of_the_lease(worker, workers, make_start):
    """The worker must stop a task when its renewed lease has lapsed."""
    start = make_start(payload=HOUR_OF_WORK)
    waiting = gevent.spawn(workers.start, worker.address, start, timeout_s=LONG_S)
    wait_until(lambda: worker.running)
    workers.renew(worker.address, start.task, 0.01, start.session)
    assert waiting.get().status is TaskStatus.STOPPED


@pytest.mark.parametrize("named_session", ["", "lapsed"])
def test_renewal_without_a_valid_session_has_no_effect(
    worker, workers, make_start, named_session
):
    """Guards against a delayed renewal that extends the lease of a lost entry's task.

    The slots of the entry would be given to others while the task still runs.
    """
    start = make_start(payload=HOUR_OF_WORK, wait=False)
    workers.start(worker.address, start, timeout_s=LONG_S)
    lease_until = worker.running[start.task].lease_until
    refused = workers.renew(worker.address, start.task, 2 * LONG_S, named_session)
    assert refused == ActionRefused("lease_lapsed")
    assert worker.running[start.task].lease_until == lease_until
    workers.stop(worker.address, start.task)


def test_every_greenlet_gets_its_own_answer(make_start):
    """Guards against answers mixed up between greenlets that share connections."""
    fleet = [WorkerStandIn(f"w{n}", capacity=Amount(1e6, 10**9)) for n in range(3)]
    with PlatformStandIns(workers=fleet):
        answers = gevent.pool.Pool(100).map(
            lambda n: run_on(fleet[n % 3], make_start, n), range(600)
        )
    assert answers == [str(n).encode() for n in range(600)]
    assert sum(len(worker.ledger) for worker in fleet) == 600


def run_on(worker, make_start, number):
    client = run_on.client
    session = client.open_session(worker.address, "e", LONG_S).id
    start = make_start(f"r{number}.1", session=session, payload=str(number).encode())
    return client.start(worker.address, start, timeout_s=LONG_S).answer


@pytest.fixture(autouse=True)
def _shared_client(workers):
    run_on.client = workers


@pytest.mark.parametrize(
    "faults",
    [{"down": True}, {"silent": True}, {"lose_answers": 1}, {"outage": True}],
    ids=str,
)
@pytest.mark.parametrize(
    "call",
    [
        lambda c, a: c.open_session(a, "e", 1.0),
        lambda c, a: c.status(a, "t"),
        lambda c, a: c.renew(a, "t", 1.0, "s"),
        lambda c, a: c.usage(a),
    ],
    ids=["open_session", "status", "renew", "usage"],
)
def test_other_calls_report_unavailability(worker, workers, faults, call):
    workers.usage(worker.address)
    worker.set_faults(**faults)
    workers._call_timeout_s = SHORT_S
    assert isinstance(call(workers, worker.address), Unavailable)
