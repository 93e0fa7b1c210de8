"""In-memory state of all jobs, built from the records in the store."""

from __future__ import annotations

from dataclasses import dataclass, field

from lycheeloom.wire.checksum import strip_checksum

from .model import FINAL_STATES, Job, JobState
from .records import (
    Cancellation,
    InstanceOrder,
    JobProgress,
    Kind,
    LeadBid,
    LeaderRecord,
    ProgressPart,
    Record,
    WaveProgress,
    decode,
)


@dataclass(slots=True)
class JobEntry:
    """A job with its latest progress and whether its cancellation was requested.

    ``job`` is None while only other records of the job have been applied: a caller may
    cancel a job whose own record the store appends late, or never.
    """

    job: Job | None = None
    cancelled: bool = False
    # Unix time of the latest cancellation; 0 if there is none or its time is not known.
    cancelled_ms: int = 0
    # The latest progress record while it is not decoded, else empty. Most records are
    # replaced before anybody needs them, and every instance reads those of all jobs.
    encoded_progress: bytes = b""
    _decoded_progress: JobProgress | None = None
    # The latest records of the parts of the progress, by number.
    encoded_part_by_number: dict[int, bytes] = field(default_factory=dict)

    @property
    def progress(self) -> JobProgress | None:
        """Return the latest progress; None if there is none yet."""
        if self.encoded_progress:
            decoded = decode(JobProgress, self.encoded_progress)
            self.encoded_progress = b""
            if decoded is not None:
                self._decoded_progress = decoded
        return self._decoded_progress

    @property
    def is_only_cancelled(self) -> bool:
        """Return whether there is a cancellation and nothing else of the job."""
        return (
            self.cancelled
            and self.job is None
            and not self.encoded_part_by_number
            and self.progress is None
        )

    @property
    def part_by_number(self) -> dict[int, ProgressPart]:
        """Return the parts of the progress of a job that has many tasks."""
        return {
            number: part
            for number, encoded in self.encoded_part_by_number.items()
            if (part := decode(ProgressPart, encoded)) is not None
        }

    @property
    def state(self) -> JobState:
        """Return the state to report to callers.

        A job whose cancellation is requested counts as cancelled, unless it has ended.
        """
        progress = self.progress
        if progress is not None and progress.state in FINAL_STATES:
            return progress.state
        if self.cancelled:
            return JobState.CANCELLED
        return progress.state if progress else JobState.QUEUED


@dataclass(frozen=True, slots=True)
class AppliedRecord:
    """Kind and subject of a record that was applied to the table.

    ``name`` is the id of the job, wave or instance, or the name of the bidding
    instance; empty for a leader record.
    """

    kind: Kind
    name: str


class JobTable:
    """Jobs by id, with the latest record of each key applied.

    Records may arrive twice and out of order where a snapshot of the latest records
    and the log that follows it overlap; the one with the higher offset wins.
    """

    def __init__(self) -> None:
        self.entry_by_id: dict[str, JobEntry] = {}
        # Ids of the instances whose maintenance has begun, by wave.
        self.begun_by_wave: dict[str, frozenset[str]] = {}
        # Unix time of the last move or maintenance order, by instance.
        self.ordered_ms_by_instance: dict[str, int] = {}
        self.leader: LeaderRecord | None = None
        # Latest bid of each instance for the lead.
        self.bid_by_instance: dict[str, LeadBid] = {}
        self.unreadable_records = 0
        self._offset_by_key: dict[str, int] = {}

    def apply(self, offset: int, record: Record) -> AppliedRecord | None:
        """Apply the record at an offset; return None if it is outdated or invalid."""
        if offset <= self._offset_by_key.get(record.key, -1):
            return None
        kind = _kind_of(record.key)
        if kind is None:
            self.unreadable_records += 1
            return None
        name = record.key[1:]
        self._offset_by_key[record.key] = offset
        if not record.value:
            self._remove(kind, name)
            return AppliedRecord(kind, name)
        return self._apply_value(kind, name, record.value)

    def waiting_jobs(self, queue: str) -> int:
        """Return how many jobs of a queue are queued: none of their tasks has run."""
        return sum(
            entry.job is not None
            and entry.job.queue == queue
            and entry.state is JobState.QUEUED
            for entry in self.entry_by_id.values()
        )

    def _apply_value(self, kind: Kind, name: str, value: bytes) -> AppliedRecord | None:
        match kind:
            case Kind.JOB:
                decoded = decode(Job, value)
                if decoded is not None:
                    self._entry(name).job = decoded
            case Kind.CANCELLATION:
                cancellation = decode(Cancellation, value)
                entry = self._entry(name)
                entry.cancelled = True
                entry.cancelled_ms = cancellation.at_ms if cancellation else 0
                return AppliedRecord(kind, name)
            case Kind.PROGRESS:
                decoded = strip_checksum(value)
                if decoded is not None:
                    self._entry(name).encoded_progress = value
            case Kind.PROGRESS_PART:
                job_id, number = _split_part_name(name)
                decoded = strip_checksum(value) if number is not None else None
                if decoded is not None:
                    self._entry(job_id).encoded_part_by_number[number] = value
                    name = job_id
            case Kind.LEADER:
                decoded = decode(LeaderRecord, value)
                if decoded is not None:
                    self.leader = decoded
            case Kind.BID:
                decoded = decode(LeadBid, value)
                if decoded is not None:
                    self.bid_by_instance[name] = decoded
            case Kind.ORDER:
                decoded = decode(InstanceOrder, value)
                if decoded is not None:
                    self.ordered_ms_by_instance[name] = decoded.at_ms
            case Kind.WAVE:
                decoded = decode(WaveProgress, value)
                if decoded is not None:
                    self.begun_by_wave[name] = frozenset(decoded.begun)
        if decoded is None:
            self.unreadable_records += 1
            return None
        return AppliedRecord(kind, name)

    def _remove(self, kind: Kind, name: str) -> None:
        """Apply the removal of a record.

        The removal of a cancellation has no effect of its own if there are other
        records: the whole entry is removed with the record of the job or of its
        progress.
        """
        if kind is Kind.CANCELLATION:
            entry = self.entry_by_id.get(name)
            if entry is not None and entry.is_only_cancelled:
                del self.entry_by_id[name]
        if kind is Kind.PROGRESS_PART:
            job_id, number = _split_part_name(name)
            if job_id in self.entry_by_id:
                self.entry_by_id[job_id].encoded_part_by_number.pop(number, None)
        if kind is Kind.WAVE:
            self.begun_by_wave.pop(name, None)
        if kind is Kind.BID:
            self.bid_by_instance.pop(name, None)
        if kind is Kind.ORDER:
            self.ordered_ms_by_instance.pop(name, None)
        if kind in (Kind.JOB, Kind.PROGRESS):
            self.entry_by_id.pop(name, None)

    def _entry(self, name: str) -> JobEntry:
        return self.entry_by_id.setdefault(name, JobEntry())


def _kind_of(key: str) -> Kind | None:
    try:
        return Kind(key[:1])
    except ValueError:
        return None


def _split_part_name(name: str) -> tuple[str, int | None]:
    """Return job id and number of a part; the number is None if the name is invalid."""
    job_id, _, number = name.rpartition(".")
    if not job_id or not (number.isascii() and number.isdigit()):
        return job_id, None
    return job_id, int(number)
