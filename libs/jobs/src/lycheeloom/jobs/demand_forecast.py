"""Learns which pool's load rises after which other's, and forecasts the next rise."""

from __future__ import annotations

import statistics
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from .demand import RATE_WINDOW_S

# A pool's load has risen at this fraction of its recent maximum, and has fallen below
# the other one. Loads during a burst vary by up to a third around their mean.
RISE_FRACTION = 0.5
FALL_FRACTION = 0.25
# Loads of fewer instances are never forecast: a pool always has one instance, and moves
# for a few tasks do not pay off.
MIN_RISE_INSTANCES = 2.0
# Time in which the recent maximum of a pool's load halves. Bursts recur several times a
# minute.
MAXIMUM_HALF_LIFE_S = 60.0
# Rises that are further apart are not taken for a shift of load.
MAX_DELAY_S = 60.0
EPISODES_KEPT = 5
DELAYS_KEPT = 3
# The pool moves decide every 0.25 s, and rises and falls are seen up to 0.25 s late:
# the error of an expected time or of a duration, in either direction.
TIME_ERROR_S = 0.5
# A load that rises is measured in full after this time, as its samples cover the last
# ``RATE_WINDOW_S``. Half a second more allows for late samples and jitter of the load.
DETECTION_S = RATE_WINDOW_S + 0.5
# Differences between the delays of a link extend the wait for a load by at most this;
# a delay that differs by more may be another pattern.
MAX_SPREAD_S = 1.5
MAX_CONSECUTIVE_FAILURES = 2


class Outcome(Enum):
    """What has become of a forecast."""

    MADE = "made"
    # The load has risen.
    MET = "met"
    # The load has not risen in time.
    FAILED = "failed"
    # The load has risen before the forecast was in force.
    OVERTAKEN = "overtaken"


@dataclass(frozen=True, slots=True)
class Forecast:
    """A load of ``instances`` that is expected in ``pool`` at ``rise_s``.

    It was derived from a rise in ``after_pool``, and fails at ``fails_s``. Times are
    those of the caller's monotonic clock.
    """

    pool: str
    after_pool: str
    instances: float
    rise_s: float
    fails_s: float
    outcome: Outcome = Outcome.MADE
    # Until when a load that has come is not yet measured in full.
    met_until_s: float = 0.0


@dataclass(slots=True)
class _PoolHistory:
    """The load of a pool: its recent maximum, present episode and past episodes."""

    maximum: float = 0.0
    sampled_s: float = 0.0
    # Begin of the present episode; None between episodes.
    rise_s: float | None = None
    # The present episode is longer than that of a single job.
    is_confirmed: bool = False
    # When the last confirmed episode began, and when it ended.
    last_rise_s: float | None = None
    fell_s: float | None = None
    episode_needs: list[float] = field(default_factory=list)
    # Duration in seconds and mean need of the last episodes.
    _episodes: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=EPISODES_KEPT)
    )

    @property
    def episodes(self) -> list[tuple[float, float]]:
        """Return duration and mean need of the episodes that still count.

        Before the first burst, a few jobs look like one: their need is a small part of
        the maximum afterwards.
        """
        min_level = FALL_FRACTION * self.maximum
        return [episode for episode in self._episodes if episode[1] >= min_level]

    def end_episode(self, now_s: float) -> None:
        """End the present episode; it counts if it was confirmed."""
        # A load that ended at once falls to this fraction of it later.
        fell_s = now_s - (1 - FALL_FRACTION) * RATE_WINDOW_S
        if self.is_confirmed:
            level = statistics.fmean(self.episode_needs)
            self._episodes.append((fell_s - self.rise_s, level))
            self.fell_s = fell_s
        self.rise_s = None
        self.is_confirmed = False
        self.episode_needs.clear()


@dataclass(slots=True)
class _Link:
    """Delays of the rises of one pool after those of another."""

    delays_s: deque[float] = field(default_factory=lambda: deque(maxlen=DELAYS_KEPT))
    # Consecutive failures of forecasts since the rise was last seen.
    failures: int = 0

    def note(self, delay_s: float) -> None:
        """Learn a delay; after a failure or one sighting, it may replace the others."""
        is_doubted = self.failures > 0 or len(self.delays_s) == 1
        if is_doubted and not self._is_known(delay_s):
            self.delays_s.clear()
        self.delays_s.append(delay_s)
        self.failures = 0

    def _is_known(self, delay_s: float) -> bool:
        return abs(delay_s - statistics.median(self.delays_s)) <= MAX_SPREAD_S


