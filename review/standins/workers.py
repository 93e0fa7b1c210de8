"""Stand-ins for workers, as PROTOCOL.md describes them under "Running tasks".

All workers of one process share a record file, to which each start, end and
acknowledgement is written as a line of JSON. The specification of a task is a JSON
object; ``run_ms`` in it is the duration of the task, ``how`` the kind of its end, and
``lasts`` is set for a long-running task.
"""

from __future__ import annotations

import json
import os
import sys
import time

import gevent
from gevent import monkey

monkey.patch_all()

from gevent.event import Event  # noqa: E402
from gevent.pywsgi import WSGIServer  # noqa: E402

HOLD_MAX_MS = 10_000
ENDS_AT_A_TIME = 500
HEARTBEAT_S = 1.5
TICK_S = 0.02
# Time until a long-running task is at work.
STARTUP_S = 0.3


class Record:
    """The record file; the time of each line is in ms of the monotonic clock."""

    def __init__(self, path: str) -> None:
        self._file = open(path, "a", buffering=1)  # noqa: SIM115

    def write(self, **fields) -> None:
        line = {"ms": int(time.monotonic() * 1000), **fields}
        self._file.write(json.dumps(line, separators=(",", ":")) + "\n")


class Run:
    def __init__(self, number: int, specification: str, began_s: float) -> None:
        self.number = number
        self.specification = specification
        document = json.loads(specification)
        self.began_s = began_s
        self.ends_s = began_s + document["run_ms"] / 1000
        self.how = document.get("how", "done")
        self.lasts = document.get("lasts", False)

    def percent(self, now_s: float) -> int:
        if self.lasts:
            return 100 if now_s - self.began_s > STARTUP_S else 50
        share = (now_s - self.began_s) / (self.ends_s - self.began_s)
        return min(99, int(100 * share))


class Worker:
    """One incarnation of a worker."""

    def __init__(self, worker_id: str, port: int, labels: list[str], record) -> None:
        self.worker_id = worker_id
        self.port = port
        self.labels = labels
        self.record = record
        self.born = int(time.time() * 1000)
        self.started_s = time.monotonic()
        self.token = 0
        self.deadline_ms = 0
        self.run_by_task: dict[str, Run] = {}
        self.highest_ended: dict[str, int] = {}
        self.ended: list[list] = []
        self.end_count = 0
        self.acknowledged = 0
        self.sequence = 0
        self.has_end = Event()
        self.is_up = True

    def clock_ms(self) -> int:
        return int((time.monotonic() - self.started_s) * 1000)

    def report(self) -> dict:
        self.sequence += 1
        return {
            "service": "svc",
            "address": f"127.0.0.1:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": 16000, "requested_memory_mb": 65536, "gpus": 0},
            "labels": self.labels,
            "born": self.born,
            "sequence": self.sequence,
        }

    def tick(self) -> None:
        """End the runs whose time is over, and all runs after the lease."""
        now_s = time.monotonic()
        if self.run_by_task and self.clock_ms() > self.deadline_ms:
            for task in list(self.run_by_task):
                self.end(task, "lapsed")
        for task, run in list(self.run_by_task.items()):
            if now_s >= run.ends_s:
                self.end(task, run.how)

    def end(self, task: str, how: str) -> None:
        run = self.run_by_task.pop(task)
        self.highest_ended[task] = max(run.number, self.highest_ended.get(task, 0))
        self.end_count += 1
        self.ended.append([self.end_count, task, run.number, how, ""])
        self.record.write(
            event="end",
            worker=self.worker_id,
            born=self.born,
            n=self.end_count,
            task=task,
            run=run.number,
            how=how,
        )
        has_end, self.has_end = self.has_end, Event()
        has_end.set()

    def call(self, path: str, expected: str, body: dict) -> tuple[int, dict]:
        if expected != self.worker_id:
            return 421, {}
        if body.get("fencing_token", 0) < self.token:
            return 409, {"reason": "fence"}
        self.token = body.get("fencing_token", 0)
        deadline_ms = min(body.get("deadline_ms", 0), self.clock_ms() + HOLD_MAX_MS)
        self.deadline_ms = max(self.deadline_ms, deadline_ms)
        match path:
            case "/v1/run-start":
                return self.start(body)
            case "/v1/run-stop":
                return self.stop(body)
            case "/v1/hold":
                return self.hold(body)
            case "/v1/pace":
                return 200, {}
        return 404, {}

    def start(self, body: dict) -> tuple[int, dict]:
        task, number = body["task"], body["run"]
        current = self.run_by_task.get(task)
        if current is not None and current.number == number:
            return 200, {}
        if number <= self.highest_ended.get(task, 0) or current is not None:
            return 409, {"reason": "old"}
        if body["deadline_ms"] < self.clock_ms():
            return 409, {"reason": "late"}
        run = Run(number, body["specification"], time.monotonic())
        self.run_by_task[task] = run
        self.record.write(
            event="start",
            worker=self.worker_id,
            born=self.born,
            task=task,
            run=number,
            token=self.token,
            labels=self.labels,
            specification=run.specification,
        )
        return 200, {}

    def stop(self, body: dict) -> tuple[int, dict]:
        task, number = body["task"], body["run"]
        self.highest_ended[task] = max(number, self.highest_ended.get(task, 0))
        current = self.run_by_task.get(task)
        if current is not None and current.number <= number:
            self.end(task, "stopped")
        return 200, {}

    def hold(self, body: dict) -> tuple[int, dict]:
        last_seen = body["last_seen"]
        if last_seen > self.acknowledged:
            self.acknowledged = last_seen
            self.record.write(
                event="seen", worker=self.worker_id, born=self.born, n=last_seen
            )
        self.ended = [row for row in self.ended if row[0] > last_seen]
        if not self.ended and body.get("wait_ms"):
            self.has_end.wait(min(body["wait_ms"], 2000) / 1000)
        now_s = time.monotonic()
        return 200, {
            "running": [
                [task, run.number, "", run.percent(now_s), 0]
                for task, run in self.run_by_task.items()
            ],
            "ended": self.ended[:ENDS_AT_A_TIME],
        }


