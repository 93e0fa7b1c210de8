"""Starts the programs of a small deployment, and calls them as clients do."""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
STANDINS = Path(__file__).resolve().parent
CANNOT_RUN = 2

SETTINGS = """\
node_name={name}
role=node
machine_class=frontend
serves=frontend
ip=127.0.0.1
zone=zone-a
region=region-a
zones.zone-a=region-a
listen.frontend=127.0.0.1:{ports[0]}
listen.readiness=127.0.0.1:{ports[1]}
internal_ports={ports[2]},{ports[2]}
bootstrap=true
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.file_descriptors=4100
heartbeat_ms=1500
bounds.grace_s=6
bounds.status_s=120
bounds.lease_ms=3000
bounds.maintenance_s=2
bounds.migration_s=1.5
bounds.notice_ms=4500
bounds.visible_ms=3000
bounds.early_ms=250
bounds.hold_max_ms=10000
bounds.require_fencing=true
orders=call
platform.address=127.0.0.1:{store}
platform.form=log
platform.writes_per_s=600
platform.reads_per_s=2000
platform.parts=16
platform.append_ms=3.0
platform.record_bytes=262144
platform.request_bytes=2097152
platform.keep_s=300
cloud.address=127.0.0.1:{machines}
cloud.rate_per_s=64.0
cloud.duty_per_s=64.0
"""


