"""Cost of log appends, snapshots, recovery and heartbeats.

Run with ``python -m bench.log_cost [--json] [--seconds S]``. The log stand-in
runs in the same process and is called over HTTP on loopback, so processor times
include it where noted. Goals: 9 entries append at most 180 batches a second, a
new entry is ready within 5 s at the design size, and the heartbeats of one of 9
entries with 210 organisations take at most 24 KB a second, sent and received
together.
"""

# The stand-in and the clients share one process, so the standard library is
# patched before anything imports sockets.
# ruff: noqa: E402
from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse
import json
import random
import time
from collections.abc import Callable, Iterator
from statistics import median

import gevent

from lycheeloom.clients import LogClient
from lycheeloom.cluster import Freshness, PeerMesh
from lycheeloom.log import (
    Effective,
    LogTail,
    LogWriter,
    Outcome,
    SnapshotPolicy,
    SnapshotWriter,
    recover,
)
from lycheeloom.model import records as r
from lycheeloom.model.records import Batch, Record
from lycheeloom.standins import LogLimits, LogStandIn
from lycheeloom.state import FleetState
from lycheeloom.wire import OrganisationUsage, decode_batch, encode_batch

from .report import Row, print_rows

WORKERS, POOLS, ORGANISATIONS, ZONES, ENTRIES = 5_100, 139, 210, 10, 9
REQUESTS, INSTANCES_PER_PATCH = 2_000, 1_000
SNAPSHOT_POLICY = SnapshotPolicy(retention_s=3600)
TAIL_BATCHES, TAIL_CONFIG_CHANGES = (
    SNAPSHOT_POLICY.max_tail_batches,
    SNAPSHOT_POLICY.max_tail_config_changes,
)
LOADS_PER_S = (10, 100, 1_000, 2_000)
READY_GOAL_S, HEARTBEAT_GOAL_BYTES, APPEND_GOAL_PER_S = 5.0, 24_000, 20.0
HEARTBEAT_S = 20.0


def request_record(number: int) -> r.RequestSubmitted:
    """Return the record of a request with a body of 200 bytes."""
    return r.RequestSubmitted(
        f"request-{number:08d}",
        f"organisation-{number % ORGANISATIONS}",
        "main",
        bytes(200),
    )


def measure_appends(seconds: float) -> Iterator[Row]:
    """Measure one writer at several rates of records."""
    for load in LOADS_PER_S:
        log = LogStandIn(limits=LogLimits(appends_per_s=None)).start()
        tail = LogTail(LogClient(log.address), FleetState())
        writer = LogWriter(LogClient(log.address), "a", tail)
        tail.start()
        writer.start()
        cpu_s = time.process_time()
        times, effective = _append_at_rate(writer, load, seconds)
        cpu_s = time.process_time() - cpu_s
        appends = log.next_offset / seconds
        writer.stop()
        tail.stop()
        log.stop()
        name = f"{load} records/s offered: "
        holds = appends <= APPEND_GOAL_PER_S * 1.05
        yield Row(name + "appends a second", "<= 20", appends, holds, unit="/s")
        yield Row(name + "records in a batch", "", effective / log.next_offset, None)
        yield Row(name + "took effect", "all", effective, effective == len(times))
        times.sort()
        p50, p99 = median(times), times[int(0.99 * (len(times) - 1))]
        yield Row(name + "outcome p50", "", p50 * 1000, None, unit="ms")
        yield Row(name + "outcome p99", "", p99 * 1000, None, unit="ms")
        share = 100 * cpu_s / seconds
        yield Row(name + "processor with stand-in", "", share, None, unit="% core")


def _append_at_rate(
    writer: LogWriter, load: int, seconds: float
) -> tuple[list[float], int]:
    times: list[float] = []
    outcomes: list[Outcome] = []

    def wait_for(pending, started_at):
        outcomes.append(pending.wait(10.0))
        times.append(time.monotonic() - started_at)

    waiting = []
    start = time.monotonic()
    for number in range(int(load * seconds)):
        gevent.sleep(max(0.0, start + number / load - time.monotonic()))
        pending = writer.append(request_record(number))
        waiting.append(gevent.spawn(wait_for, pending, time.monotonic()))
    gevent.joinall(waiting, timeout=15)
    return times, sum(isinstance(item, Effective) for item in outcomes)


