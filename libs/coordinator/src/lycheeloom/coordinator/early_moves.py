"""Adds forecasts of the load to the loads of the pools."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from lycheeloom.jobs.demand_forecast import DemandForecast, Forecast, Outcome
from lycheeloom.jobs.pool_sizes import (
    FORECAST_REASON,
    PACKING_FRACTION,
    SWITCH_OFF_IDLE_S,
    Move,
    PoolLoad,
    keeps_instances,
)
from lycheeloom.telemetry import log_event

from . import metrics

# For this long after a failed forecast, the instances moved for it are switched off
# without a wait: longer than a move and the orders for it take.
RETURN_S = 5.0


class EarlyMoves:
    """Moves instances ahead of load; in use with the feature ``demand_forecast``.

    Everything is kept in memory only: a new leader learns the shifts of load anew.
    """

    def __init__(self, move_s: float) -> None:
        self._move_s = move_s
        self._forecasts = DemandForecast(move_s)
        # Instances that were ordered to a pool for its forecast, by pool.
        self._moved_ids_by_pool: dict[str, set[str]] = {}
        # Until when an instance that was moved in vain is switched off at once.
        self._returns_until_s: dict[str, float] = {}

    def add_forecasts(
        self,
        load_by_pool: Mapping[str, PoolLoad],
        size_by_pool: Mapping[str, int],
        now_s: float,
    ) -> dict[str, PoolLoad]:
        """Return the loads with the forecasts in force, after learning from them.

        ``size_by_pool`` holds the number of usable instances.
        """
        needs = {
            pool: load.offered_load / PACKING_FRACTION
            for pool, load in load_by_pool.items()
        }
        for forecast in self._forecasts.note(needs, now_s):
            self._note_outcome(forecast, now_s)
        expected = self._forecasts.expected(now_s)
        result: dict[str, PoolLoad] = {}
        for pool, load in load_by_pool.items():
            need = 0.0
            if pool in expected:
                need = load.long_running_use + expected[pool].instances
            remaining_s = self._forecasts.remaining_s(pool, now_s)
            result[pool] = replace(
                load,
                forecast=need,
                keeps_instances=keeps_instances(
                    load, size_by_pool.get(pool, 0), remaining_s, self._move_s
                ),
            )
        return result

    def note_move(self, move: Move) -> None:
        """Note an order that may have an effect."""
        if move.reason == FORECAST_REASON:
            self._moved_ids_by_pool.setdefault(move.pool, set()).add(move.instance_id)
        else:
            self._returns_until_s.pop(move.instance_id, None)

    def switch_off_idle_s(self, instance_id: str, now_s: float) -> float:
        """Return after which idle time an instance is switched off."""
        is_returning = now_s < self._returns_until_s.get(instance_id, 0.0)
        return 0.0 if is_returning else SWITCH_OFF_IDLE_S

    def _note_outcome(self, forecast: Forecast, now_s: float) -> None:
        moved_ids: set[str] = set()
        if forecast.outcome is not Outcome.MADE:
            moved_ids = self._moved_ids_by_pool.pop(forecast.pool, set())
        if forecast.outcome is Outcome.FAILED:
            self._returns_until_s = {
                instance_id: until_s
                for instance_id, until_s in self._returns_until_s.items()
                if now_s < until_s
            }
            self._returns_until_s |= dict.fromkeys(moved_ids, now_s + RETURN_S)
        metrics.DEMAND_FORECASTS.labels(forecast.outcome.value).inc()
        log_event(
            "demand_forecast",
            pool=forecast.pool,
            after_pool=forecast.after_pool,
            outcome=forecast.outcome.value,
            instances=forecast.instances,
            rise_in_s=forecast.rise_s - now_s,
            moved=len(moved_ids),
        )
