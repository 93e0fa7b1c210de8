"""Starts the programs of a fleet as child processes and stops them by process id."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import tomlkit

from lycheeloom.clients import Response, Transport
from lycheeloom.standins import free_address

# Bounds the wait for a program that never becomes ready.
START_TIMEOUT_S = 120.0
STOP_TIMEOUT_S = 15.0
READY_POLL_INTERVAL_S = 0.05
HANDOVER_TOKEN = "handover"


@dataclass(slots=True)
class Program:
    """A program started as a child process."""

    name: str
    process: subprocess.Popen
    address: str = ""
    log_path: Path | None = None

    def signal(self, number: int) -> None:
        """Send a signal if the process still runs."""
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    def kill(self) -> None:
        """Kill the process with SIGKILL, which simulates a crash."""
        self.signal(signal.SIGKILL)
        self.process.wait()

    def terminate(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Shut the process down and return its exit status.

        It is resumed first in case it is suspended, and killed after ``timeout_s``.
        """
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL


@dataclass(slots=True)
class PlatformAddresses:
    """Addresses of the stand-ins; those of the workers by name."""

    log: str
    instances: str
    control: str
    workers: dict[str, str]


@dataclass(slots=True)
class Fleet:
    """The programs of one fleet; ``folder`` holds their settings and output."""

    folder: Path
    programs: list[Program] = field(default_factory=list)
    platform: PlatformAddresses | None = None
    transport: Transport = field(default_factory=Transport)

    def start_platform(self, config_path: Path, *arguments: str) -> PlatformAddresses:
        """Start the stand-ins for the fleet in a configuration file."""
        command = ["demo.platform", str(config_path), *arguments]
        program = self._spawn("platform", command, subprocess.PIPE)
        line = program.process.stdout.readline()
        self.platform = PlatformAddresses(**json.loads(line))
        return self.platform

    def start_entry(
        self,
        instance: str,
        zone: str,
        program: str = "lycheeloom.entry.main",
        **settings: object,
    ) -> Program:
        """Start an entry on newly chosen ports."""
        listen, peer_listen = free_address(), free_address()
        values = {
            "instance": instance,
            "zone": zone,
            "listen": listen,
            "peer_listen": peer_listen,
            "log": self.platform.log,
            "instances": self.platform.instances,
            "handover_token": HANDOVER_TOKEN,
            **settings,
        }
        path = self._write_settings(f"{instance}-{len(self.programs)}", values)
        started = self._spawn(instance, [program, str(path)])
        started.address = listen
        return started

    def start_controller(self, instance: str, zone: str, **settings: object) -> Program:
        """Start a controller on a newly chosen port."""
        listen = free_address()
        values = {
            "instance": instance,
            "zone": zone,
            "listen": listen,
            "log": self.platform.log,
            "instances": self.platform.instances,
            **settings,
        }
        name = f"controller-{instance}"
        path = self._write_settings(f"{name}-{len(self.programs)}", values)
        started = self._spawn(name, ["lycheeloom.controller.main", str(path)])
        started.address = listen
        return started

    def wait_ready(self, programs: Sequence[Program]) -> float:
        """Wait until ``/readyz`` of each program returns 200; returns the seconds."""
        started_at = time.monotonic()
        for program in programs:
            while not self._is_ready(program):
                if time.monotonic() - started_at > START_TIMEOUT_S:
                    raise TimeoutError(f"{program.name} did not become ready")
                time.sleep(READY_POLL_INTERVAL_S)
        return time.monotonic() - started_at

    def call(
        self, address: str, method: str, path: str, document: dict | None = None
    ) -> tuple[int, dict]:
        """Send one JSON request and return the status and document of the response.

        Without a response, the status is 0 and the document has the reason.
        """
        body = None if document is None else json.dumps(document).encode()
        answer = self.transport.call(address, method, path, body=body, timeout_s=10)
        if not isinstance(answer, Response):
            return 0, {"reason": answer.reason}
        return answer.status, json.loads(answer.body or b"{}")

    def set_faults(self, standin: str, **faults: object) -> None:
        """Set faults of the stand-in with this name."""
        path = f"/v1/standins/{standin}/faults"
        status, document = self.call(self.platform.control, "POST", path, faults)
        if status != 200:
            raise ValueError(f"cannot set faults of {standin}: {document}")

    def ledger(self) -> list[dict]:
        """Return every task start that the worker stand-ins recorded."""
        _, document = self.call(self.platform.control, "GET", "/v1/ledger")
        return document["starts"]

    def stop(self) -> None:
        """Kill every program that still runs, newest first."""
        for program in reversed(self.programs):
            program.signal(signal.SIGCONT)
            program.kill()

    def _is_ready(self, program: Program) -> bool:
        if program.process.poll() is not None:
            output = program.log_path.read_text()[-2000:] if program.log_path else ""
            code = program.process.returncode
            raise RuntimeError(f"{program.name} exited with {code}: {output}")
        answer = self.transport.call(program.address, "GET", "/readyz", timeout_s=1)
        return isinstance(answer, Response) and answer.status == 200

    def _spawn(
        self, name: str, command: Sequence[str], stdout: int | None = None
    ) -> Program:
        log_path = self.folder / f"{len(self.programs)}-{name}.log"
        with log_path.open("w") as log:
            process = subprocess.Popen(
                [sys.executable, "-X", "faulthandler", "-m", *command],
                stdout=stdout or log,
                stderr=log,
                text=True,
            )
        program = Program(name, process, log_path=log_path)
        self.programs.append(program)
        return program

    def _write_settings(self, name: str, values: dict) -> Path:
        path = self.folder / f"{name}.toml"
        path.write_text(tomlkit.dumps(values))
        return path


@contextmanager
def running_fleet() -> Iterator[Fleet]:
    """Yield a fleet without programs; kills its programs on exit."""
    with tempfile.TemporaryDirectory(prefix="lycheeloom-") as folder:
        fleet = Fleet(Path(folder))
        try:
            yield fleet
        finally:
            fleet.stop()
