"""Tests of polling entries for task outcomes, without sockets."""

import json

import pytest

from lycheeloom.cluster import PeerConnectionError
from lycheeloom.controller.outcome_reports import OutcomeReportPoller
from lycheeloom.fleet import HealthMonitor
from lycheeloom.fleet.budgets import Layout
from lycheeloom.fleet.monitor import Symptom
from lycheeloom.model.records import Batch, ConfigChanged, MemberJoined
from lycheeloom.state import FleetState
from lycheeloom.wire import Heartbeat, OutcomeCount, OutcomeReport, PeerMessage

WORKERS = ("w1", "w2", "w3", "w4")


class Tail:
    def __init__(self):
        document = {
            "zones": {"z1": {}},
            "pools": {"main": {}},
            "instances": {
                name: {
                    "pool": "main",
                    "zone": "z1",
                    "rack": "r1",
                    "address": f"127.0.0.1:{port}",
                    "cores": 8,
                    "memory_mb": 1024,
                }
                for port, name in enumerate(WORKERS, 1)
            },
        }
        joins = tuple(MemberJoined(f"i-{n}", n, n, "z1") for n in ("e1", "e2"))
        change = ConfigChanged(0, json.dumps(document), "operator")
        self.state = FleetState()
        self.state.apply(0, Batch("operator", 1, (change, *joins)))


class Entries:
    """Fake entries that return preset bodies and record each request."""

    def __init__(self):
        self.body_by_entry = {}
        self.name_by_address = {"e1": "e1", "e2": "e2"}
        self.silent = set()
        self.asked = []
        self.opened = []

    def connect(self, address, timeout_s):
        self.opened.append(address)
        return _Connection(self, address)


class _Connection:
    def __init__(self, entries, address):
        self._entries, self._address = entries, address

    def call(self, message, timeout_s):
        entries = self._entries
        entries.asked.append((self._address, message.body.after_period))
        if self._address in entries.silent:
            raise PeerConnectionError("no answer in time")
        body = entries.body_by_entry.get(self._address, OutcomeReport(7))
        return PeerMessage(entries.name_by_address[self._address], body)

    def close(self):
        pass


class Setup:
    def __init__(self):
        self.tail, self.entries, self.monitor = Tail(), Entries(), HealthMonitor()
        self.reports = OutcomeReportPoller(
            self.tail,
            self.monitor,
            "controller",
            clock=lambda: 50.0,
            connect=self.entries.connect,
        )

    def symptoms(self):
        layout = Layout(self.tail.state.config, {})
        return self.monitor.assess(layout, 60.0).symptom_by_instance


@pytest.fixture
def setup():
    return Setup()


def failing(*workers, ended=6, failed=6):
    return tuple(OutcomeCount(worker, "find", ended, failed) for worker in workers)


def test_failures_of_all_entries_add_up(setup):
    """Guards against missing a worker whose failures spread over all entries."""
    for name in ("e1", "e2"):
        counts = failing("w1", ended=3, failed=3)
        setup.entries.body_by_entry[name] = OutcomeReport(7, counts, ("find",))
    setup.reports.step()
    assert setup.symptoms() == {"w1": Symptom.FAILING}


def test_failing_workers_are_detected_if_the_workload_succeeds_elsewhere(setup):
    """Guards against taking failing workers for a failing workload.

    Entries report counts only for workers with failures, so the success of the
    queue elsewhere is reported apart.
    """
    report = OutcomeReport(7, failing("w1", "w2", "w3"), ("find",))
    setup.entries.body_by_entry["e1"] = report
    setup.reports.step()
    assert set(setup.symptoms()) == {"w1", "w2", "w3"}


def test_workload_that_fails_everywhere_is_not_held_against_workers(setup):
    """Guards against repairs of a whole fleet after a bad release."""
    setup.entries.body_by_entry["e1"] = OutcomeReport(7, failing("w1", "w2", "w3"))
    setup.reports.step()
    assert setup.symptoms() == {}


def test_busy_workers_keep_their_failure_rate(setup):
    """Guards against detecting a busy worker as failing for a minority of failures."""
    counts = failing("w1", ended=1000, failed=300)
    setup.entries.body_by_entry["e1"] = OutcomeReport(7, counts, ("find",))
    for _ in range(6):
        setup.reports.step()
    assert setup.symptoms() == {}


def test_unanswered_request_is_repeated_on_a_new_connection(setup):
    """Guards against outcomes that are lost when a connection stops answering."""
    setup.reports.step()
    setup.entries.silent.add("e1")
    setup.reports.step()
    setup.entries.silent.clear()
    setup.reports.step()
    after = [period for name, period in setup.entries.asked if name == "e1"]
    assert after == [0, 7, 7]
    assert setup.entries.opened.count("e1") == 2
    assert setup.entries.opened.count("e2") == 1


@pytest.mark.parametrize(
    ("name", "body"),
    [("other", OutcomeReport(7, failing("w1"))), ("e1", Heartbeat(1, 0, 0, 0))],
    ids=["other incarnation", "other message"],
)
def test_answers_of_another_process_or_type_are_dropped(setup, name, body):
    """Guards against counts from another process that now serves the address."""
    setup.entries.name_by_address["e1"] = name
    setup.entries.body_by_entry["e1"] = body
    setup.reports.step()
    setup.reports.step()
    assert setup.symptoms() == {}
    assert setup.entries.asked.count(("e1", 0)) == 2


def test_unknown_workers_are_ignored(setup):
    """Guards against keeping outcomes of workers that are no longer configured."""
    setup.entries.body_by_entry["e1"] = OutcomeReport(7, failing("gone"), ("find",))
    setup.reports.step()
    assert setup.monitor.successes_since("gone", 0.0) == 0
    assert "gone" not in setup.monitor._outcomes
