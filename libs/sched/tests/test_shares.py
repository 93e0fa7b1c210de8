"""Tests of fair shares, grants, queue bounds and the order of starts."""

from collections import Counter

from lycheeloom.sched import OrganisationUsage, Outcome

from .fleet_fixtures import make_config, make_scheduler, starts, submit


def organisations_of(decisions):
    return Counter(d.task.organisation for d in decisions)


def test_full_pool_is_divided_by_weight():
    """Guards against serving organisations in the order of arrival."""
    scheduler = make_scheduler(make_config(weights=(3, 1)))
    submit(scheduler, 100, "t0")
    submit(scheduler, 100, "t1")
    submit(scheduler, 100, "t1", "o")
    submit(scheduler, 100, "t0", "o")
    assert organisations_of(starts(scheduler, 1.0)) == {"t0": 36, "t1": 12}


def test_share_of_idle_organisation_goes_to_others():
    """Guards against capacity left idle for organisations without work."""
    scheduler = make_scheduler(make_config(weights=(3, 1)))
    submit(scheduler, 100, "t1")
    submit(scheduler, 100, "t1", "o")
    assert organisations_of(starts(scheduler, 1.0)) == {"t1": 48}


def test_grant_is_never_exceeded():
    """Guards against more running tasks than the grant, also after requeues."""
    scheduler = make_scheduler(make_config(), grants=5)
    submit(scheduler, 20)
    first = starts(scheduler, 1.0)
    assert len(first) == 5
    assert not starts(scheduler, 3.0)
    scheduler.finished(first[0].task.id, Outcome.DONE, 3.0)
    assert len(starts(scheduler, 3.0)) == 1
    scheduler.set_grants({"t0": 2})
    for start in first[1:]:
        scheduler.finished(start.task.id, Outcome.DONE, 4.0)
    assert len(starts(scheduler, 4.0)) == 1


def test_no_grant_means_no_start():
    """Guards against starts before the entry has any grant."""
    config = make_config()
    scheduler = make_scheduler(config)
    scheduler.set_grants({})
    submit(scheduler, 3)
    assert not starts(scheduler, 1.0)


def test_usage_of_peers_counts():
    """Guards against shares that count only the usage of the entry itself."""
    scheduler = make_scheduler(make_config(weights=(1, 1)))
    running = make_config().instance_by_id["main-0"].size
    scheduler.set_peer_usage({"peer": {"t0": OrganisationUsage(running)}})
    submit(scheduler, 100, "t0")
    submit(scheduler, 100, "t1")
    started = [d.task.organisation for d in starts(scheduler, 1.0)]
    assert set(started[:3]) == {"t1"}


def test_capacity_is_left_for_a_short_time_to_a_peer_whose_organisation_has_less():
    """Guards against one entry taking a whole pool, and against idle capacity.

    Only the peer has tasks of the organisation with the lower usage.
    """
    scheduler = make_scheduler(make_config(weights=(1, 1)))
    waiting = OrganisationUsage(queued=50, queued_by_queue={"q": 50, "o": 50})
    scheduler.set_peer_usage({"peer": {"t1": waiting}})
    submit(scheduler, 100, "t0")
    # The pools have 48 cores together, half of which the peer's organisation is due.
    started = len(starts(scheduler, 1.0))
    assert started <= 26
    assert started + len(starts(scheduler, 2.0)) == 48


def test_past_usage_only_breaks_ties():
    """Guards against a lasting penalty for using capacity that nobody else needed."""
    scheduler = make_scheduler(make_config(weights=(1, 1)))
    for start in submit(scheduler, 24, "t0") and starts(scheduler, 0.0):
        scheduler.finished(start.task.id, Outcome.DONE, 50.0)
    submit(scheduler, 100, "t0", now=50.0, prefix="x")
    submit(scheduler, 100, "t1", now=50.0, prefix="x")
    decisions = starts(scheduler, 50.0)
    assert decisions[0].task.organisation == "t1"
    assert organisations_of(decisions[:24]) == {"t0": 12, "t1": 12}


def test_queue_is_bounded_and_keeps_space_for_every_organisation():
    """Guards against one organisation filling a queue so that others are refused."""
    scheduler = make_scheduler(make_config(max_queued=40))
    submit(scheduler, 100, "t0")
    assert scheduler.demand_by_organisation() == {"t0": 30}
    submit(scheduler, 100, "t1")
    assert scheduler.demand_by_organisation() == {"t0": 30, "t1": 10}


def test_batch_uses_leftover_capacity_until_it_is_promoted():
    """Guards against batch tasks that delay interactive ones, or that starve."""
    scheduler = make_scheduler(make_config(workers=1))
    submit(scheduler, 10, "t0", "b")
    submit(scheduler, 3, "t1", "q")
    submit(scheduler, 4, "t1", "o")
    assert Counter(d.task.queue for d in starts(scheduler, 1.0)) == {
        "q": 3,
        "o": 4,
        "b": 1,
    }
    for n in range(3):
        scheduler.finished(f"t1-q-{n}", Outcome.DONE, 700.0)
    submit(scheduler, 20, "t1", "q", now=700.0, prefix="x")
    assert Counter(d.task.queue for d in starts(scheduler, 700.0))["b"] >= 1
