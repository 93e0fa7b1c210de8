"""The state machine that replays the log into the fleet state.

Every rule depends only on the state and the record, never on a clock, so two
processes that have replayed the same offsets hold the same state.
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

# Authors whose last sequence number is kept, to detect repeated batches. Each
# process and each operator command is an author; the authors whose last batch is
# oldest are dropped first.
MAX_AUTHORS = 10_000


@dataclass(frozen=True, slots=True)
class AppliedBatch:
    """Which records of a batch took effect at its offset.

    ``is_repeat`` marks a batch that had been applied before, because its append was
    repeated; none of its records takes effect.
    """

    offset: int
    author: str
    sequence: int
    is_repeat: bool
    effective: tuple[bool, ...]


@dataclass(slots=True)
class SnapshotContent:
    """The data that a snapshot holds."""

    next_offset: int = 0
    sequence_by_author: dict[str, int] = field(default_factory=dict)
    configuration: Configuration = field(default_factory=Configuration)
    members: Members = field(default_factory=Members)
    grants: Grants = field(default_factory=Grants)
    requests: Requests = field(default_factory=Requests)
    duties: Duties = field(default_factory=Duties)
    maintenance: Maintenance = field(default_factory=Maintenance)
    unknown_records: int = 0


_SNAPSHOT_ADAPTER = TypeAdapter(SnapshotContent)


class FleetState:
    """The state of the fleet after replaying the log up to ``next_offset``.

    Call ``apply`` (or ``skip``) once for each offset, in order. With
    ``dump_snapshot`` and ``load_snapshot`` the state outlives the log's retention.
    """

    def __init__(self, content: SnapshotContent | None = None) -> None:
        self._content = content or SnapshotContent()
        self.config = self._parse_config()

    @property
    def next_offset(self) -> int:
        """The offset after the last applied batch."""
        return self._content.next_offset

    @property
    def configuration(self) -> Configuration:
        """The published document, its version and history."""
        return self._content.configuration

    @property
    def members(self) -> Members:
        """Entry incarnations that joined and still have grants."""
        return self._content.members

    @property
    def grants(self) -> Grants:
        """Granted running slots by organisation and incarnation."""
        return self._content.grants

    @property
    def requests(self) -> Requests:
        """Recorded requests."""
        return self._content.requests

    @property
    def duties(self) -> Duties:
        """The holders of the duties."""
        return self._content.duties

    @property
    def maintenance(self) -> Maintenance:
        """Pools, moves, health and waves."""
        return self._content.maintenance

    @property
    def unknown_records(self) -> int:
        """How many unknown records and undecodable batches were skipped."""
        return self._content.unknown_records

    def last_sequence(self, author: str) -> int:
        """Return the highest sequence number applied from an author, or 0."""
        return self._content.sequence_by_author.get(author, 0)

    def apply(self, offset: int, batch: Batch) -> AppliedBatch:
        """Apply the batch at ``offset``.

        Raises ``ValueError`` if ``offset`` is not ``next_offset``.
        """
        self._advance(offset)
        if batch.sequence <= self.last_sequence(batch.author):
            no_effects = (False,) * len(batch.records)
            return AppliedBatch(offset, batch.author, batch.sequence, True, no_effects)
        self._store_sequence(batch.author, batch.sequence)
        effective = tuple(
            self._apply_record(offset, batch.author, record) for record in batch.records
        )
        return AppliedBatch(offset, batch.author, batch.sequence, False, effective)

    def skip(self, offset: int) -> None:
        """Advance past a batch that cannot be decoded.

        Raises ``ValueError`` if ``offset`` is not ``next_offset``.
        """
        self._advance(offset)
        self._content.unknown_records += 1

    def dump_snapshot(self) -> bytes:
        """Serialise the state after the batches before ``next_offset``."""
        return zlib.compress(_SNAPSHOT_ADAPTER.dump_json(self._content))

    @classmethod
    def load_snapshot(cls, data: bytes) -> FleetState:
        """Restore a state; raises ``ValueError`` for damaged bytes."""
        try:
            return cls(_SNAPSHOT_ADAPTER.validate_json(zlib.decompress(data)))
        except zlib.error as error:
            raise ValueError(f"snapshot cannot be decompressed: {error}") from error

    def _advance(self, offset: int) -> None:
        if offset != self._content.next_offset:
            raise ValueError(
                f"offset {offset} is not the next offset {self._content.next_offset}"
            )
        self._content.next_offset = offset + 1

    def _store_sequence(self, author: str, sequence: int) -> None:
        sequences = self._content.sequence_by_author
        sequences.pop(author, None)
        sequences[author] = sequence
        if len(sequences) > MAX_AUTHORS:
            del sequences[next(iter(sequences))]

    def _apply_record(self, offset: int, author: str, record: Record) -> bool:
        match record:
            case r.ConfigChanged():
                return self._apply_config_change(offset, record)
            case r.MemberJoined() | r.MemberVote() | r.MemberRefuted():
                return self._apply_member_change(offset, author, record)
            case r.MemberLeft() | r.GrantsReclaimed():
                return self._apply_member_removal(author, record)
            case r.GrantRequested(organisation, count):
                return self.members.is_active(author) and self.grants.request(
                    author, organisation, count
                )
            case r.GrantReturned(organisation, count):
                return self.grants.give_back(author, organisation, count)
            case r.DutyClaimed():
                return self.duties.claim(offset, author, record)
            case r.MoveStep() | r.InstanceHealth() | r.WaveCommand():
                return self._apply_maintenance_change(offset, author, record)
            case r.SnapshotChunk():
                return True
            case r.UnknownRecord():
                self._content.unknown_records += 1
                return False
            case _:
                return self._apply_request_change(offset, author, record)

    def _apply_config_change(self, offset: int, record: r.ConfigChanged) -> bool:
        proposed = self.configuration.prepare_change(record, self.config)
        if proposed is None:
            return False
        document, config = proposed
        pools_in_use = self.maintenance.pools_in_use(config.instance_by_id)
        if not pools_in_use <= set(config.pool_by_id):
            return False
        self.configuration.commit_change(offset, record, document)
        self.config = config
        self.maintenance.sync_instances(
            {name: item.pool for name, item in config.instance_by_id.items()}
        )
        self.grants.set_limits(
            {
                name: organisation.upper_limit
                for name, organisation in config.organisation_by_id.items()
            }
        )
        return True

    def _apply_member_change(self, offset: int, author: str, record: Record) -> bool:
        expelled_before = self._expelled_incarnations()
        match record:
            case r.MemberJoined():
                took_effect = self.members.join(offset, record)
            case r.MemberVote():
                took_effect = self.members.vote(offset, author, record)
            case _:
                took_effect = self.members.refute(author)
        for incarnation in self._expelled_incarnations() - expelled_before:
            self.grants.drop_unmet_requests(incarnation)
        return took_effect

    def _expelled_incarnations(self) -> set[str]:
        return {
            name
            for name, member in self.members.member_by_incarnation.items()
            if member.expelled_at is not None
        }

    def _apply_member_removal(self, author: str, record: Record) -> bool:
        match record:
            case r.GrantsReclaimed(target, expelled_at):
                removed = self.members.reclaim(target, expelled_at)
            case _:
                target = author
                removed = self.members.leave(author)
        if removed:
            self.grants.release_all(target)
        return removed

    def _apply_maintenance_change(
        self, offset: int, author: str, record: Record
    ) -> bool:
        if isinstance(record, r.WaveCommand):
            return self.maintenance.command_wave(offset, record)
        if not self.duties.is_current_holder(
            r.Duty.MAINTENANCE, author, record.duty_epoch
        ):
            return False
        if isinstance(record, r.MoveStep):
            return self.maintenance.advance_move(offset, record, self.config.pool_by_id)
        return self.maintenance.set_health(offset, record)

    def _apply_request_change(self, offset: int, author: str, record: Record) -> bool:
        match record:
            case r.RequestSubmitted():
                return self.requests.submit(offset, author, record)
            case r.RequestClaimed():
                is_member = self.members.is_active(author)
                return is_member and self.requests.claim(author, record)
            case r.RequestReleased(request_id, attempt):
                if not self._may_resolve_claim(author, request_id, attempt):
                    return False
                return self.requests.release(record)
            case r.RequestFinished(request_id, attempt):
                if not self._may_resolve_claim(author, request_id, attempt):
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

    def _may_resolve_claim(self, author: str, request_id: str, attempt: int) -> bool:
        """Tell whether the author may release or finish a claim.

        Until the holder's grants are reclaimed, only the holder may.
        """
        request = self.requests.find_claim(request_id, attempt)
        if request is None or request.holder == author:
            return True
        return request.holder not in self.members.member_by_incarnation

    def _parse_config(self) -> FleetConfig:
        configuration = self._content.configuration
        config = parse_config(configuration.document, configuration.version)
        if isinstance(config, ConfigError):
            raise ValueError("; ".join(config.problems))
        return config
