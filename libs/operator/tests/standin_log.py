"""Runs the stand-in of the log in a process of its own, for tests."""

import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import urllib3


@contextmanager
def running_log(folder: Path) -> Iterator[str]:
    """Run the stand-ins and yield the address of the one for the log."""
    settings = folder / "standins.toml"
    settings.write_text("")
    process = subprocess.Popen(
        [sys.executable, "-m", "lycheeloom.standins.main", str(settings)],
        stdout=subprocess.PIPE,
        text=True,
    )
    address = ""
    for line in process.stdout:
        fields = dict(part.split("=", 1) for part in line.split())
        if fields.get("standin") == "log":
            address = fields["address"]
        if fields["event"] == "ready":
            break
    try:
        yield address
    finally:
        process.terminate()
        process.wait()
        process.stdout.close()


def set_faults(address: str, **faults: object) -> None:
    """Set faults of the stand-in at an address."""
    answer = urllib3.request("POST", f"http://{address}/v1/faults", json=faults)
    assert answer.status == 200
