"""Guards against dead connections, invalid frames and outdated usage."""

import random
import struct
import zlib

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer
from libs.cluster.tests.simulated_cluster import SimulatedCluster
from libs.log.tests.fake_log import Clock, FakeClient, FakeLog

from lycheeloom.cluster import Freshness, PeerConnectionError, PeerMesh, connect
from lycheeloom.cluster.framing import MAX_FRAME_BYTES
from lycheeloom.cluster.link import ANSWER_TIMEOUT_S, PeerLink
from lycheeloom.cluster.usage import (
    BACKLOG_INTERVAL_S,
    COMPLETE_INTERVAL_S,
    MAX_CHANGED_ORGANISATIONS,
    UsageSender,
    UsageView,
)
from lycheeloom.log import LogTail
from lycheeloom.model import records as r
from lycheeloom.model.limits import FRESHNESS_S, HEARTBEAT_INTERVAL_S
from lycheeloom.model.records import Batch
from lycheeloom.state import FleetState
from lycheeloom.wire import (
    Heartbeat,
    OrganisationUsage,
    OutcomeCount,
    OutcomeReport,
    OutcomeRequest,
    PeerMessage,
    RangeRequest,
    encode_batch,
)

HEARTBEAT = PeerMessage("a", Heartbeat(1, 0, 0, 0))


def make_mesh(name, state=None, clock=None):
    clock = clock or Clock()
    tail = LogTail(FakeClient(FakeLog()), state or FleetState(), clock=clock)
    freshness = Freshness(tail, lambda: name, clock=clock)
    return PeerMesh(name, tail, freshness, clock=clock)


@pytest.fixture
def server():
    """A listening mesh of member ``b``, which knows member ``a``."""
    mesh = make_mesh("b")
    joins = tuple(r.MemberJoined(f"i{n}", n, "127.0.0.1:1", "z") for n in "ab")
    mesh.tail.offer(0, encode_batch(Batch("a", 1, joins)))
    mesh.port = mesh.start("127.0.0.1")
    mesh._sync_greenlet.kill()
    yield mesh
    mesh.stop()


def is_closed_after(port, data):
    """Send raw bytes; return whether the server then closed the connection."""
    with socket.create_connection(("127.0.0.1", port), 1.0) as sock:
        sock.sendall(data)
        return sock.recv(1) == b""


def test_heartbeat_over_tcp_echoes_the_send_time(server):
    """Without the echo, a delayed answer would count for a later heartbeat."""
    connection = connect(f"127.0.0.1:{server.port}", 1.0)
    answer = connection.call(PeerMessage("a", Heartbeat(77, 0, 0, 0)), 1.0)
    assert (answer.sender, answer.body.echo_us) == ("b", 77)
    assert server.view("a").heard_at == server.clock.now
    stranger = connection.call(PeerMessage("x", Heartbeat(78, 0, 0, 0)), 1.0)
    assert stranger.body.echo_us == 0
    server.unconfirmed_peers.add("a")
    unconfirmed = connection.call(PeerMessage("a", Heartbeat(79, 0, 0, 0)), 1.0)
    assert unconfirmed.body.echo_us == 0
    connection.close()


def test_outcomes_are_reported_to_a_process_that_is_no_member(server):
    """Controllers are not members, but need the reports to find failing workers."""
    report = OutcomeReport(9, (OutcomeCount("w1", "find", 2, 1),), ("find",))
    server.report_outcomes = lambda after: report if after == 8 else None
    connection = connect(f"127.0.0.1:{server.port}", 1.0)
    answer = connection.call(PeerMessage("x", OutcomeRequest(8)), 1.0)
    assert answer == PeerMessage("b", report)
    assert isinstance(connection.call(answer, 1.0).body, Heartbeat)
    connection.close()


@pytest.mark.parametrize(
    "data",
    [
        struct.pack(">I", MAX_FRAME_BYTES + 1),
        struct.pack(">I", 64) + b"\xff" * 64,
        struct.pack(">I", 1 << 31 | 8) + b"\xff" * 8,
        struct.pack(">I", 0),
    ],
    ids=["too long", "garbage", "bad compression", "empty"],
)
def test_bad_frames_close_the_connection(server, data):
    """Invalid frames must neither crash the process nor exhaust its memory."""
    assert is_closed_after(server.port, data)
    connection = connect(f"127.0.0.1:{server.port}", 1.0)
    assert connection.call(HEARTBEAT, 1.0).sender == "b"


def test_compressed_frame_is_bounded_after_expansion(server):
    """A small compressed frame must not exhaust the memory when decompressed."""
    bomb = zlib.compress(bytes(50 * MAX_FRAME_BYTES))
    assert is_closed_after(server.port, struct.pack(">I", len(bomb) | 1 << 31) + bomb)


def test_silent_peer_ends_a_call_in_time():
    """A call on a connection without answers must end after its timeout."""
    silent = StreamServer(("127.0.0.1", 0), lambda sock, _: gevent.sleep(10))
    silent.start()
    connection = connect(f"127.0.0.1:{silent.server_port}", 1.0)
    with pytest.raises(PeerConnectionError):
        connection.call(HEARTBEAT, 0.05)
    connection.close()
    silent.stop(timeout=0)


