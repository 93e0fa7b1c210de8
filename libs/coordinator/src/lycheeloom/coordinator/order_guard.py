"""Keeps the orders of different leaders for the same instance apart in time."""

from __future__ import annotations

from collections.abc import Callable, Collection

from lycheeloom.jobs.records import InstanceOrder, Kind, Record, encode, key_of

from .clock import steady_s, wall_ms
from .ports import CallOutcome, CallReply
from .replica import Replica
from .writer import LEADER_LEASE_S, LeaderWriter

# An order that was recorded longer ago is not sent: it has waited behind other orders.
MAX_WAIT_S = LEADER_LEASE_S
# Maximum time from recording an order until it arrives, by a clock that may be 2% slow.
# An order takes some time to be sent and to arrive.
MAX_SEND_DELAY_S = MAX_WAIT_S * 1.02 + 0.7
# Maximum time from recording an order until it is carried out, by the same clock. The
# platform may carry out an order that gets no answer up to 12 s late.
MAX_EXECUTION_DELAY_S = 12.0 * 1.02 + MAX_SEND_DELAY_S
# Orders that are not recorded within this time are not sent.
RECORD_TIMEOUT_S = 1.0


class OrderGuard:
    """Decides for which instances this leader may send orders, and records orders.

    Between orders of different leaders for the same instance, at least ``lease_s`` must
    pass. Each order is recorded at most ``MAX_WAIT_S`` before it is sent, so a new
    leader knows for which instances its predecessors cannot have sent an order
    recently. For the others it waits for ``lease_s`` from the change of leader.
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
        self._predecessor_order_by_id = dict(replica.table.order_by_instance)
        # When the record of this leader's last order for each instance was handed over
        # to be written.
        self._recorded_s_by_id: dict[str, float] = {}

    def may_order(self, instance_id: str) -> bool:
        """Return whether no order of another leader can still affect the instance."""
        now_s = steady_s()
        if now_s >= self._unrestricted_from_s:
            return True
        predecessor_s = self._predecessor_order_s_by_id.get(instance_id)
        if predecessor_s is None:
            return True
        return now_s - predecessor_s > self._lease_s + MAX_SEND_DELAY_S

    def find_in_flight(self, instance_id: str, wave: str) -> InstanceOrder | None:
        """Return a former leader's order for a wave that may still be carried out.

        The first order of this leader that is accepted for the instance fences it.
        """
        order = self._predecessor_order_by_id.get(instance_id)
        predecessor_s = self._predecessor_order_s_by_id.get(instance_id)
        if order is None or order.wave != wave or predecessor_s is None:
            return None
        if steady_s() - predecessor_s > MAX_EXECUTION_DELAY_S:
            return None
        return order

    def record(self, instance_ids: Collection[str], wave: str = "") -> bool:
        """Record orders before they are sent; ``wave`` is empty for moves.

        Returns False if they must not be sent.
        """
        began_s = steady_s()
        value = encode(InstanceOrder(int(wall_ms()), wave))
        records = [Record(key_of(Kind.ORDER, i), value) for i in instance_ids]
        is_durable = self._writer.write(records).wait(RECORD_TIMEOUT_S)
        if not is_durable or not self._writer.may_act:
            return False
        self._recorded_s_by_id.update(dict.fromkeys(instance_ids, began_s))
        return True

    def send(self, instance_id: str, order: Callable[[], CallReply]) -> CallReply:
        """Send a recorded order by calling ``order``, unless it has waited too long."""
        if steady_s() - self._recorded_s_by_id[instance_id] > MAX_WAIT_S:
            return CallReply(CallOutcome.NOT_SENT, "recorded too long ago")
        reply = order()
        if reply.outcome is CallOutcome.DONE:
            self._predecessor_order_s_by_id.pop(instance_id, None)
        return reply
