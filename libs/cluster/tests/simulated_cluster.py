"""A simulated cluster of entries on an in-memory log, without sockets.

The test drives all entries in steps of 100 ms on one clock.
"""

from __future__ import annotations

import random

import gevent
from libs.log.tests.fake_log import Clock, FakeClient, FakeLog

from lycheeloom.cluster import ClusterNode, Identity, PeerConnectionError, PeerMesh
from lycheeloom.cluster.link import PeerLink
from lycheeloom.log import recover
from lycheeloom.state import FleetState

TICK_S = 0.1


class SteppedMesh(PeerMesh):
    """A mesh whose links are driven by the test instead of by greenlets."""

    def _add_link(self, peer, address):
        link = PeerLink(self, peer, address, self._connect)
        self._link_by_peer[peer] = link
        self._greenlet_by_peer[peer] = gevent.Greenlet()

    def exchange_heartbeats(self):
        self.sync_peers()
        for link in list(self._link_by_peer.values()):
            link.exchange_heartbeat()


class FakeConnection:
    def __init__(self, cluster, source, address):
        self.cluster, self.source, self.address = cluster, source, address
        self.is_silent = False

    def call(self, message, timeout_s):
        if self.is_silent or not self.cluster.reaches(self.source, self.address):
            raise PeerConnectionError("no answer in time")
        return self.cluster.node_by_name[self.address].mesh.handle(message)

    def close(self):
        pass


class Node(ClusterNode):
    def __init__(self, cluster, name):
        self.name, self.cluster = name, cluster
        self.is_paused = False
        self.connections = []
        self.client = FakeClient(cluster.log)
        super().__init__(
            Identity(name, name, "z1"),
            self.client,
            recover(self.client),
            lambda: None,
            clock=cluster.clock,
            rng=random.Random(name + str(len(cluster.log.archive))),
            connect=self._connect,
            mesh_type=SteppedMesh,
        )

    @property
    def is_fresh(self):
        return self.freshness.is_fresh()

    def _connect(self, address, timeout_s):
        if not self.cluster.reaches(self.name, address):
            raise PeerConnectionError("not connected")
        self.connections.append(FakeConnection(self.cluster, self.name, address))
        return self.connections[-1]

    def step(self, tick):
        is_cut_off = self.name in self.cluster.without_log
        self.client.read_faults.append("down" if is_cut_off else "")
        self.client.append_faults.append("down" if is_cut_off else "")
        self.freshness.tick()
        self.tail.step()
        self.writer.step()
        self.client.read_faults.clear()
        self.client.append_faults.clear()
        if tick % 5 == 0:
            self.mesh.exchange_heartbeats()
        if tick % 2 == 0:
            self.keeper.step()


class SimulatedCluster:
    """Entries by name, with a common log and clock, and the faults between them.

    Entries in ``without_log`` cannot reach the log. ``groups``, if set, are the sets
    of entries that reach each other. A node with ``is_paused`` set does not run.
    """

    def __init__(self, names):
        self.clock, self.log = Clock(), FakeLog()
        self.node_by_name = {}
        self.without_log = set()
        self.groups = None
        self.tick = 0
        self.oracle = FleetState()
        for name in names:
            self.add(name)
        self.run(2.0)

    def add(self, name):
        self.node_by_name[name] = Node(self, name)
        return self.node_by_name[name]

    def reaches(self, source, target):
        node = self.node_by_name.get(target)
        if node is None or node.is_paused:
            return False
        return self.groups is None or any(
            {source, target} <= set(group) for group in self.groups
        )

    def run(self, seconds, check=lambda: None):
        for _ in range(round(seconds / TICK_S)):
            self.clock.now += TICK_S
            self.tick += 1
            for node in list(self.node_by_name.values()):
                if not node.is_paused:
                    node.step(self.tick)
            check()

    def fresh(self):
        return {
            name
            for name, node in self.node_by_name.items()
            if not node.is_paused and node.is_fresh
        }

    def members(self):
        """Return the instances that are members after replaying the whole log."""
        state = recover(FakeClient(self.log))
        return {member.instance for member in state.members.active()}
