"""Tests of maintenance waves under load."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from lycheeloom.jobs.pool_sizes import PoolLoad, room_of
from lycheeloom.jobs.waves import (
    PoolRoom,
    RoundKind,
    RoundTimes,
    WaveChoice,
    WaveInstance,
    WaveTime,
    choose_gently,
    is_wave_due,
)

SHORT = PoolRoom(size=40, spare=0, is_short=True)
TIGHT = PoolRoom(size=40, spare=0)
QUIET = PoolRoom(size=40, spare=36)


def make_instances(pool: str, count: int, runs: int = 0, **fields) -> list:
    """Return instances of a pool, each with ``runs`` runs."""
    return [
        WaveInstance(f"{pool}-{number:02}", pool, runs, 0.5, pool == "off", **fields)
        for number in range(count)
    ]


def choose(pending, room_by_pool, elapsed_s=0.0, away=None, limit=36) -> WaveChoice:
    """Choose instances of a wave with a time limit of 26 s and rounds of 2.5 or 5 s."""
    time = WaveTime(elapsed_s, 26.0, 4.5)
    return choose_gently(
        pending, room_by_pool, away or {}, limit, time, RoundTimes(2.0, 2.5)
    )


def test_idle_instances_go_together_while_a_busy_pool_waits():
    """A pool in its burst must not lose instances while others have idle ones.

    Load: one of two pools demands more than its capacity, the other is idle.
    """
    pending = make_instances("a", 20, runs=9) + make_instances("b", 20)
    pending += make_instances("off", 20)
    choice = choose(pending, {"a": SHORT, "b": QUIET})
    assert [name.split("-")[0] for name in choice.reason_by_id] == (
        ["off"] * 20 + ["b"] * 16
    )
    choice = choose(pending[:20], {"a": SHORT})
    assert choice == WaveChoice({}, {"a": 20})


def test_pool_loses_only_what_it_can_spare():
    """Draining idle instances must not make work wait.

    Load: a pool is well used, and its pending instances are idle.
    """
    pending = make_instances("a", 20)
    room = room_of(PoolLoad(24.0, 0.0), 40)
    assert len(choose(pending, {"a": room}).reason_by_id) == 8
    assert len(choose(pending, {"a": TIGHT}).reason_by_id) == 1
    assert not choose(pending, {"a": TIGHT}, away={"a": 1}).reason_by_id


@pytest.mark.parametrize(
    ("load", "is_short"),
    [
        # Waiting work that fits, for example of jobs that wait after a takeover.
        (PoolLoad(10.0, 20.0), False),
        (PoolLoad(30.0, 20.0), True),
        # Full, but nothing waits.
        (PoolLoad(39.0, 0.0), False),
    ],
)
def test_pool_is_short_if_waiting_work_does_not_fit(load, is_short):
    """A pool must not count as short, and delay a wave, because of other waits."""
    assert room_of(load, 40).is_short is is_short


def test_short_pool_is_paced_when_the_time_left_is_just_enough():
    """A pool that stays short must neither be emptied at once nor be left out.

    Load: a pool demands more than its capacity for the whole wave.
    """
    pending = make_instances("a", 20, runs=9)
    # 20 instances in three rounds of 5 s, which end one round before the limit.
    assert not choose(pending, {"a": SHORT}, elapsed_s=5.9).reason_by_id
    assert len(choose(pending, {"a": SHORT}, elapsed_s=6.05).reason_by_id) == 7
    late = choose(pending, {"a": SHORT}, elapsed_s=25.0)
    assert len(late.reason_by_id) == 20


def test_instances_that_may_not_begin_count_for_the_time_left():
    """A wave must not be late because of instances that come back late.

    Load: most instances of the wave move between pools when it is planned.
    """
    moving = make_instances("b", 80, may_begin=False)
    busy = make_instances("a", 5, runs=9)
    assert not choose(busy, {"a": SHORT}, elapsed_s=6.0).reason_by_id
    choice = choose(busy + moving, {"a": SHORT}, elapsed_s=6.0)
    assert choice.reason_by_id.keys() == {"a-00", "a-01"}
    time = WaveTime(6.0, 26.0, 4.5)
    rounds = RoundTimes(2.0, 2.5)
    assert is_wave_due(busy + moving, 36, time, rounds)
    assert not is_wave_due(busy, 36, time, rounds)


def test_instances_with_long_running_tasks_begin_early_and_one_by_one():
    """A wave must not be late because the budget of a service moves one task at a time.

    Load: a service on some instances of a pool that has room.
    """
    service = make_instances("a", 4, runs=1, has_long_running=True)
    busy = [WaveInstance(f"a-{number}", "a", 1, 0.5, False) for number in range(10, 14)]
    choice = choose(busy + service, {"a": PoolRoom(40, 3)})
    assert list(choice.reason_by_id) == ["a-00", "a-10", "a-11"]
    draining = PoolRoom(40, 3, draining_long_running=1)
    assert "a-01" not in choose(busy + service, {"a": draining}).reason_by_id
    # In a pool that is short, four of them in turn need 20 s.
    assert list(choose(service, {"a": SHORT}, elapsed_s=1.1).reason_by_id) == ["a-00"]


def test_limit_of_unavailable_instances_holds_in_a_late_wave():
    """A late wave must not exceed its limit, however many instances are left."""
    pending = make_instances("a", 80, runs=9) + make_instances("off", 10)
    choice = choose(pending, {"a": SHORT}, elapsed_s=30.0, away={"a": 30, "b": 2})
    assert len(choice.reason_by_id) == 4


def test_rounds_that_take_longer_begin_the_wave_earlier():
    """A wave must not be late because tasks take longer to end than assumed.

    Load: each drain lasts for 4 s, for example since stops are answered late.
    """
    rounds = RoundTimes(2.0, 2.5)
    assert rounds.expected_s(RoundKind.BUSY) == 5.0
    rounds.note(RoundKind.BUSY, 6.5)
    pending = make_instances("a", 20, runs=9)
    time = WaveTime(1.0, 26.0, 4.5)
    assert choose_gently(pending, {"a": SHORT}, {}, 36, time, rounds).reason_by_id
    # Short rounds count only after several of them.
    for count in range(20):
        assert (rounds.expected_s(RoundKind.BUSY) == 6.5) is (count < 16)
        rounds.note(RoundKind.BUSY, 3.2)


@pytest.mark.parametrize("offset_s", range(0, 20, 4))
def test_wave_beside_alternating_bursts_ends_one_round_early(offset_s):
    """A wave must end in time, and spare pools in their bursts, whenever it begins.

    Load: each of four pools in turn is short of room for 5 s; the others are idle.
    """
    left = {i.instance_id: i for pool in "abcd" for i in make_instances(pool, 16)}
    left |= {i.instance_id: i for i in make_instances("off", 21)}
    back: list[tuple[float, str]] = []
    for now_s in (tick / 10 for tick in range(260)):
        back = [(back_s, pool) for back_s, pool in back if back_s > now_s]
        burst = "abcd"[int((now_s + offset_s) / 5) % 4]
        rooms = {pool: SHORT if pool == burst else QUIET for pool in "abcd"}
        pending = [replace(i, run_count=9 * (i.pool == burst)) for i in left.values()]
        away = Counter(pool for _, pool in back)
        for instance_id in choose(pending, rooms, now_s, away).reason_by_id:
            pool = left.pop(instance_id).pool
            assert pool != burst
            back.append((now_s + 2.5, pool))
        if not left:
            break
    assert max(back)[0] <= 26.0 - 5.0
