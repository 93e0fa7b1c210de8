"""Tests the invariants of the design page on real processes with injected faults.

The letter I and a number at the start of a docstring, such as I2, name an invariant of
the design page.
After each test, ``bench.fault_oracle`` checks all invariants on what callers,
operators and workers observed.
"""

from __future__ import annotations

import signal
import socket
import time

import gevent
import pytest

from bench.fault_document import LIMIT_BY_ORGANISATION, ZONES
from bench.fault_oracle import (
    KEY_REVOCATION_LIMIT_S,
    ZONE_OUT_LIMIT_S,
    peak_by_organisation,
)
from lycheeloom.operator import Published

from .conftest import (
    Load,
    LogProxy,
    call_if_ran,
    is_known_by,
    publish_with_retries,
    wait_until,
)

INSTANCE_LIST_LAG_S = 1.0
# By the design page, a leaving worker gets no new tasks after this time.
LEAVING_LIMIT_S = 3.0


@pytest.fixture
def key(harness):
    """A key of organisation red that only this test uses, in force on every entry."""
    key = harness.grant_key("red")
    version = harness.history.publications[-1].version
    wait_until(lambda: in_force_everywhere(harness, version))
    return key


@pytest.fixture
def log_faults(harness):
    """A function that sets faults of the log; they are cleared after the test."""
    yield lambda **faults: harness.fleet.set_faults("log", **faults)
    harness.fleet.set_faults("log", outage=False, slow_ms=0, lose_answers=0)


@pytest.fixture
def worker_faults(harness):
    """A function that sets faults of all workers; they are cleared after the test."""
    workers = harness.fleet.platform.workers

    def set_faults(**faults):
        for worker in workers:
            harness.fleet.set_faults(worker, **faults)

    yield set_faults
    set_faults(down=False, outage=False, slow_ms=0, lose_answers=0, fail_all=False)


def in_force_everywhere(harness, version):
    """Tell whether all 3 entries report this configuration version or a newer one."""
    versions = harness.record_versions()
    return len(versions) == 3 and min(versions.values()) >= version


def starts_of(harness, work_id):
    """Return the task starts for a work id, from the ledger."""
    return [start for start in harness.fleet.ledger() if start["call"] == work_id]


def test_each_instance_is_in_one_pool_after_racing_moves(harness):
    """I2: guards against an instance in two pools after racing moves by operators."""
    harness.publish("pool", "extra", lambda draft: draft.add_pool("extra"))
    operators = [harness.operator(name) for name in ("aoife", "bela")]
    for operator in operators:
        operator.refresh()
    publishing = []
    for operator, pool in zip(operators, ("extra", "main"), strict=True):
        draft = operator.draft()
        draft.move_instance("w0", pool)
        draft.set_name(f"by {operator.name}")
        publishing.append(
            gevent.spawn(
                operator.publish,
                draft.document,
                operator.version,
                accept_warnings=True,
            )
        )
    results = [greenlet.get() for greenlet in publishing]
    published = [result for result in results if isinstance(result, Published)]
    assert len(published) == 1, results
    wait_until(lambda: in_force_everywhere(harness, published[0].version))
    for name in harness.zone_by_entry:
        pools = harness.status(name)["pools"]
        assert sum(pool["workers"] for pool in pools.values()) == 6


def test_work_is_accepted_only_with_a_key_of_the_organisation(harness, key):
    """I3: guards against work that is accepted with a wrong key or without one."""
    assert harness.submit("lookup", "e0", key).status == 200
    harness.token_by_key[key] += "0"
    assert harness.submit("lookup", "e1", key).document["reason"] == "key_rejected"
    harness.token_by_key[key] = ""
    assert harness.submit("lookup", "e2", key).document["reason"] == "key_rejected"


