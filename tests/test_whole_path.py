"""Each invariant of the design page on real processes under failure.

Every test ends with the oracle of ``bench.fault_oracle``, which sees what
callers, operators and workers saw.
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
    Forwarder,
    Load,
    accepted,
    hears,
    publish_surely,
    wait_until,
)

LIST_LAG_S = 1.0
# Stated target of the design page for workers that are leaving.
LEAVING_S = 3.0


@pytest.fixture
def key(world):
    """A key of organisation red that only this test uses, in force on every entry."""
    key = world.grant_key("red")
    version = world.history.publications[-1].version
    wait_until(lambda: in_force_everywhere(world, version))
    return key


@pytest.fixture
def log_faults(world):
    """Switches faults of the log and clears them afterwards."""
    yield lambda **faults: world.fleet.set_faults("log", **faults)
    world.fleet.set_faults("log", outage=False, slow_ms=0, lose_answers=0)


@pytest.fixture
def worker_faults(world):
    """Switches faults of all workers and clears them afterwards."""
    workers = world.fleet.platform.workers

    def switch(**faults):
        for worker in workers:
            world.fleet.set_faults(worker, **faults)

    yield switch
    switch(down=False, outage=False, slow_ms=0, lose_answers=0, fail_all=False)


def in_force_everywhere(world, version):
    """Tell whether every entry shows at least this configuration version."""
    versions = world.record_versions()
    return len(versions) == 3 and min(versions.values()) >= version


def starts_of(world, work):
    """Return the starts of some work in the ledger."""
    return [start for start in world.fleet.ledger() if start["call"] == work]


def test_each_instance_is_in_one_pool_after_racing_moves(world):
    """I2: guards against two operators placing one instance in two pools."""
    world.publish("pool", "extra", lambda draft: draft.add_pool("extra"))
    operators = [world.operator(name) for name in ("aoife", "bela")]
    for operator in operators:
        operator.refresh()
    racing = []
    for operator, pool in zip(operators, ("extra", "main"), strict=True):
        draft = operator.draft()
        draft.move_instance("w0", pool)
        draft.set_name(f"by {operator.name}")
        racing.append(
            gevent.spawn(
                operator.publish,
                draft.document,
                operator.version,
                accept_warnings=True,
            )
        )
    results = [greenlet.get() for greenlet in racing]
    won = [result for result in results if isinstance(result, Published)]
    assert len(won) == 1, results
    wait_until(lambda: in_force_everywhere(world, won[0].version))
    for name in world.zone_by_entry:
        pools = world.status(name)["pools"]
        assert sum(pool["workers"] for pool in pools.values()) == 6


def test_work_is_accepted_only_with_a_key_of_the_organisation(world, key):
    """I3: guards against work without a key, or with another organisation's queue."""
    assert world.submit("lookup", "e0", key).status == 200
    world.token_by_key[key] += "0"
    assert world.submit("lookup", "e1", key).document["reason"] == "key_rejected"
    world.token_by_key[key] = ""
    assert world.submit("lookup", "e2", key).document["reason"] == "key_rejected"


def test_revoked_key_stops_while_an_entry_cannot_read_the_log(lone_world):
    """I3: guards against an entry that keeps a revoked key without the log."""
    world = lone_world
    forwarder = Forwarder(world.fleet.platform.log)
    world.stop_entry("e2")
    world.start_entry("e2", log=forwarder.address)
    world.wait_ready()
    keys = [world.grant_key("red"), world.grant_key("red")]
    for key in keys:
        wait_until(lambda key=key: world.submit("lookup", "e2", key).status == 200)
    forwarder.cut()
    paused = world.entry_by_name["e1"]
    paused.signal(signal.SIGSTOP)
    world.serving_entries.discard("e1")
    result = world.revoke_key(keys[0])
    assert isinstance(result, Published)
    accepted_at = world.history.publications[-1].accepted_at
    with Load(world, 4, lambda entry: world.submit("lookup", entry, keys[0])):
        gevent.sleep(
            max(0.0, accepted_at + KEY_REVOCATION_LIMIT_S - time.monotonic()) + 0.5
        )
        late = [world.submit("lookup", entry, keys[0]) for entry in ("e0", "e2")]
        paused.signal(signal.SIGCONT)
        late.append(world.submit("lookup", "e1", keys[0]))
    assert {call.verdict for call in late} == {"not_run"}
    # Peers relay the log to the entry, so it goes on with keys in force.
    assert wait_until(lambda: world.submit("lookup", "e2", keys[1]).status == 200)


