"""Stand-ins for the platform, and a small deployment of the project's own program.

Written from the users' pages. Everything listens on loopback addresses. One process
holds the stand-ins for the store, the workers and the machine service, and the clients;
each instance of the system is a process of its own, started with the ``run`` line of
the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import resource
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
_LENGTH = struct.Struct(">I")
_HEADER = struct.Struct(">QQ")
# Bounds of the small deployments, from the users' pages.
STOP_S = 0.2
CANCEL_S = 3.0
CONTACT_S = 3.0
FINISH_S = 14.0
MIGRATION_S = 1.5
MAINTENANCE_S = 2.0
MAX_HOLD_MS = 10_000
MAX_WAIT_MS = 2_000
MAX_LISTED_ENDS = 500
MAX_PAGE_ITEMS = 500
READY_TIMEOUT_S = 30.0
STANDBY_POOL = "off"
POOL_BY_QUEUE = {"sheet": "desk", "archive": "other-desk"}
POOLS = tuple(POOL_BY_QUEUE.values())
# Of each process, from the sheets of the small deployments.
DESCRIPTORS = 4_100
# Those of them that are for files.
RESERVED_DESCRIPTORS = 200
HOST = "queues.example"
KEY = "key-of-red"


@dataclass
class Connection:
    """One accepted connection; a silent one is read and never answered again."""

    writer: asyncio.StreamWriter
    is_silent: bool = False


@dataclass(frozen=True)
class Call:
    """One request that a stand-in has received."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    connection: Connection

    @property
    def document(self) -> dict:
        """The JSON body."""
        return json.loads(self.body or b"{}")


@dataclass(frozen=True)
class Reply:
    """An answer; None in its place means that the call is never answered."""

    status: int = 200
    body: bytes = b""


def json_reply(document: dict, status: int = 200) -> Reply:
    """Return an answer with a JSON body."""
    return Reply(status, json.dumps(document).encode())


