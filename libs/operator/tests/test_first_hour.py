"""Tests that programs accept the files in ``examples/first-hour``."""

import subprocess
import sys
from pathlib import Path

import pytest

FOLDER = Path(__file__).parents[3] / "examples/first-hour"


@pytest.mark.parametrize(
    ("module", "arguments"),
    [
        ("standins.main", ["standins.toml", "--check-config"]),
        ("entry.main", ["entry-1.toml", "--check-config"]),
        ("entry.main", ["entry-2.toml", "--check-config"]),
        ("entry.main", ["entry-3.toml", "--check-config"]),
        ("controller.main", ["controller.toml", "--check-config"]),
        ("operator.main", ["--settings", "lycheeloom.toml", "--check-config"]),
        ("operator.main", ["config", "check", "fleet.toml"]),
    ],
)
def test_program_accepts_its_example_file(module, arguments):
    """Guards against example files that the programs reject or warn about."""
    command = [sys.executable, "-m", f"lycheeloom.{module}", *arguments]
    result = subprocess.run(command, cwd=FOLDER, capture_output=True, text=True)
    assert result.returncode == 0, result.stdout + result.stderr
    assert "warning" not in result.stdout