def test_revoked_key_stops_while_an_entry_cannot_read_the_log(isolated_harness):
    """I3: guards against an entry without log access that accepts a revoked key."""
    harness = isolated_harness
    log_proxy = LogProxy(harness.fleet.platform.log)
    harness.stop_entry("e2")
    harness.start_entry("e2", log=log_proxy.address)
    harness.wait_ready()
    keys = [harness.grant_key("red"), harness.grant_key("red")]
    for key in keys:
        wait_until(lambda key=key: harness.submit("lookup", "e2", key).status == 200)
    log_proxy.disconnect()
    paused_entry = harness.entry_by_name["e1"]
    paused_entry.signal(signal.SIGSTOP)
    harness.serving_entries.discard("e1")
    result = harness.revoke_key(keys[0])
    assert isinstance(result, Published)
    accepted_at = harness.history.publications[-1].accepted_at
    with Load(harness, 4, lambda entry: harness.submit("lookup", entry, keys[0])):
        gevent.sleep(
            max(0.0, accepted_at + KEY_REVOCATION_LIMIT_S - time.monotonic()) + 0.5
        )
        late_calls = [
            harness.submit("lookup", entry, keys[0]) for entry in ("e0", "e2")
        ]
        paused_entry.signal(signal.SIGCONT)
        late_calls.append(harness.submit("lookup", "e1", keys[0]))
    assert {call.verdict for call in late_calls} == {"not_run"}
    # Peers relay the log to e2, so e2 still accepts keys that are in force.
    assert wait_until(lambda: harness.submit("lookup", "e2", keys[1]).status == 200)


def test_slots_and_claims_of_lost_entries(isolated_harness):
    """I4, I8: guards against more tasks than the upper limit, or a second run of a
    booking, after an entry was lost.

    e0 is paused, expelled and resumed within the lease of its tasks, while other
    entries get its slots. e2 is killed and replaced while a keyed booking runs. The
    losses of e0 and e2 share a test because reclaiming the slots and claims of a lost
    entry takes 20 s.
    """
    harness = isolated_harness
    limit = LIMIT_BY_ORGANISATION["green"]
    green_key = next(
        key for key, owner in harness.organisation_by_key.items() if owner == "green"
    )

    def hold_slot():
        harness.submit("booking", "e0", green_key, work_ms=40_000, timeout_s=100.0)

    long_calls = [gevent.spawn(hold_slot) for _ in range(limit)]
    wait_until(
        lambda: peak_by_organisation(harness.fleet.ledger()).get("green") == limit
    )
    booking = {
        "work": harness.new_work_id(),
        "work_ms": 1000,
        "idempotency_key": "booking",
    }
    red_key = next(
        key for key, owner in harness.organisation_by_key.items() if owner == "red"
    )
    interrupted_call = gevent.spawn(harness.submit, "keyed", "e2", red_key, **booking)
    wait_until(lambda: starts_of(harness, booking["work"]))
    harness.entry_by_name["e2"].kill()
    assert interrupted_call.get().verdict == "may_have_run"
    harness.start_entry("e2")
    harness.wait_ready()

    wait_until(lambda: is_known_by(harness, "e2", "e0"))
    lost_entry = harness.entry_by_name["e0"]
    harness.serving_entries.discard("e0")
    lost_entry.signal(signal.SIGSTOP)
    with Load(
        harness,
        2 * limit,
        lambda entry: harness.submit("lookup", entry, green_key, work_ms=2000),
    ) as load:
        wait_until(lambda: "expelled" in member_states(harness, "e0"))
        lost_entry.signal(signal.SIGCONT)
        wait_until(lambda: member_states(harness, "e0") == {"live"})
        load.wait_for_more_calls(2 * limit)
        wait_until(
            lambda: call_if_ran(harness.submit("keyed", "e1", red_key, **booking))
        )
        lost_entry.kill()
    gevent.joinall(long_calls)
    assert len(starts_of(harness, booking["work"])) == 1
    assert peak_by_organisation(harness.fleet.ledger())["green"] == limit


def member_states(harness, name):
    """Return the states that e1 reports for all incarnations of an instance."""
    members = harness.status("e1")["members"]
    return {item["state"] for item in members if item["instance"] == name}


def test_no_start_in_a_zone_that_is_out(harness, key, log_faults):
    """I5: guards against starts by an entry that was paused or missed a log answer."""
    zone = ZONES[0]
    paused_entry = harness.entry_by_name["e1"]
    with Load(harness, 9, lambda entry: harness.submit("lookup", entry, key)) as load:
        load.wait_for_more_calls(20)
        paused_entry.signal(signal.SIGSTOP)
        harness.paused.add("e1")
        log_faults(lose_answers=3)
        zone_out = publish_with_retries(
            harness, "zone out", zone, lambda d: d.take_zone_out(zone)
        )
        gevent.sleep(
            max(0.0, zone_out.accepted_at + ZONE_OUT_LIMIT_S - time.monotonic())
        )
        paused_entry.signal(signal.SIGCONT)
        load.wait_for_more_calls(60)
        zone_in = publish_with_retries(
            harness, "zone in", zone, lambda d: d.bring_zone_in(zone)
        )
        wait_until(lambda: starts_since(harness, zone, zone_in.accepted_at))


