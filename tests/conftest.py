"""A small fleet of real processes: 6 workers in 3 zones, 3 entries."""

from __future__ import annotations

import signal
import socket
import time
from collections.abc import Callable

import gevent
import pytest
from demo.processes import running_fleet
from gevent.pool import Group
from gevent.server import StreamServer

from bench.fault_document import LIMIT_BY_ORGANISATION
from bench.fault_fleet import CallRecord, FaultFleet, Publication
from bench.fault_oracle import check_history
from lycheeloom.operator import Draft, Published

# Only ends a test whose condition never comes true; no verdict depends on it.
PATIENCE_S = 60.0


def wait_until(condition: Callable[[], object]) -> object:
    """Return the first true value of a condition."""
    give_up_at = time.monotonic() + PATIENCE_S
    while time.monotonic() < give_up_at:
        value = condition()
        if value:
            return value
        gevent.sleep(0.05)
    raise TimeoutError(f"never true: {condition}")


class Forwarder:
    """Forwards one entry's connections to the log until it is cut."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = host, int(port)
        self._connections = Group()
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def cut(self) -> None:
        """Refuse connections and break those that are open."""
        self._server.stop(timeout=0)
        self._connections.kill()

    def _serve(self, caller: socket.socket, _address: object) -> None:
        with caller, socket.create_connection(self._target) as log:
            pumps = [self._connections.spawn(_pump, caller, log)]
            pumps.append(self._connections.spawn(_pump, log, caller))
            gevent.joinall(pumps, count=1)
            gevent.killall(pumps)


def _pump(source: socket.socket, sink: socket.socket) -> None:
    while data := source.recv(65536):
        sink.sendall(data)


class Load:
    """Callers, spread over the open entries, that repeat a call in a block."""

    def __init__(
        self, world: FaultFleet, callers: int, call: Callable[[str], CallRecord]
    ) -> None:
        self.calls: list[CallRecord] = []
        self._world = world
        self._callers = callers
        self._call = call
        self._greenlets: list[gevent.Greenlet] = []
        self._is_over = False

    def __enter__(self) -> Load:
        self._greenlets = [gevent.spawn(self._run, n) for n in range(self._callers)]
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._is_over = True
        gevent.joinall(self._greenlets, raise_error=True)

    def wait_for_more(self, calls: int) -> None:
        """Wait until this many more calls have been answered."""
        seen = len(self.calls)
        wait_until(lambda: len(self.calls) >= seen + calls)

    def _run(self, number: int) -> None:
        while not self._is_over:
            entries = sorted(self._world.serving_entries)
            self.calls.append(self._call(entries[number % len(entries)]))
            gevent.sleep(0.02)


def publish_surely(
    world: FaultFleet, what: str, name: str, edit: Callable[[Draft], object]
) -> Publication:
    """Publish a change although answers of the log are lost."""
    wait_until(lambda: isinstance(world.publish(what, name, edit), Published))
    return world.history.publications[-1]


def hears(world, listener, name):
    """Tell whether another instance has shown an entry that it knows of its joining.

    An entry that was paused before could not be expelled by the votes of this one.
    """
    members = world.status(listener)["members"]
    return any(m["instance"] == name and m["knows_reporter"] for m in members)


def accepted(call):
    """Return a call that ran, else None."""
    return call if call.verdict == "ran" else None


def start_world(**shape: int) -> object:
    """Yield a fleet that serves."""
    with running_fleet() as fleet:
        world = FaultFleet(fleet, entries=3, **shape)
        world.start()
        wait_until(lambda: all(granted(world, name) for name in world.zone_by_entry))
        yield world


def granted(world: FaultFleet, name: str) -> bool:
    """Tell whether an entry holds running slots of every organisation."""
    status = world.status(name)
    return status is not None and all(
        organisation["grant"] > 0 for organisation in status["organisations"].values()
    )


@pytest.fixture(scope="module")
def shared_world():
    """The fleet that the tests of a module share; each leaves it healthy."""
    yield from start_world()


@pytest.fixture
def world(shared_world):
    """The shared fleet; after each test nothing that was seen breaks a rule."""
    yield shared_world
    for entry in shared_world.entry_by_name.values():
        entry.signal(signal.SIGCONT)
    shared_world.paused.clear()
    shared_world.wait_ready()
    assert_invariants(shared_world)


@pytest.fixture
def lone_world():
    """A fleet of its own for a test that ends entries."""
    for world in start_world():
        yield world
        assert_invariants(world)


def assert_invariants(world: FaultFleet) -> None:
    """Judge by the notes and the ledger of the workers."""
    assert (
        check_history(world.history, world.fleet.ledger(), LIMIT_BY_ORGANISATION) == []
    )
