"""Fixtures and helpers for tests on a small fleet of real processes.

A fleet has 3 entries and, by default, 6 stand-in workers in 3 zones.
"""

from __future__ import annotations

import os
import re
import shutil
import signal
import socket
import time
from collections.abc import Callable
from pathlib import Path

import gevent
import pytest
from demo.processes import running_fleet
from gevent.pool import Group
from gevent.server import StreamServer

from bench.fault_document import LIMIT_BY_ORGANISATION
from bench.fault_fleet import CallRecord, FaultFleet, Publication
from bench.fault_oracle import check_history
from lycheeloom.operator import Draft, Published

# Ends a test whose condition never becomes true. No other result depends on this time.
WAIT_TIMEOUT_S = 60.0
# Removed when all tests are run again; ``target`` is not under version control.
LOGS_FOLDER = Path(__file__).resolve().parent.parent / "target" / "test-logs"


def wait_until(condition: Callable[[], object]) -> object:
    """Poll a condition and return its first true value."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        gevent.sleep(0.05)
    # The representation of a lambda names the test or function that defines it.
    raise TimeoutError(f"condition did not become true in time: {condition}")


class LogProxy:
    """Forwards the TCP connections of one entry to the log until ``disconnect``."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = host, int(port)
        self._connections = Group()
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def disconnect(self) -> None:
        """Close open connections and refuse new ones."""
        self._server.stop(timeout=0)
        self._connections.kill()

    def _serve(self, entry: socket.socket, _address: object) -> None:
        with entry, socket.create_connection(self._target) as log:
            copiers = [self._connections.spawn(_copy_bytes, entry, log)]
            copiers.append(self._connections.spawn(_copy_bytes, log, entry))
            gevent.joinall(copiers, count=1)
            gevent.killall(copiers)


def _copy_bytes(source: socket.socket, sink: socket.socket) -> None:
    while data := source.recv(65536):
        sink.sendall(data)


class Load:
    """Callers that each repeat a call to a serving entry during a ``with`` block."""

    def __init__(
        self, harness: FaultFleet, callers: int, call: Callable[[str], CallRecord]
    ) -> None:
        self.calls: list[CallRecord] = []
        self._harness = harness
        self._callers = callers
        self._call = call
        self._greenlets: list[gevent.Greenlet] = []
        self._is_stopping = False

    def __enter__(self) -> Load:
        self._greenlets = [gevent.spawn(self._run, n) for n in range(self._callers)]
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._is_stopping = True
        gevent.joinall(self._greenlets, raise_error=True)

    def wait_for_more_calls(self, count: int) -> None:
        """Wait until this many more calls have ended, with or without an answer."""
        count_before = len(self.calls)
        wait_until(lambda: len(self.calls) >= count_before + count)

    def _run(self, caller_number: int) -> None:
        while not self._is_stopping:
            entries = sorted(self._harness.serving_entries)
            self.calls.append(self._call(entries[caller_number % len(entries)]))
            gevent.sleep(0.02)


def publish_with_retries(
    harness: FaultFleet, what: str, name: str, edit: Callable[[Draft], object]
) -> Publication:
    """Publish a change, repeatedly until it is accepted, and return its record.

    A publication is repeated after any result but ``Published``.
    """
    wait_until(lambda: isinstance(harness.publish(what, name, edit), Published))
    return harness.history.publications[-1]


def is_known_by(harness, entry, peer):
    """Tell whether ``entry`` reports that ``peer`` knows ``entry`` as a member.

    That is so once ``peer`` has replayed the record by which ``entry`` joined. Until
    then ``entry`` may not vote to expel ``peer``, so a test that pauses ``peer`` has to
    wait for this first.
    """
    members = harness.status(entry)["members"]
    return any(m["instance"] == peer and m["knows_reporter"] for m in members)


def call_if_ran(call):
    """Return the call if its verdict is "ran", else None."""
    return call if call.verdict == "ran" else None


def yield_harness(**options: int) -> object:
    """Start a fleet, yield it once every entry holds its grants, and end it.

    This is a generator, from which fixtures are made. The logs of the programs are kept
    in ``LOGS_FOLDER``, as a failure seen once can only be traced in them.
    """
    with running_fleet() as fleet:
        try:
            harness = FaultFleet(fleet, entries=3, **options)
            harness.start()
            wait_until(
                lambda: all(
                    holds_all_grants(harness, name) for name in harness.zone_by_entry
                )
            )
            yield harness
        finally:
            keep_logs(fleet.folder)


def keep_logs(folder: Path) -> None:
    """Copy the logs of a fleet to a folder named by the test that used it last."""
    test = os.environ.get("PYTEST_CURRENT_TEST", "unknown").partition(" ")[0]
    name = re.sub(r"[^\w.-]+", "-", test)
    kept = LOGS_FOLDER / f"{name}-{os.getpid()}"
    kept.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*.log"):
        shutil.copy(log, kept)


def holds_all_grants(harness: FaultFleet, name: str) -> bool:
    """Tell whether an entry holds slots granted to it for every organisation."""
    status = harness.status(name)
    return status is not None and all(
        organisation["grant"] > 0 for organisation in status["organisations"].values()
    )


@pytest.fixture(scope="module")
def shared_harness():
    """The fleet that the tests of a module share; each test leaves it healthy."""
    yield from yield_harness()


@pytest.fixture
def harness(shared_harness):
    """The shared fleet; after each test, paused entries resume and invariants hold."""
    yield shared_harness
    for entry in shared_harness.entry_by_name.values():
        entry.signal(signal.SIGCONT)
    shared_harness.paused.clear()
    shared_harness.wait_ready()
    assert_invariants(shared_harness)


@pytest.fixture
def isolated_harness():
    """A fleet of its own for a test that stops or replaces entries."""
    for harness in yield_harness():
        yield harness
        assert_invariants(harness)


def assert_invariants(harness: FaultFleet) -> None:
    """Check the invariants on the recorded calls, publications and task starts."""
    assert (
        check_history(harness.history, harness.fleet.ledger(), LIMIT_BY_ORGANISATION)
        == []
    )