def free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Rig:
    """A store, workers and instance processes on loopback addresses.

    ``log`` writes a line to ``record.txt`` of the case.
    """

    def __init__(
        self, case: Path, nodes: int, workers: int, *, has_standby: bool = False
    ) -> None:
        self.case = case
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.process_by_name: dict[str, subprocess.Popen] = {}
        self.front_by_name: dict[str, int] = {}
        self.worker_record = self.folder / "workers.jsonl"
        self._record = (case / "record.txt").open("w")
        self._lock = threading.Lock()
        self.began_s = time.monotonic()
        self._command = tomllib.loads((ROOT / "deploy/system.toml").read_text())[
            "roles"
        ]["node"]["run"].split()
        self.environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        self._has_standby = has_standby
        self.store_port, machines_port, *self.worker_ports = free_ports(2 + workers)
        # Without standby machines, the store's stand-in lists those of the workers.
        self.machines_port = machines_port if has_standby else self.store_port
        self._node_names = [f"n{number}" for number in range(nodes)]

    def log(self, **fields) -> None:
        line = {"ms": int(time.monotonic() * 1000), **fields}
        with self._lock:
            self._record.write(json.dumps(line) + "\n")

    def __enter__(self) -> Rig:
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def _start(self) -> None:
        self.spawn("store", [sys.executable, "store.py", str(self.store_port)])
        if not self._wait_port(self.store_port):
            raise SystemExit(CANNOT_RUN)
        self.put("keyed.op", "config", configuration(self._has_standby))
        ports = [str(port) for port in self.worker_ports]
        self.start_workers(ports)
        for name in self._node_names:
            self.start_node(name, free_ports(3))

    def start_workers(self, ports: list[str]) -> None:
        arguments = [f"127.0.0.1:{self.store_port}", str(self.worker_record)]
        program = "workers.py"
        if self._has_standby:
            program = "machines.py"
            arguments.append(str(self.machines_port))
        self.spawn("workers", [sys.executable, program, *arguments, *ports])

    def __exit__(self, *_) -> None:
        if self._has_standby and "workers" in self.process_by_name:
            # Ends the processes of the workers too.
            self.process_by_name["workers"].terminate()
            with contextlib.suppress(subprocess.TimeoutExpired):
                self.process_by_name["workers"].wait(5.0)
        for process in self.process_by_name.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.process_by_name.values():
            process.wait()
        if self.worker_record.exists():
            with self.worker_record.open() as lines:
                shutil.copyfileobj(lines, self._record)
        self._record.close()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder)

    def spawn(self, name: str, command: list[str], cwd: Path = STANDINS, **env) -> None:
        output = (self.folder / f"{name}.log").open("a")
        self.process_by_name[name] = subprocess.Popen(
            command,
            cwd=cwd,
            env={**self.environment, **env},
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=subprocess.STDOUT,
        )
        output.close()

    def start_node(self, name: str, ports: list[int]) -> None:
        path = self.folder / f"{name}.conf"
        path.write_text(
            SETTINGS.format(
                name=name,
                ports=ports,
                store=self.store_port,
                machines=self.machines_port,
            )
        )
        self.front_by_name[name] = ports[0]
        self.spawn(name, self._command, ROOT, LYCHEELOOM_BOOT=str(path))

    def kill(self, name: str, signal_number: int = signal.SIGKILL) -> None:
        self.log(event="signal", process=name, signal=int(signal_number))
        self.process_by_name[name].send_signal(signal_number)

    def restart_all(self, down_s: float) -> None:
        """Kill all instance processes at once, and start them again."""
        for name in self.front_by_name:
            self.kill(name)
        for name in self.front_by_name:
            self.process_by_name[name].wait()
        time.sleep(down_s)
        for name, port in list(self.front_by_name.items()):
            self.start_node(name, [port, *free_ports(2)])

    def put(self, topic: str, key: str, value: dict | None) -> None:
        document = {"topic": topic, "key": key, "value": value}
        self._store_call("POST", "/standin/put", json.dumps(document))

    def leader(self) -> str:
        return json.loads(self._store_call("GET", "/standin/leader"))["name"]

    def lose_machines(self, pool: str) -> list[str]:
        """Take all machines of a pool away for good; return their names."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.machines_port, timeout=5
        )
        connection.request("POST", "/standin/lose", pool)
        lost = json.loads(connection.getresponse().read())["lost"]
        connection.close()
        self.log(event="machines lost", pool=pool, machines=lost)
        return lost

    def _store_call(self, method: str, path: str, body: str | None = None) -> bytes:
        connection = http.client.HTTPConnection("127.0.0.1", self.store_port, timeout=5)
        connection.request(method, path, body)
        content = connection.getresponse().read()
        connection.close()
        return content

    def call(
        self,
        method: str,
        job_id: str,
        document: dict | None = None,
        *,
        key: str = "key-red",
        nodes: list[str] | None = None,
        attempts: int = 5,
        timeout_s: float = 3.0,
    ) -> tuple[int, dict]:
        """Make a call as a client does: an unanswered one goes to another instance.

        Returns the status, 0 without an answer, and the body.
        """
        names = nodes or list(self.front_by_name)
        status, reply = 0, {}
        for attempt in range(attempts):
            name = names[(hash(job_id) + attempt) % len(names)]
            status, reply = self._call_once(
                name, method, job_id, document, key, timeout_s
            )
            self.log(
                event="call",
                method=method,
                job=job_id,
                to=name,
                status=status,
                reply=reply,
            )
            if status and status not in (429, 502, 503, 504):
                return status, reply
            time.sleep(0.5)
        return status, reply

    def _call_once(
        self,
        name: str,
        method: str,
        job_id: str,
        document: dict | None,
        key: str,
        timeout_s: float,
    ) -> tuple[int, dict]:
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.front_by_name[name], timeout=timeout_s
        )
        headers = {
            "Host": "h.example",
            "Credential": key,
            "Content-Type": "application/json",
            "Request-Deadline": str(int(timeout_s * 1000)),
        }
        body = None if document is None else json.dumps(document)
        try:
            connection.request(method, f"/a/{job_id}", body, headers)
            response = connection.getresponse()
            content = response.read()
            return response.status, json.loads(content or b"{}")
        except (OSError, http.client.HTTPException, ValueError):
            return 0, {}
        finally:
            connection.close()

    def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until every instance answers and one of them leads."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            answers = [
                self._call_once(name, "GET", "0" * 16, None, "key-red", 1.0)[0]
                for name in self.front_by_name
            ]
            if set(answers) == {410} and self.leader():
                time.sleep(1.0)
                return
            time.sleep(0.2)
        print("the programs did not start")
        raise SystemExit(CANNOT_RUN)

    def worker_events(self) -> list[dict]:
        if not self.worker_record.exists():
            return []
        lines = self.worker_record.read_text().splitlines()
        events = []
        for line in lines:
            with contextlib.suppress(ValueError):
                events.append(json.loads(line))
        return events

    def left_s(self, total_s: float) -> float:
        return total_s - (time.monotonic() - self.began_s)

    @staticmethod
    def _wait_port(port: int) -> bool:
        for _ in range(100):
            with contextlib.suppress(OSError):
                socket.create_connection(("127.0.0.1", port), 1.0).close()
                return True
            time.sleep(0.1)
        return False


def configuration(has_standby: bool = False) -> dict:
    limit = {"cpu": 0, "requested_memory_mb": 0, "gpus": 0}
    services = [{"name": "svc", "rejects_overload": True, "standby": False}]
    if has_standby:
        services.append({"name": "spare", "rejects_overload": True, "standby": True})
    return {
        "version": 3,
        "routes": [
            {
                "name": "q1",
                "host": "h.example",
                "path_prefix": "/a/",
                "kind": "unsafe",
                "service": "svc",
                "timeout_ms": 3000,
                "target_latency_ms": 600,
                "priority": 0,
                "max_attempts": 3,
                "stretch": 1.6,
                "anonymous_access": False,
            }
        ],
        "services": services,
        "limits": {"body_bytes": 262144},
        "tenants": [
            {"name": n, "api_keys": [f"key-{n}"], "weight": 30, "upper_limit": limit}
            for n in ("red", "blue")
        ],
    }


def trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def find_twice(events: list[dict]) -> list[str]:
    """Return the breaks of TWICE: parallel runs, and starts after a noted end.

    An end is taken note of when ``last_seen`` reaches it after it was listed.
    """
    breaks = []
    running: dict[str, dict[tuple, dict]] = {}
    done_by_task: dict[str, list[dict]] = {}
    noted: set[tuple] = set()
    unnoted: dict[tuple, list[dict]] = {}
    starts: list[dict] = []
    for event in events:
        match event["event"]:
            case "start":
                runs = running.setdefault(event["task"], {})
                if runs:
                    other = next(iter(runs.values()))
                    breaks.append(
                        f"{event['task']}: run {event['run']} on {event['worker']} "
                        f"started while run {other['run']} on {other['worker']} ran"
                    )
                runs[event["worker"], event["born"], event["run"]] = event
                starts.append(event)
            case "end":
                runs = running.setdefault(event["task"], {})
                runs.pop((event["worker"], event["born"], event["run"]), None)
                if event["how"] == "done":
                    done_by_task.setdefault(event["task"], []).append(event)
                    unnoted.setdefault((event["worker"], event["born"]), []).append(
                        event
                    )
            case "seen":
                key = event["worker"], event["born"]
                ends = unnoted.pop(key, [])
                noted |= {(*key, end["n"]) for end in ends if end["n"] <= event["n"]}
                unnoted[key] = [end for end in ends if end["n"] > event["n"]]
            case "crash":
                for runs in running.values():
                    for run_key in [k for k in runs if k[0] == event["worker"]]:
                        del runs[run_key]
    for start in starts:
        for end in done_by_task.get(start["task"], ()):
            is_noted = (end["worker"], end["born"], end["n"]) in noted
            if is_noted and start["ms"] > end["ms"]:
                breaks.append(
                    f"{start['task']}: run {start['run']} on {start['worker']} started "
                    f"{start['ms'] - end['ms']} ms after run {end['run']} on "
                    f"{end['worker']} had ended done"
                )
                break
    return breaks


def finish(breaks: list[str], rig: Rig) -> int:
    """Print the result and return the exit code."""
    rig.log(event="result", breaks=len(breaks))
    print(f"rule broken {len(breaks)} times" if breaks else "rule held")
    for line in breaks[:5]:
        print(" ", line)
    return 1 if breaks else 0
