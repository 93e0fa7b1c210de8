"""Membership of entry incarnations: joining, votes to expel and expulsion.

An incarnation is one run of an entry process. An expelled incarnation keeps its grants
until they are reclaimed, as its tasks may still run.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from lycheeloom.model.records import MemberJoined, MemberVote, VoteReason


@dataclass(slots=True)
class Member:
    """One incarnation of an entry.

    ``joined_at`` and ``expelled_at`` are offsets; ``expelled_at`` is None for a member
    that is not expelled. ``votes`` has the incarnations that vote to expel this one.
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
    """All members, and expelled members until their grants are reclaimed."""

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
        """Add a member and expel older incarnations on the same instance.

        Has no effect and returns False if the incarnation is already known.
        """
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
        """Count the author's vote to expel another member.

        The votes of a majority of the active members expel the target, and so does one
        vote with reason ``GONE``. Returns whether the vote counts.
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
        """Remove the author, which has no running task left, from the members."""
        if not self.is_active(author):
            return False
        self._remove(author)
        return True

    def reclaim(self, target: str, expelled_at: int) -> bool:
        """Remove a member that was expelled at offset ``expelled_at``.

        Has no effect and returns False if it was not expelled at this offset.
        """
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