def measure_batches() -> Iterator[Row]:
    """Time encoding, decoding and replay of batches of several sizes."""
    for size in (1, 16, 100):
        batches = [
            Batch("a", i + 1, tuple(request_record(i * size + k) for k in range(size)))
            for i in range(2_000 // size)
        ]
        encoded, encode_us = _time_each(batches, encode_batch)
        decoded, decode_us = _time_each(encoded, decode_batch)
        _, apply_us = _time_each(list(enumerate(decoded)), _new_apply())
        name = f"batch of {size} requests: "
        yield Row(name + "size", "", len(encoded[0]), None, unit="bytes")
        yield Row(name + "encode", "", encode_us, None, unit="us")
        yield Row(name + "decode", "", decode_us, None, unit="us")
        yield Row(name + "apply", "", apply_us, None, unit="us")


def _new_apply() -> Callable:
    state = FleetState()
    return lambda item: state.apply(*item)


def _time_each(inputs: list, function: Callable) -> tuple[list, float]:
    start = time.perf_counter()
    results = [function(item) for item in inputs]
    return results, (time.perf_counter() - start) / len(inputs) * 1e6


def _config_patches() -> Iterator[dict]:
    """Yield merge patches that build the configuration at the design size."""
    yield {
        "zones": {f"zone-{i}": {"region": f"region-{i % 3}"} for i in range(ZONES)},
        "pools": {f"pool-{i}": {"needed": 30} for i in range(POOLS)},
        "organisations": {
            f"organisation-{i}": _organisation(i) for i in range(ORGANISATIONS)
        },
        "queues": {
            f"queue-{i}": {
                "pool": f"pool-{i}",
                "organisations": [f"organisation-{i % ORGANISATIONS}"],
            }
            for i in range(POOLS)
        },
    }
    for first in range(0, WORKERS, INSTANCES_PER_PATCH):
        last = min(first + INSTANCES_PER_PATCH, WORKERS)
        yield {"instances": {f"w{i:05d}": _instance(i) for i in range(first, last)}}


def _organisation(number: int) -> dict:
    # Random digits do not compress, like those of real keys.
    rng = random.Random(number)
    key = {"salt": rng.randbytes(16).hex(), "digest": rng.randbytes(32).hex()}
    return {"share": 1, "upper_limit": 100, "keys": {f"key-{number}": key}}


def _instance(number: int) -> dict:
    return {
        "pool": f"pool-{number % POOLS}",
        "zone": f"zone-{number % ZONES}",
        "rack": f"rack-{number // 4}",
        "address": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7000",
        "cores": 64,
        "memory_mb": 262_144,
        "accelerators": number % 3,
    }


def design_size_records() -> Iterator[Record]:
    """Yield the records that build the state at the design size, without grants."""
    for version, document in enumerate(_config_patches()):
        yield r.ConfigChanged(version, json.dumps(document), "ada")
    for i in range(ENTRIES):
        yield r.MemberJoined(f"e{i}", f"e{i}-0", f"10.0.0.{i}:7100", f"zone-{i}")
    yield r.DutyClaimed(r.Duty.MAINTENANCE, 0)
    for i in range(0, WORKERS, 50):
        yield r.InstanceHealth(f"w{i:05d}", r.Health.PROBATION, 1, "fails tasks")
    for i in range(REQUESTS):
        yield request_record(i)


def _append_design_state(log: LogStandIn) -> None:
    """Append the design-size state, with grants for every entry and organisation."""
    for sequence, record in enumerate(design_size_records(), 1):
        log.append(encode_batch(Batch("m", sequence, (record,))))
    for entry in range(ENTRIES):
        grants = tuple(
            r.GrantRequested(f"organisation-{t}", 10) for t in range(ORGANISATIONS)
        )
        log.append(encode_batch(Batch(f"e{entry}-0", 1, grants)))


def measure_recovery() -> Iterator[Row]:
    """Measure a snapshot at the design size and recovery from it."""
    log = LogStandIn(limits=LogLimits(appends_per_s=None)).start()
    _append_design_state(log)
    client = LogClient(log.address)
    state = recover(client)
    tail = LogTail(client, state)
    writer = LogWriter(LogClient(log.address), "s", tail)
    snapshots = SnapshotWriter(writer, tail, SNAPSHOT_POLICY)
    start = time.perf_counter()
    dump = state.dump_snapshot()
    yield Row("snapshot size", "", len(dump) / 1000, None, unit="KB")
    dump_ms = (time.perf_counter() - start) * 1000
    yield Row("snapshot dump (blocks the process)", "", dump_ms, None, unit="ms")
    start = time.perf_counter()
    FleetState.load_snapshot(dump)
    load_ms = (time.perf_counter() - start) * 1000
    yield Row("snapshot load", "", load_ms, None, unit="ms")
    yield from _measure_config_change(FleetState.load_snapshot(dump))
    tail.start()
    writer.start()
    before, start = log.next_offset, time.perf_counter()
    result = snapshots.write()
    write_s = time.perf_counter() - start
    gevent.sleep(0.2)
    writer.stop()
    tail.stop()
    yield Row(f"snapshot in the log: {result}", "", write_s, None, unit="s")
    yield Row("snapshot records", "", log.next_offset - before, None)
    yield _time_recovery(log, "nothing")
    for change in range(TAIL_CONFIG_CHANGES):
        log.append(
            encode_batch(Batch("op", change + 1, (_change_one_organisation(change),)))
        )
    yield _time_recovery(log, f"{TAIL_CONFIG_CHANGES} configuration changes")
    kept = TAIL_CONFIG_CHANGES + TAIL_BATCHES + 10
    log.limits = LogLimits(appends_per_s=None, retained_records=kept)
    for number in range(TAIL_BATCHES):
        record = request_record(REQUESTS + number)
        log.append(encode_batch(Batch("tail", number + 1, (record,))))
    yield _time_recovery(log, f"these and {TAIL_BATCHES} batches")
    log.stop()


def _time_recovery(log: LogStandIn, tail: str) -> Row:
    start = time.perf_counter()
    recovered = recover(LogClient(log.address))
    took_s = time.perf_counter() - start
    holds = (
        isinstance(recovered, FleetState)
        and recovered.next_offset == log.next_offset
        and took_s < READY_GOAL_S
    )
    name = f"recovery with {tail} after the snapshot"
    return Row(name, "< 5", took_s, holds, unit="s")


def _change_one_organisation(change: int) -> r.ConfigChanged:
    patch = json.dumps({"organisations": {"organisation-0": {"share": change + 2}}})
    return r.ConfigChanged(len(list(_config_patches())) + change, patch)


def _measure_config_change(state: FleetState) -> Iterator[Row]:
    times = []
    for number in range(5):
        batch = Batch("op", number + 1, (_change_one_organisation(number),))
        start = time.perf_counter()
        applied = state.apply(state.next_offset, batch)
        times.append(time.perf_counter() - start)
        assert applied.effective == (True,)
    yield Row(
        "configuration change of one organisation, apply (blocks the process)",
        "",
        median(times) * 1000,
        None,
        unit="ms",
    )


def measure_heartbeats() -> Iterator[Row]:
    """Run 9 peer meshes on loopback without a log: they exchange only heartbeats."""
    for changing in (0, 21, ORGANISATIONS):
        rng = random.Random(1)
        meshes = _start_meshes()
        for mesh in meshes:
            mesh.usage_by_organisation = {
                f"organisation-{t}": _usage(t, rng) for t in range(ORGANISATIONS)
            }
        gevent.sleep(1.0)
        before = [(m.traffic.sent_bytes, m.traffic.received_bytes) for m in meshes]
        cpu_s, end = time.process_time(), time.monotonic() + HEARTBEAT_S
        while time.monotonic() < end:
            for mesh in meshes:
                for organisation in rng.sample(range(ORGANISATIONS), changing):
                    mesh.usage_by_organisation[f"organisation-{organisation}"] = _usage(
                        organisation, rng
                    )
            gevent.sleep(0.5)
        cpu_s = time.process_time() - cpu_s
        rates = [
            (m.traffic.sent_bytes + m.traffic.received_bytes - sum(old)) / HEARTBEAT_S
            for m, old in zip(meshes, before, strict=True)
        ]
        for mesh in meshes:
            mesh.stop()
        name = (
            f"heartbeats, {changing} of {ORGANISATIONS} organisations change "
            f"each 0.5 s: "
        )
        holds = max(rates) <= HEARTBEAT_GOAL_BYTES
        yield Row(name + "both ways", "<= 24000", max(rates), holds, unit="B/s")
        share = 100 * cpu_s / HEARTBEAT_S / ENTRIES
        yield Row(name + "processor of an entry", "", share, None, unit="% core")


def _usage(organisation: int, rng: random.Random) -> OrganisationUsage:
    running = rng.randrange(100)
    return OrganisationUsage(
        f"organisation-{organisation}",
        running,
        rng.randrange(50),
        4.0 * running,
        running,
    )


def _start_meshes() -> list[PeerMesh]:
    meshes = []
    for i in range(ENTRIES):
        tail = LogTail(LogClient("127.0.0.1:1"), FleetState())
        name = f"entry-{i}-0123456789ab"
        freshness = Freshness(tail, lambda name=name: name)
        meshes.append(PeerMesh(name, tail, freshness))
    joins = tuple(
        r.MemberJoined(
            f"e{i}", mesh.incarnation, f"127.0.0.1:{mesh.start('127.0.0.1')}", "z"
        )
        for i, mesh in enumerate(meshes)
    )
    for mesh in meshes:
        mesh.tail.offer(0, encode_batch(Batch("a", 1, joins)))
    return meshes


def main() -> None:
    """Run all measurements and print the results."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument(
        "--seconds", type=float, default=5.0, help="duration of each load (5)"
    )
    options = parser.parse_args()
    rows = [
        *measure_appends(options.seconds),
        *measure_batches(),
        *measure_recovery(),
        *measure_heartbeats(),
    ]
    print_rows("Log, snapshots and heartbeats", rows, options.json)


if __name__ == "__main__":
    main()