class Server:
    """An HTTP/1.1 server on a free loopback port."""

    def __init__(self, handle: Callable[[Call], Awaitable[Reply | None]]) -> None:
        self._handle = handle
        self.connections: list[Connection] = []
        self.address = ""

    async def start(self) -> None:
        """Listen; sets ``address``."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self._server = server

    def close(self) -> None:
        """Stop listening and close all connections, as a process that ends."""
        self._server.close()
        for connection in self.connections:
            connection.writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(writer)
        self.connections.append(connection)
        try:
            while (call := await self._receive(reader, connection)) is not None:
                if connection.is_silent:
                    continue
                reply = await self._handle(call)
                if reply is None:
                    connection.is_silent = True
                if connection.is_silent:
                    continue
                writer.write(
                    f"HTTP/1.1 {reply.status} X\r\nContent-Length: "
                    f"{len(reply.body)}\r\n\r\n".encode()
                    + reply.body
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self.connections.remove(connection)
            writer.close()

    @staticmethod
    async def _receive(
        reader: asyncio.StreamReader, connection: Connection
    ) -> Call | None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        except asyncio.IncompleteReadError:
            return None
        first, *lines = head.strip().split("\r\n")
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines)
        }
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        method, target, _ = first.split(" ")
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        return Call(method, parts.path, query, headers, body, connection)


@dataclass
class _Partition:
    records: list[bytes] = field(default_factory=list)
    epoch: int = -1
    next_sequence: int = 0
    reply_by_sequence: dict[int, dict] = field(default_factory=dict)
    grown: asyncio.Event = field(default_factory=asyncio.Event)


class Store:
    """The platform's store: topics of partitions, keyed topics among them.

    ``lose(call, partition)`` is asked for each append, which is carried out, whether
    its answer is lost.
    """

    def __init__(self) -> None:
        self.server = Server(self._handle)
        self.lose: Callable[[Call, str], bool] = lambda call, outcome: False
        self._partition_by_name: dict[tuple[str, int], _Partition] = {}

    def partition(self, topic: str, number: int = 0) -> _Partition:
        """Return a partition, created on first use."""
        return self._partition_by_name.setdefault((topic, number), _Partition())

    def put(self, topic: str, key: str, document: dict | None) -> None:
        """Write a keyed record, as the operator or a worker does; None removes it."""
        value = b"" if document is None else json.dumps(document).encode()
        content = bytes([len(key)]) + key.encode() + value
        self._append_records(self.partition(topic), [content])

    def newest(self, topic: str, number: int = 0) -> dict[str, tuple[int, bytes]]:
        """Return offset and value of the newest record of each key."""
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(self.partition(topic, number).records):
            key = record[1 : 1 + record[0]].decode()
            newest[key] = (offset, record[1 + record[0] :])
        return {key: item for key, item in newest.items() if item[1]}

    @staticmethod
    def _append_records(partition: _Partition, records: list[bytes]) -> dict:
        offset = len(partition.records)
        partition.records += records
        partition.grown.set()
        partition.grown = asyncio.Event()
        return {"offset": offset, "end": len(partition.records)}

    async def _handle(self, call: Call) -> Reply | None:
        if "topic" not in call.query:
            return Reply(404)
        partition = self.partition(call.query["topic"], int(call.query["part"]))
        match call.path:
            case "/v1/log-append":
                # The time of one append, from the settings.
                await asyncio.sleep(0.003)
                reply, outcome = self._append(call, partition)
                return None if self.lose(call, outcome) else reply
            case "/v1/log-read":
                return await self._read(call, partition)
            case "/v1/log-newest":
                return self._newest(call)
        return Reply(404)

    def _append(self, call: Call, partition: _Partition) -> tuple[Reply, str]:
        """Carry out an append; return its answer and what happened."""
        query = call.query
        if "at" in query and int(query["at"]) != len(partition.records):
            return json_reply({"end": len(partition.records)}, 412), "condition"
        if "epoch" not in query:
            document = self._append_records(partition, _split(call.body))
            return json_reply(document), "appended"
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        if epoch < partition.epoch:
            return json_reply({"reason": "fenced"}, 409), "fenced"
        if epoch > partition.epoch:
            partition.epoch, partition.next_sequence = epoch, sequence
            partition.reply_by_sequence.clear()
        if sequence in list(partition.reply_by_sequence)[-5:]:
            return json_reply(partition.reply_by_sequence[sequence]), "repeated"
        if sequence != partition.next_sequence:
            document = {"reason": "seq", "sequence": partition.next_sequence}
            return json_reply(document, 409), "sequence"
        partition.next_sequence += 1
        document = self._append_records(partition, _split(call.body))
        partition.reply_by_sequence[sequence] = document
        return json_reply(document), "appended"

    async def _read(self, call: Call, partition: _Partition) -> Reply:
        start = int(call.query["from"])
        until_s = time.monotonic() + int(call.query.get("wait_ms", 0)) / 1000
        while len(partition.records) <= start:
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(partition.grown.wait(), left_s)
            except TimeoutError:
                break
        body = _HEADER.pack(len(partition.records), 0)
        for record in partition.records[start:]:
            body += _LENGTH.pack(len(record)) + record
        return Reply(200, body)

    def _newest(self, call: Call) -> Reply:
        topic, number = call.query["topic"], int(call.query["part"])
        newest = self.newest(topic, number)
        keys = sorted(key for key in newest if key > call.query.get("after", ""))
        items = [
            {
                "key": key,
                "offset": newest[key][0],
                "value": base64.b64encode(newest[key][1]).decode(),
            }
            for key in keys[:MAX_PAGE_ITEMS]
        ]
        end = len(self.partition(topic, number).records)
        has_more = len(keys) > MAX_PAGE_ITEMS
        return json_reply({"items": items, "has_more": has_more, "end": end})


def _split(body: bytes) -> list[bytes]:
    records, position = [], 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        records.append(body[position : position + length])
        position += length
    return records


@dataclass
class Run:
    """A run on a worker, or one that has ended there."""

    task: str
    run: int
    token: int
    worker_id: str
    began_s: float
    duration_s: float
    cpu: int
    is_lasting: bool
    ended_s: float | None = None
    how: str = ""


class Worker:
    """A worker that guards its capacity and runs tasks under its lease.

    How long a task runs and what it needs is in the specification of its job, as the
    real work would be: ``{"run_s": 1.0, "cpu": 1000, "lasts": false}``.
    ``hold_back(worker, call)`` is asked for each call; a held call gets no answer and
    is carried out that many seconds later.
    """

    def __init__(
        self, worker_id: str, pool: str, rack: str, zone: str, record: Record
    ) -> None:
        self.worker_id = worker_id
        self.pool = pool
        self.rack = rack
        self.zone = zone
        self.cpu = 16_000
        self.born_ms = int(time.time() * 1000)
        self.server = Server(self._receive)
        self.hold_back: Callable[[Worker, Call], float | None] = lambda w, call: None
        self.runs: list[Run] = []
        self.has_left = False
        self.arrived_s = time.monotonic()
        # How long the worker takes to begin a task.
        self.start_delay_s = 0.0
        self._record = record
        self._run_by_task: dict[str, Run] = {}
        self._barred_run_by_task: dict[str, int] = {}
        self._ended: list[list] = []
        self._end_count = 0
        self._token = 0
        self._lease_ms = 0.0
        self._has_ended = asyncio.Event()
        self._sequence = 0

    def clock_ms(self) -> int:
        """Return the worker's steady clock."""
        return int(time.monotonic() * 1000) - 1_000

    def report(self) -> dict:
        """Return the entry of this worker in the store."""
        self._sequence += 1
        return {
            "service": self.pool,
            "address": self.server.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self.born_ms,
            "capacity": {"cpu": self.cpu, "requested_memory_mb": 65_536, "gpus": 0},
            "labels": ["a", self.rack],
        }

    def running(self) -> list[Run]:
        """Return the runs at work now."""
        return list(self._run_by_task.values())

    def leave(self) -> None:
        """End with all runs, as when the machine is moved."""
        for run in self.running():
            self._end(run, "terminated")
        self.has_left = True
        self.server.close()

    async def follow_time(self) -> None:
        """End runs that are done, and all of them when the lease expires."""
        while not self.has_left:
            await asyncio.sleep(0.005)
            now_s = time.monotonic()
            for run in self.running():
                if not run.is_lasting and now_s - run.began_s >= run.duration_s:
                    self._end(run, "done")
            if self._run_by_task and self.clock_ms() > self._lease_ms:
                for run in self.running():
                    self._end(run, "lapsed")

    async def _receive(self, call: Call) -> Reply | None:
        late_s = self.hold_back(self, call)
        if late_s is None:
            return await self._handle(call)

        async def carry_out_late() -> None:
            await asyncio.sleep(late_s)
            await self._handle(call)

        keep(asyncio.create_task(carry_out_late()))
        return None

    async def _handle(self, call: Call) -> Reply:
        if call.headers.get("expected-instance") != self.worker_id:
            return json_reply({"clock_ms": self.clock_ms()}, 421)
        body = call.document
        if body.get("fencing_token", 0) < self._token:
            return self._refuse("fence")
        self._token = body.get("fencing_token", 0)
        match call.path:
            case "/v1/run-start":
                await asyncio.sleep(self.start_delay_s)
                return self._start(body)
            case "/v1/run-stop":
                return await self._stop(body)
            case "/v1/hold":
                return await self._hold(body)
            case "/v1/pace":
                return self._answer()
        return Reply(404)

    def _start(self, body: dict) -> Reply:
        task, run = body["task"], body["run"]
        self._extend_lease(body["deadline_ms"])
        current = self._run_by_task.get(task)
        if current is not None and current.run == run:
            return self._answer()
        if run <= self._barred_run_by_task.get(task, 0):
            return self._refuse("old")
        if body["deadline_ms"] < self.clock_ms():
            return self._refuse("late")
        work = json.loads(body["specification"])
        used = sum(item.cpu for item in self.running())
        if current is not None or used + work["cpu"] > self.cpu:
            return self._refuse("room")
        started = Run(
            task,
            run,
            body["fencing_token"],
            self.worker_id,
            time.monotonic(),
            work["run_s"],
            work["cpu"],
            work.get("lasts", False),
        )
        self._run_by_task[task] = started
        self.runs.append(started)
        self._record.write(
            f"worker {self.worker_id} starts {task} run {run} by token {started.token}"
        )
        return self._answer()

    async def _stop(self, body: dict) -> Reply:
        task, run = body["task"], body["run"]
        barred = self._barred_run_by_task.get(task, 0)
        self._barred_run_by_task[task] = max(run, barred)
        current = self._run_by_task.get(task)
        if current is not None and current.run <= run:
            self._end(current, "stopped")
        return self._answer()

    async def _hold(self, body: dict) -> Reply:
        if "deadline_ms" in body:
            self._extend_lease(body["deadline_ms"])
        self._ended = [row for row in self._ended if row[0] > body["last_seen"]]
        wait_ms = min(body.get("wait_ms", 0), MAX_WAIT_MS)
        if wait_ms and not self._ended:
            self._has_ended.clear()
            try:
                await asyncio.wait_for(self._has_ended.wait(), wait_ms / 1000)
            except TimeoutError:
                pass
        now_s = time.monotonic()
        running = [
            [
                run.task,
                run.run,
                "",
                100
                if run.is_lasting
                else int(100 * (now_s - run.began_s) / run.duration_s),
                run.cpu,
            ]
            for run in self.running()
        ]
        return self._answer(running=running, ended=self._ended[:MAX_LISTED_ENDS])

    def _extend_lease(self, deadline_ms: int) -> None:
        longest_ms = self.clock_ms() + MAX_HOLD_MS
        self._lease_ms = max(self._lease_ms, min(deadline_ms, longest_ms))

    def _end(self, run: Run, how: str) -> None:
        del self._run_by_task[run.task]
        run.ended_s, run.how = time.monotonic(), how
        barred = self._barred_run_by_task.get(run.task, 0)
        self._barred_run_by_task[run.task] = max(run.run, barred)
        self._end_count += 1
        self._ended.append([self._end_count, run.task, run.run, how, ""])
        self._has_ended.set()
        self._record.write(
            f"worker {self.worker_id} ends {run.task} run {run.run}: {how}"
        )

    def _refuse(self, reason: str) -> Reply:
        self._record.write(f"worker {self.worker_id} refuses an order: {reason}")
        return json_reply(
            {"clock_ms": self.clock_ms(), "born": self.born_ms, "reason": reason}, 409
        )

    def _answer(self, **fields: object) -> Reply:
        return json_reply({"clock_ms": self.clock_ms(), "born": self.born_ms, **fields})


