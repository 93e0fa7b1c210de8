"""Tests of forecasts of load, and of the moves that follow from them."""

from __future__ import annotations

import random

import pytest

from lycheeloom.jobs.demand_forecast import DemandForecast, Outcome
from lycheeloom.jobs.pool_sizes import (
    PoolInstance,
    PoolLoad,
    choose_moves,
    keeps_instances,
    room_of,
)

MOVE_S = 1.5
TICK_S = 0.25
HIGH, LOW = 40.0, 0.4


class Loads:
    """Feeds a ``DemandForecast`` with loads in bursts; time begins at 100 s.

    ``bursts`` holds pool, begin and end. Loads rise and fall within a second.
    """

    def __init__(self, bursts, pools="abcd", seed=0):
        self.forecasts = DemandForecast(MOVE_S)
        self.bursts = [(pool, 100 + begin, 100 + end) for pool, begin, end in bursts]
        self.news = []
        # When each forecast was first and last in force, and its level, by pool.
        self.in_force = {pool: [] for pool in pools}
        self._now_s = 100.0
        self._noise = random.Random(seed)

    def run(self, until_s: float) -> None:
        """Feed samples until a time in seconds from the beginning."""
        while self._now_s < 100 + until_s:
            self._now_s += TICK_S
            needs = {pool: self._need(pool) for pool in self.in_force}
            for forecast in self.forecasts.note(needs, self._now_s):
                self.news.append((forecast.pool, forecast.outcome))
            for pool, forecast in self.forecasts.expected(self._now_s).items():
                self.in_force[pool].append((self._now_s - 100, forecast.instances))

    def _need(self, pool: str) -> float:
        parts = [
            max(0.0, min(self._now_s, end) - max(self._now_s - 1.0, begin))
            for name, begin, end in self.bursts
            if name == pool
        ]
        noise = self._noise.uniform(0.7, 1.3)
        return (sum(parts) * (HIGH - LOW) + LOW) * noise


def make_cycle(cycles: int, burst_s: float = 5.0, pools: str = "abcd"):
    """Return bursts of the pools in turn."""
    return [
        (pools[number % len(pools)], number * burst_s, (number + 1) * burst_s)
        for number in range(cycles * len(pools))
    ]


@pytest.mark.parametrize("seed", range(3))
def test_load_that_takes_turns_is_forecast_after_its_first_round(seed):
    """A pool must not get its instances only after its load has risen.

    Load: each of four pools in turn demands much for 5 s, with noise.
    """
    loads = Loads(make_cycle(4), seed=seed)
    loads.run(20.0)
    assert loads.news == []
    loads.run(78.0)
    assert {outcome for _, outcome in loads.news} == {Outcome.MADE, Outcome.MET}
    for number in range(5, 16):
        rise_s = number * 5.0
        in_force = loads.in_force["abcd"[number % 4]]
        begins = [s for s, _ in in_force if rise_s - 4 < s <= rise_s]
        # One move before the rise, which is known to about two samples.
        assert 0.0 <= rise_s - MOVE_S - begins[0] + TICK_S <= 6 * TICK_S
        assert all(0.8 * HIGH < level < 1.2 * HIGH for _, level in in_force)


def test_load_that_does_not_come_ends_its_forecast_and_then_the_link():
    """Instances must not be moved again and again for a load that no longer comes.

    Load: two pools take turns; then only the first one rises, three times.
    """
    bursts = make_cycle(2, pools="ab")
    bursts += [("a", begin, begin + 5) for begin in (30, 50, 70)]
    bursts += [("a", 110, 115), ("b", 115, 120)]
    bursts += [("a", 130, 135), ("b", 135, 140)]
    loads = Loads(bursts, pools="ab")
    loads.run(94.0)
    made, met, failed, _ = (("b", outcome) for outcome in Outcome)
    of_b = [news for news in loads.news if news[0] == "b"]
    assert of_b == [made, met, made, failed, made, failed]
    # It is not held for longer than the load takes to be measured.
    assert max(s for s, _ in loads.in_force["b"] if s < 45) <= 35 + 2.75
    assert not [s for s, _ in loads.in_force["b"] if 60 < s < 90]
    # The shift is seen again at 115 s, and forecast for 135 s.
    loads.run(140.0)
    assert [news for news in loads.news if news[0] == "b"][6:] == [made, met]


def test_load_that_ends_sooner_than_a_move_takes_is_not_forecast():
    """An instance must not be moved for a load that ends when it arrives.

    Load: short bursts of one pool, 5 s after the long ones of another.
    """
    bursts = [("a", begin, begin + 4) for begin in (0, 20, 40, 60)]
    bursts += [("b", begin, begin + 1.3) for begin in (5, 25, 45, 65)]
    loads = Loads(bursts, pools="ab")
    loads.run(80.0)
    assert not loads.in_force["b"]


