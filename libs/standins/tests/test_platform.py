"""The instance list, faults over HTTP, control, settings and the program."""

import json
import signal
import subprocess
import sys

import gevent
import pytest
import urllib3

from lycheeloom.standins import (
    Instance,
    InstancesStandIn,
    LogStandIn,
    PlatformStandIns,
    StandIn,
    WorkerStandIn,
    peak_concurrency,
)
from lycheeloom.standins.main import EXIT_BAD_SETTINGS, EXIT_OK, main
from lycheeloom.standins.server import Request
from lycheeloom.standins.settings import build_platform, load_settings

HTTP = urllib3.PoolManager(retries=False, timeout=60.0)


def call(standin, method, path, document=None):
    body = None if document is None else json.dumps(document).encode()
    response = HTTP.request(method, f"http://{standin.address}{path}", body=body)
    return response.status, response.json()


def visible_ids(instances):
    return [instance.instance for instance in instances.visible_instances()]


def test_instance_list_lags():
    """The list shows additions and removals only after the lag."""
    instances = InstancesStandIn()
    instances.add(Instance("a", "entry", "127.0.0.1:1", "z1", "r1"))
    assert visible_ids(instances) == ["a"]
    instances.set_faults(lag_ms=3_600_000)
    instances.add(Instance("b", "entry", "127.0.0.1:2", "z1", "r1"))
    assert visible_ids(instances) == []
    instances.faults.lag_ms = 0
    assert visible_ids(instances) == ["a", "b"]
    instances.remove("a")
    assert visible_ids(instances) == ["b"]


def test_instances_are_added_and_removed_over_http():
    with PlatformStandIns() as platform:
        entry = {"role": "entry", "address": "127.0.0.1:9", "zone": "z1", "rack": ""}
        assert call(platform.instances, "PUT", "/v1/instances/e1", entry)[0] == 200
        listed = call(platform.instances, "GET", "/v1/instances")[1]["instances"]
        assert listed == [{**entry, "instance": "e1", "state": "live", "boot_id": ""}]
        bad = call(platform.instances, "PUT", "/v1/instances/e2", {"role": "entry"})
        assert bad[0] == 400
        call(platform.instances, "DELETE", "/v1/instances/e1")
        assert visible_ids(platform.instances) == []


def test_merged_ledger_keeps_removed_workers():
    """Task starts of a removed worker must stay in the merged ledger."""
    workers = [WorkerStandIn("w1"), WorkerStandIn("w2", zone="z2")]
    with PlatformStandIns(workers=workers) as platform:
        for worker in workers:
            session = call(worker, "POST", "/v1/sessions", {"ttl_ms": 60_000})[1]
            start = {
                "session": session["session"],
                "lease_ms": 1000,
                "organisation": "t",
            }
            call(worker, "POST", f"/v1/tasks/{worker.name}.1", start)
        platform.instances.remove("w1")
        starts = call(platform.instances, "GET", "/v1/ledger")[1]["starts"]
        assert [(s["worker"], s["zone"]) for s in starts] == [
            ("w1", "z1"),
            ("w2", "z2"),
        ]
        assert call(platform.control, "GET", "/v1/ledger")[1]["starts"] == starts


@pytest.mark.parametrize(
    ("times", "peak"),
    [
        ([(1, 2), (2, 3)], 1),
        ([(1, 3), (2, 4), (2.5, None)], 3),
        ([(1, None), (2, 2), (3, 4)], 2),
        ([(1, 2), (3, None)], 1),
    ],
)
def test_peak_running(times, peak):
    """Tests of organisation limits use this count, so task boundaries matter too."""
    starts = [{"organisation": "t", "started_at": a, "ended_at": b} for a, b in times]
    assert peak_concurrency(starts) == {"t": peak}


def test_drain_waits_for_running_tasks():
    """If a drain ended early, the following reboot would interrupt running tasks."""
    with PlatformStandIns(workers=[WorkerStandIn("w1")]) as platform:
        worker = platform.workers[0]
        session = call(worker, "POST", "/v1/sessions", {"ttl_ms": 60_000})[1]
        start = {
            "session": session["session"],
            "lease_ms": 60_000,
            "organisation": "t",
            "payload": "eyJ3b3JrX21zIjozNjAwMDAwfQ==",
            "wait": False,
        }
        assert call(worker, "POST", "/v1/tasks/r1.1", start)[0] == 202
        action = call(
            platform.instances, "POST", "/v1/instances/w1/drain", {"action": "a"}
        )
        gevent.sleep(0.05)
        assert action[1]["state"] == "running"
        assert call(platform.instances, "GET", "/v1/actions/a")[1]["state"] == "running"
        call(worker, "POST", "/v1/tasks/r1.1/stop")
        while call(platform.instances, "GET", "/v1/actions/a")[1]["state"] != "done":
            gevent.sleep(0.001)
        (entry,) = call(platform.instances, "GET", "/v1/ledger")[1]["starts"]
        assert (entry["worker"], entry["status"]) == ("w1", "stopped")


