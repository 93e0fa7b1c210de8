"""The log and cluster components of one entry, connected to each other."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import replace

import gevent

from lycheeloom.clients import InstanceList, Unavailable
from lycheeloom.log import LogClient, LogTail, LogWriter
from lycheeloom.state import FleetState

from .framing import Connection, connect
from .freshness import Freshness
from .membership import Identity, MembershipManager, new_incarnation
from .mesh import PeerMesh


class ClusterNode:
    """The tail, writer, freshness, mesh and membership keeper of one process.

    ``state`` comes from ``lycheeloom.log.recover``. Example::

        node = ClusterNode(identity, client, state, instances.list)
        node.start("0.0.0.0", 7100)
    """

    def __init__(
        self,
        identity: Identity,
        client: LogClient,
        state: FleetState,
        list_instances: Callable[[], InstanceList | Unavailable],
        *,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
        connect: Callable[[str, float], Connection] = connect,
        mesh_type: type[PeerMesh] = PeerMesh,
        on_rejoin: Callable[[str], None] = lambda incarnation: None,
    ) -> None:
        rng = rng or random.Random()
        incarnation = new_incarnation(identity.instance, rng)
        self.tail = LogTail(client, state, clock=clock, rng=rng)
        self.writer = LogWriter(client, incarnation, self.tail, clock=clock, rng=rng)
        self.freshness = Freshness(self.tail, lambda: self.writer.author, clock=clock)
        self.mesh = mesh_type(
            incarnation,
            self.tail,
            self.freshness,
            clock=clock,
            connect=connect,
        )
        self.keeper = MembershipManager(
            identity,
            self.writer,
            self.tail,
            self.mesh,
            self.freshness,
            list_instances,
            clock=clock,
            rng=rng,
            on_rejoin=on_rejoin,
        )
        self._greenlets: list[gevent.Greenlet] = []

    def start(self, host: str, port: int) -> None:
        """Listen and start all greenlets.

        With port 0 the system chooses a port, and the identity's address is replaced
        by ``host`` and that port.
        """
        listening_port = self.mesh.start(host, port)
        if port == 0:
            address = f"{host}:{listening_port}"
            self.keeper.identity = replace(self.keeper.identity, address=address)
        self.tail.start()
        self.writer.start()
        loops = (self.freshness.run, self.keeper.run, self.keeper.poll_instance_list)
        self._greenlets = [gevent.spawn(loop) for loop in loops]

    def stop(self) -> None:
        """Stop all greenlets and close all connections."""
        gevent.killall(self._greenlets)
        self.writer.stop()
        self.tail.stop()
        self.mesh.stop()
