"""Tests of the planner's goals that do not depend on the speed of the machine."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

from bench import fleet_buffers, fleet_rollout
from bench.fleet_simulation import user_fleet


def test_buffer_plans_meet_their_goals():
    for row in fleet_buffers.measure(seed=1)["rows"]:
        assert row["worst cost"] <= row["cost goal"]
        assert row["worst moves"] <= row["moves goal"]
        assert row["uncovered"] == 0


def test_rollout_meets_its_goals():
    for failing in (False, True):
        row = fleet_rollout._run("user A", user_fleet(64, 262144), failing, seed=1)
        assert row["ratio"] <= row["goal"]
        assert row["over budget"] == row["work lost"] == 0


def test_command_prints_json():
    program = [sys.executable, "-m", "bench.fleet_cli", "buffers", "--json"]
    done = subprocess.run(program, capture_output=True, text=True, check=True)
    assert json.loads(done.stdout)["command"] == "buffers"


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(("cores", "memory_mb"), [(64, 262144), (16, 65536)])
def test_forecast_at_half_of_a_wave_is_within_a_quarter(seed, cores, memory_mb):
    """The forecast in the status document must be close to the time that is left."""
    row = fleet_rollout._run("user A", user_fleet(cores, memory_mb), False, seed)
    left_s, forecast_s = row["left at half s"], row["forecast at half s"]
    assert abs(forecast_s - left_s) <= 0.25 * left_s
    assert row["worst error near half"] <= 0.25