def starts_since(harness, zone, since):
    """Return the task starts in a zone after a time, from the ledger."""
    ledger = harness.fleet.ledger()
    return [s for s in ledger if s["zone"] == zone and s["started_at"] > since]


@pytest.mark.parametrize(
    "faults",
    [{"slow_ms": 300}, {"lose_answers": 3}, {"silent": True}],
    ids=["late", "lost", "silent"],
)
def test_each_caller_gets_its_own_answer(harness, key, worker_faults, faults):
    """I6: guards against an answer read from the connection of another request."""

    def submit_lookup(entry):
        return harness.submit("lookup", entry, key, work_ms=30)

    with Load(harness, 24, submit_lookup) as load:
        load.wait_for_more_calls(24)
        worker_faults(**faults)
        load.wait_for_more_calls(48)
        worker_faults(**{name: type(value)(0) for name, value in faults.items()})
        wait_until(lambda: call_if_ran(harness.submit("lookup", "e0", key)))


def test_calls_are_answered_despite_silent_log_connections(harness, key):
    """I6: guards against waiting for ever on a connection that no longer answers."""
    with Load(harness, 6, lambda entry: harness.submit("lookup", entry, key)) as load:
        # Only connections that are open now get no answer any more.
        harness.fleet.set_faults("log", silent=True)
        load.wait_for_more_calls(30)
        booking = {"work": harness.new_work_id(), "idempotency_key": "silent"}
        wait_until(lambda: call_if_ran(harness.submit("keyed", "e0", key, **booking)))
    assert len(starts_of(harness, booking["work"])) == 1


def test_work_refused_as_not_run_was_not_started(
    harness, key, log_faults, worker_faults
):
    """I7: guards against "not run" for work that a worker has started."""
    worker_faults(lose_answers=-1)
    lost_answer_calls = [
        gevent.spawn(harness.submit, "booking", entry, key, work_ms=20)
        for entry in sorted(harness.serving_entries)
    ]
    gevent.joinall(lost_answer_calls, raise_error=True)
    worker_faults(lose_answers=0, down=True)
    for address in harness.fleet.platform.workers.values():
        wait_until(lambda address=address: refuses_connections(address))
    refused_calls = [
        gevent.spawn(harness.submit, "booking", entry, key, deadline_ms=1500)
        for entry in sorted(harness.serving_entries)
    ]
    gevent.joinall(refused_calls, raise_error=True)
    assert {call.get().verdict for call in refused_calls} == {"not_run"}
    worker_faults(down=False)
    log_faults(outage=True)
    wait_until(lambda: (harness.status("e0")["log_age_ms"] or 0) > 2000)
    refused_call = harness.submit("keyed", "e0", key, idempotency_key="outage")
    assert refused_call.document["reason"] == "log_unavailable"
    assert harness.submit("batch", "e0", key).document["reason"] == "log_unavailable"
    wait_until(lambda: call_if_ran(harness.submit("lookup", "e0", key)))


def refuses_connections(address):
    """Tell whether nothing listens at an address."""
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port))).close()
    except ConnectionRefusedError:
        return True
    return False


def test_cancelled_retry_is_not_reported_as_not_run(harness, key, worker_faults):
    """I7: guards against "not run" for a lookup whose first attempt has failed."""
    worker_faults(fail_all=True)
    calls = [
        gevent.spawn(harness.submit, "lookup", "e0", key, deadline_ms=3000)
        for _ in range(10)
    ]
    gevent.joinall(calls, raise_error=True)
    assert "ran" not in {call.get().verdict for call in calls}


def test_keyed_booking_runs_once_under_lost_answers(harness, key, log_faults):
    """I8: guards against a second run after answers of the log were lost."""
    log_faults(lose_answers=6)
    work_id = harness.new_work_id()
    repeats = [
        gevent.spawn(
            harness.submit, "keyed", entry, key, work=work_id, idempotency_key=work_id
        )
        for entry in ("e0", "e1", "e2", "e0")
    ]
    gevent.joinall(repeats, raise_error=True)
    log_faults(lose_answers=0)
    last_call = wait_until(
        lambda: call_if_ran(
            harness.submit("keyed", "e2", key, work=work_id, idempotency_key=work_id)
        )
    )
    assert last_call.verdict == "ran"
    assert len(starts_of(harness, work_id)) == 1


