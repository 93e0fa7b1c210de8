"""A small fleet of real processes that records what callers and operators see.

``fault_oracle`` checks the invariants from this history and the ledger of the
stand-in workers alone. Times are seconds of the monotonic clock, which all
processes share.
"""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from demo.processes import Fleet, Program

from lycheeloom.clients import Appended, LogClient, Response
from lycheeloom.operator import (
    Draft,
    Entries,
    LogUnavailable,
    NotAccepted,
    Operator,
    OutcomeUnknown,
    Published,
    Rejected,
    print_config,
)
from lycheeloom.operator.operator import PublishResult

from .fault_document import LIMIT_BY_ORGANISATION, ZONES, fleet_document

CALL_TIMEOUT_S = 45.0
STATUS_TIMEOUT_S = 1.0


@dataclass(slots=True)
class CallRecord:
    """One call of a caller and its answer; ``status`` 0 means no answer.

    ``work`` identifies the work in the ledger; repeats with one idempotency key
    share it. ``process`` is the process id of the entry.
    """

    work: str
    kind: str
    organisation: str
    key: str
    entry: str
    process: int
    sent_at: float
    answered_at: float = 0.0
    status: int = 0
    document: dict[str, Any] = field(default_factory=dict)
    idempotent: bool = False

    @property
    def verdict(self) -> str:
        """The verdict that the caller concludes from the answer."""
        if self.status == 202:
            return "accepted"
        return self.document.get("verdict", "may_have_run")

    @property
    def is_accepted_batch(self) -> bool:
        """Whether a batch request was accepted, so that its answer can be collected."""
        return self.kind == "batch" and self.status == 202

    @property
    def is_final(self) -> bool:
        """Whether the answer has a verdict."""
        return self.status not in (0, 202) and "verdict" in self.document


@dataclass(slots=True)
class Publication:
    """A configuration change, which the log accepted between the two times."""

    what: str
    name: str
    sent_at: float
    accepted_at: float
    accepted: bool
    version: int = 0


@dataclass(slots=True)
class History:
    """Everything that callers and operators observed in one run."""

    calls: list[CallRecord] = field(default_factory=list)
    # Answers to collecting a batch request, by request id.
    collected: dict[str, list[CallRecord]] = field(default_factory=dict)
    cancelled: list[CallRecord] = field(default_factory=list)
    publications: list[Publication] = field(default_factory=list)
    # Configuration versions that a process reported, in order, by process id.
    versions: dict[int, list[int]] = field(default_factory=dict)
    # When healthy processes were asked to shut down, by process id.
    asked_to_stop: dict[int, float] = field(default_factory=dict)


class TimestampingLogClient(LogClient):
    """A log client that records when the log accepted the last append."""

    accepted_at = 0.0

    def append(self, batch: bytes, **options: Any) -> Any:
        """Append and record the time of the answer."""
        result = super().append(batch, **options)
        if isinstance(result, Appended):
            self.accepted_at = time.monotonic()
        return result