def test_slots_and_claims_of_lost_entries(lone_world):
    """I4, I8: guards against work of a lost entry that runs beside or again.

    e0 is paused, expelled and back within the lease of its tasks, while others
    get its slots. e2 is killed and replaced while a keyed booking runs. Both are
    in one test, as reclaiming the slots and claims of a lost entry takes 20 s.
    """
    world = lone_world
    limit = LIMIT_BY_ORGANISATION["green"]
    key = next(
        key
        for key, organisation in world.organisation_by_key.items()
        if organisation == "green"
    )

    def hold():
        world.submit("booking", "e0", key, work_ms=40_000, timeout_s=100.0)

    held = [gevent.spawn(hold) for _ in range(limit)]
    wait_until(lambda: peak_by_organisation(world.fleet.ledger()).get("green") == limit)
    keyed = {"work": world.new_work_id(), "work_ms": 1000, "idempotency_key": "booking"}
    red = next(
        key
        for key, organisation in world.organisation_by_key.items()
        if organisation == "red"
    )
    booked = gevent.spawn(world.submit, "keyed", "e2", red, **keyed)
    wait_until(lambda: starts_of(world, keyed["work"]))
    world.entry_by_name["e2"].kill()
    assert booked.get().verdict == "may_have_run"
    world.start_entry("e2")
    world.wait_ready()

    wait_until(lambda: hears(world, "e2", "e0"))
    entry = world.entry_by_name["e0"]
    world.serving_entries.discard("e0")
    entry.signal(signal.SIGSTOP)
    with Load(
        world,
        2 * limit,
        lambda entry: world.submit("lookup", entry, key, work_ms=2000),
    ) as load:
        wait_until(lambda: "expelled" in states(world, "e0"))
        entry.signal(signal.SIGCONT)
        wait_until(lambda: states(world, "e0") == {"live"})
        load.wait_for_more(2 * limit)
        wait_until(lambda: accepted(world.submit("keyed", "e1", red, **keyed)))
        entry.kill()
    gevent.joinall(held)
    assert len(starts_of(world, keyed["work"])) == 1
    assert peak_by_organisation(world.fleet.ledger())["green"] == limit


def states(world, name):
    """Return the states that e1 shows for the members of an instance."""
    members = world.status("e1")["members"]
    return {item["state"] for item in members if item["instance"] == name}


def test_no_start_in_a_zone_that_is_out(world, key, log_faults):
    """I5: guards against starts by an entry that was paused or lost an answer."""
    zone = ZONES[0]
    paused = world.entry_by_name["e1"]
    with Load(world, 9, lambda entry: world.submit("lookup", entry, key)) as load:
        load.wait_for_more(20)
        paused.signal(signal.SIGSTOP)
        world.paused.add("e1")
        log_faults(lose_answers=3)
        out = publish_surely(world, "zone out", zone, lambda d: d.take_zone_out(zone))
        gevent.sleep(max(0.0, out.accepted_at + ZONE_OUT_LIMIT_S - time.monotonic()))
        paused.signal(signal.SIGCONT)
        load.wait_for_more(60)
        back = publish_surely(world, "zone in", zone, lambda d: d.bring_zone_in(zone))
        wait_until(lambda: starts_since(world, zone, back.accepted_at))


