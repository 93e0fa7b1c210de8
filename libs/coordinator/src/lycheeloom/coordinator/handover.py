"""Hands the lead over from a small instance to a larger one."""

from __future__ import annotations

import gevent

from lycheeloom.jobs.records import Kind, LeadBid, Record, encode, key_of
from lycheeloom.jobs.table import AppliedRecord
from lycheeloom.telemetry import log_event

from .clock import steady_s
from .leadership import MIN_LEADER_CORES, Leadership
from .ports import StorePort
from .replica import Replica

CHECK_INTERVAL_S = 0.5
# An instance bids only if it has so many times the cores of the leader: each change of
# leader costs some time without starts.
MIN_CORES_RATIO = 1.5
# A leader is asked only after this time.
FIRST_BID_DELAY_S = 2.0
# The delay doubles with each bid up to this value, so that an instance whose campaigns
# fail does not make leaders resign again and again.
MAX_BID_DELAY_S = 32.0
# Time for recording the resignation of a leader that hands over.
RESIGN_TIMEOUT_S = 1.0


class Handover:
    """Asks a leader that is too small to resign, and resigns if asked.

    A small instance leads after a failure of the larger ones, or if they were slower to
    campaign. When a larger instance sees a leader below ``MIN_LEADER_CORES``, it
    records a bid, which also shows that it reaches the store. The leader resigns when
    it reads the bid, and the larger instances campaign first.
    """

    def __init__(
        self, store: StorePort, replica: Replica, leadership: Leadership, instance: str
    ) -> None:
        self._store = store
        self._replica = replica
        self._leadership = leadership
        self._instance = instance
        # Token of the leader that this instance has seen, and since when, or since its
        # last bid.
        self._leader_token = 0
        self._since_s = 0.0
        self._delay_s = FIRST_BID_DELAY_S
        replica.add_listener(self._on_record)

    def run(self) -> None:
        """Watch the leader and bid for the lead, forever."""
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            if self._is_bid_due():
                self._bid()

    def _is_bid_due(self) -> bool:
        leader = self._replica.table.leader
        if leader is None or not self._leadership.may_campaign:
            return False
        if leader.token != self._leader_token:
            self._leader_token, self._since_s = leader.token, steady_s()
        is_small = (
            0 < leader.cores < MIN_LEADER_CORES
            and self._leadership.cores >= MIN_CORES_RATIO * leader.cores
        )
        return (
            is_small
            and not leader.resigned
            and leader.instance != self._instance
            and self._replica.reaches_store
            and steady_s() - self._since_s > self._delay_s
        )

    def _bid(self) -> None:
        self._since_s = steady_s()
        self._delay_s = min(2 * self._delay_s, MAX_BID_DELAY_S)
        bid = LeadBid(self._leader_token, self._leadership.cores)
        result = self._store.append(
            [Record(key_of(Kind.BID, self._instance), encode(bid))]
        )
        log_event(
            "lead_bid", token=bid.token, cores=bid.cores, result=type(result).__name__
        )

    def _on_record(self, applied: AppliedRecord) -> None:
        writer = self._leadership.writer
        if applied.kind is not Kind.BID or writer is None or writer.is_fenced:
            return
        bid = self._replica.table.bid_by_instance.get(applied.name)
        if bid is None or bid.token != writer.token:
            return
        if bid.cores < MIN_CORES_RATIO * self._leadership.cores:
            return
        log_event(
            "lead_handed_over",
            token=writer.token,
            cores=self._leadership.cores,
            to=applied.name,
            to_cores=bid.cores,
        )
        gevent.spawn(writer.resign, RESIGN_TIMEOUT_S)
