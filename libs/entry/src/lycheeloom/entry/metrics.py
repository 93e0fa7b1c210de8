"""Metrics of an entry. Label values come from the configuration only."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

_LATENCY_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    15.0,
    60.0,
)


class TeamGauge:
    """A gauge by team that passes on only values that have changed.

    Most of the values that are set every second stay the same, and each pass
    through the client library takes a lock and a look-up by label.
    """

    def __init__(self, gauge: Gauge) -> None:
        self._gauge = gauge
        self._value_by_team: dict[str, float] = {}

    def set(self, team: str, value: float) -> None:
        """Set the value of a team."""
        if self._value_by_team.get(team) == value:
            return
        self._value_by_team[team] = value
        self._gauge.labels(team).set(value)


class EntryMetrics:
    """All metrics of one entry in a registry of its own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = self._counter(
            "requests", "Requests that ended, by queue and verdict", "queue", "verdict"
        )
        self.refusals = self._counter(
            "refusals", "Requests refused as not run, by reason", "reason"
        )
        self.latency_s = Histogram(
            "lycheeloom_request_seconds",
            "Time from acceptance to verdict",
            ["queue"],
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.starts = self._counter(
            "starts", "Starts sent to workers, by result", "result"
        )
        self.retries = self._counter("retries", "Attempts repeated elsewhere", "queue")
        self.running = self._team_gauge("team_running_tasks", "Running tasks here")
        self.queued = self._team_gauge("team_queued_tasks", "Queued tasks here")
        self.granted = self._team_gauge(
            "team_granted_slots", "Running slots held by this entry"
        )
        self.share_ratio = self._team_gauge(
            "team_dominant_share_ratio", "Fleet-wide dominant share in use"
        )
        self.fresh = self._gauge("entry_fresh", "1 if this entry may start tasks")
        self.log_age_s = self._gauge(
            "log_age_seconds", "Time since the last successful log read"
        )
        self.config_version = self._gauge(
            "config_version", "Version of the configuration in force"
        )
        self.loop_delay_s = self._gauge(
            "event_loop_delay_seconds", "Latest delay of a 100 ms timer"
        )

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"lycheeloom_{name}", text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return Gauge(f"lycheeloom_{name}", text, labels, registry=self.registry)

    def _team_gauge(self, name: str, text: str) -> TeamGauge:
        return TeamGauge(self._gauge(name, text, "team"))