def test_leaving_worker_gets_no_new_work(harness, key):
    """I9: guards against starts at a worker that the platform lists as leaving."""
    fleet = harness.fleet
    _, listing = fleet.call(fleet.platform.instances, "GET", "/v1/instances")
    listed = next(i for i in listing["instances"] if i["instance"] == "w5")
    path = "/v1/instances/w5"
    with Load(harness, 6, lambda entry: harness.submit("lookup", entry, key)) as load:
        load.wait_for_more_calls(20)
        leaving = {**listed, "state": "leaving"}
        fleet.call(fleet.platform.instances, "PUT", path, leaving)
        window_start = time.monotonic() + INSTANCE_LIST_LAG_S + LEAVING_LIMIT_S
        gevent.sleep(INSTANCE_LIST_LAG_S + LEAVING_LIMIT_S)
        load.wait_for_more_calls(60)
        window_end = time.monotonic()
        fleet.call(fleet.platform.instances, "PUT", path, listed)
    late_starts = [
        start
        for start in fleet.ledger()
        if start["worker"] == "w5" and window_start < start["started_at"] < window_end
    ]
    assert late_starts == []


def test_entries_restart_one_by_one_without_cutting_requests(isolated_harness):
    """I10: guards against requests that are cut off by a rolling restart."""
    harness = isolated_harness
    key = next(
        key for key, owner in harness.organisation_by_key.items() if owner == "red"
    )

    def submit_mixed(entry):
        # A work id ends in a consecutive number, so the kinds take turns.
        work_id = harness.new_work_id()
        kind = ("lookup", "booking", "keyed")[int(work_id.split("-")[1]) % 3]
        options = {"idempotency_key": work_id} if kind == "keyed" else {}
        return harness.submit(kind, entry, key, work=work_id, work_ms=700, **options)

    with Load(harness, 18, submit_mixed) as load:
        for name in sorted(harness.zone_by_entry):
            load.wait_for_more_calls(9)
            assert harness.stop_entry(name) == 0
            harness.start_entry(name)
            harness.serving_entries.discard(name)
            harness.wait_ready([name])
            harness.serving_entries.add(name)
    assert {call.verdict for call in load.calls} <= {"ran", "not_run", "accepted"}
    # Another entry runs a recorded request that had not started.
    for call in load.calls:
        if call.verdict == "accepted":
            wait_until(lambda call=call: call_if_ran(harness.collect(call, "e1", 1000)))


def test_configuration_never_reverts(harness, log_faults):
    """I11: guards against an entry that returns to or keeps an older configuration."""
    harness.entry_by_name["e2"].signal(signal.SIGSTOP)
    harness.paused.add("e2")
    for number in range(4):
        log_faults(lose_answers=number % 2)
        last_publication = publish_with_retries(
            harness,
            "name",
            "fleet",
            lambda draft, n=number: draft.set_name(f"name {n}"),
        )
        harness.record_versions()
    harness.entry_by_name["e2"].signal(signal.SIGCONT)
    harness.paused.discard("e2")
    wait_until(lambda: in_force_everywhere(harness, last_publication.version))


def test_batches_survive_the_loss_of_all_entries(isolated_harness):
    """Guards against batch requests that are lost or run twice when entries crash."""
    harness = isolated_harness
    key = next(
        key for key, owner in harness.organisation_by_key.items() if owner == "blue"
    )
    limit = LIMIT_BY_ORGANISATION["blue"]
    batches = [
        harness.submit("batch", f"e{number % 3}", key, work_ms=1500)
        for number in range(4 * limit)
    ]
    assert {batch.status for batch in batches} == {202}
    wait_until(lambda: peak_by_organisation(harness.fleet.ledger()).get("blue", 0) > 1)
    for program in harness.entry_by_name.values():
        program.kill()
    for name in sorted(harness.zone_by_entry):
        harness.start_entry(name)
    harness.wait_ready()
    for batch in batches:
        for entry in ("e0", "e2"):
            answer = wait_until(
                lambda batch=batch, entry=entry: collect_if_final(harness, batch, entry)
            )
            assert answer.verdict == "ran"


def collect_if_final(harness, batch, entry):
    """Return the answer to a batch request if it carries a verdict, else None."""
    answer = harness.collect(batch, entry, wait_ms=1000)
    return answer if answer.is_final else None