def test_single_jobs_are_no_shift_of_load():
    """Single jobs must neither cause moves nor hide the shift that they follow.

    Load: two pools take turns. A second before each rise of the second one, a job of
    three instances arrives in another pool.
    """
    bursts = make_cycle(4, pools="ab")
    bursts += [("c", begin, begin + 0.08) for begin in (4, 14, 24, 34)]
    loads = Loads(bursts, pools="abc")
    loads.run(40.0)
    assert not loads.in_force["c"]
    assert min(s for s, _ in loads.in_force["b"]) <= 15 - MOVE_S


def test_small_loads_before_the_first_burst_do_not_count():
    """A pool must not be without forecasts since its first jobs were few.

    Load: for a second, a fifth of the later load; then two pools take turns.
    """
    bursts = [("b", number / 4, number / 4 + 0.05) for number in range(6)]
    bursts += [
        (pool, begin + 10, end + 10) for pool, begin, end in make_cycle(2, 5, "ab")
    ]
    loads = Loads(bursts, pools="ab")
    loads.run(30.0)
    assert min(s for s, _ in loads.in_force["b"]) <= 25 - MOVE_S


def test_end_of_a_load_is_known_from_earlier_ones():
    """A pool must not get instances that arrive when its load has ended.

    Load: bursts of 5 s; a later one is longer.
    """
    loads = Loads([("a", 0, 5), ("a", 20, 30)], pools="a")
    remaining_s = []
    for time_s in (4.0, 22.0, 27.0, 32.0, 36.0):
        loads.run(time_s)
        remaining_s.append(loads.forecasts.remaining_s("a", 100 + time_s))
    assert 2.0 < remaining_s.pop(1) < 4.0
    assert remaining_s == [None, None, 0.0, None]


@pytest.mark.parametrize(
    ("backlog", "remaining_s", "keeps"),
    [(60.0, 0.0, False), (60.0, 2.5, True), (200.0, 0.0, True), (1.0, None, True)],
)
def test_pool_keeps_an_instance_for_longer_than_the_move_takes(
    backlog, remaining_s, keeps
):
    """An instance must not be moved to a pool that is done when it arrives.

    Load: a burst has ended or is about to end, and work is left. 40 instances do it.
    """
    load = PoolLoad(40.0, backlog, arriving=5)
    assert keeps_instances(load, 35, remaining_s, MOVE_S) is keeps


def make_instances(pool: str, count: int, idle_s: float = 1.0) -> list[PoolInstance]:
    return [PoolInstance(f"{pool}{n}", pool, idle_s) for n in range(count)]


def test_forecast_moves_what_is_switched_off_and_holds_it():
    """Instances moved ahead of a load must not be switched off before it comes.

    Load: a pool is idle and expects to need six instances.
    """
    load = PoolLoad(0.0, 0.0, arriving=1, forecast=5.5)
    instances = make_instances("a", 2, 5.0) + make_instances("off", 9)
    moves = choose_moves(instances, {"a": load}, {"off"})
    assert [(m.pool, m.reason) for m in moves] == [("a", "forecast")] * 3
    held = PoolLoad(0.0, 0.0, forecast=5.5)
    assert choose_moves(make_instances("a", 6, 5.0), {"a": held}, {"off"}) == []
    # A wave does not take them either.
    assert room_of(held, 8).spare == 2


def test_present_need_goes_before_a_forecast():
    """A forecast must not take instances from a pool that needs them now.

    Load: one pool has waiting work, one is half used, and a third expects load.
    """
    loads = {
        "a": PoolLoad(4.0, 3.0),
        "b": PoolLoad(3.0, 0.0),
        "c": PoolLoad(0.0, 0.0, forecast=9.0),
    }
    instances = make_instances("a", 4) + make_instances("b", 5)
    instances += make_instances("c", 1) + make_instances("off", 3)
    moves = choose_moves(instances, loads, {"off"})
    # Pool b needs four of its instances.
    assert [(m.instance_id, m.pool) for m in moves] == [
        ("off0", "a"),
        ("off1", "a"),
        ("off2", "c"),
        ("b0", "c"),
    ]
    # What another pool holds for its forecast is available to a present need.
    held = {"a": PoolLoad(4.0, 3.0), "c": PoolLoad(0.0, 0.0, forecast=9.0)}
    moves = choose_moves(make_instances("a", 4) + make_instances("c", 9), held, ())
    assert [m.pool for m in moves] == ["a", "a"]


def test_pool_of_which_the_work_ends_gets_only_its_minimum():
    """Instances must not be on the way to a pool when the next one needs them.

    Load: work is left of a burst that has ended; a service spreads over five instances.
    """
    load = PoolLoad(4.0, 3.0, min_instances=5, keeps_instances=False)
    instances = make_instances("a", 4, 0.0) + make_instances("off", 3)
    assert len(choose_moves(instances, {"a": load}, {"off"})) == 1
