"""Keeps the orders of different leaders for the same instance apart in time."""

from __future__ import annotations

from collections.abc import Collection

from lycheeloom.jobs.records import InstanceOrder, Kind, Record, encode, key_of

from .clock import steady_s, wall_ms
from .replica import Replica
from .writer import LEADER_LEASE_S, LeaderWriter

# Maximum time from recording an order until it arrives: the order is sent before the
# leader's lease ends, and then takes some time to arrive.
MAX_SEND_DELAY_S = LEADER_LEASE_S * 1.02 + 0.7
# Orders that are not recorded within this time are not sent.
RECORD_TIMEOUT_S = 1.0


class OrderGuard:
    """Decides for which instances this leader may send orders, and records orders.

    Between orders of different leaders for the same instance, at least ``lease_s`` must
    pass. Each order is recorded before it is sent, so a new leader knows for which
    instances its predecessors cannot have sent an order recently. For the others it
    waits for ``lease_s`` from the change of leader.
    """

    def __init__(
        self, replica: Replica, writer: LeaderWriter, lease_s: float, had_leader: bool
    ) -> None:
        self._replica = replica
        self._writer = writer
        self._lease_s = lease_s
        # From this time on, orders for all instances may be sent; the very first leader
        # does not have to wait.
        self._unrestricted_from_s = steady_s() + (lease_s if had_leader else 0.0)
        # Time of the predecessors' last order for each instance; a copy, so that this
        # leader's own orders are not included.
        self._predecessor_order_s_by_id = dict(replica.last_order_s_by_instance)

    def may_order(self, instance_id: str) -> bool:
        """Return whether no order of another leader can still affect the instance."""
        now_s = steady_s()
        if now_s >= self._unrestricted_from_s:
            return True
        predecessor_s = self._predecessor_order_s_by_id.get(instance_id)
        if predecessor_s is None:
            return True
        return now_s - predecessor_s > self._lease_s + MAX_SEND_DELAY_S

    def record(self, instance_ids: Collection[str]) -> bool:
        """Record orders before they are sent.

        Returns False if they must not be sent.
        """
        value = encode(InstanceOrder(int(wall_ms())))
        records = [Record(key_of(Kind.ORDER, i), value) for i in instance_ids]
        is_durable = self._writer.write(records).wait(RECORD_TIMEOUT_S)
        return is_durable and self._writer.may_act
