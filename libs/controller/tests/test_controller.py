"""Tests of controller processes and components against platform stand-ins."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from types import SimpleNamespace

import pytest
import urllib3

from lycheeloom.clients import (
    ActionRefused,
    InstanceList,
    InstanceState,
    ListedInstance,
    LogClient,
    Unavailable,
)
from lycheeloom.controller.actions import ActionRunner
from lycheeloom.controller.duty import TAKEOVER_S, DutyElection
from lycheeloom.controller.maintenance import MaintenanceLoop
from lycheeloom.fleet import ActionKind, ActionStatus, PlatformAction
from lycheeloom.log import recover
from lycheeloom.model.config import canonical_json
from lycheeloom.model.records import (
    Batch,
    ConfigChanged,
    Duty,
    DutyClaimed,
    WaveCommand,
    WaveState,
)
from lycheeloom.standins import free_address
from lycheeloom.state import FleetState
from lycheeloom.wire import encode_batch

STANDINS = """
[instances]
reboot_s = 0.2
lag_ms = 100

[[workers]]
prefix = "w"
count = 4
zone = "z1"
workers_per_rack = 2
"""
HTTP = urllib3.PoolManager(retries=False, timeout=10.0)


class Processes:
    """The processes that a test starts; the fixture kills those still running."""

    def __init__(self, directory):
        self.directory = directory
        self.started: list[subprocess.Popen] = []
        self.address_by_name: dict[str, str] = {}

    def start(self, module, settings, name):
        path = self.directory / f"{name}.toml"
        path.write_text(settings)
        process = subprocess.Popen(
            [sys.executable, "-m", module, str(path)], stdout=subprocess.PIPE, text=True
        )
        self.started.append(process)
        return process

    def start_platform(self):
        """Start the platform stand-ins; note the address of each."""
        process = self.start("lycheeloom.standins.main", STANDINS, "platform")
        for line in process.stdout:
            fields = dict(pair.split("=", 1) for pair in line.split())
            if fields["event"] == "ready":
                return
            self.address_by_name[fields["standin"]] = fields["address"]

    def start_controller(self, name):
        """Start a controller; return its process and the address that it serves."""
        listen = free_address()
        settings = f"""
            instance = "{name}"
            zone = "z1"
            listen = "{listen}"
            log = "{self.address_by_name["log"]}"
            instances = "{self.address_by_name["instances"]}"
            step_s = 0.1
            log_level = "WARNING"
        """
        return self.start("lycheeloom.controller.main", settings, name), listen


@pytest.fixture
def processes(tmp_path):
    running = Processes(tmp_path)
    running.start_platform()
    yield running
    for process in running.started:
        process.kill()
        process.wait()


def publish_config(processes):
    """Append a configuration that names the stand-in workers as instances."""
    workers = {n: a for n, a in processes.address_by_name.items() if n[:2] == "w-"}
    document = {
        "zones": {"z1": {}},
        "pools": {"main": {"max_unavailable": 1}},
        "instances": {
            name: {
                "pool": "main",
                "zone": "z1",
                "rack": "r1",
                "address": address,
                "cores": 64,
                "memory_mb": 262144,
            }
            for name, address in workers.items()
        },
    }
    append(processes, 1, ConfigChanged(0, canonical_json(document), "operator"))


def append(processes, sequence, *records):
    client = LogClient(processes.address_by_name["log"])
    client.append(encode_batch(Batch("operator", sequence, records)))


def wait_for(processes, condition, timeout_s=90.0):
    """Wait until the replayed state meets a condition; return the state."""
    client = LogClient(processes.address_by_name["log"])
    give_up_at = time.monotonic() + timeout_s
    while time.monotonic() < give_up_at:
        state = recover(client)
        if isinstance(state, FleetState) and condition(state):
            return state
        time.sleep(0.2)
    raise AssertionError("the condition was not met in time")


def wave_state(state):
    wave = state.maintenance.wave_by_id.get("w")
    return wave.state if wave else WaveState.ABSENT


def joined_count(state):
    """Return the number of instances whose last move has joined its pool."""
    moves = state.maintenance.move_by_instance.values()
    return sum(move.stage == "joined" for move in moves)


def get(address, path):
    response = HTTP.request("GET", f"http://{address}{path}")
    return response.status, response.data.decode()


def test_wave_completes_although_its_controller_is_killed(processes):
    """Guards against moves that stop with the controller that started them."""
    publish_config(processes)
    first, first_address = processes.start_controller("one")
    wait_for(processes, lambda s: s.duties.of(Duty.MAINTENANCE).epoch == 1)
    second, second_address = processes.start_controller("two")
    append(processes, 2, WaveCommand("w", WaveState.ABSENT, WaveState.RUNNING))
    wait_for(processes, lambda state: joined_count(state) >= 1)
    first.send_signal(signal.SIGKILL)
    state = wait_for(processes, lambda s: wave_state(s) is WaveState.DONE)
    assert joined_count(state) == 4
    assert state.duties.of(Duty.MAINTENANCE).epoch == 2
    assert get(second_address, "/healthz")[0] == 200
    assert get(second_address, "/readyz")[0] == 200
    status, body = get(second_address, "/v1/explain/pool/main")
    sentences = [event["sentence"] for event in json.loads(body)["events"]]
    assert status == 200
    assert any("was chosen to be rebooted" in text for text in sentences)
    assert get(second_address, "/v1/explain/instance/nobody")[0] == 404
    time.sleep(5.5)  # metrics are updated every 5 s
    assert (
        'lycheeloom_duty_held{duty="maintenance"} 1.0'
        in get(second_address, "/metrics")[1]
    )
    listing = get(processes.address_by_name["instances"], "/v1/instances")[1]
    states = {item["state"] for item in json.loads(listing)["instances"]}
    assert states == {"live"}
    second.send_signal(signal.SIGTERM)
    assert second.wait(timeout=20) == 0


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("listen = 5", "listen: Input should be a valid string, got 5"),
        ('colour = "red"', "colour: unknown key; allowed: instance, zone, listen"),
        ("step_s = 0", "step_s: Input should be greater than 0, got 0"),
    ],
)
def test_invalid_settings_are_reported(tmp_path, line, expected):
    path = tmp_path / "controller.toml"
    path.write_text(line)
    program = [sys.executable, "-m", "lycheeloom.controller.main"]
    done = subprocess.run(
        [*program, str(path), "--check-config"], capture_output=True, text=True
    )
    assert done.returncode == 2
    assert f"{path}: {expected}" in done.stderr
    assert f"{path}: log: is missing" in done.stderr


class FakeTail:
    def __init__(self):
        self.state = FleetState()
        self.last_read_sent_at = 0.0


class FakeWriter:
    """Applies each appended record to the state of the tail at once."""

    author = "me"

    def __init__(self, tail):
        self._tail = tail

    def append(self, record, priority):
        state = self._tail.state
        # Any sequence will do that grows with each batch.
        state.apply(state.next_offset, Batch("me", state.next_offset + 9, (record,)))


def test_duty_is_not_taken_over_because_of_a_log_outage():
    """Guards against a takeover before the holder could renew after the outage."""
    tail, now = FakeTail(), [0.0]
    tail.state.apply(0, Batch("other", 1, (DutyClaimed(Duty.MAINTENANCE, 0),)))
    duty = DutyElection(Duty.MAINTENANCE, tail, FakeWriter(tail), clock=lambda: now[0])
    for second in range(1800):
        now[0] = float(second)
        duty.step()
    assert duty.epoch == 1
    for second in range(1800, 1800 + int(TAKEOVER_S) - 1):
        now[0] = tail.last_read_sent_at = float(second)
        duty.step()
    assert duty.epoch == 1
    for second in range(1811, 1816):
        now[0] = tail.last_read_sent_at = float(second)
        duty.step()
    assert duty.is_held()
    now[0] += 5
    assert not duty.is_held()


class FakeInstances:
    """Answers by action id; ids without an answer are unknown."""

    def __init__(self, answers):
        self.answers = answers
        self.queried = []

    def action_status(self, name):
        self.queried.append(name)
        return self.answers.get(name, ActionRefused("unknown"))

    def drain(self, instance, name):
        return self.answers[name]


def test_statuses_distinguish_an_unknown_action_from_an_unavailable_platform():
    """Guards against taking an unreachable platform for an unknown action."""
    client = FakeInstances({"b": Unavailable("timeout"), "d": ActionRefused("no")})
    runner = ActionRunner(client)
    assert runner.statuses(["a", "b", "a.2"]) == {"a": ActionStatus.UNKNOWN}
    assert client.queried == ["a", "b"]
    runner.perform([PlatformAction("w", ActionKind.DRAIN, "d")])
    assert runner.statuses(["d", "d.2"]) == {
        "d": ActionStatus.REFUSED,
        "d.2": ActionStatus.UNKNOWN,
    }


def test_unchanged_instance_list_is_read_again_soon():
    """Guards against seeing leaving instances 102 s late with 5,100 workers.

    Only a changed list is transferred, so only its reads are rate limited.
    """
    now = [0.0]
    line = ListedInstance("w", "worker", "a:1", "z", "r", InstanceState.LIVE, "b")
    # The client returns the same object as long as the list is unchanged.
    listings = [InstanceList((line,) * 5100), InstanceList((line,) * 5100)]
    client = SimpleNamespace(list=lambda: listings[0])
    loop = MaintenanceLoop(None, None, None, None, client, None, clock=lambda: now[0])
    read_at = []
    for now[0] in range(300):
        if now[0] == 200:
            listings.pop(0)
        before = loop._listed_at
        loop._refresh_list()
        if loop._listed_at != before:
            read_at.append(now[0])
    assert read_at[:3] == [0, 102, 103]
    assert read_at[-1] == 200
