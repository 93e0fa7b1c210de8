"""Measures the load of each pool for the leader's decisions about instances."""

from __future__ import annotations

from collections.abc import Mapping

from lycheeloom.jobs.pool_sizes import (
    PoolLoad,
    backlog_by_pool,
    min_instances_by_pool,
)
from lycheeloom.model.resources import NO_RESOURCES, Resources

from .clock import steady_s, wall_ms
from .dispatcher import Dispatcher
from .ports import Instance


def measure_loads(
    dispatcher: Dispatcher, arriving_by_pool: Mapping[str, int]
) -> dict[str, PoolLoad]:
    """Return the load of each pool that has workers.

    ``arriving_by_pool`` counts the instances that are moving to a pool.
    """
    capacity_by_pool: dict[str, Resources] = {}
    used_by_pool: dict[str, Resources] = {}
    long_running_need_by_pool: dict[str, Resources] = {}
    for state in dispatcher.fleet.state_by_id.values():
        pool = state.worker.pool
        capacity_by_pool.setdefault(pool, state.worker.capacity)
        used = used_by_pool.get(pool, NO_RESOURCES)
        used_by_pool[pool] = used + state.used
        long_running_need = long_running_need_by_pool.get(pool, NO_RESOURCES)
        long_running_need_by_pool[pool] = long_running_need + state.long_running_need
    backlog = backlog_by_pool(
        dispatcher.active_job_by_id.values(),
        dispatcher.view.policy,
        capacity_by_pool,
        wall_ms(),
    )
    min_instances = min_instances_by_pool(
        dispatcher.active_job_by_id.values(), dispatcher.view.policy
    )
    now_s = steady_s()
    return {
        pool: PoolLoad(
            used_by_pool[pool].dominant_share(capacity),
            backlog.get(pool, 0.0),
            arriving_by_pool.get(pool, 0),
            min_instances.get(pool, 1),
            long_running_need_by_pool[pool].dominant_share(capacity),
            dispatcher.demand.needed_instances(pool, capacity, now_s),
        )
        for pool, capacity in capacity_by_pool.items()
    }


def is_usable(dispatcher: Dispatcher, instance: Instance) -> bool:
    """Return whether tasks may start on an instance."""
    state = dispatcher.fleet.state_by_id.get(instance.worker_id)
    is_draining = state is not None and state.worker.draining
    return not is_draining and instance.zone not in dispatcher.view.zones_out_of_service
