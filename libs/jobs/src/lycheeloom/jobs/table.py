"""In-memory state of all jobs, built from the records in the store."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from lycheeloom.wire.checksum import strip_checksum

from .model import FINAL_STATES, Job, JobState
from .records import (
    Cancellation,
    InstanceOrder,
    JobProgress,
    Kind,
    LeadBid,
    LeaderRecord,
    LoadReport,
    ProgressPart,
    Record,
    Rejection,
    WaveProgress,
    decode,
)


@dataclass(slots=True)
class JobEntry:
    """A job with its latest progress, cancellation and rejection.

    ``job`` is the job in effect. It is None while only other records of the job have
    been applied, as a caller may cancel a job whose own record the store appends late,
    or never; and while the records of the job knew of fewer rejections than there were
    before them.

    The records of a job take effect in the order of the log. Once a job is in effect,
    later rejections have none. The newest job record and the newest rejection, all that
    a snapshot contains, do not always show that order; see ``is_in_snapshot``.
    """

    job: Job | None = None
    # The newest job record, whether it is in effect or not, and its offset.
    latest_job: Job | None = None
    job_offset: int = -1
    # The newest rejection and its offset.
    rejection: Rejection | None = None
    rejection_offset: int = -1
    # Highest count of the rejections so far, and the offset of the first with it.
    rejections: int = 0
    raised_offset: int = -1
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
            and self.latest_job is None
            and self.rejection is None
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

    @property
    def is_in_snapshot(self) -> bool:
        """Return whether the job is in effect by the newest record of each key alone.

        A rejection counts those that its writer knew and itself, so a job record before
        it that knew one less was in effect when the rejection was written.
        """
        if self.latest_job is None or self.rejection is None:
            return self.latest_job is not None
        needed = self.rejection.count
        if self.job_offset < self.rejection_offset:
            needed -= 1
        return self.latest_job.rejections >= needed

    @property
    def needs_correction(self) -> bool:
        """Return whether a snapshot would show another result than the log.

        If a late copy replaced a rejection with a higher count, an instance that loads
        the snapshot would accept the id again with a count that has no effect.
        """
        if self.rejection is None:
            return False
        if self.job is None and self.rejection.count < self.rejections:
            return True
        return self.is_in_snapshot != bool(self.job)

    def corrected_rejection(self) -> Rejection | None:
        """Return the rejection with which a snapshot shows the result of the log.

        None stands for the removal of the rejection of a job that is in effect.
        """
        if self.job is not None or self.rejection is None:
            return None
        count = self.rejections
        if self.latest_job is not None:
            count = max(count, self.latest_job.rejections + 2)
        return replace(self.rejection, count=count)

    def note_job(self, offset: int, job: Job) -> None:
        """Apply a job record that is newer than those before."""
        self.latest_job, self.job_offset = job, offset
        if self.job is not None:
            if job.rejections >= self.job.rejections:
                self.job = job
            return
        is_in_order = offset > self.rejection_offset
        if job.rejections >= self.rejections if is_in_order else self.is_in_snapshot:
            self.job = job

    def note_rejection(
        self, offset: int, rejection: Rejection, *, is_live: bool
    ) -> None:
        """Apply a rejection that is newer than those before.

        A job that was in effect before a live rejection stays so. ``is_live`` is false
        for the records of a snapshot.
        """
        self.rejection, self.rejection_offset = rejection, offset
        if rejection.count > self.rejections:
            self.rejections, self.raised_offset = rejection.count, offset
        is_in_order = is_live and offset > self.job_offset
        if not is_in_order and not self.is_in_snapshot:
            self.job = None

    def remove_rejection(self) -> None:
        """Apply the removal of the rejection; any job record takes effect then."""
        self.rejection, self.rejection_offset = None, -1
        self.rejections, self.raised_offset = 0, -1
        self.job = self.job or self.latest_job


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
        self.order_by_instance: dict[str, InstanceOrder] = {}
        self.leader: LeaderRecord | None = None
        # Latest bid of each instance for the lead.
        self.bid_by_instance: dict[str, LeadBid] = {}
        # The newest load report, of whichever leader.
        self.load: LoadReport | None = None
        self.unreadable_records = 0
        self._offset_by_key: dict[str, int] = {}

    def apply(
        self, offset: int, record: Record, *, is_live: bool = True
    ) -> AppliedRecord | None:
        """Apply the record at an offset; return None if it is outdated or invalid.

        ``is_live`` is false for a record of a snapshot, which contains only the newest
        record of each key.
        """
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
        if kind is Kind.JOB:
            job = decode(Job, record.value)
            if job is not None:
                self._entry(name).note_job(offset, job)
            return self._note_applied(kind, name, job)
        if kind is Kind.REJECTION:
            rejection = decode(Rejection, record.value)
            if rejection is not None:
                self._entry(name).note_rejection(offset, rejection, is_live=is_live)
            return self._note_applied(kind, name, rejection)
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
                    self.order_by_instance[name] = decoded
            case Kind.WAVE:
                decoded = decode(WaveProgress, value)
                if decoded is not None:
                    self.begun_by_wave[name] = frozenset(decoded.begun)
            case Kind.LOAD:
                decoded = decode(LoadReport, value)
                if decoded is not None:
                    self.load = decoded
        return self._note_applied(kind, name, decoded)

    def _note_applied(
        self, kind: Kind, name: str, decoded: object | None
    ) -> AppliedRecord | None:
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
        if kind is Kind.REJECTION and name in self.entry_by_id:
            entry = self.entry_by_id[name]
            entry.remove_rejection()
            if entry == JobEntry():
                del self.entry_by_id[name]
        if kind is Kind.LOAD:
            self.load = None
        if kind is Kind.PROGRESS_PART:
            job_id, number = _split_part_name(name)
            if job_id in self.entry_by_id:
                self.entry_by_id[job_id].encoded_part_by_number.pop(number, None)
        if kind is Kind.WAVE:
            self.begun_by_wave.pop(name, None)
        if kind is Kind.BID:
            self.bid_by_instance.pop(name, None)
        if kind is Kind.ORDER:
            self.order_by_instance.pop(name, None)
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
