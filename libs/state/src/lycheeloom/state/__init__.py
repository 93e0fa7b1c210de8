"""Deterministic replay of the log into fleet state."""

from .fleet_state import AppliedBatch, FleetState
from .maintenance import HealthState, Move, Wave
from .members import Member
from .requests import RecordedRequest, RequestStatus

__all__ = [
    "AppliedBatch",
    "FleetState",
    "HealthState",
    "Member",
    "Move",
    "RecordedRequest",
    "RequestStatus",
    "Wave",
]
