"""Tests of controller metrics that alerts depend on."""

from types import SimpleNamespace

from prometheus_client import generate_latest

from lycheeloom.controller import metrics as module
from lycheeloom.controller.metrics import ControllerMetrics
from lycheeloom.fleet import FleetView
from lycheeloom.model.config import parse_config
from lycheeloom.model.records import MoveStage


def test_former_holder_reports_no_move(monkeypatch):
    """Guards against a stuck-move alert from a controller that lost the duty."""
    now = [0.0]
    clock = SimpleNamespace(monotonic=lambda: now[0])
    monkeypatch.setattr(module, "time", clock)
    move = SimpleNamespace(move_id="m", stage=MoveStage.DRAINING)
    view = FleetView(
        config=parse_config({"name": "x"}, 1), move_by_instance={"w": move}
    )
    planner = SimpleNamespace(
        unavailable_by_pool=dict, buffer_plan=SimpleNamespace(needs=())
    )
    metrics = ControllerMetrics()

    def served():
        return generate_latest(metrics.registry).decode()

    metrics.set_fleet(view, planner)
    now[0] = 3601.0
    metrics.set_fleet(view, planner)
    assert "lycheeloom_moves_in_progress 1.0" in served()
    assert "lycheeloom_oldest_move_seconds 3601.0" in served()
    metrics.set_fleet(None, planner)
    assert "lycheeloom_moves_in_progress 0.0" in served()
    assert "lycheeloom_oldest_move_seconds 0.0" in served()
