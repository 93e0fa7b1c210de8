"""Metrics of an entry, compared with their documentation."""

import re
from pathlib import Path

import pytest
from prometheus_client import generate_latest

from lycheeloom.entry.metrics import EntryMetrics
from lycheeloom.model.config import ZoneState
from lycheeloom.model.status import (
    MemberStatus,
    OrganisationStatus,
    QueueStatus,
    StatusDocument,
    ZoneStatus,
)

PAGE = Path(__file__).parents[3] / "docs" / "metrics.md"
TABLE = PAGE.read_text().split("## Entry")[1].split("## Controller")[0]
DOCUMENTED = sorted(re.findall(r"^\| `(lycheeloom_\w+)`", TABLE, re.MULTILINE))


@pytest.fixture
def metrics():
    metrics = EntryMetrics()
    metrics.set_status(
        StatusDocument(
            fresh=True,
            log_age_ms=5,
            members=[MemberStatus(incarnation="a")],
            organisations={"t": OrganisationStatus(upper_limit=3)},
            queues={"q": QueueStatus(max_queued=7)},
            zones={"z": ZoneStatus(state=ZoneState.OUT)},
        )
    )
    return metrics


def test_documented_metrics_are_served(metrics):
    """An alert on a metric that is not served would never fire."""
    served = {
        line.split()[2]
        for line in generate_latest(metrics.registry).decode().splitlines()
        if line.startswith("# TYPE lycheeloom_")
    }
    # The text format names a counter's family with its suffix.
    assert {name for name in served if not name.endswith("_created")} == set(DOCUMENTED)


def test_an_entry_that_never_read_the_log_is_not_up_to_date(metrics):
    """Guards against an entry started in a log outage that raises no alert."""
    metrics.set_status(StatusDocument(log_age_ms=None))
    text = generate_latest(metrics.registry).decode()
    assert "lycheeloom_log_age_seconds +Inf" in text


def test_removed_names_disappear(metrics):
    """Guards against a removed zone that is still reported as out of service."""
    metrics.set_status(StatusDocument(zones={"new": ZoneStatus()}))
    text = generate_latest(metrics.registry).decode()
    assert 'lycheeloom_zone_in_service{zone="new"} 1.0' in text
    assert 'zone="z"' not in text
