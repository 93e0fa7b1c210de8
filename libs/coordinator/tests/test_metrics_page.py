"""Checks that the pages on metrics, alerts and logs match the code."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from prometheus_client import generate_latest

from lycheeloom.coordinator import metrics

ROOT = Path(__file__).parents[3]
PAGE = (ROOT / "docs/metrics.md").read_text()
OPERATIONS = (ROOT / "docs/OPERATIONS.md").read_text()
RULES = (ROOT / "ops/alerts-jobs.yml").read_text()
SECTION = PAGE[PAGE.index("## Jobs on the users' platform") :]
SOURCES = "".join(
    path.read_text()
    for folder in ("libs/coordinator/src", "platform/src", "libs/jobs/src")
    for path in (ROOT / folder).rglob("*.py")
)
ALERTS = re.findall(r"- alert: (\w+)", RULES)
# Names of log events that OPERATIONS.md refers to.
EVENTS = sorted(
    set(
        re.findall(
            r"`((?:job|task|worker|lead|leader|store|wave|maintenance)_\w+)", OPERATIONS
        )
    )
)


def served_metrics() -> set[str]:
    """Return the names under which the coordinator's metrics are exposed."""
    metric_names = {
        metric._name
        for metric in vars(metrics).values()
        if hasattr(metric, "_name") and hasattr(metric, "collect")
    }
    exposed_names = set(re.findall(r"^# HELP (\w+)", generate_latest().decode(), re.M))
    # The names of counters are exposed with the suffix "_total".
    return {
        name
        for name in exposed_names
        if name in metric_names or name.removesuffix("_total") in metric_names
    }


def test_page_lists_exactly_the_served_metrics():
    """The page must list every metric, and none that no longer exists."""
    assert set(re.findall(r"^\| `(\w+)`", SECTION, re.M)) == served_metrics()


@pytest.mark.parametrize("alert", ALERTS)
def test_alert_uses_served_metrics_and_is_explained(alert):
    """An alert must use only metrics that exist, and be explained in OPERATIONS.md."""
    rule = RULES[RULES.index(f"alert: {alert}\n") :].split("- alert:")[0]
    used_names = set(re.findall(r"lycheeloom_\w+", rule))
    served_names = served_metrics()
    for name in used_names:
        histogram_name = re.sub(r"_(bucket|count|sum)$", "", name)
        assert name in served_names or histogram_name in served_names
    assert used_names
    assert f"`{alert}`" in OPERATIONS


@pytest.mark.parametrize("event", EVENTS)
def test_documented_log_event_is_written(event):
    """OPERATIONS.md must not refer to log events that no process writes."""
    assert f'"{event}"' in SOURCES
