"""A small fleet of real processes, with callers and operators that note what they see.

The notes and the ledger of the stand-in workers are all that ``fault_oracle``
judges. Times are seconds of the monotonic clock, which all processes share.
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

    Repeats with one idempotency key share ``work``, the name in the ledger.
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
        """The verdict as the caller understands it."""
        if self.status == 202:
            return "accepted"
        return self.document.get("verdict", "may_have_run")

    @property
    def is_accepted_batch(self) -> bool:
        """Whether the caller was promised an answer to collect."""
        return self.kind == "batch" and self.status == 202

    @property
    def is_final(self) -> bool:
        """Whether the answer carries a verdict."""
        return self.status not in (0, 202) and "verdict" in self.document


@dataclass(slots=True)
class Publication:
    """A change of an operator: accepted by the log between these two times."""

    what: str
    name: str
    sent_at: float
    accepted_at: float
    accepted: bool
    version: int = 0


@dataclass(slots=True)
class Notes:
    """Everything that callers and operators saw."""

    calls: list[CallRecord] = field(default_factory=list)
    # Answers to collecting a batch request, by request id.
    collected: dict[str, list[CallRecord]] = field(default_factory=dict)
    cancelled: list[CallRecord] = field(default_factory=list)
    publications: list[Publication] = field(default_factory=list)
    # Configuration versions that a process showed, oldest first, by process id.
    versions: dict[int, list[int]] = field(default_factory=dict)
    # Processes that were asked to shut down while they were healthy.
    asked_to_stop: dict[int, float] = field(default_factory=dict)


class TimedLog(LogClient):
    """A log client that notes when the log accepted the last append."""

    accepted_at = 0.0

    def append(self, batch: bytes, **options: Any) -> Any:
        """Append and note the time of the answer."""
        result = super().append(batch, **options)
        if isinstance(result, Appended):
            self.accepted_at = time.monotonic()
        return result


class FaultFleet:
    """Stand-ins, entries by instance name, keys, and the notes of one run."""

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
        self.history = Notes()
        self.zone_by_entry = {f"e{n}": ZONES[n % 3] for n in range(entries)}
        self.entry_by_name: dict[str, Program] = {}
        # Calls go to these; an entry that shuts down leaves them first.
        self.serving_entries: set[str] = set()
        self.paused: set[str] = set()
        self.keys_in_force: list[str] = []
        self.token_by_key: dict[str, str] = {}
        self.organisation_by_key: dict[str, str] = {}
        self._document = fleet_document(workers, workers_per_rack)
        self._works = 0

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
        """Shut an entry down without cutting requests; returns its exit code."""
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
        """Return the entries that answer; waiting for others only takes time."""
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
        """Make a change and note when it was accepted."""
        log = TimedLog(self.fleet.platform.log)
        operator = Operator(log, self._entries(), "operator")
        sent_at = time.monotonic()
        result = operator.change(edit, accept_warnings=True, timeout_s=timeout_s)
        # Without an answer of the log only the end of the call is certain.
        accepted_at = log.accepted_at or time.monotonic()
        is_accepted = isinstance(result, Published)
        # A change of unknown outcome bounds nothing, but may be in force.
        if is_accepted or isinstance(result, OutcomeUnknown):
            version = result.version if is_accepted else 0
            seen = Publication(what, name, sent_at, accepted_at, is_accepted, version)
            self.history.publications.append(seen)
        return result

    def grant_key(self, organisation: str) -> str | None:
        """Grant a new key to an organisation; returns its name if it is in force."""
        made = []
        result = self.publish(
            "grant",
            organisation,
            lambda draft: made.append(draft.grant_key(organisation)),
        )
        if not isinstance(result, Published):
            return None
        self.keys_in_force.append(made[-1].id)
        self.token_by_key[made[-1].id] = made[-1].token
        self.organisation_by_key[made[-1].id] = organisation
        return made[-1].id

    def revoke_key(self, key: str) -> PublishResult:
        """Withdraw a key; callers may go on presenting it."""
        result = self.publish("revoke", key, lambda draft: draft.withdraw_key(key))
        if not isinstance(result, Rejected | NotAccepted | LogUnavailable):
            self.keys_in_force.remove(key)
        return result

    def record_versions(self) -> dict[str, int]:
        """Note the configuration version that each entry shows."""
        shown = {}
        for name, program in list(self.entry_by_name.items()):
            if name in self.paused or program.process.poll() is not None:
                continue
            document = self.status(name)
            if document is not None:
                versions = self.history.versions.setdefault(program.process.pid, [])
                shown[name] = document["config_version"]
                versions.append(shown[name])
        return shown

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
        """Return a name that no other work of this run has."""
        self._works += 1
        return f"work-{self._works}"

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
        """Send a request of a kind (lookup, booking, batch) and note the answer."""
        work = work or self.new_work_id()
        body = {"payload": {"call": work, "work_ms": work_ms}, "run_ms": work_ms}
        body |= {"wait": kind != "batch", **fields}
        queue = {"lookup": "lookups", "batch": "overnight"}.get(kind, "bookings")
        seen = self._seen(work, kind, entry, key)
        seen.idempotent = fields.get("idempotent", kind == "lookup")
        self.history.calls.append(seen)
        extra = {"Idempotency-Key": idempotency_key} if idempotency_key else {}
        path = f"/v1/queues/{queue}/requests"
        return self._call(seen, "POST", path, body, timeout_s, extra)

    def collect(self, batch: CallRecord, entry: str, wait_ms: int = 0) -> CallRecord:
        """Ask an entry for the answer of a batch request and note it."""
        request_id = batch.document["request_id"]
        seen = self._seen(batch.work, "collect", entry, batch.key)
        path = f"/v1/requests/{request_id}?wait_ms={wait_ms}"
        self._call(seen, "GET", path, None, wait_ms / 1000 + 10)
        self.history.collected.setdefault(request_id, []).append(seen)
        return seen

    def cancel(self, batch: CallRecord, entry: str) -> CallRecord:
        """Cancel a batch request and note the answer."""
        seen = self._seen(batch.work, "cancel", entry, batch.key)
        path = f"/v1/requests/{batch.document['request_id']}"
        self._call(seen, "DELETE", path, None, 10)
        self.history.cancelled.append(seen)
        return seen

    def _seen(self, work: str, kind: str, entry: str, key: str) -> CallRecord:
        pid = self.entry_by_name[entry].process.pid
        return CallRecord(
            work, kind, self.organisation_by_key[key], key, entry, pid, time.monotonic()
        )

    def _call(
        self,
        seen: CallRecord,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        timeout_s: float,
        extra: dict[str, str] | None = None,
    ) -> CallRecord:
        headers = {
            "Content-Type": "application/json",
            "Authorization": f"Bearer {self.token_by_key[seen.key]}",
            **(extra or {}),
        }
        answer = self.fleet.transport.call(
            self.entry_by_name[seen.entry].address,
            method,
            path,
            body=None if body is None else json.dumps(body).encode(),
            headers=headers,
            timeout_s=timeout_s,
        )
        seen.answered_at = time.monotonic()
        if isinstance(answer, Response):
            seen.status = answer.status
            seen.document = json.loads(answer.body or b"{}")
        else:
            seen.document = {"reason": answer.reason, "sent": answer.sent}
            if not answer.sent:
                seen.document["verdict"] = "not_run"
        return seen


def collect_all(world: FaultFleet, rng: random.Random, timeout_s: float) -> float:
    """Collect every accepted batch request at two entries.

    Returns how long it took; what has no answer by then stays without one.
    """
    started_at = time.monotonic()
    # The key of a request may be revoked by now; any key of its organisation shows it.
    key_by_organisation = {
        world.organisation_by_key[key]: key for key in world.keys_in_force
    }
    waiting = [call for call in world.history.calls if call.is_accepted_batch]
    while waiting and time.monotonic() < started_at + timeout_s:
        unanswered = []
        for batch in waiting:
            batch.key = key_by_organisation[batch.organisation]
            entries = rng.sample(world.running_entries(), 2)
            answers = [world.collect(batch, entry) for entry in entries]
            if not all(answer.is_final for answer in answers):
                unanswered.append(batch)
        waiting = unanswered
        time.sleep(0.2 if waiting else 0)
    return time.monotonic() - started_at
