"""Optional behaviour that the settings of a deployment switch on."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Features:
    """Which optional parts of scheduling are in use; all are off by default.

    All instances of a deployment must use the same features, since any of them may
    become the leader.
    """

    # Order, sharing and acceptance of jobs while the fleet is too small for them.
    overload_control: bool = False
    # Instances are moved to a pool before a load that has been seen to recur.
    demand_forecast: bool = False
    # Maintenance avoids pools that are short of room while its time limit allows it.
    gentle_maintenance: bool = False
    # Tasks avoid workers that have turned out to be slow or to fail.
    worker_ratings: bool = False


NO_FEATURES = Features()
