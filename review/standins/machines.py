"""A stand-in for the service that lists and moves machines.

Each machine that is switched on has a worker in a process of its own. A machine that
moves gets a new worker after ``MIGRATION_S``; in the standby pool it has none. A POST
to ``/standin/lose``, which is not part of the protocol, takes all machines of a pool
away for good: their workers crash, and nothing replaces them.
"""

from __future__ import annotations

import atexit
import http.client
import json
import os
import signal
import subprocess
import sys

import gevent
from gevent import monkey

monkey.patch_all()

from gevent.pywsgi import WSGIServer  # noqa: E402
from workers import Record  # noqa: E402

MIGRATION_S = 1.5
# Three heartbeat intervals; then the entry of a worker that has crashed is removed.
ENTRY_KEPT_S = 4.5
STANDBY_POOL = "spare"


class Machine:
    """A machine, and the process of its worker while it has one."""

    def __init__(self, name: str, port: str, pool: str, platform: Platform) -> None:
        self.name = name
        self.port = port
        self.pool = pool
        self.state = "up"
        self.token = 0
        self.worker_id = ""
        self._platform = platform
        self._process: subprocess.Popen | None = None
        self.switch_on()

    def describe(self) -> dict:
        return {
            "machine": self.name,
            "pool": self.pool,
            "state": self.state,
            "zone": "zone-a",
            "labels": ["a", "r1"],
            "capacity": {"cpu": 16000, "requested_memory_mb": 65536, "gpus": 0},
            "id": self.worker_id,
        }

    def switch_on(self) -> None:
        self.state = "up"
        if self.pool == STANDBY_POOL:
            return
        self.worker_id = self._platform.next_worker_id()
        arguments = [self._platform.store_address, self._platform.record_path]
        self._process = subprocess.Popen(
            [sys.executable, "workers.py", *arguments, self.port],
            env={**os.environ, "WORKER_ID": self.worker_id},
        )

    def switch_off(self) -> str:
        """End the worker immediately; return its id."""
        worker_id, self.worker_id = self.worker_id, ""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self._process = None
            self._platform.record.write(event="crash", worker=worker_id)
        return worker_id

    def move(self, pool: str) -> None:
        self.state = "moving"
        self._platform.remove_entry(self.switch_off())
        self.pool = pool
        gevent.spawn_later(MIGRATION_S, self.switch_on)


class Platform:
    """All machines: the first two in the pool ``svc``, the others on standby."""

    def __init__(self, store_address: str, record_path: str, ports: list[str]) -> None:
        self.store_address = store_address
        self.record_path = record_path
        self.record = Record(record_path)
        self._worker_count = 0
        self._machine_by_name = {
            name: Machine(name, port, "svc" if number < 2 else STANDBY_POOL, self)
            for number, port in enumerate(ports)
            for name in [f"m-{number}"]
        }

    def next_worker_id(self) -> str:
        self._worker_count += 1
        return f"w-{self._worker_count}"

    def remove_entry(self, worker_id: str) -> None:
        if not worker_id:
            return
        host, port = self.store_address.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        document = {"topic": "keyed.servers", "key": worker_id, "value": None}
        connection.request("POST", "/standin/put", json.dumps(document))
        connection.getresponse().read()
        connection.close()

    def order_move(self, machine_name: str, pool: str, token: int) -> tuple[int, dict]:
        machine = self._machine_by_name.get(machine_name)
        if machine is None:
            return 400, {}
        if token < machine.token:
            return 409, {"reason": "fence"}
        if machine.pool == pool:
            return 200, {}
        if machine.state != "up":
            return 409, {"reason": "busy"}
        machine.token = token
        self.record.write(event="move", machine=machine_name, pool=pool, token=token)
        machine.move(pool)
        return 200, {}

    def lose(self, pool: str) -> tuple[int, dict]:
        lost = [m for m in self._machine_by_name.values() if m.pool == pool]
        for machine in lost:
            gevent.spawn_later(ENTRY_KEPT_S, self.remove_entry, machine.switch_off())
            del self._machine_by_name[machine.name]
            self.record.write(event="lost", machine=machine.name, pool=pool)
        return 200, {"lost": [machine.name for machine in lost]}

    def switch_all_off(self) -> None:
        for machine in self._machine_by_name.values():
            machine.switch_off()

    def serve(self, environ: dict, start_response) -> list[bytes]:
        body = environ["wsgi.input"].read()
        match environ["PATH_INFO"]:
            case "/v1/machines":
                machines = [m.describe() for m in self._machine_by_name.values()]
                status, reply = 200, {"machines": machines}
            case "/v1/machine-move":
                order, token = json.loads(body), int(environ["HTTP_FENCING_TOKEN"])
                status, reply = self.order_move(order["machine"], order["pool"], token)
            case "/standin/lose":
                status, reply = self.lose(body.decode())
            case _:
                status, reply = 404, {}
        content = json.dumps(reply).encode()
        headers = [("Content-Length", str(len(content)))]
        start_response(f"{status} {'OK' if status == 200 else 'Error'}", headers)
        return [content]


def main() -> None:
    store_address, record_path, port, *worker_ports = sys.argv[1:]
    platform = Platform(store_address, record_path, worker_ports)
    atexit.register(platform.switch_all_off)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    WSGIServer(("127.0.0.1", int(port)), platform.serve, log=None).serve_forever()


if __name__ == "__main__":
    main()