@pytest.mark.parametrize(
    ("body", "status"),
    [
        ({"slow_ms": 5}, 200),
        ({"slow": 5}, 400),
        ({"slow_ms": "5"}, 400),
        ({"down": 1}, 400),
        ([], 400),
    ],
    ids=str,
)
def test_faults_over_http(body, status):
    """A misspelt fault or a value of the wrong type must be refused."""
    with PlatformStandIns() as platform:
        assert call(platform.log, "POST", "/v1/faults", body)[0] == status
        faults = call(platform.log, "GET", "/v1/faults")[1]
        assert faults["slow_ms"] == (5 if status == 200 else 0)


def test_control_restores_a_stand_in_that_is_down():
    """A stand-in that is down cannot clear its own fault over HTTP."""
    with PlatformStandIns() as platform:
        assert call(platform.log, "POST", "/v1/faults", {"down": True})[0] == 200
        while platform.log._server is not None:
            gevent.sleep(0.001)
        with pytest.raises(urllib3.exceptions.HTTPError):
            call(platform.log, "GET", "/v1/faults")
        path = "/v1/standins/log/faults"
        assert call(platform.control, "POST", path, {"down": False})[0] == 200
        while platform.log._server is None:
            gevent.sleep(0.001)
        assert call(platform.log, "GET", "/v1/faults")[1]["down"] is False


@pytest.mark.parametrize("standin", [LogStandIn, InstancesStandIn, WorkerStandIn])
def test_unknown_fault_changes_nothing(standin):
    """A misspelt fault must fail the test instead of leaving the stand-in healthy."""
    stand_in = standin()
    healthy = stand_in.faults.as_dict()
    with pytest.raises(ValueError, match="slow"):
        stand_in.set_faults(slow=5, outage=True)
    assert stand_in.faults.as_dict() == healthy


def test_stand_in_without_a_handler_cannot_be_created():
    """A stand-in class that handles no requests must fail at its creation."""
    with pytest.raises(TypeError, match="handle"):
        StandIn("odd")


def test_unknown_paths_are_not_found():
    for standin in (LogStandIn(), InstancesStandIn(), WorkerStandIn()):
        assert standin.handle(Request("GET", "/v1/other")).status == 404


SETTINGS = """
[log]
retained_records = 5
[instances]
lag_ms = 7
[[workers]]
prefix = "a"
count = 5
zone = "z1"
cores = 2
"""


def test_settings_describe_the_platform(tmp_path):
    path = tmp_path / "standins.toml"
    path.write_text(SETTINGS)
    platform = build_platform(load_settings(path))
    assert [worker.name for worker in platform.workers] == [
        "a-1",
        "a-2",
        "a-3",
        "a-4",
        "a-5",
    ]
    assert [worker.rack for worker in platform.workers][3:] == ["z1-r1", "z1-r2"]
    assert platform.workers[0].capacity.cores == 2
    assert platform.instances.faults.lag_ms == 7
    assert platform.log.limits.retained_records == 5
    assert main([str(path), "--check-config"]) == EXIT_OK


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("lag_ms = 7", "lag_ms = -1", "instances.lag_ms: Input should be greater"),
        ("lag_ms", "lag", "instances.lag: unknown key; allowed: port, lag_ms"),
        ("cores = 2", "core = 2", "workers.0.core: unknown key; allowed: prefix"),
        ("[log]", "[logs]", "logs: unknown key; allowed: host, log"),
        ("[log]", "[log", "not TOML"),
    ],
)
def test_invalid_settings_are_explained(tmp_path, capsys, old, new, message):
    path = tmp_path / "standins.toml"
    path.write_text(SETTINGS.replace(old, new))
    assert main([str(path)]) == EXIT_BAD_SETTINGS
    error = capsys.readouterr().err
    assert message in error
    assert str(path) in error


def test_program_stops_on_sigterm(tmp_path):
    """SIGTERM stops the program with exit code 0."""
    path = tmp_path / "standins.toml"
    path.write_text(SETTINGS)
    command = [sys.executable, "-m", "lycheeloom.standins.main", str(path)]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as program:
        lines = []
        while "event=ready" not in lines:
            lines.append(program.stdout.readline().strip())
            assert lines[-1], "the program ended early"
        program.send_signal(signal.SIGTERM)
        assert program.wait() == EXIT_OK
    assert any("standin=a-5" in line for line in lines)
