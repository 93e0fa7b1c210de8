"""Membership of entry incarnations: joining, votes to expel and expulsion."""

from __future__ import annotations

from dataclasses import dataclass, field

from lycheeloom.model.records import MemberJoined, MemberVote, VoteReason


@dataclass(slots=True)
class Member:
    """One incarnation of an entry.

    ``joined_at`` and ``expelled_at`` are offsets; ``votes`` has the incarnations
    that vote to expel it.
    """

    incarnation: str
    instance: str
    address: str
    zone: str
    program_version: str = ""
    joined_at: int = 0
    expelled_at: int | None = None
    votes: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Members:
    """All members, and expelled ones until their grants are reclaimed."""

    member_by_incarnation: dict[str, Member] = field(default_factory=dict)

    def active(self) -> list[Member]:
        """Return the members that are not expelled, in order of joining."""
        return [
            member
            for member in self.member_by_incarnation.values()
            if member.expelled_at is None
        ]

    def is_active(self, incarnation: str) -> bool:
        """Tell whether an incarnation is a member and not expelled."""
        member = self.member_by_incarnation.get(incarnation)
        return member is not None and member.expelled_at is None

    def join(self, offset: int, record: MemberJoined) -> bool:
        """Add a member and expel older incarnations on the same instance."""
        if record.incarnation in self.member_by_incarnation:
            return False
        for member in self.active():
            if member.instance != record.instance:
                continue
            member.expelled_at = offset
            self._discard_votes_by(member.incarnation)
        self.member_by_incarnation[record.incarnation] = Member(
            record.incarnation,
            record.instance,
            record.address,
            record.zone,
            record.program_version,
            offset,
        )
        return True

    def vote(self, offset: int, author: str, record: MemberVote) -> bool:
        """Count a vote to expel.

        A majority expels the target, and so does one vote with reason ``GONE``.
        """
        if not (self.is_active(author) and self.is_active(record.target)):
            return False
        if author == record.target:
            return False
        target = self.member_by_incarnation[record.target]
        target.votes.add(author)
        is_majority = 2 * len(target.votes) > len(self.active())
        if record.reason is VoteReason.GONE or is_majority:
            target.expelled_at = offset
            self._discard_votes_by(target.incarnation)
        return True

    def refute(self, author: str) -> bool:
        """Clear the votes against the author, unless it is expelled."""
        if not self.is_active(author):
            return False
        self.member_by_incarnation[author].votes.clear()
        return True

    def leave(self, author: str) -> bool:
        """Remove a member that has no running task left."""
        if not self.is_active(author):
            return False
        self._remove(author)
        return True

    def reclaim(self, target: str, expelled_at: int) -> bool:
        """Remove a member that was expelled at offset ``expelled_at``."""
        member = self.member_by_incarnation.get(target)
        if member is None or member.expelled_at is None:
            return False
        if member.expelled_at != expelled_at:
            return False
        self._remove(target)
        return True

    def _remove(self, incarnation: str) -> None:
        del self.member_by_incarnation[incarnation]
        self._discard_votes_by(incarnation)

    def _discard_votes_by(self, incarnation: str) -> None:
        for member in self.member_by_incarnation.values():
            member.votes.discard(incarnation)