def starts_since(world, zone, since):
    """Return the starts in a zone after a time."""
    ledger = world.fleet.ledger()
    return [s for s in ledger if s["zone"] == zone and s["started_at"] > since]


@pytest.mark.parametrize(
    "faults",
    [{"slow_ms": 300}, {"lose_answers": 3}, {"silent": True}],
    ids=["late", "lost", "silent"],
)
def test_each_caller_gets_its_own_answer(world, key, worker_faults, faults):
    """I6: guards against answers taken from another request's connection."""

    def call(entry):
        return world.submit("lookup", entry, key, work_ms=30)

    with Load(world, 24, call) as load:
        load.wait_for_more(24)
        worker_faults(**faults)
        load.wait_for_more(48)
        worker_faults(**{name: type(value)(0) for name, value in faults.items()})
        wait_until(lambda: accepted(world.submit("lookup", "e0", key)))


def test_silent_connections_to_the_log(world, key):
    """I6: guards against waiting for good on a connection that went silent."""
    with Load(world, 6, lambda entry: world.submit("lookup", entry, key)) as load:
        world.fleet.set_faults("log", silent=True)
        load.wait_for_more(30)
        booking = {"work": world.new_work_id(), "idempotency_key": "silent"}
        wait_until(lambda: accepted(world.submit("keyed", "e0", key, **booking)))
    assert len(starts_of(world, booking["work"])) == 1


def test_refusals_are_true(world, key, log_faults, worker_faults):
    """I7: guards against "not run" for work that a worker has started."""
    worker_faults(lose_answers=-1)
    doubtful = [
        gevent.spawn(world.submit, "booking", entry, key, work_ms=20)
        for entry in sorted(world.serving_entries)
    ]
    gevent.joinall(doubtful, raise_error=True)
    worker_faults(lose_answers=0, down=True)
    for address in world.fleet.platform.workers.values():
        wait_until(lambda address=address: refuses_connections(address))
    down = [
        gevent.spawn(world.submit, "booking", entry, key, deadline_ms=1500)
        for entry in sorted(world.serving_entries)
    ]
    gevent.joinall(down, raise_error=True)
    assert {call.get().verdict for call in down} == {"not_run"}
    worker_faults(down=False)
    log_faults(outage=True)
    wait_until(lambda: (world.status("e0")["log_age_ms"] or 0) > 2000)
    refused = world.submit("keyed", "e0", key, idempotency_key="outage")
    assert refused.document["reason"] == "log_unavailable"
    assert world.submit("batch", "e0", key).document["reason"] == "log_unavailable"
    wait_until(lambda: accepted(world.submit("lookup", "e0", key)))


def refuses_connections(address):
    """Tell whether nothing listens at an address any more."""
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port))).close()
    except ConnectionRefusedError:
        return True
    return False


def test_cancelled_retry_is_not_told_as_not_run(world, key, worker_faults):
    """I7: guards against "not run" for a lookup whose first attempt had failed."""
    worker_faults(fail_all=True)
    calls = [
        gevent.spawn(world.submit, "lookup", "e0", key, deadline_ms=3000)
        for _ in range(10)
    ]
    gevent.joinall(calls, raise_error=True)
    assert "ran" not in {call.get().verdict for call in calls}


def test_keyed_booking_runs_once_under_lost_answers(world, key, log_faults):
    """I8: guards against a second run when log answers are lost on the way."""
    log_faults(lose_answers=6)
    work = world.new_work_id()
    repeats = [
        gevent.spawn(world.submit, "keyed", entry, key, work=work, idempotency_key=work)
        for entry in ("e0", "e1", "e2", "e0")
    ]
    gevent.joinall(repeats, raise_error=True)
    log_faults(lose_answers=0)
    last = wait_until(
        lambda: accepted(
            world.submit("keyed", "e2", key, work=work, idempotency_key=work)
        )
    )
    assert last.verdict == "ran"
    assert len(starts_of(world, work)) == 1


