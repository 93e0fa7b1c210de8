"""Keeps leaders from ordering an instance in turns within its lease."""

from __future__ import annotations

from collections.abc import Collection

from lycheeloom.jobs.records import InstanceOrder, Kind, Record, encode, key_of

from .clock import steady_s, wall_ms
from .replica import Replica
from .writer import LEADER_LEASE_S, LeaderWriter

# An order that is recorded now may be sent until the lease of its leader ends, and
# takes this long to arrive.
MAX_SEND_DELAY_S = LEADER_LEASE_S * 1.02 + 0.7
# Orders are not sent if they are not recorded within this time.
RECORD_TIMEOUT_S = 1.0


class OrderGuard:
    """Tells which instances this leader may order, and records what it orders.

    Each order is in the log before it is sent, so a new leader knows the instances
    that the leader before cannot have ordered lately. The others wait until the
    lease that began with the change of leader has ended.
    """

    def __init__(
        self, replica: Replica, writer: LeaderWriter, lease_s: float, had_leader: bool
    ) -> None:
        self._replica = replica
        self._writer = writer
        self._lease_s = lease_s
        # The first leader of all has nobody to wait for.
        self._unrestricted_from_s = steady_s() + (lease_s if had_leader else 0.0)
        # Orders of this leader's own do not count.
        self._predecessor_order_s_by_id = dict(replica.last_order_s_by_instance)

    def may_order(self, instance_id: str) -> bool:
        """Tell whether an order of another leader is certainly long past."""
        now_s = steady_s()
        if now_s >= self._unrestricted_from_s:
            return True
        predecessor_s = self._predecessor_order_s_by_id.get(instance_id)
        if predecessor_s is None:
            return True
        return now_s - predecessor_s > self._lease_s + MAX_SEND_DELAY_S

    def record(self, instance_ids: Collection[str]) -> bool:
        """Record orders that are about to be sent; False if that failed."""
        value = encode(InstanceOrder(int(wall_ms())))
        records = [Record(key_of(Kind.ORDER, i), value) for i in instance_ids]
        is_durable = self._writer.write(records).wait(RECORD_TIMEOUT_S)
        return is_durable and self._writer.may_act
