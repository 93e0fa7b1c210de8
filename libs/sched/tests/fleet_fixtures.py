"""Builds small fleets and schedulers for the tests."""

from __future__ import annotations

from dataclasses import replace

from lycheeloom.model.config import (
    FleetConfig,
    Instance,
    Organisation,
    Pool,
    Queue,
    QueueKind,
    Zone,
    ZoneState,
)
from lycheeloom.model.resources import Resources
from lycheeloom.sched import Scheduler, Start, Task

ONE_CORE = Resources(1, 1024)
WORKER_SIZE = Resources(4, 16384)


def make_config(workers=6, weights=(1, 1), spare=0, zones=3, limit=1000, **queue):
    """Return a fleet of three pools and three queues.

    Pool ``main`` serves queue ``q`` and the batch queue ``b``, pool ``other`` serves
    queue ``o``, and pool ``spare`` is a spare pool. ``queue`` holds settings of ``q``.
    """
    instances = {}
    for pool, count in (("main", workers), ("other", workers), ("spare", spare)):
        for n in range(count):
            zone = f"z{n % zones}"
            name = f"{pool}-{n}"
            rack = f"{zone}-r{n // (2 * zones)}"
            instances[name] = Instance(name, pool, zone, rack, "", WORKER_SIZE)
    organisations = {
        f"t{n}": Organisation(f"t{n}", w, limit) for n, w in enumerate(weights)
    }
    names = frozenset(organisations)
    return FleetConfig(
        version=1,
        zone_by_id={f"z{n}": Zone(f"z{n}") for n in range(zones)},
        pool_by_id={p: Pool(p, spare=p == "spare") for p in ("main", "other", "spare")},
        instance_by_id=instances,
        organisation_by_id=organisations,
        queue_by_id={
            "q": Queue("q", "main", organisations=names, **queue),
            "o": Queue("o", "other", organisations=names),
            "b": Queue("b", "main", QueueKind.BATCH, organisations=names),
        },
    )


def with_zone(config, zone, state=ZoneState.OUT):
    zones = dict(config.zone_by_id)
    zones[zone] = replace(zones[zone], state=state)
    return replace(config, zone_by_id=zones)


def make_scheduler(config, grants=1000):
    scheduler = Scheduler(config, seed=1)
    scheduler.set_grants(dict.fromkeys(config.organisation_by_id, grants))
    for name in config.instance_by_id:
        scheduler.observe_worker(name, True, None, "boot", 0.0)
    return scheduler


def submit(
    scheduler, count, organisation="t0", queue="q", now=0.0, prefix="", **fields
):
    """Submit ``count`` equal tasks and return their ids."""
    ids = []
    for n in range(count):
        task_id = f"{prefix}{organisation}-{queue}-{n}"
        fields.setdefault("resources", ONE_CORE)
        scheduler.submit(
            Task(task_id, organisation, queue, submitted_at=now, **fields), now
        )
        ids.append(task_id)
    return ids


def starts(scheduler, now):
    return [d for d in scheduler.next_decisions(now) if isinstance(d, Start)]
