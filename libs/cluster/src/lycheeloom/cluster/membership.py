"""Membership of this process, and its part in expelling other members.

It joins, votes to expel silent members, refutes votes against itself and reclaims the
grants of expelled members, all by records in the log.
"""

from __future__ import annotations

import math
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent

from lycheeloom.clients import InstanceList, InstanceState, Unavailable
from lycheeloom.log import (
    LogTail,
    LogWriter,
    NotWritten,
    Outcome,
    PendingRecord,
    Priority,
    ReplayedBatch,
)
from lycheeloom.model.limits import FRESHNESS_S, RECLAIM_WAIT_S, SILENCE_TIMEOUT_S
from lycheeloom.model.records import (
    GrantsReclaimed,
    MemberJoined,
    MemberLeft,
    MemberRefuted,
    MemberVote,
    Record,
    VoteReason,
)
from lycheeloom.model.ticks import seconds_until_tick
from lycheeloom.state import Member

from .freshness import Freshness
from .mesh import PeerMesh

STEP_INTERVAL_S = 0.2
LIST_INTERVAL_S = 2.0
# The instance list lags behind: an instance that is missing in it but was heard more
# recently than this is still running.
MIN_GONE_SILENCE_S = 2.0
# A member that has not heard a peer for this long appends a record that shows it is
# alive, before its peers vote. Otherwise an entry that reaches the log but no peer
# would be expelled every few seconds and lose its grants each time.
ASSERT_ALIVE_AFTER_S = SILENCE_TIMEOUT_S / 2
# Spreads the appends of members that replay the same expulsion at the same time.
RECLAIM_SPREAD_S = 1.0


@dataclass(frozen=True, slots=True)
class Identity:
    """Where this process runs and where its peers reach it."""

    instance: str
    address: str
    zone: str
    program_version: str = ""


def new_incarnation(instance: str, rng: random.Random | None = None) -> str:
    """Return a name that no other process on the instance has had.

    ``rng`` must be seeded differently in each process; by default the system's
    random source is used.
    """
    bits = (rng or random.SystemRandom()).getrandbits(48)
    return f"{instance}-{bits:012x}"


