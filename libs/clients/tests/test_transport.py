"""HTTP calls: timeouts, reuse of connections and malformed responses."""

import subprocess
import sys

import gevent
import pytest
from gevent.server import StreamServer

from lycheeloom.clients import (
    AppendUnknown,
    InstanceClient,
    LogClient,
    StartUnknown,
    TaskReport,
    Unavailable,
    WorkerClient,
)
from lycheeloom.clients import (
    transport as transport_module,
)
from lycheeloom.clients.transport import CallFailed, Response, Transport
from lycheeloom.standins import PlatformStandIns, StandIn, WorkerStandIn
from lycheeloom.standins.server import Reply

# Timeout of calls that must get a response, however busy the machine is.
LONG_S = 60.0
# Timeout of calls that must get no response.
SHORT_S = 0.1


def call(transport, standin, timeout_s=LONG_S):
    return transport.call(standin.address, "GET", "/v1/faults", timeout_s=timeout_s)


def test_recently_used_connection_is_reused(transport, worker):
    for _ in range(3):
        assert isinstance(call(transport, worker), Response)
    assert worker.connections_opened == 1


def test_idle_connection_is_replaced(transport, worker, monkeypatch):
    """A connection that has been idle for 10 s may have stopped responding."""
    call(transport, worker)
    # A negative limit, as the test cannot wait for 10 s.
    monkeypatch.setattr(transport_module, "MAX_IDLE_S", -1.0)
    call(transport, worker)
    assert worker.connections_opened == 2


def test_silent_connection_is_not_reused(transport, worker):
    """Guards against a second call on a connection that has timed out."""
    call(transport, worker)
    worker.set_faults(silent=True)
    assert call(transport, worker, SHORT_S) == CallFailed(True, "no answer in time")
    assert isinstance(call(transport, worker), Response)
    assert worker.connections_opened == 2


def test_one_timeout_is_enough_to_find_silent_connections(transport, worker):
    """Guards against a timeout on each idle connection in turn.

    A repeated order would arrive later by the sum of these timeouts.
    """
    calls = [gevent.spawn(call, transport, worker) for _ in range(3)]
    gevent.joinall(calls)
    assert worker.connections_opened == 3
    worker.set_faults(silent=True)
    assert call(transport, worker, SHORT_S) == CallFailed(True, "no answer in time")
    assert isinstance(call(transport, worker), Response)


def test_timeout_keeps_connections_that_have_been_used_meanwhile(transport, worker):
    """Guards against new connections to a server that is slow for some requests."""
    worker.set_faults(slow_ms=60_000)
    slow_call = gevent.spawn(
        transport.call, worker.address, "GET", "/v1/tasks", timeout_s=SHORT_S
    )
    gevent.sleep(0)
    # The path of the faults answers without delay.
    first = call(transport, worker)
    assert slow_call.get() == CallFailed(True, "no answer in time")
    assert call(transport, worker).connection_id == first.connection_id


def test_connection_closed_by_the_server_is_replaced(worker, worker_client, make_start):
    """Guards against a start with an unknown outcome after a worker has restarted."""
    assert isinstance(
        worker_client.start(worker.address, make_start(), timeout_s=LONG_S), TaskReport
    )
    worker.set_faults(down=True)
    worker.set_faults(down=False)
    start = make_start("r2.1")
    report = worker_client.start(worker.address, start, timeout_s=LONG_S)
    assert isinstance(report, TaskReport)
    assert len(worker.ledger) == 2


def test_refused_connection_proves_that_nothing_was_sent(transport, worker):
    call(transport, worker)
    worker.set_faults(down=True)
    assert call(transport, worker) == CallFailed(
        False, "not connected: connection refused"
    )


def test_reason_of_a_lost_response_is_readable(transport, worker):
    """Operators read the reason, so it must not be the name of an exception class."""
    worker.set_faults(lose_answers=1)
    answer = transport.call(worker.address, "GET", "/v1/usage", timeout_s=LONG_S)
    assert answer == CallFailed(True, "connection closed without an answer")


