"""Client of the instance service: instance list and idempotent actions."""

import gevent
import pytest

from lycheeloom.clients import (
    ActionRefused,
    ActionState,
    InstanceList,
    InstanceState,
    Unavailable,
)
from lycheeloom.standins import InstancesStandIn
from lycheeloom.standins.instances import Instance

SHORT_S = 0.1


def wait_until_done(client, action):
    while client.action_status(action).state is not ActionState.DONE:
        gevent.sleep(0.001)


def test_list(instance_client, worker):
    (listed,) = instance_client.list().instances
    assert (listed.instance, listed.address, listed.zone, listed.boot_id) == (
        "w1",
        worker.address,
        "z1",
        worker.boot_id,
    )


def test_unchanged_list_is_not_sent_again(instance_client, instances):
    """An unchanged list must be answered with 304.

    Sending a list of 5,100 workers every 2 s took 17 times the bandwidth budget of
    control traffic.
    """
    first = instance_client.list()
    assert instance_client.list() is first
    instances.remove("w1")
    assert instance_client.list().instances == ()


def test_list_of_a_restarted_platform_is_read_again(instance_client, instances):
    """A restarted platform counts list versions anew.

    Guards against an equal version number that hides a change of the list.
    """
    first = instance_client.list()
    other = InstancesStandIn("other", port=int(instances.address.split(":")[1]))
    instances.stop()
    other.add(Instance("w2", "worker", "127.0.0.1:1", "z1", "r1"))
    other.start()
    try:
        assert instance_client.list() != first
    finally:
        other.stop()


def test_drain_reboot_undrain(instance_client, worker):
    """A drained instance is leaving; a rebooted one has a new boot id."""
    boot_id = worker.boot_id
    instance_client.drain("w1", "m1-drain")
    wait_until_done(instance_client, "m1-drain")
    assert worker.draining
    (listed,) = instance_client.list().instances
    assert listed.state is InstanceState.LEAVING
    instance_client.reboot("w1", "m1-reboot")
    wait_until_done(instance_client, "m1-reboot")
    instance_client.undrain("w1", "m1-undrain")
    assert not worker.draining
    (listed,) = instance_client.list().instances
    assert listed.state is InstanceState.LIVE
    assert listed.boot_id == worker.boot_id != boot_id


def test_action_repeated_after_a_lost_response_takes_effect_once(
    instance_client, instances, worker
):
    """A reboot that is repeated with the same id must not reboot again."""
    instances.set_faults(lose_answers=1)
    assert isinstance(instance_client.reboot("w1", "a1"), Unavailable)
    wait_until_done(instance_client, "a1")
    boot_id = worker.boot_id
    assert instance_client.reboot("w1", "a1").state is ActionState.DONE
    assert worker.boot_id == boot_id


@pytest.mark.parametrize(
    ("call", "reason"),
    [
        (lambda c: c.drain("w9", "a1"), "unknown_instance"),
        (lambda c: c.action_status("a9"), "unknown"),
        (lambda c: c.drain("w1", "used"), "action_conflict"),
        (lambda c: c.drain("w1", ""), "action must be a string"),
    ],
)
def test_refused(instance_client, call, reason):
    instance_client.undrain("w1", "used")
    assert call(instance_client) == ActionRefused(reason)


@pytest.mark.parametrize(
    "faults",
    [{"down": True}, {"silent": True}, {"outage": True}, {"fail_all": True}],
    ids=str,
)
@pytest.mark.parametrize(
    "call",
    [lambda c: c.list(), lambda c: c.drain("w1", "a1"), lambda c: c.action_status("a")],
    ids=["list", "drain", "action_status"],
)
def test_unavailable(instance_client, instances, faults, call):
    """Without a response, nothing may be concluded about an instance."""
    assert isinstance(instance_client.list(), InstanceList)
    instances.set_faults(**faults)
    instance_client._call_timeout_s = SHORT_S
    assert isinstance(call(instance_client), Unavailable)