class Host:
    """The port of a worker, on which its incarnations follow each other."""

    def __init__(self, worker: Worker, store) -> None:
        self.worker = worker
        self.store = store
        self.server = self.listen()
        gevent.spawn(self.tick)
        gevent.spawn(self.register)

    def listen(self) -> WSGIServer:
        server = WSGIServer(("127.0.0.1", self.worker.port), self.serve, log=None)
        server.start()
        return server

    def serve(self, environ: dict, start_response) -> list[bytes]:
        body = json.loads(environ["wsgi.input"].read() or b"{}")
        worker = self.worker
        expected = environ.get("HTTP_EXPECTED_INSTANCE", "")
        status, reply = worker.call(environ["PATH_INFO"], expected, body)
        reply |= {"clock_ms": worker.clock_ms(), "born": worker.born}
        content = json.dumps(reply, separators=(",", ":")).encode()
        headers = [("Content-Length", str(len(content)))]
        start_response(f"{status} {'OK' if status == 200 else 'Error'}", headers)
        return [content]

    def tick(self) -> None:
        while True:
            gevent.sleep(TICK_S)
            self.worker.tick()

    def register(self) -> None:
        while True:
            self.store(self.worker)
            gevent.sleep(HEARTBEAT_S)


def put(address: str, worker: Worker) -> None:
    import http.client

    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=5)
    document = {
        "topic": "keyed.servers",
        "key": worker.worker_id,
        "value": worker.report(),
        "machine": {
            "machine": f"m-{worker.worker_id}",
            "pool": "svc",
            "state": "up",
            "zone": "zone-a",
            "labels": worker.labels,
            "capacity": {"cpu": 16000, "requested_memory_mb": 65536, "gpus": 0},
            "id": worker.worker_id,
        },
    }
    connection.request("POST", "/standin/put", json.dumps(document))
    connection.getresponse().read()
    connection.close()


def main() -> None:
    """Serve one worker on each port; ``WORKER_ID`` names a single one."""
    store_address, record_path, *ports = sys.argv[1:]
    record = Record(record_path)
    for number, port in enumerate(ports):
        worker_id = os.environ.get("WORKER_ID", f"w-{number}")
        worker = Worker(worker_id, int(port), ["a", f"r{number}"], record)
        Host(worker, lambda worker: put(store_address, worker))
    gevent.wait()


if __name__ == "__main__":
    main()
