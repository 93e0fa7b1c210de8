"""Fixtures: clients, and stand-ins for the platform's services."""

import pytest

from lycheeloom.clients import (
    InstanceClient,
    LogClient,
    TaskStart,
    Transport,
    WorkerClient,
)
from lycheeloom.model.resources import Resources
from lycheeloom.standins import (
    InstancesStandIn,
    LogLimits,
    LogStandIn,
    PlatformStandIns,
    WorkerStandIn,
)

# Timeout of calls that must get a response, however busy the machine is.
LONG_S = 60.0


@pytest.fixture
def platform():
    log = LogStandIn(limits=LogLimits(appends_per_s=None, max_record_bytes=64))
    with PlatformStandIns(log=log, workers=[WorkerStandIn("w1")]) as platform:
        yield platform


@pytest.fixture
def log(platform):
    return platform.log


@pytest.fixture
def worker(platform):
    return platform.workers[0]


@pytest.fixture
def instances(platform) -> InstancesStandIn:
    return platform.instances


@pytest.fixture
def transport():
    return Transport(connect_timeout_s=LONG_S)


@pytest.fixture
def log_client(log, transport):
    client = LogClient(
        log.address, transport, append_timeout_s=LONG_S, read_margin_s=LONG_S
    )
    yield client
    client.close()


@pytest.fixture
def workers(transport):
    client = WorkerClient(transport, call_timeout_s=LONG_S)
    yield client
    client.close()


@pytest.fixture
def instance_client(instances, transport):
    client = InstanceClient(instances.address, transport, call_timeout_s=LONG_S)
    yield client
    client.close()


@pytest.fixture
def session(worker, workers):
    return workers.open_session(worker.address, "entry-1", LONG_S).id


@pytest.fixture
def make_start(session):
    def make(task="r1.1", **changes):
        fields = {
            "session": session,
            "organisation": "red",
            "queue": "lookups",
            "payload": b"payload",
            "resources": Resources(1, 100, 0),
            "lease_s": LONG_S,
        }
        return TaskStart(task, **{**fields, **changes})

    return make
