"""The replicated fleet state, built by replaying the log deterministically."""

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