def test_unanswered_connection_attempt_sent_nothing():
    """A call must end even if the server's full accept queue drops its connection."""
    listener = gevent.socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    address = listener.getsockname()
    # These connections fill the accept queue.
    queued = [gevent.socket.socket() for _ in range(4)]
    for sock in queued:
        sock.setblocking(False)
        sock.connect_ex(address)
    result = Transport(connect_timeout_s=SHORT_S).call(
        f"{address[0]}:{address[1]}", "GET", "/", timeout_s=LONG_S
    )
    assert result == CallFailed(False, "not connected: no answer in time")
    for sock in [*queued, listener]:
        sock.close()


def test_call_over_a_given_connection_goes_over_no_other(transport, worker):
    """Guards against a request that reaches another process than the earlier one."""
    first = call(transport, worker)
    over_first = {"timeout_s": LONG_S, "connection_id": first.connection_id}
    result = transport.call("127.0.0.1:9", "GET", "/v1/faults", **over_first)
    assert result == CallFailed(False, "connection not open any more")
    arguments = (worker.address, "GET", "/v1/faults")
    again = transport.call(*arguments, **over_first)
    assert again.connection_id == first.connection_id
    worker.set_faults(down=True)
    worker.set_faults(down=False)
    result = transport.call(*arguments, **over_first)
    assert result == CallFailed(False, "connection not open any more")
    assert call(transport, worker).connection_id != first.connection_id


def test_close_idle_forgets_unused_addresses(transport, worker):
    """Addresses of replaced workers must not accumulate."""
    stack_by_address = transport._idle_connections._stack_by_address
    call(transport, worker)
    transport.close_idle(LONG_S)
    assert list(stack_by_address) == [worker.address]
    transport.close_idle(0.0)
    assert stack_by_address == {}
    assert len(transport._idle_connections) == 0


@pytest.fixture
def workers():
    with PlatformStandIns(
        workers=[WorkerStandIn(f"w{number}") for number in range(4)]
    ) as platform:
        yield platform.workers


def test_connections_to_all_addresses_stay_within_one_limit(workers):
    """Guards against a process that runs out of descriptors beside many workers."""
    transport = Transport(connect_timeout_s=LONG_S, max_open_connections=2)
    for worker in workers:
        assert isinstance(call(transport, worker), Response)
        assert len(transport._idle_connections) <= 2
    # The connections that were used last are kept.
    for worker in reversed(workers):
        assert isinstance(call(transport, worker), Response)
    assert [worker.connections_opened for worker in workers] == [2, 2, 1, 1]


def test_calls_in_progress_count_towards_the_limit(workers):
    """Guards against idle connections that leave no descriptors for further calls."""
    transport = Transport(connect_timeout_s=LONG_S, max_open_connections=2)
    slow, *others = workers
    slow.set_faults(slow_ms=60_000)
    # The path of the faults answers without delay.
    arguments = (slow.address, "GET", "/v1/tasks")
    calls = [
        gevent.spawn(transport.call, *arguments, timeout_s=LONG_S) for _ in range(2)
    ]
    gevent.sleep(0)
    for worker in others:
        assert isinstance(call(transport, worker), Response)
        assert len(transport._idle_connections) == 0
    gevent.killall(calls)
    assert isinstance(call(transport, others[0]), Response)
    assert len(transport._idle_connections) == 1


def send_endless_response(sock, _address):
    """Send a response that never ends, one byte at a time."""
    sock.sendall(b"HTTP/1.1 200 OK\r\nX: ")
    try:
        while True:
            sock.sendall(b"x")
            gevent.sleep(0.005)
    except OSError:
        sock.close()


def send_truncated_response(sock, _address):
    sock.recv(1)
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}")
    sock.close()


def close_properly_after_half_a_response(sock, _address):
    """Read the whole request, so that closing does not reset the connection."""
    sock.recv(65_536)
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}")
    sock.close()


def send_garbage(sock, _address):
    sock.recv(1)
    sock.sendall(b"\x00\x01\x02\r\n\r\n")
    sock.close()