class Machines:
    """The machine service; each worker has one machine, and all are up.

    No order is expected in these cases, and each one is refused as busy.
    """

    def __init__(self, workers: list[Worker], record: Record) -> None:
        self.server = Server(self._handle)
        self._workers = workers
        self._record = record

    async def _handle(self, call: Call) -> Reply:
        if call.method != "GET":
            self._record.write(f"machine order refused: {call.path} {call.body!r}")
            return json_reply({"reason": "busy"}, 409)
        rows = [
            {
                "machine": f"m-{worker.worker_id}",
                "pool": worker.pool,
                "state": "up",
                "zone": worker.zone,
                "labels": ["a", worker.rack],
                "id": worker.worker_id,
            }
            for worker in self._workers
        ]
        return json_reply({"machines": rows, "next_page_token": ""})


@dataclass
class Machine:
    """A machine and its present worker; a pool that is switched off has no worker."""

    name: str
    zone: str
    rack: str
    pool: str
    state: str = "up"
    worker: Worker | None = None
    token: int = 0


class MovingMachines:
    """A machine service that moves machines between pools.

    ``start_worker(machine)`` starts the new worker of a machine that has moved to a
    pool that is not switched off, and ``on_left(worker)`` is called for the former one.
    """

    def __init__(
        self,
        machines: list[Machine],
        standby_pool: str,
        start_worker: Callable[[Machine], Awaitable[Worker]],
        on_left: Callable[[Worker], None],
        record: Record,
    ) -> None:
        self._record = record
        # Asked for each order; a held one is carried out that many seconds later.
        self.hold_back: Callable[[Call], float | None] = lambda call: None
        # When the upkeep of each machine began, by wave and machine.
        self.upkeeps_by_wave: dict[int, dict[str, float]] = {}
        self.server = Server(self._handle)
        self.machine_by_name = {machine.name: machine for machine in machines}
        self.moves = 0
        # Refuse all moves.
        self.is_busy = False
        self._standby_pool = standby_pool
        self._start_worker = start_worker
        self._on_left = on_left

    async def _handle(self, call: Call) -> Reply | None:
        if call.method == "GET":
            rows = [
                {
                    "machine": machine.name,
                    "pool": machine.pool,
                    "state": machine.state,
                    "zone": machine.zone,
                    "labels": ["a", machine.rack],
                    "id": machine.worker.worker_id if machine.worker else "",
                }
                for machine in self.machine_by_name.values()
            ]
            return json_reply({"machines": rows, "next_page_token": ""})
        late_s = self.hold_back(call)
        if late_s is None:
            return self._carry_out(call)

        async def carry_out_late() -> None:
            await asyncio.sleep(late_s)
            reply = self._carry_out(call)
            self._record.write(
                f"{call.path} {call.body.decode()} is carried out late: {reply.status} "
                f"{reply.body.decode()}"
            )

        keep(asyncio.create_task(carry_out_late()))
        return None

    def _carry_out(self, call: Call) -> Reply:
        body = call.document
        machine = self.machine_by_name.get(body["machine"])
        if machine is None:
            return Reply(400)
        token = int(call.headers["fencing-token"])
        if token < machine.token:
            return json_reply({"reason": "fence"}, 409)
        machine.token = token
        if call.path == "/v1/machine-upkeep":
            return self._maintain(machine, body["wave"])
        if machine.pool == body["pool"]:
            return json_reply({})
        if machine.state != "up" or self.is_busy:
            return json_reply({"reason": "busy"}, 409)
        machine.pool, machine.state = body["pool"], "moving"
        self.moves += 1
        self._take_away(machine, MIGRATION_S)
        return json_reply({})

    def _maintain(self, machine: Machine, wave: int) -> Reply:
        if machine.name in self.upkeeps_by_wave.get(wave, {}):
            return json_reply({})
        if machine.state != "up":
            return json_reply({"reason": "busy"}, 409)
        began_s = time.monotonic()
        self.upkeeps_by_wave.setdefault(wave, {})[machine.name] = began_s
        machine.state = "upkeep"
        self._record.write(f"upkeep of {machine.name} for wave {wave} begins")
        self._take_away(machine, MAINTENANCE_S)
        return json_reply({})

    def _take_away(self, machine: Machine, duration_s: float) -> None:
        worker, machine.worker = machine.worker, None
        if worker is not None:
            worker.leave()
            self._on_left(worker)
        keep(asyncio.create_task(self._arrive(machine, duration_s)))

    async def _arrive(self, machine: Machine, duration_s: float) -> None:
        await asyncio.sleep(duration_s)
        if machine.pool != self._standby_pool:
            machine.worker = await self._start_worker(machine)
        machine.state = "up"


