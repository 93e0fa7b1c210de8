"""The member side of joining, voting, refuting and reclaiming grants."""

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
    Pending,
    Priority,
    Replayed,
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
# An instance that is missing in the lagging list but was heard this recently is
# still running.
GONE_SILENCE_S = 2.0
# A member that misses heartbeats of a peer shows the others through the log that
# it is alive, before they vote. Otherwise an entry that reaches the log and no
# peer would be expelled every few seconds and lose its grants each time.
ALIVE_AFTER_S = SILENCE_TIMEOUT_S / 2
# Spreads the appends of members that replayed the same expulsion together.
RECLAIM_SPREAD_S = 1.0


@dataclass(frozen=True, slots=True)
class Identity:
    """Where this process runs and where its peers reach it."""

    instance: str
    address: str
    zone: str
    program_version: str = ""


def new_incarnation(instance: str, rng: random.Random | None = None) -> str:
    """Return a name that no other process of the instance has.

    ``rng`` must differ between processes; without one the system's is used.
    """
    bits = (rng or random.SystemRandom()).getrandbits(48)
    return f"{instance}-{bits:012x}"


class MembershipKeeper:
    """Keeps this process a member and helps to expel members that are gone.

    The writer's author is the incarnation. ``is_replaced`` becomes true when
    another process joined for the same instance; this one should exit.
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
        # The platform is about to take this process's instance away.
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
        self._pending_by_record: dict[Record, Pending] = {}
        self._vote_by_target: dict[str, MemberVote] = {}
        self._voted_at: dict[str, float] = {}
        self._first_seen_at: dict[str, float] = {}
        self._expulsion_seen_at: dict[tuple[str, int], float] = {}
        self._written_at: dict[str, float] = {}
        self._asserted_at = -math.inf
        self._without_log_at = -math.inf
        self._listing: InstanceList | None = None
        self._listed_before: set[str] = set()
        self._listed_now: set[str] | None = None
        tail.add_listener(self._on_replayed)

    @property
    def incarnation(self) -> str:
        """The incarnation that this process currently joins or has joined as."""
        return self._writer.author

    @property
    def is_member(self) -> bool:
        """Whether the replayed state has this incarnation as a member."""
        return self._tail.state.members.is_active(self.incarnation)

    def run(self) -> None:
        """Act every ``STEP_INTERVAL_S`` until stopped."""
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
        """Take the platform's lagging list."""
        if listing is self._listing:
            return
        self._listing = listing
        self._listed_now = {item.instance for item in listing.instances}
        self._listed_before |= self._listed_now
        self.is_leaving = any(
            item.instance == self.identity.instance
            and item.state is InstanceState.LEAVING
            for item in listing.instances
        )

    def leave(self, timeout_s: float) -> Outcome:
        """Leave after the last task has ended; grants become free."""
        self._has_left = True
        return self._writer.append(MemberLeft(), Priority.CONTROL).wait(timeout_s)

    def step(self) -> None:
        """Compare the replayed state with what was heard, and act once."""
        if self._has_left or self.is_replaced:
            return
        if not self.is_member:
            self._join()
            return
        self._was_member = True
        self._refute()
        self._settle_votes()
        self._note_members()
        if self._mesh.log_age_s() > FRESHNESS_S:
            self._without_log_at = self._clock()
        self._assert_alive()
        for member in self._peers():
            self._judge(member)
        self._reclaim()

    def _peers(self) -> list[Member]:
        return [
            member
            for member in self._tail.state.members.active()
            if member.incarnation != self.incarnation
        ]

    def _join(self) -> None:
        if self._is_taken_over():
            self.is_replaced = True
            return
        record = self._joining_record()
        pending = self._pending_by_record.get(record)
        known = self._tail.state.members.member_by_incarnation
        if self._was_member or self.incarnation in known:
            self._rejoin()
        elif pending is None or isinstance(pending.outcome, NotWritten):
            self._append(record)
        elif pending.outcome is not None:
            # It may have been a member and expelled since; an incarnation is
            # never used twice.
            self._rejoin()

    def _joining_record(self) -> MemberJoined:
        identity = self.identity
        return MemberJoined(
            identity.instance,
            self.incarnation,
            identity.address,
            identity.zone,
            identity.program_version,
        )

    def _is_taken_over(self) -> bool:
        """Tell whether a newer process runs for the same instance.

        Rejoining would expel it, and the two would expel each other forever.
        """
        return self._was_member and any(
            member.instance == self.identity.instance
            for member in self._tail.state.members.active()
        )

    def _rejoin(self) -> None:
        incarnation = new_incarnation(self.identity.instance, self._rng)
        self._writer.change_author(incarnation)
        self._mesh.incarnation = incarnation
        self._mesh.withheld.clear()
        self._was_member = False
        self._pending_by_record.clear()
        self._vote_by_target.clear()
        self._voted_at.clear()
        self._first_seen_at.clear()
        self._written_at.clear()
        self._on_rejoin(incarnation)
        self._append(self._joining_record())

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

    def _refute(self) -> None:
        own = self._tail.state.members.member_by_incarnation[self.incarnation]
        if own.votes and not self._is_pending(MemberRefuted()):
            self._append(MemberRefuted())

    def _note_members(self) -> None:
        now = self._clock()
        peers = {member.incarnation for member in self._peers()}
        for peer in peers:
            self._first_seen_at.setdefault(peer, now)
        for peer in self._first_seen_at.keys() - peers:
            del self._first_seen_at[peer]
            self._voted_at.pop(peer, None)
            self._written_at.pop(peer, None)

    def _on_replayed(self, replayed: Replayed) -> None:
        author = replayed.batch.author
        if author in self._first_seen_at:
            self._written_at[author] = self._clock()

    def _assert_alive(self) -> None:
        now = self._clock()
        if now - self._asserted_at < ALIVE_AFTER_S:
            return
        if self._mesh.log_age_s() > FRESHNESS_S:
            return
        is_missed = any(
            now - self._heard_at(member) >= ALIVE_AFTER_S for member in self._peers()
        )
        if is_missed and not self._is_pending(MemberRefuted()):
            self._asserted_at = now
            self._append(MemberRefuted())

    def _heard_at(self, member: Member) -> float:
        """Return the last heartbeat, or since when this process could hear one."""
        return max(
            self._mesh.view(member.incarnation).heard_at,
            self._first_seen_at[member.incarnation],
            self._freshness.resumed_at,
        )

    def _silence_s(self, member: Member) -> float:
        """Return how long neither a heartbeat nor a batch of a member came."""
        written_at = self._written_at.get(member.incarnation, -math.inf)
        return self._clock() - max(self._heard_at(member), written_at)

    def _judge(self, member: Member) -> None:
        target = member.incarnation
        if target in self._vote_by_target or self.incarnation in member.votes:
            return
        # A vote that waits out a log outage would only withhold confirmations, and
        # after an outage each peer gets the time to show that it is alive.
        if self._clock() - self._without_log_at < ALIVE_AFTER_S:
            return
        voted_at = self._voted_at.get(target)
        if voted_at is not None and self._clock() - voted_at < SILENCE_TIMEOUT_S:
            return
        silence_s = self._silence_s(member)
        if self._is_gone(member) and silence_s >= GONE_SILENCE_S:
            self._vote(target, VoteReason.GONE)
        elif silence_s >= SILENCE_TIMEOUT_S and self._is_known_to(member):
            self._vote(target, VoteReason.SILENT)

    def _is_gone(self, member: Member) -> bool:
        listed_now = self._listed_now
        return (
            listed_now is not None
            and member.instance in self._listed_before
            and member.instance not in listed_now
        )

    def _is_known_to(self, member: Member) -> bool:
        """Tell whether the member had replayed this process's joining.

        A member cut off from the log counts its majority among the members that
        it knows. If newer members could vote it out, they might be a majority
        while it still has confirmations from a majority of the older ones.
        """
        own = self._tail.state.members.member_by_incarnation[self.incarnation]
        return self._mesh.view(member.incarnation).next_offset > own.joined_at

    def _vote(self, target: str, reason: VoteReason) -> None:
        # Confirmations stop before the vote can take effect.
        self._mesh.withheld.add(target)
        record = MemberVote(target, reason)
        self._vote_by_target[target] = record
        self._voted_at[target] = self._clock()
        self._append(record)

    def _settle_votes(self) -> None:
        for target, record in list(self._vote_by_target.items()):
            if self._is_vote_over(target, record):
                del self._vote_by_target[target]
                self._pending_by_record.pop(record, None)
                self._mesh.withheld.discard(target)

    def _is_vote_over(self, target: str, record: MemberVote) -> bool:
        """Tell whether the vote can no longer expel its target."""
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
        for expulsion in self._expulsion_seen_at.keys() - expulsions:
            del self._expulsion_seen_at[expulsion]
        for expulsion in expulsions:
            # A later start of the wait is safe, so the spread is added here.
            spread_s = self._rng.random() * RECLAIM_SPREAD_S
            seen_at = self._expulsion_seen_at.setdefault(expulsion, now + spread_s)
            record = GrantsReclaimed(*expulsion)
            if now - seen_at >= RECLAIM_WAIT_S and not self._is_pending(record):
                self._append(record)