class FaultFleet:
    """The stand-ins, entries and controllers of one run, and its history."""

    def __init__(
        self,
        fleet: Fleet,
        entries: int,
        workers: int = 6,
        workers_per_rack: int = 1,
        log_retention_s: float | None = None,
    ) -> None:
        self.fleet = fleet
        self.controller_by_name: dict[str, Program] = {}
        self._log_retention_s = log_retention_s
        self.history = History()
        self.zone_by_entry = {f"e{n}": ZONES[n % 3] for n in range(entries)}
        self.entry_by_name: dict[str, Program] = {}
        # Callers use only these; an entry is removed before it shuts down.
        self.serving_entries: set[str] = set()
        self.paused: set[str] = set()
        self.keys_in_force: list[str] = []
        self.token_by_key: dict[str, str] = {}
        self.organisation_by_key: dict[str, str] = {}
        self._document = fleet_document(workers, workers_per_rack)
        self._work_count = 0

    def start(self) -> None:
        """Start the platform, publish the configuration and start all entries."""
        document = self._document
        path = Path(self.fleet.folder) / "fleet.toml"
        path.write_text(print_config(document))
        options = []
        if self._log_retention_s is not None:
            options = ["--log-retention-s", str(self._log_retention_s)]
        addresses = self.fleet.start_platform(path, *options).workers
        for name, instance in document["instances"].items():
            instance["address"] = addresses[name]
        result = self.operator("setup").publish(document, 0, accept_warnings=True)
        if not isinstance(result, Published):
            raise RuntimeError(f"the configuration was not published: {result}")
        for organisation in LIMIT_BY_ORGANISATION:
            self.grant_key(organisation)
        for name in self.zone_by_entry:
            self.start_entry(name)
        self.fleet.wait_ready(list(self.entry_by_name.values()))

    # Controllers.

    def start_controller(self, name: str) -> Program:
        """Start or replace a controller, which writes snapshots and repairs workers."""
        settings = {}
        if self._log_retention_s is not None:
            settings["log_retention_s"] = self._log_retention_s
        program = self.fleet.start_controller(name, ZONES[0], **settings)
        self.controller_by_name[name] = program
        return program

    # Entries.

    def start_entry(self, name: str, **settings: object) -> Program:
        """Start or replace an entry."""
        program = self.fleet.start_entry(name, self.zone_by_entry[name], **settings)
        self.entry_by_name[name] = program
        self.serving_entries.add(name)
        return program

    def wait_ready(self, names: Sequence[str] = ()) -> None:
        """Wait until entries accept work."""
        names = names or list(self.entry_by_name)
        self.fleet.wait_ready([self.entry_by_name[name] for name in names])

    def stop_entry(self, name: str) -> int:
        """Shut an entry down gracefully; returns its exit status."""
        self.serving_entries.discard(name)
        program = self.entry_by_name[name]
        self.history.asked_to_stop[program.process.pid] = time.monotonic()
        return program.terminate(timeout_s=60.0)

    def running_entries(self) -> list[str]:
        """Return the entries whose process has not ended."""
        return [
            name
            for name, program in self.entry_by_name.items()
            if program.process.poll() is None
        ]

    # Operators.

    def operator(self, name: str) -> Operator:
        """Return an operator who knows the addresses of all entries."""
        return Operator(LogClient(self.fleet.platform.log), self._entries(), name)

    def _entries(self) -> Entries:
        """Return all entries but the paused ones, which would delay a publication."""
        return Entries.at(
            [
                entry.address
                for name, entry in self.entry_by_name.items()
                if name not in self.paused
            ]
        )

    def publish(
        self, what: str, name: str, edit: Callable[[Draft], Any], timeout_s: float = 10
    ) -> PublishResult:
        """Publish a change and record when it was accepted."""
        log = TimestampingLogClient(self.fleet.platform.log)
        operator = Operator(log, self._entries(), "operator")
        sent_at = time.monotonic()
        result = operator.change(edit, accept_warnings=True, timeout_s=timeout_s)
        # Without an answer of the log, only the end of the call is known.
        accepted_at = log.accepted_at or time.monotonic()
        is_accepted = isinstance(result, Published)
        # A change of unknown outcome may be in force; as not accepted it sets no limit.
        if is_accepted or isinstance(result, OutcomeUnknown):
            version = result.version if is_accepted else 0
            publication = Publication(
                what, name, sent_at, accepted_at, is_accepted, version
            )
            self.history.publications.append(publication)
        return result

    def grant_key(self, organisation: str) -> str | None:
        """Grant a new key to an organisation; returns its id, None if unpublished."""
        created = []
        result = self.publish(
            "grant",
            organisation,
            lambda draft: created.append(draft.grant_key(organisation)),
        )
        if not isinstance(result, Published):
            return None
        self.keys_in_force.append(created[-1].id)
        self.token_by_key[created[-1].id] = created[-1].token
        self.organisation_by_key[created[-1].id] = organisation
        return created[-1].id

    def revoke_key(self, key: str) -> PublishResult:
        """Revoke a key; callers may go on using it."""
        result = self.publish("revoke", key, lambda draft: draft.withdraw_key(key))
        if not isinstance(result, Rejected | NotAccepted | LogUnavailable):
            self.keys_in_force.remove(key)
        return result

    def record_versions(self) -> dict[str, int]:
        """Record and return the configuration version that each entry reports."""
        version_by_entry = {}
        for name, program in list(self.entry_by_name.items()):
            if name in self.paused or program.process.poll() is not None:
                continue
            document = self.status(name)
            if document is not None:
                versions = self.history.versions.setdefault(program.process.pid, [])
                version_by_entry[name] = document["config_version"]
                versions.append(version_by_entry[name])
        return version_by_entry

    def status(self, name: str) -> dict[str, Any] | None:
        """Return the status document of an entry, or None without an answer."""
        answer = self.fleet.transport.call(
            self.entry_by_name[name].address,
            "GET",
            "/v1/status",
            timeout_s=STATUS_TIMEOUT_S,
        )
        if not isinstance(answer, Response) or answer.status != 200:
            return None
        return json.loads(answer.body)

    # Callers.

    def new_work_id(self) -> str:
        """Return an identifier that is unique in this run."""
        self._work_count += 1
        return f"work-{self._work_count}"

    def submit(
        self,
        kind: str,
        entry: str,
        key: str,
        *,
        work: str = "",
        work_ms: int = 50,
        idempotency_key: str = "",
        timeout_s: float = CALL_TIMEOUT_S,
        **fields: Any,
    ) -> CallRecord:
        """Send a request and record the answer.

        ``kind`` selects the queue: ``lookup``, ``batch``, or ``booking`` for any other.
        """
        work = work or self.new_work_id()
        body = {"payload": {"call": work, "work_ms": work_ms}, "run_ms": work_ms}
        body |= {"wait": kind != "batch", **fields}
        queue = {"lookup": "lookups", "batch": "overnight"}.get(kind, "bookings")
        record = self._new_record(work, kind, entry, key)
        record.idempotent = fields.get("idempotent", kind == "lookup")
        self.history.calls.append(record)
        extra_headers = {"Idempotency-Key": idempotency_key} if idempotency_key else {}
        path = f"/v1/queues/{queue}/requests"
        return self._call(record, "POST", path, body, timeout_s, extra_headers)

    def collect(self, batch: CallRecord, entry: str, wait_ms: int = 0) -> CallRecord:
        """Ask an entry for the answer to a batch request and record it."""
        request_id = batch.document["request_id"]
        record = self._new_record(batch.work, "collect", entry, batch.key)
        path = f"/v1/requests/{request_id}?wait_ms={wait_ms}"
        self._call(record, "GET", path, None, wait_ms / 1000 + 10)
        self.history.collected.setdefault(request_id, []).append(record)
        return record

    def cancel(self, batch: CallRecord, entry: str) -> CallRecord:
        """Cancel a batch request and record the answer."""
        record = self._new_record(batch.work, "cancel", entry, batch.key)
        path = f"/v1/requests/{batch.document['request_id']}"
        self._call(record, "DELETE", path, None, 10)
        self.history.cancelled.append(record)
        return record

    def _new_record(self, work: str, kind: str, entry: str, key: str) -> CallRecord:
        pid = self.entry_by_name[entry].process.pid
        return CallRecord(
            work, kind, self.organisation_by_key[key], key, entry, pid, time.monotonic()
        )

    def _call(
        self,
        record: CallRecord,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        timeout_s: float,
        extra_headers: dict[str, str] | None = None,
    ) -> CallRecord:
        headers = {
            "Content-Type": "application/json",
            "Authorization": f"Bearer {self.token_by_key[record.key]}",
            **(extra_headers or {}),
        }
        answer = self.fleet.transport.call(
            self.entry_by_name[record.entry].address,
            method,
            path,
            body=None if body is None else json.dumps(body).encode(),
            headers=headers,
            timeout_s=timeout_s,
        )
        record.answered_at = time.monotonic()
        if isinstance(answer, Response):
            record.status = answer.status
            record.document = json.loads(answer.body or b"{}")
        else:
            record.document = {"reason": answer.reason, "sent": answer.sent}
            if not answer.sent:
                record.document["verdict"] = "not_run"
        return record


def collect_all(fault_fleet: FaultFleet, rng: random.Random, timeout_s: float) -> float:
    """Collect the answer to every accepted batch request at two entries.

    Returns the seconds it took. Requests without an answer after ``timeout_s``
    stay without one.
    """
    started_at = time.monotonic()
    # The key of a request may have been revoked; any key of its organisation will do.
    key_by_organisation = {
        fault_fleet.organisation_by_key[key]: key for key in fault_fleet.keys_in_force
    }
    waiting = [call for call in fault_fleet.history.calls if call.is_accepted_batch]
    while waiting and time.monotonic() < started_at + timeout_s:
        unanswered = []
        for batch in waiting:
            batch.key = key_by_organisation[batch.organisation]
            entries = rng.sample(fault_fleet.running_entries(), 2)
            answers = [fault_fleet.collect(batch, entry) for entry in entries]
            if not all(answer.is_final for answer in answers):
                unanswered.append(batch)
        waiting = unanswered
        time.sleep(0.2 if waiting else 0)
    return time.monotonic() - started_at
