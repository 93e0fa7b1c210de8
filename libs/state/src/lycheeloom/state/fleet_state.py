"""Replay of the platform's log into one state that is equal in all readers.

Every rule depends only on the state and the record, never on a clock, so two
processes that have read the same offsets hold the same state.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

from pydantic import TypeAdapter

from lycheeloom.model import records as r
from lycheeloom.model.config import ConfigError, FleetConfig, parse_config
from lycheeloom.model.records import Batch, Record

from .configuration import Configuration
from .duties import Duties
from .grants import Grants
from .maintenance import Maintenance
from .members import Members
from .requests import Requests

# Authors whose last sequence number is remembered. Each process and each
# operator command is an author; the ones silent longest are forgotten.
MAX_AUTHORS = 10_000


@dataclass(frozen=True, slots=True)
class AppliedBatch:
    """Which records of a batch took effect at its offset."""

    offset: int
    author: str
    sequence: int
    is_repeat: bool
    effective: tuple[bool, ...]


@dataclass(slots=True)
class SnapshotContent:
    """Everything that a snapshot holds."""

    next_offset: int = 0
    sequence_by_author: dict[str, int] = field(default_factory=dict)
    configuration: Configuration = field(default_factory=Configuration)
    members: Members = field(default_factory=Members)
    grants: Grants = field(default_factory=Grants)
    requests: Requests = field(default_factory=Requests)
    duties: Duties = field(default_factory=Duties)
    maintenance: Maintenance = field(default_factory=Maintenance)
    unknown_records: int = 0


_IMAGE_ADAPTER = TypeAdapter(SnapshotContent)


class FleetState:
    """The fleet as the log tells it, up to ``next_offset``.

    ``state.apply(offset, batch)`` must be called once for each offset, in
    order. ``dump_snapshot`` and ``load_snapshot`` carry the state over the
    log's retention.
    """

    def __init__(self, image: SnapshotContent | None = None) -> None:
        self._image = image or SnapshotContent()
        self.config = self._parse_document()

    @property
    def next_offset(self) -> int:
        """The offset after the last applied batch."""
        return self._image.next_offset

    @property
    def configuration(self) -> Configuration:
        """The published document, its version and history."""
        return self._image.configuration

    @property
    def members(self) -> Members:
        """Entry incarnations on record."""
        return self._image.members

    @property
    def grants(self) -> Grants:
        """Running slots by organisation and incarnation."""
        return self._image.grants

    @property
    def requests(self) -> Requests:
        """Recorded requests."""
        return self._image.requests

    @property
    def duties(self) -> Duties:
        """Holders of duties."""
        return self._image.duties

    @property
    def maintenance(self) -> Maintenance:
        """Pools, moves, health and waves."""
        return self._image.maintenance

    @property
    def unknown_records(self) -> int:
        """How many records of newer program versions were skipped."""
        return self._image.unknown_records

    def last_sequence(self, author: str) -> int:
        """Return the highest sequence number applied from an author, or 0."""
        return self._image.sequence_by_author.get(author, 0)

    def apply(self, offset: int, batch: Batch) -> AppliedBatch:
        """Apply the batch at ``offset``, which must be ``next_offset``.

        Raises ``ValueError`` for any other offset.
        """
        self._advance(offset)
        if batch.sequence <= self.last_sequence(batch.author):
            nothing = (False,) * len(batch.records)
            return AppliedBatch(offset, batch.author, batch.sequence, True, nothing)
        self._remember_author(batch.author, batch.sequence)
        effective = tuple(
            self._apply_record(offset, batch.author, record) for record in batch.records
        )
        return AppliedBatch(offset, batch.author, batch.sequence, False, effective)

    def skip(self, offset: int) -> None:
        """Pass over an offset whose bytes no program can decode."""
        self._advance(offset)
        self._image.unknown_records += 1

    def dump_snapshot(self) -> bytes:
        """Serialise the state through ``next_offset``."""
        return zlib.compress(_IMAGE_ADAPTER.dump_json(self._image))

    @classmethod
    def load_snapshot(cls, data: bytes) -> FleetState:
        """Restore a state; raises ``ValueError`` for damaged bytes."""
        try:
            return cls(_IMAGE_ADAPTER.validate_json(zlib.decompress(data)))
        except zlib.error as error:
            raise ValueError(f"snapshot does not decompress: {error}") from error

    def _advance(self, offset: int) -> None:
        if offset != self._image.next_offset:
            raise ValueError(f"offset {offset} is not {self._image.next_offset}")
        self._image.next_offset = offset + 1

    def _remember_author(self, author: str, sequence: int) -> None:
        sequences = self._image.sequence_by_author
        sequences.pop(author, None)
        sequences[author] = sequence
        if len(sequences) > MAX_AUTHORS:
            del sequences[next(iter(sequences))]

    def _apply_record(self, offset: int, author: str, record: Record) -> bool:
        match record:
            case r.ConfigChanged():
                return self._change_config(offset, record)
            case r.MemberJoined() | r.MemberVote() | r.MemberRefuted():
                return self._change_members(offset, author, record)
            case r.MemberLeft() | r.GrantsReclaimed():
                return self._remove_member(author, record)
            case r.GrantRequested(organisation, count):
                return self.members.is_active(author) and self.grants.request(
                    author, organisation, count
                )
            case r.GrantReturned(organisation, count):
                return self.grants.give_back(author, organisation, count)
            case r.DutyClaimed():
                return self.duties.claim(offset, author, record)
            case r.MoveStep() | r.InstanceHealth() | r.WaveCommand():
                return self._change_maintenance(offset, author, record)
            case r.SnapshotChunk():
                return True
            case r.UnknownRecord():
                self._image.unknown_records += 1
                return False
            case _:
                return self._change_request(offset, author, record)

    def _change_config(self, offset: int, record: r.ConfigChanged) -> bool:
        proposed = self.configuration.propose(record, self.config)
        if proposed is None:
            return False
        document, config = proposed
        used = self.maintenance.pools_in_use(config.instance_by_id)
        if not used <= set(config.pool_by_id):
            return False
        self.configuration.adopt(offset, record, document)
        self.config = config
        self.maintenance.adopt_instances(
            {name: item.pool for name, item in config.instance_by_id.items()}
        )
        self.grants.set_limits(
            {
                name: organisation.upper_limit
                for name, organisation in config.organisation_by_id.items()
            }
        )
        return True

    def _change_members(self, offset: int, author: str, record: Record) -> bool:
        expelled_before = self._expelled()
        match record:
            case r.MemberJoined():
                took_effect = self.members.join(offset, record)
            case r.MemberVote():
                took_effect = self.members.vote(offset, author, record)
            case _:
                took_effect = self.members.refute(author)
        for incarnation in self._expelled() - expelled_before:
            self.grants.forget_demand(incarnation)
        return took_effect

    def _expelled(self) -> set[str]:
        return {
            name
            for name, member in self.members.member_by_incarnation.items()
            if member.expelled_at is not None
        }

    def _remove_member(self, author: str, record: Record) -> bool:
        match record:
            case r.GrantsReclaimed(target, expelled_at):
                removed = self.members.reclaim(target, expelled_at)
            case _:
                target = author
                removed = self.members.leave(author)
        if removed:
            self.grants.release_all(target)
        return removed

    def _change_maintenance(self, offset: int, author: str, record: Record) -> bool:
        if isinstance(record, r.WaveCommand):
            return self.maintenance.command_wave(offset, record)
        if not self.duties.is_current(r.Duty.MAINTENANCE, author, record.duty_epoch):
            return False
        if isinstance(record, r.MoveStep):
            return self.maintenance.step(offset, record, self.config.pool_by_id)
        return self.maintenance.set_health(offset, record)

    def _change_request(self, offset: int, author: str, record: Record) -> bool:
        match record:
            case r.RequestSubmitted():
                return self.requests.submit(offset, author, record)
            case r.RequestClaimed():
                is_member = self.members.is_active(author)
                return is_member and self.requests.claim(author, record)
            case r.RequestReleased(request_id, attempt):
                if not self._may_decide(author, request_id, attempt):
                    return False
                return self.requests.release(record)
            case r.RequestFinished(request_id, attempt):
                if not self._may_decide(author, request_id, attempt):
                    return False
                return self.requests.finish(offset, record)
            case r.RequestCancelled(request_id):
                return self.requests.cancel(offset, request_id)
            case r.AnswersExpired(through_offset, queue):
                duty = self.duties.of(r.Duty.HOUSEKEEPING)
                if duty.holder != author:
                    return False
                self.requests.expire(through_offset, queue)
                return True
        return False

    def _may_decide(self, author: str, request_id: str, attempt: int) -> bool:
        """Only the holder decides about a claim until its grants are reclaimed."""
        request = self.requests.find_claim(request_id, attempt)
        if request is None or request.holder == author:
            return True
        return request.holder not in self.members.member_by_incarnation

    def _parse_document(self) -> FleetConfig:
        configuration = self._image.configuration
        config = parse_config(configuration.document, configuration.version)
        if isinstance(config, ConfigError):
            raise ValueError("; ".join(config.problems))
        return config
