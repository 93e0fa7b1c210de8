"""A stand-in for the store, and for the service that lists the machines.

Implements the calls of PROTOCOL.md that the program uses. Records that the operator and
the workers write arrive through ``POST /standin/put``, which is not part of the
protocol.
"""

from __future__ import annotations

import base64
import json
import struct
import sys
from urllib.parse import parse_qs

import gevent
from gevent import monkey

monkey.patch_all()

from gevent.event import Event  # noqa: E402
from gevent.pywsgi import WSGIServer  # noqa: E402

LENGTH = struct.Struct(">I")
HEADER = struct.Struct(">QQ")
APPEND_S = 0.003
READ_S = 0.004
PAGE_ITEMS = 500
REPEATS_KEPT = 5


class Partition:
    """An append-only log with one producer."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.epoch = 0
        self.next_sequence = 0
        self.reply_by_sequence: dict[int, dict] = {}
        self.grown = Event()

    def append(self, records: list[bytes], is_keyed: bool) -> dict:
        offset = len(self.records)
        for number, record in enumerate(records, offset):
            self.records.append(record)
            if not is_keyed:
                continue
            key = record[1 : 1 + record[0]].decode()
            value = record[1 + record[0] :]
            if value:
                self.newest[key] = (number, value)
            else:
                self.newest.pop(key, None)
        grown, self.grown = self.grown, Event()
        grown.set()
        return {"offset": offset, "end": len(self.records)}


PARTITIONS: dict[tuple[str, int], Partition] = {}
MACHINES: dict[str, dict] = {}


def partition_of(topic: str, part: int) -> Partition:
    return PARTITIONS.setdefault((topic, part), Partition())


def split(body: bytes) -> list[bytes]:
    records, position = [], 0
    while position < len(body):
        (length,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        records.append(body[position : position + length])
        position += length
    return records


def append(query: dict, body: bytes) -> tuple[int, object]:
    topic = query["topic"]
    if topic in ("keyed.op", "keyed.servers"):
        return 403, {}
    partition = partition_of(topic, int(query["part"]))
    gevent.sleep(APPEND_S)
    if "at" in query and int(query["at"]) != len(partition.records):
        return 412, {"end": len(partition.records)}
    if "producer" not in query:
        return 200, partition.append(split(body), topic.startswith("keyed."))
    epoch, sequence = int(query["epoch"]), int(query["sequence"])
    if epoch < partition.epoch:
        return 409, {"reason": "fenced"}
    if epoch > partition.epoch:
        partition.epoch, partition.next_sequence = epoch, sequence
        partition.reply_by_sequence.clear()
    if sequence in partition.reply_by_sequence:
        return 200, partition.reply_by_sequence[sequence]
    if sequence != partition.next_sequence:
        return 409, {"reason": "seq", "sequence": partition.next_sequence}
    partition.next_sequence += 1
    reply = partition.append(split(body), topic.startswith("keyed."))
    partition.reply_by_sequence[sequence] = reply
    partition.reply_by_sequence.pop(sequence - REPEATS_KEPT, None)
    return 200, reply


def read(query: dict) -> tuple[int, object]:
    partition = partition_of(query["topic"], int(query["part"]))
    gevent.sleep(READ_S)
    start, wait_s = int(query["from"]), int(query.get("wait_ms", 0)) / 1000
    if len(partition.records) <= start and wait_s:
        partition.grown.wait(wait_s)
    room, content = int(query.get("max_kb", 1024)) * 1024, []
    for record in partition.records[start:]:
        room -= len(record) + LENGTH.size
        if room < 0 and content:
            break
        content.append(LENGTH.pack(len(record)) + record)
    return 200, HEADER.pack(len(partition.records), 0) + b"".join(content)


def newest(query: dict) -> tuple[int, object]:
    partition = partition_of(query["topic"], int(query["part"]))
    keys = sorted(key for key in partition.newest if key > query.get("after", ""))
    return 200, {
        "items": [
            {
                "key": key,
                "value": base64.b64encode(partition.newest[key][1]).decode(),
                "offset": partition.newest[key][0],
            }
            for key in keys[:PAGE_ITEMS]
        ],
        "has_more": len(keys) > PAGE_ITEMS,
        "end": len(partition.records),
    }


def put(document: dict) -> tuple[int, object]:
    """Write a record of the operator or a worker; a worker brings its machine."""
    key = document["key"].encode()
    value = document["value"]
    encoded = b"" if value is None else json.dumps(value).encode()
    record = bytes([len(key)]) + key + encoded
    partition_of(document["topic"], 0).append([record], True)
    if "machine" in document:
        MACHINES[document["machine"]["machine"]] = document["machine"]
    return 200, {}


def leader() -> dict:
    """Return the name in the latest record of the election topic."""
    records = partition_of("lycheeloom-lead", 0).records
    return {"claims": len(records), "name": records[-1].decode() if records else ""}


def route(method: str, path: str, query: dict, body: bytes) -> tuple[int, object]:
    match method, path:
        case "POST", "/v1/log-append":
            return append(query, body)
        case "GET", "/v1/log-read":
            return read(query)
        case "GET", "/v1/log-newest":
            return newest(query)
        case "GET", "/v1/machines":
            return 200, {"machines": list(MACHINES.values())}
        case "POST", "/v1/machine-move" | "/v1/machine-upkeep":
            return 409, {"reason": "busy"}
        case "POST", "/standin/put":
            return put(json.loads(body))
        case "GET", "/standin/leader":
            return 200, leader()
    return 404, {}


def serve(environ: dict, start_response) -> list[bytes]:
    query = {k: v[0] for k, v in parse_qs(environ["QUERY_STRING"]).items()}
    body = environ["wsgi.input"].read()
    status, reply = route(environ["REQUEST_METHOD"], environ["PATH_INFO"], query, body)
    content = reply if isinstance(reply, bytes) else json.dumps(reply).encode()
    headers = [("Content-Length", str(len(content)))]
    start_response(f"{status} {'OK' if status == 200 else 'Error'}", headers)
    return [content]


if __name__ == "__main__":
    WSGIServer(("127.0.0.1", int(sys.argv[1])), serve, log=None).serve_forever()