def test_leaving_worker_gets_no_new_work(world, key):
    """I9: guards against starts at a worker that the platform marked as leaving."""
    fleet = world.fleet
    _, listing = fleet.call(fleet.platform.instances, "GET", "/v1/instances")
    marked = next(i for i in listing["instances"] if i["instance"] == "w5")
    path = "/v1/instances/w5"
    with Load(world, 6, lambda entry: world.submit("lookup", entry, key)) as load:
        load.wait_for_more(20)
        leaving = {**marked, "state": "leaving"}
        fleet.call(fleet.platform.instances, "PUT", path, leaving)
        closed_from = time.monotonic() + LIST_LAG_S + LEAVING_S
        gevent.sleep(LIST_LAG_S + LEAVING_S)
        load.wait_for_more(60)
        closed_to = time.monotonic()
        fleet.call(fleet.platform.instances, "PUT", path, marked)
    late = [
        start
        for start in fleet.ledger()
        if start["worker"] == "w5" and closed_from < start["started_at"] < closed_to
    ]
    assert late == []


def test_entries_restart_one_by_one_without_cutting_requests(lone_world):
    """I10: guards against requests that are lost in a rolling restart."""
    world = lone_world
    key = next(
        key
        for key, organisation in world.organisation_by_key.items()
        if organisation == "red"
    )

    def call(entry):
        work = world.new_work_id()
        kind = ("lookup", "booking", "keyed")[int(work.split("-")[1]) % 3]
        options = {"idempotency_key": work} if kind == "keyed" else {}
        return world.submit(kind, entry, key, work=work, work_ms=700, **options)

    with Load(world, 18, call) as load:
        for name in sorted(world.zone_by_entry):
            load.wait_for_more(9)
            assert world.stop_entry(name) == 0
            world.start_entry(name)
            world.serving_entries.discard(name)
            world.wait_ready([name])
            world.serving_entries.add(name)
    assert {call.verdict for call in load.calls} <= {"ran", "not_run", "accepted"}
    # A recorded request that had not started is run by another entry.
    for call in load.calls:
        if call.verdict == "accepted":
            wait_until(lambda call=call: accepted(world.collect(call, "e1", 1000)))


def test_configuration_never_reverts(world, log_faults):
    """I11: guards against an entry that shows or keeps an older version."""
    world.entry_by_name["e2"].signal(signal.SIGSTOP)
    world.paused.add("e2")
    for number in range(4):
        log_faults(lose_answers=number % 2)
        last = publish_surely(
            world, "name", "fleet", lambda draft, n=number: draft.set_name(f"name {n}")
        )
        world.record_versions()
    world.entry_by_name["e2"].signal(signal.SIGCONT)
    world.paused.discard("e2")
    wait_until(lambda: in_force_everywhere(world, last.version))


def test_batches_survive_the_loss_of_all_entries(lone_world):
    """Guards against recorded batch requests that are lost or run twice."""
    world = lone_world
    key = next(
        key
        for key, organisation in world.organisation_by_key.items()
        if organisation == "blue"
    )
    limit = LIMIT_BY_ORGANISATION["blue"]
    batches = [
        world.submit("batch", f"e{number % 3}", key, work_ms=1500)
        for number in range(4 * limit)
    ]
    assert {batch.status for batch in batches} == {202}
    wait_until(lambda: peak_by_organisation(world.fleet.ledger()).get("blue", 0) > 1)
    for program in world.entry_by_name.values():
        program.kill()
    for name in sorted(world.zone_by_entry):
        world.start_entry(name)
    world.wait_ready()
    for batch in batches:
        for entry in ("e0", "e2"):
            answer = wait_until(
                lambda batch=batch, entry=entry: final(world, batch, entry)
            )
            assert answer.verdict == "ran"


def final(world, batch, entry):
    """Return the answer of a batch request once there is a verdict."""
    answer = world.collect(batch, entry, wait_ms=1000)
    return answer if answer.is_final else None
