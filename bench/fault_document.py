"""The configuration of the small fleet for fault injection."""

from __future__ import annotations

from typing import Any

ZONES = ("north", "mid", "south")
LIMIT_BY_ORGANISATION = {"red": 9, "blue": 6, "green": 4}


def fleet_document(workers: int = 6, workers_per_rack: int = 1) -> dict[str, Any]:
    """Return a configuration with one pool and a queue for each kind of request."""
    organisations = sorted(LIMIT_BY_ORGANISATION)
    instances = {
        f"w{number}": {
            "pool": "main",
            "zone": ZONES[number % 3],
            "rack": f"{ZONES[number % 3]}-r{number // 3 // workers_per_rack}",
            "address": f"127.0.0.1:{9000 + number}",
            "cores": 8,
            "memory_mb": 16384,
        }
        for number in range(workers)
    }
    queue = {"pool": "main", "organisations": organisations, "max_queued": 2000}
    return {
        "name": "faults",
        "zones": {zone: {"state": "in"} for zone in ZONES},
        "pools": {"main": {"spare": True}},
        "instances": instances,
        "organisations": {
            organisation: {"share": 1, "upper_limit": limit, "keys": {}}
            for organisation, limit in LIMIT_BY_ORGANISATION.items()
        },
        "queues": {
            "lookups": {**queue, "idempotent": True},
            "bookings": {**queue, "idempotent": False},
            "overnight": {**queue, "kind": "batch", "idempotent": False},
        },
    }