class DemandForecast:
    """Forecasts loads from samples of the work submitted to each pool.

    ``note({"a": 12.5, "b": 0.4}, now_s)`` is called every fraction of a second with the
    instances that each pool needs for the work submitted within the last
    ``RATE_WINDOW_S``. ``expected(now_s)`` then returns the forecasts for which
    instances have to move now or are to be held, by pool. A move takes ``move_s``.
    """

    def __init__(self, move_s: float) -> None:
        self._move_s = move_s
        self._history_by_pool: dict[str, _PoolHistory] = {}
        self._link_by_pools: dict[tuple[str, str], _Link] = {}
        self._forecast_by_pool: dict[str, Forecast] = {}

    def note(self, need_by_pool: Mapping[str, float], now_s: float) -> list[Forecast]:
        """Add a sample of each pool; return the forecasts whose outcome is new."""
        news: list[Forecast] = []
        for pool, need in need_by_pool.items():
            history = self._history_by_pool.setdefault(pool, _PoolHistory())
            news += self._note_need(pool, history, need, now_s)
        for pool, forecast in list(self._forecast_by_pool.items()):
            if forecast.outcome is Outcome.MET:
                if now_s > forecast.met_until_s:
                    del self._forecast_by_pool[pool]
            elif now_s > forecast.fails_s:
                del self._forecast_by_pool[pool]
                self._link_by_pools[forecast.after_pool, pool].failures += 1
                news.append(replace(forecast, outcome=Outcome.FAILED))
        return news

    def expected(self, now_s: float) -> dict[str, Forecast]:
        """Return the forecasts in force, by pool.

        A forecast is in force from one move before the load is expected until the load
        is measured in full or the forecast has failed.
        """
        return {
            pool: forecast
            for pool, forecast in self._forecast_by_pool.items()
            if self._is_in_force(forecast, now_s)
        }

    def remaining_s(self, pool: str, now_s: float) -> float | None:
        """Return for how long work will still be submitted to a pool at its high rate.

        Returns 0 for two moves after the load has fallen, and None if nothing is known:
        between episodes, in the first one and in one that is longer than all before.
        """
        history = self._history_by_pool.get(pool)
        episodes = history.episodes if history is not None else []
        if not episodes:
            return None
        if history.rise_s is not None:
            end_s = history.rise_s + max(duration_s for duration_s, _ in episodes)
            return end_s - now_s if end_s > now_s else None
        is_recent = now_s - (history.fell_s or 0.0) <= 2 * self._move_s
        return 0.0 if is_recent else None

    def _is_in_force(self, forecast: Forecast, now_s: float) -> bool:
        return now_s >= forecast.rise_s - self._move_s - TIME_ERROR_S

    def _note_need(
        self, pool: str, history: _PoolHistory, need: float, now_s: float
    ) -> list[Forecast]:
        passed_s = now_s - history.sampled_s
        history.maximum *= 0.5 ** (passed_s / MAXIMUM_HALF_LIFE_S)
        history.maximum = max(history.maximum, need)
        history.sampled_s = now_s
        if history.rise_s is None:
            if need < max(MIN_RISE_INSTANCES, RISE_FRACTION * history.maximum):
                return []
            # A load that began at once reaches this fraction of it later.
            history.rise_s = now_s - RISE_FRACTION * RATE_WINDOW_S
            return self._meet(pool, now_s)
        if need < FALL_FRACTION * history.maximum or need < MIN_RISE_INSTANCES / 2:
            history.end_episode(now_s)
            return []
        if now_s - history.rise_s > DETECTION_S:
            history.episode_needs.append(need)
            if not history.is_confirmed:
                history.is_confirmed = True
                return self._confirm(pool, history, now_s)
        return []

    def _meet(self, pool: str, now_s: float) -> list[Forecast]:
        """Note that the load of a pool rises."""
        forecast = self._forecast_by_pool.get(pool)
        if forecast is None or forecast.outcome is Outcome.MET:
            return []
        if not self._is_in_force(forecast, now_s):
            del self._forecast_by_pool[pool]
            return [replace(forecast, outcome=Outcome.OVERTAKEN)]
        met = replace(
            forecast, outcome=Outcome.MET, met_until_s=now_s + 2 * RATE_WINDOW_S
        )
        self._forecast_by_pool[pool] = met
        self._link_by_pools[forecast.after_pool, pool].failures = 0
        return [met]

    def _confirm(
        self, pool: str, history: _PoolHistory, now_s: float
    ) -> list[Forecast]:
        """Learn from a rise, and forecast those that followed it before."""
        history.last_rise_s = history.rise_s
        earlier = [
            (other.last_rise_s, name)
            for name, other in self._history_by_pool.items()
            if name != pool
            and other.last_rise_s is not None
            and 0 < history.rise_s - other.last_rise_s <= MAX_DELAY_S
        ]
        if earlier:
            rise_s, after_pool = max(earlier)
            link = self._link_by_pools.setdefault((after_pool, pool), _Link())
            link.note(history.rise_s - rise_s)
        news = []
        for (after_pool, target), link in self._link_by_pools.items():
            if after_pool != pool or link.failures >= MAX_CONSECUTIVE_FAILURES:
                continue
            forecast = self._make(target, pool, link, history.rise_s, now_s)
            if forecast is not None:
                self._forecast_by_pool[target] = forecast
                news.append(forecast)
        return news

    def _make(
        self, pool: str, after_pool: str, link: _Link, rise_s: float, now_s: float
    ) -> Forecast | None:
        """Return the forecast for a pool; None if it is too late or does not pay."""
        history = self._history_by_pool[pool]
        expected_s = rise_s + statistics.median(link.delays_s)
        episodes = history.episodes
        if (
            history.rise_s is not None
            or pool in self._forecast_by_pool
            or expected_s <= now_s
            # The pool must keep the instances for longer than their move takes.
            or min((duration_s for duration_s, _ in episodes), default=0.0)
            <= self._move_s + TIME_ERROR_S
        ):
            return None
        spread_s = min(MAX_SPREAD_S, max(link.delays_s) - min(link.delays_s))
        return Forecast(
            pool,
            after_pool,
            statistics.median_low(level for _, level in episodes),
            expected_s,
            expected_s + DETECTION_S + spread_s,
        )