class Record:
    """What was sent, answered and run, with seconds from the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self.began_s = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{time.monotonic() - self.began_s:8.3f} {text}\n")
        self._file.flush()


_tasks: set[asyncio.Task] = set()


def keep(task: asyncio.Task) -> None:
    """Keep a reference to a background task until it has ended."""
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)


class Deployment:
    """Stand-ins, and ``node_count`` processes of the system in one zone each."""

    def __init__(
        self,
        record: Record,
        node_count: int,
        racks: list[str],
        machine_count: int = 0,
        *,
        can_move: bool = True,
    ) -> None:
        """Prepare the deployment.

        ``machine_count`` machines begin in a pool that is switched off, or all but one
        in the first pool if they cannot move. Without any, each of the workers named by
        ``racks`` has a machine that never moves.
        """
        self.record = record
        self.store = Store()
        self.workers = [
            Worker(f"i-{number:010x}", "desk", rack, f"zone-{number % 3}", record)
            for number, rack in enumerate(racks, 1)
        ]
        self.machines: Machines | MovingMachines = Machines(self.workers, record)
        self._can_move = can_move
        if machine_count:
            self.machines = MovingMachines(
                [
                    Machine(f"m-{n:05x}", f"zone-{n % 3}", f"r-{n // 4}", STANDBY_POOL)
                    for n in range(machine_count)
                ],
                STANDBY_POOL,
                self._start_worker,
                lambda worker: self.store.put("keyed.servers", worker.worker_id, None),
                record,
            )
        self.start_delay_s = 0.0
        # Lines of the settings file besides the usual ones, and terms of the advice on
        # the first queue.
        self.more_settings: list[str] = []
        self.advice_terms: dict | None = None
        self._node_count = node_count
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: list[asyncio.subprocess.Process] = []
        self.frontends: list[str] = []

    async def start(self) -> None:
        """Start everything and wait until all processes are ready and one leads."""
        for server in (
            self.store.server,
            self.machines.server,
            *(worker.server for worker in self.workers),
        ):
            await server.start()
        self.store.put("keyed.op", "config", config(self.advice_terms))
        for worker in self.workers:
            keep(asyncio.create_task(worker.follow_time()))
            keep(asyncio.create_task(self._report(worker)))
        if isinstance(self.machines, MovingMachines):
            # One machine is in each pool from the beginning.
            machines = self.machines.machine_by_name.values()
            pools = list(POOLS)
            if not self._can_move:
                self.machines.is_busy = True
                pools += [POOLS[0]] * (len(machines) - len(pools))
            for pool, machine in zip(pools, machines, strict=False):
                machine.pool = pool
                machine.worker = await self._start_worker(machine)
        readiness = []
        for number in range(self._node_count):
            readiness.append(await self._start_node(number))
        until_s = time.monotonic() + READY_TIMEOUT_S
        for address in readiness:
            while True:
                reply = await request(address, "GET", "/v1/readiness", timeout_s=2.0)
                if reply is not None and reply[0] == 200:
                    break
                if time.monotonic() > until_s:
                    raise CannotRunError("a process did not become ready")
                await asyncio.sleep(0.1)
        self.record.write("all processes are ready")

    async def _start_worker(self, machine: Machine) -> Worker:
        number = len(self.workers) + 1
        worker = Worker(
            f"i-{number:010x}", machine.pool, machine.rack, machine.zone, self.record
        )
        worker.start_delay_s = self.start_delay_s
        await worker.server.start()
        self.workers.append(worker)
        keep(asyncio.create_task(worker.follow_time()))
        keep(asyncio.create_task(self._report(worker)))
        return worker

    async def _report(self, worker: Worker) -> None:
        while not worker.has_left:
            self.store.put("keyed.servers", worker.worker_id, worker.report())
            await asyncio.sleep(1.5)

    async def _start_node(self, number: int) -> str:
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]
        ports = free_ports(6)
        name = f"frontend-zone-{number}-1"
        settings = "\n".join(
            [
                f"node_name={name}",
                "role=node",
                "machine_class=frontend",
                "serves=frontend",
                "ip=127.0.0.1",
                f"zone=zone-{number}",
                "region=region",
                f"listen.frontend=127.0.0.1:{ports[0]}",
                f"listen.readiness=127.0.0.1:{ports[1]}",
                f"internal_ports={ports[2]},{ports[5]}",
                "bootstrap=true",
                "limits.cpu_share=0.537",
                "limits.cores=2",
                "limits.memory_mb=300",
                f"limits.file_descriptors={DESCRIPTORS}",
                "heartbeat_ms=1500",
                "contracts=base,drain,config,cost,recover,sched,tenants,quota,places,"
                "platform,upkeep,sharing",
                "tolerance.machines=2",
                "tolerance.zones=1",
                "bounds.contact_ms=3000",
                "bounds.ack_ms=4000",
                "bounds.grace_s=6",
                "bounds.hold_max_ms=10000",
                "bounds.stop_ms=200",
                "bounds.cancel_ms=3000",
                "bounds.visible_ms=3000",
                "bounds.early_ms=250",
                "bounds.status_s=120",
                "bounds.notice_ms=4500",
                "bounds.migration_s=1.5",
                "bounds.maintenance_s=2",
                "bounds.require_fencing=true",
                "bounds.lease_ms=3000",
                "orders=call",
                f"platform.address={self.store.server.address}",
                "platform.form=log",
                "platform.writes_per_s=600",
                "platform.reads_per_s=2000",
                "platform.parts=16",
                "platform.append_ms=3.0",
                "platform.record_bytes=262144",
                "platform.request_bytes=2097152",
                "platform.keep_s=300",
                f"cloud.address={self.machines.server.address}",
                "cloud.rate_per_s=64.0",
                "cloud.duty_per_s=64.0",
                *self.more_settings,
            ]
        )
        path = self._folder / f"{name}.conf"
        path.write_text(settings + "\n")
        words = role["run"].split(" ")
        program = sys.executable if words[0] == "python3" else words[0]
        log = (self._folder / f"{name}.log").open("wb")

        def limit_descriptors() -> None:
            limit = DESCRIPTORS - RESERVED_DESCRIPTORS
            resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

        process = await asyncio.create_subprocess_exec(
            program,
            *words[1:],
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": str(self._folder),
                "LANG": "C.UTF-8",
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "LYCHEELOOM_BOOT": str(path),
            },
            stdout=log,
            stderr=log,
            preexec_fn=limit_descriptors,
        )
        self.processes.append(process)
        self.frontends.append(f"127.0.0.1:{ports[0]}")
        return f"127.0.0.1:{ports[1]}"

    def log_of(self, number: int) -> str:
        """Return what a process has logged so far."""
        path = self._folder / f"frontend-zone-{number}-1.log"
        return path.read_text(errors="replace")

    def open_descriptors(self, number: int) -> int:
        """Return how many descriptors a process has open."""
        return len(os.listdir(f"/proc/{self.processes[number].pid}/fd"))

    def leader(self) -> int:
        """Return the number of the process that took the lead last."""
        latest, number = -1, 0
        for candidate in range(self._node_count):
            for line in self.log_of(candidate).splitlines():
                if "event=lead_taken" in line:
                    token = int(line.split("token=")[1].split()[0])
                    if token > latest:
                        latest, number = token, candidate
        return number

    async def stop(self) -> None:
        """End all processes and remove the temporary folder."""
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            await process.wait()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self._folder, ignore_errors=True)
        else:
            print(self._folder)


class CannotRunError(Exception):
    """The case could not be played."""


def free_ports(count: int) -> list[int]:
    """Return a row of ports of which none is in use, below those of outgoing calls."""
    for _ in range(200):
        first = random.randrange(20_000, 32_000)
        sockets = []
        try:
            for port in range(first, first + count):
                sock = socket.socket()
                sockets.append(sock)
                sock.bind(("127.0.0.1", port))
            return list(range(first, first + count))
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise CannotRunError("no free ports")


def config(advice_terms: dict | None = None) -> dict:
    """Return a configuration with two queues, a pool for each, and one tenant."""
    return {
        "version": 3,
        "routes": [
            {
                "name": name,
                "host": HOST,
                "path_prefix": f"/{name}/",
                "service": pool,
                "kind": "unsafe",
                "timeout_ms": 3000,
                "priority": 0,
                "max_attempts": 3,
                "stretch": 1.6,
                "target_latency_ms": 600,
                **({"recommendation": advice_terms} if advice_terms else {}),
            }
            for name, pool in POOL_BY_QUEUE.items()
        ],
        "services": [
            *({"name": pool, "rejects_overload": True} for pool in POOLS),
            {"name": STANDBY_POOL, "rejects_overload": True, "standby": True},
        ],
        "limits": {"body_bytes": 262_144},
        "tenants": [
            {
                "name": "red",
                "api_keys": [KEY],
                "weight": 30,
                "upper_limit": {"cpu": 1_000_000, "requested_memory_mb": 0, "gpus": 0},
            }
        ],
    }


async def request(
    address: str,
    method: str,
    path: str,
    document: dict | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, bytes] | None:
    """Make one call on a connection of its own; None if there is no answer."""
    host, _, port = address.rpartition(":")
    body = b"" if document is None else json.dumps(document).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nCredential: {KEY}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )

    async def exchange() -> tuple[int, bytes]:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head.encode() + body)
        try:
            answer = await reader.read()
        finally:
            writer.close()
        first, _, rest = answer.partition(b"\r\n")
        return int(first.split(b" ")[1]), rest.partition(b"\r\n\r\n")[2]

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, TimeoutError, IndexError, ValueError):
        return None


def run_case(play: Callable[[Record, bool], Awaitable[bool]], folder: Path) -> int:
    """Play a case; return the exit code: 1 if a rule was broken, 2 if it cannot run."""
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {has_trouble}")

    async def bounded() -> bool:
        return await asyncio.wait_for(play(record, has_trouble), 110)

    try:
        is_broken = asyncio.run(bounded())
    except (CannotRunError, OSError, TimeoutError) as error:
        record.write(f"the case could not run: {error!r}")
        return 2
    record.write("the rule was broken" if is_broken else "the rule held")
    return 1 if is_broken else 0
