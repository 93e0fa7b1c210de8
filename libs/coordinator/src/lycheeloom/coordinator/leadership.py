"""Leader election through the store."""

from __future__ import annotations

import random
from collections.abc import Callable

import gevent

from lycheeloom.telemetry import log_event

from .clock import steady_s
from .ports import (
    MAX_APPEND_BYTES,
    MAX_RECORD_BYTES,
    Appended,
    ConditionFailed,
    StorePort,
)
from .replica import Replica
from .writer import LEADER_LEASE_S, LeaderWriter

# A leader that has written nothing for this long no longer acts: its lease has
# expired even if its clock is 2% slow. The 0.2 s are for the read that shows this
# instance what the leader has written last.
TAKEOVER_AFTER_S = LEADER_LEASE_S * 1.02 + 0.2
CHECK_INTERVAL_S = 0.1
# Maximum of the random delay before a campaign, which keeps instances from campaigning
# all at the same time.
MAX_STAGGER_S = 0.25
# An instance with fewer cores delays its campaign, so that a larger one is first if
# there is any: scheduling for some hundred workers takes about half a core.
MIN_LEADER_CORES = 1.0
# Longer than a larger instance needs to campaign and to be noticed.
SMALL_INSTANCE_DELAY_S = 0.6
# Time limit for fencing earlier leaders, and then for reading their last records.
FENCE_TIMEOUT_S = 2.0


class Leadership:
    """Campaigns for leadership when there is no active leader.

    An instance claims the lead by appending to the election log, on the condition that
    the log has not grown since the latest known claim; the new end of the log is its
    fencing token. It leads once its first record is in the leader's log, which fences
    earlier leaders.

    ``lead`` is called when this instance has become leader and returns when it no
    longer leads; its second argument is whether there was an earlier leader.
    ``may_lead`` returns whether this instance has the state that it needs to lead.
    ``cores`` is the processor capacity of this instance; small ones campaign later.
    """

    def __init__(
        self,
        store: StorePort,
        replica: Replica,
        instance: str,
        lead: Callable[[LeaderWriter, bool], None],
        may_lead: Callable[[], bool],
        rng: random.Random,
        cores: float = MIN_LEADER_CORES,
        max_record_bytes: int = MAX_RECORD_BYTES,
        max_append_bytes: int = MAX_APPEND_BYTES,
    ) -> None:
        self._store = store
        self._replica = replica
        self._instance = instance
        self._lead = lead
        self._may_lead = may_lead
        self._rng = rng
        self.cores = cores
        self._max_record_bytes = max_record_bytes
        self._max_append_bytes = max_append_bytes
        # End of the election log if it is known to be past the token of the latest
        # known leader, which means that another instance has claimed the lead; else
        # None.
        self._claimed_end: int | None = None
        self._claim_found_s = 0.0
        self.writer: LeaderWriter | None = None
        self.is_stopping = False

    @property
    def may_campaign(self) -> bool:
        """Return whether this instance is able to lead and is not stopping."""
        return self._may_lead() and not self.is_stopping

    def run(self) -> None:
        """Watch the leader and campaign until stopped."""
        while not self.is_stopping:
            gevent.sleep(CHECK_INTERVAL_S)
            if not self.may_campaign or not self._is_vacant():
                continue
            gevent.sleep(self._campaign_delay_s())
            if self._is_vacant() and not self.is_stopping:
                self._campaign()

    def resign(self, timeout_s: float) -> None:
        """Stop leading and campaigning.

        Waits up to ``timeout_s`` until the resignation is recorded.
        """
        self.is_stopping = True
        if self.writer is not None:
            self.writer.resign(timeout_s)

    def _campaign_delay_s(self) -> float:
        delay_s = self._rng.uniform(0, MAX_STAGGER_S)
        if self.cores < MIN_LEADER_CORES:
            delay_s += SMALL_INSTANCE_DELAY_S
        return delay_s

    def _is_vacant(self) -> bool:
        """Return whether no other instance leads or has recently claimed the lead."""
        replica = self._replica
        if not replica.is_fresh or replica.leader_seen_s is None:
            return False
        leader = replica.table.leader
        seen_token = leader.token if leader else 0
        if self._claimed_end is not None and seen_token >= self._claimed_end:
            self._claimed_end = None
        if self._claimed_end is not None:
            # The claim may have had no effect on the leader before it.
            silent_since_s = max(self._claim_found_s, replica.leader_seen_s)
            return steady_s() - silent_since_s > TAKEOVER_AFTER_S
        if leader is None or leader.resigned:
            return True
        if leader.instance == self._instance:
            # The leader was an earlier process of this instance, which has ended.
            return True
        return steady_s() - replica.leader_seen_s > TAKEOVER_AFTER_S

    def _campaign(self) -> None:
        # The last reads may have failed, so the silence is confirmed by another one.
        silent_end = self._replica.refresh_leader()
        if silent_end is None or not self._is_vacant():
            log_event(
                "campaign_given_up",
                reason="log not read" if silent_end is None else "leader seen",
                leader_seen_for_s=steady_s() - self._replica.leader_seen_s,
            )
            return
        leader = self._replica.table.leader
        expected_end = self._claimed_end
        if expected_end is None:
            expected_end = leader.token if leader else 0
        result = self._store.claim_lead(expected_end, self._instance)
        match result:
            case Appended(end=token):
                self._take_lead(token, silent_end)
            case ConditionFailed(end=end):
                if self._claimed_end != end:
                    self._claimed_end, self._claim_found_s = end, steady_s()
                log_event("lead_claimed_elsewhere", at=expected_end, end=end)
            case _:
                log_event("lead_claim_failed", level="WARNING", result=result)

    def _take_lead(self, token: int, silent_end: int) -> None:
        """Lead with a token.

        ``silent_end`` is the end of the leader's log when its silence was confirmed.
        """
        self._claimed_end = None
        leader = self._replica.table.leader
        had_leader = leader is not None
        silent_s = steady_s() - self._replica.leader_seen_s
        may_have_renewed = (
            had_leader and not leader.resigned and leader.instance != self._instance
        )
        writer = LeaderWriter(
            self._store,
            token,
            self._instance,
            lambda: None,
            self.cores,
            self._max_record_bytes,
            self._max_append_bytes,
        )
        self.writer = writer
        end = writer.open(FENCE_TIMEOUT_S)
        late_records = end - silent_end - 1 if end and may_have_renewed else 0
        # This instance must know every job that the previous leader may have started.
        is_ready = (
            end is not None
            and self._outlast_late_records(writer, late_records)
            and self._replica.wait_for_leader_record(end, FENCE_TIMEOUT_S)
            and self._replica.refresh_jobs()
        )
        if not is_ready:
            log_event("lead_not_taken", level="WARNING", token=token, end=end)
            self.writer = None
            return
        log_event(
            "lead_taken",
            token=token,
            instance=self._instance,
            cores=self.cores,
            offset=end,
            former_silent_s=silent_s,
        )
        self._replica.is_leading = True
        try:
            self._lead(writer, had_leader)
        finally:
            self._replica.is_leading = False
            self.writer = None
            log_event("lead_given_up", token=token, instance=self._instance)

    @staticmethod
    def _outlast_late_records(writer: LeaderWriter, late_records: int) -> bool:
        """Wait for the lease of a previous leader that has written late records.

        These are the records between the end of its silence and the first record of
        this leader. Returns False if this instance no longer leads afterwards.
        """
        if late_records <= 0:
            return True
        log_event("lead_delayed", token=writer.token, late_records=late_records)
        return writer.hold(TAKEOVER_AFTER_S)