class MembershipManager:
    """Keeps this process a member and helps to expel members that are gone.

    The writer's author is the incarnation. ``is_replaced`` becomes true when
    another process has joined on the same instance; this process should then exit.
    """

    def __init__(
        self,
        identity: Identity,
        writer: LogWriter,
        tail: LogTail,
        mesh: PeerMesh,
        freshness: Freshness,
        list_instances: Callable[[], InstanceList | Unavailable],
        *,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
        on_rejoin: Callable[[str], None] = lambda incarnation: None,
    ) -> None:
        self.identity = identity
        self.is_replaced = False
        # Set when the platform is about to remove this process's instance.
        self.is_leaving = False
        self._writer = writer
        self._tail = tail
        self._mesh = mesh
        self._freshness = freshness
        self._list_instances = list_instances
        self._clock = clock
        self._rng = rng or random.Random()
        self._on_rejoin = on_rejoin
        self._has_left = False
        self._was_member = False
        self._pending_by_record: dict[Record, PendingRecord] = {}
        self._vote_by_target: dict[str, MemberVote] = {}
        self._voted_at: dict[str, float] = {}
        self._first_seen_at: dict[str, float] = {}
        self._reclaim_wait_from: dict[tuple[str, int], float] = {}
        self._last_batch_at: dict[str, float] = {}
        self._last_assertion_at = -math.inf
        self._log_stale_at = -math.inf
        self._last_listing: InstanceList | None = None
        self._ever_listed: set[str] = set()
        self._currently_listed: set[str] | None = None
        tail.add_listener(self._on_replayed)

    @property
    def incarnation(self) -> str:
        """The incarnation as which this process has joined or tries to join."""
        return self._writer.author

    @property
    def is_member(self) -> bool:
        """Whether this incarnation is an active member in the replayed state."""
        return self._tail.state.members.is_active(self.incarnation)

    def run(self) -> None:
        """Call ``step`` every ``STEP_INTERVAL_S`` until stopped."""
        while True:
            self.step()
            gevent.sleep(seconds_until_tick(STEP_INTERVAL_S))

    def poll_instance_list(self) -> None:
        """Fetch the instance list every ``LIST_INTERVAL_S`` until stopped."""
        while True:
            listing = self._list_instances()
            if isinstance(listing, InstanceList):
                self.observe_instances(listing)
            gevent.sleep(seconds_until_tick(LIST_INTERVAL_S))

    def observe_instances(self, listing: InstanceList) -> None:
        """Process the platform's instance list, which lags behind."""
        if listing is self._last_listing:
            return
        self._last_listing = listing
        self._currently_listed = {item.instance for item in listing.instances}
        self._ever_listed |= self._currently_listed
        self.is_leaving = any(
            item.instance == self.identity.instance
            and item.state is InstanceState.LEAVING
            for item in listing.instances
        )

    def leave(self, timeout_s: float) -> Outcome:
        """Leave the cluster, which frees all grants; call it after the last task."""
        self._has_left = True
        return self._writer.append(MemberLeft(), Priority.CONTROL).wait(timeout_s)

    def step(self) -> None:
        """Check this process and its peers, and append the records that are needed."""
        if self._has_left or self.is_replaced:
            return
        if not self.is_member:
            self._join()
            return
        self._was_member = True
        self._refute_votes()
        self._drop_ended_votes()
        self._track_peers()
        if self._mesh.log_age_s() > FRESHNESS_S:
            self._log_stale_at = self._clock()
        self._assert_alive()
        for member in self._peers():
            self._consider_vote(member)
        self._reclaim()

    def _peers(self) -> list[Member]:
        return [
            member
            for member in self._tail.state.members.active()
            if member.incarnation != self.incarnation
        ]

    def _join(self) -> None:
        if self._has_successor():
            self.is_replaced = True
            return
        record = self._join_record()
        pending = self._pending_by_record.get(record)
        known = self._tail.state.members.member_by_incarnation
        if self._was_member or self.incarnation in known:
            self._rejoin()
        elif pending is None or isinstance(pending.outcome, NotWritten):
            self._append(record)
        elif pending.outcome is not None:
            # The record may have taken effect and the member been expelled since; an
            # incarnation must not join twice.
            self._rejoin()

    def _join_record(self) -> MemberJoined:
        identity = self.identity
        return MemberJoined(
            identity.instance,
            self.incarnation,
            identity.address,
            identity.zone,
            identity.program_version,
        )

    def _has_successor(self) -> bool:
        """Tell whether a newer process has joined on the same instance.

        If this process joined again, the two would expel each other forever.
        """
        return self._was_member and any(
            member.instance == self.identity.instance
            for member in self._tail.state.members.active()
        )

    def _rejoin(self) -> None:
        incarnation = new_incarnation(self.identity.instance, self._rng)
        self._writer.change_author(incarnation)
        self._mesh.incarnation = incarnation
        self._mesh.unconfirmed_peers.clear()
        self._was_member = False
        self._pending_by_record.clear()
        self._vote_by_target.clear()
        self._voted_at.clear()
        self._first_seen_at.clear()
        self._last_batch_at.clear()
        self._on_rejoin(incarnation)
        self._append(self._join_record())

    def _append(self, record: Record) -> None:
        self._pending_by_record[record] = self._writer.append(record, Priority.CONTROL)

    def _is_pending(self, record: Record) -> bool:
        pending = self._pending_by_record.get(record)
        if pending is None:
            return False
        if pending.outcome is None:
            return True
        del self._pending_by_record[record]
        return False

    def _refute_votes(self) -> None:
        own = self._tail.state.members.member_by_incarnation[self.incarnation]
        if own.votes and not self._is_pending(MemberRefuted()):
            self._append(MemberRefuted())

    def _track_peers(self) -> None:
        now = self._clock()
        peers = {member.incarnation for member in self._peers()}
        for peer in peers:
            self._first_seen_at.setdefault(peer, now)
        for peer in self._first_seen_at.keys() - peers:
            del self._first_seen_at[peer]
            self._voted_at.pop(peer, None)
            self._last_batch_at.pop(peer, None)

    def _on_replayed(self, replayed: ReplayedBatch) -> None:
        author = replayed.batch.author
        if author in self._first_seen_at:
            self._last_batch_at[author] = self._clock()

    def _assert_alive(self) -> None:
        now = self._clock()
        if now - self._last_assertion_at < ASSERT_ALIVE_AFTER_S:
            return
        if self._mesh.log_age_s() > FRESHNESS_S:
            return
        has_silent_peer = any(
            now - self._last_heard_at(member) >= ASSERT_ALIVE_AFTER_S
            for member in self._peers()
        )
        if has_silent_peer and not self._is_pending(MemberRefuted()):
            self._last_assertion_at = now
            self._append(MemberRefuted())

    def _last_heard_at(self, member: Member) -> float:
        """Return the time of the last heartbeat, or since when one could be heard."""
        return max(
            self._mesh.view(member.incarnation).heard_at,
            self._first_seen_at[member.incarnation],
            self._freshness.resumed_at,
        )

    def _silence_s(self, member: Member) -> float:
        """Return the time since the last heartbeat or batch of a member."""
        last_batch_at = self._last_batch_at.get(member.incarnation, -math.inf)
        return self._clock() - max(self._last_heard_at(member), last_batch_at)

    def _consider_vote(self, member: Member) -> None:
        target = member.incarnation
        if target in self._vote_by_target or self.incarnation in member.votes:
            return
        # A vote cannot take effect during an outage of the log and would only withhold
        # confirmations. After an outage each peer gets time to show that it is alive.
        if self._clock() - self._log_stale_at < ASSERT_ALIVE_AFTER_S:
            return
        voted_at = self._voted_at.get(target)
        if voted_at is not None and self._clock() - voted_at < SILENCE_TIMEOUT_S:
            return
        silence_s = self._silence_s(member)
        if self._is_gone_from_list(member) and silence_s >= MIN_GONE_SILENCE_S:
            self._vote(target, VoteReason.GONE)
        elif silence_s >= SILENCE_TIMEOUT_S and self._has_replayed_own_join(member):
            self._vote(target, VoteReason.SILENT)

    def _is_gone_from_list(self, member: Member) -> bool:
        currently_listed = self._currently_listed
        return (
            currently_listed is not None
            and member.instance in self._ever_listed
            and member.instance not in currently_listed
        )

    def _has_replayed_own_join(self, member: Member) -> bool:
        """Tell whether the member has replayed that this process joined.

        A member cut off from the log counts majorities among the members that it
        knows. If members that joined later could vote, they might expel it while a
        majority of the older members still confirms it.
        """
        own = self._tail.state.members.member_by_incarnation[self.incarnation]
        return self._mesh.view(member.incarnation).next_offset > own.joined_at

    def _vote(self, target: str, reason: VoteReason) -> None:
        # Stop confirming the target before the vote can take effect.
        self._mesh.unconfirmed_peers.add(target)
        record = MemberVote(target, reason)
        self._vote_by_target[target] = record
        self._voted_at[target] = self._clock()
        self._append(record)

    def _drop_ended_votes(self) -> None:
        for target, record in list(self._vote_by_target.items()):
            if self._has_vote_ended(target, record):
                del self._vote_by_target[target]
                self._pending_by_record.pop(record, None)
                self._mesh.unconfirmed_peers.discard(target)

    def _has_vote_ended(self, target: str, record: MemberVote) -> bool:
        """Tell whether the vote has expelled its target or no longer can."""
        members = self._tail.state.members
        if not members.is_active(target):
            return True
        pending = self._pending_by_record[record]
        if pending.outcome is None:
            heard_at = self._mesh.view(target).heard_at
            is_back = heard_at > self._voted_at[target]
            return is_back and pending.withdraw("the peer was heard again")
        if isinstance(pending.outcome, NotWritten):
            return True
        return self.incarnation not in members.member_by_incarnation[target].votes

    def _reclaim(self) -> None:
        now = self._clock()
        expulsions = {
            (member.incarnation, member.expelled_at)
            for member in self._tail.state.members.member_by_incarnation.values()
            if member.expelled_at is not None
        }
        for expulsion in self._reclaim_wait_from.keys() - expulsions:
            del self._reclaim_wait_from[expulsion]
        for expulsion in expulsions:
            # It is safe to wait longer, so a random delay is added.
            spread_s = self._rng.random() * RECLAIM_SPREAD_S
            wait_from = self._reclaim_wait_from.setdefault(expulsion, now + spread_s)
            record = GrantsReclaimed(*expulsion)
            if now - wait_from >= RECLAIM_WAIT_S and not self._is_pending(record):
                self._append(record)