def test_large_relay_fits_a_frame(server):
    """Batches of the maximum size must fit into a relay message."""
    for offset in range(1, 5):
        payload = random.Random(offset).randbytes(200_000)
        record = r.RequestSubmitted(f"q{offset}", "t", "m", payload)
        server.tail.offer(offset, encode_batch(Batch("w", offset, (record,))))
    connection = connect(f"127.0.0.1:{server.port}", 1.0)
    answer = connection.call(PeerMessage("a", RangeRequest(1)), 5.0)
    assert answer.body.offset == 1 and len(answer.body.batches) == 2
    connection.close()


def test_silent_connections_are_replaced_before_freshness_ends():
    """If open connections die while new ones work, entries must stay fresh."""
    assert HEARTBEAT_INTERVAL_S + ANSWER_TIMEOUT_S < FRESHNESS_S
    cluster = SimulatedCluster("abc")
    cluster.without_log = set("abc")
    cluster.run(5)
    for node in cluster.node_by_name.values():
        for connection in node.connections:
            connection.is_silent = True
    cluster.run(3.0, lambda: cluster.fresh() == set("abc") or pytest.fail("not fresh"))
    assert all(len(node.connections) == 4 for node in cluster.node_by_name.values())


def test_answer_of_another_incarnation_is_no_confirmation():
    """A new incarnation at an old address must not confirm for the old one."""
    mesh = make_mesh("b")

    class Restarted:
        def call(self, message, timeout_s):
            echo = Heartbeat(1, message.body.sent_us, 0, 0)
            return PeerMessage("other", echo)

        def close(self):
            pass

    link = PeerLink(mesh, "a", "x", lambda *_: Restarted())
    assert not link.exchange_heartbeat()
    assert not mesh._freshness._confirmed_at


def test_relay_counts_only_after_replay():
    """A peer's position must count only once this process has replayed up to it."""
    clock = Clock()
    tail = LogTail(FakeClient(FakeLog()), FleetState(), clock=clock)
    joins = (r.MemberJoined("i", "a", "x", "z"), r.MemberJoined("j", "b", "y", "z"))
    tail.offer(0, encode_batch(Batch("a", 1, joins)))
    freshness = Freshness(tail, lambda: "a", clock=clock)

    def advance(seconds):
        for _ in range(10):
            clock.now += seconds / 10
            freshness.tick()

    advance(0.5)
    freshness.add_position("b", clock.now - 0.25, 2)
    assert not freshness.is_fresh()
    tail.offer(1, encode_batch(Batch("b", 1, ())))
    assert freshness.is_fresh()
    advance(FRESHNESS_S - 0.26)
    assert freshness.is_fresh()
    advance(0.02)
    assert not freshness.is_fresh()


def test_usage_is_sent_as_changes_and_as_complete_lists():
    """A receiver's view must equal the sender's usage, also after usage ends."""
    sender, view = UsageSender(), UsageView()
    rng = random.Random(1)
    sent_us = 0

    def send(usage, now):
        nonlocal sent_us
        sent_us += 1
        organisations, complete = sender.select(usage, now)
        view.update(Heartbeat(sent_us, 0, 0, 0, False, organisations, complete))
        return organisations, complete

    usage = {f"t{i}": OrganisationUsage(f"t{i}", 5, 1) for i in range(50)}
    assert send(usage, 0.0)[1] and view.usage_by_organisation == usage
    assert send(usage, 0.5) == ((), False)
    for step in range(1, 5):
        organisation = f"t{rng.randrange(50)}"
        usage = {**usage, organisation: OrganisationUsage(organisation, step, 0)}
        usage.pop(f"t{rng.randrange(50)}", None)
        organisations, complete = send(usage, step)
        assert not complete and 0 < len(organisations) <= 2
        assert view.usage_by_organisation == usage
    all_changed = {
        organisation: OrganisationUsage(organisation, 9, 9) for organisation in usage
    }
    assert len(send(all_changed, 6.0)[0]) == MAX_CHANGED_ORGANISATIONS
    assert send(all_changed, BACKLOG_INTERVAL_S + 0.1)[1]
    assert view.usage_by_organisation == all_changed
    assert send(all_changed, 2 * BACKLOG_INTERVAL_S + 0.2) == ((), False)
    assert send(all_changed, BACKLOG_INTERVAL_S + COMPLETE_INTERVAL_S + 0.2)[1]
    view.update(Heartbeat(1, 0, 0, 0, False, (OrganisationUsage("late", 1, 1),)))
    assert "late" not in view.usage_by_organisation


def test_reserved_workers_follow_the_newest_heartbeat():
    """Workers that a peer no longer reserves must become usable again."""
    view = UsageView()
    view.update(Heartbeat(2, 0, 0, 0, reserved_workers=("w1",)))
    view.update(Heartbeat(1, 0, 0, 0, reserved_workers=("w0",)))
    assert view.reserved_workers == ("w1",)
    view.update(Heartbeat(3, 0, 0, 0))
    assert view.reserved_workers == ()


def test_new_reservation_asks_for_an_early_heartbeat():
    """Guards against peers that use capacity freed for an urgent task.

    They did so before the next regular heartbeat told them of the reservation.
    """
    mesh = PeerMesh.__new__(PeerMesh)
    mesh.reserved_workers = ()
    link = PeerLink(mesh, "peer", "address", None)
    mesh._link_by_peer = {"peer": link}
    mesh.reserve_workers(("w1",))
    assert link.send_early.is_set()
    link.send_early.clear()
    mesh.reserve_workers(("w1",))
    mesh.reserve_workers(())
    assert not link.send_early.is_set()
    assert mesh.reserved_workers == ()