@pytest.mark.parametrize(
    "handler",
    [
        send_endless_response,
        send_truncated_response,
        close_properly_after_half_a_response,
        send_garbage,
    ],
)
def test_broken_response_ends_the_call(handler, transport):
    """Guards against a timeout that starts anew with each read.

    Such a timeout would never expire while a response arrives byte by byte.
    """
    server = StreamServer(("127.0.0.1", 0), handler)
    server.start()
    address = f"127.0.0.1:{server.server_port}"
    # Only the endless response has to run into the timeout.
    timeout_s = 1.0 if handler is send_endless_response else LONG_S
    result = transport.call(address, "GET", "/", timeout_s=timeout_s)
    assert isinstance(result, CallFailed)
    assert result.sent
    server.stop()


# Makes one call without gevent's monkey patching.
UNPATCHED_CALL = """
import sys
from lycheeloom.clients.transport import Transport
print(Transport().call(sys.argv[1], "GET", "/", timeout_s=0.1))
"""


def test_call_ends_without_monkey_patching():
    """Guards against a call without time limit in the operator's command.

    The command runs without monkey patching, so gevent.Timeout never fires there.
    """
    listener = gevent.socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(1)
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    command = [sys.executable, "-c", UNPATCHED_CALL, address]
    output = subprocess.run(command, capture_output=True, text=True).stdout
    assert "CallFailed" in output
    listener.close()


def test_oversized_response_is_not_read(transport, worker, monkeypatch):
    monkeypatch.setattr(transport_module, "MAX_RESPONSE_BYTES", 10)
    assert call(transport, worker) == CallFailed(True, "answer too large")
    monkeypatch.undo()
    assert isinstance(call(transport, worker), Response)


class FixedResponseStandIn(StandIn):
    """Responds to every request with the same document."""

    document: object = None

    def handle(self, request):
        return Reply(200, self.document)


@pytest.mark.parametrize(
    "document",
    [
        None,
        [],
        {},
        {"offset": "x", "batches": 3, "instances": 4, "task": 5, "action": 6},
        {"task": "other.1", "status": "done", "boot_id": "b", "free": {}},
        {"task": "other.1", "status": "new", "boot_id": "b", "free": None},
        {
            "task": "other.1",
            "status": "done",
            "boot_id": "b",
            "free": {"cores": 1, "memory_mb": 1, "accelerators": 0},
            "answer": "",
        },
    ],
    ids=str,
)
def test_malformed_response_is_no_result(document, transport, make_start):
    """Guards against exceptions and against using the answer of another task."""
    standin = FixedResponseStandIn("malformed").start()
    standin.document = document
    log = LogClient(standin.address, transport, append_timeout_s=LONG_S)
    worker_client = WorkerClient(transport)
    instances = InstanceClient(standin.address, transport)
    start = worker_client.start(standin.address, make_start(), timeout_s=LONG_S)
    assert isinstance(start, StartUnknown)
    assert isinstance(log.append(b"x"), AppendUnknown)
    unavailable = [
        log.read(0),
        worker_client.status(standin.address, "r1.1"),
        worker_client.open_session(standin.address, "e", 1.0),
        worker_client.usage(standin.address),
        instances.list(),
        instances.drain("w1", "a"),
    ]
    assert {type(result) for result in unavailable} == {Unavailable}
    standin.stop()


def test_permission_is_asked_for_when_the_connection_stands(transport, worker):
    """A permission may run out while a process waits for a connection.

    Nothing must be sent then, and the call must say so.
    """
    connections_when_asked = []

    def refuse() -> bool:
        gevent.sleep(SHORT_S)
        connections_when_asked.append(worker.connections_opened)
        return False

    result = transport.call(
        worker.address, "GET", "/v1/faults", timeout_s=LONG_S, may_send=refuse
    )
    assert result == CallFailed(False, "no longer permitted")
    assert connections_when_asked == [1]
    allowed = transport.call(
        worker.address, "GET", "/v1/faults", timeout_s=LONG_S, may_send=lambda: True
    )
    assert isinstance(allowed, Response)
