"""Prometheus metrics of a process that accepts and schedules jobs."""

from __future__ import annotations

from prometheus_client import Counter, Gauge, Histogram

_LATENCY_BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)


def _histogram(name: str, help_text: str, *labels: str) -> Histogram:
    return Histogram(name, help_text, labels, buckets=_LATENCY_BUCKETS)


SUBMISSIONS = Counter(
    "lycheeloom_job_submissions", "Jobs handed in, by verdict", ["verdict"]
)
REFUSALS = Counter(
    "lycheeloom_job_refusals", "Calls refused, by kind of reason", ["reason"]
)
QUEUE_WAIT = Gauge(
    "lycheeloom_queue_wait_seconds",
    "Time until a new job of an overloaded queue would start",
    ["queue"],
)
REJECTION_CORRECTIONS = Counter(
    "lycheeloom_rejection_corrections",
    "Rejections corrected in the log by this process as the leader",
)
DURABLE_SECONDS = _histogram(
    "lycheeloom_job_durable_seconds", "Time until a submission or cancellation is kept"
)
FIRST_START_SECONDS = _histogram(
    "lycheeloom_job_first_start_seconds", "Time from acceptance to the first start"
)
START_SECONDS = _histogram(
    "lycheeloom_task_start_seconds", "Calls that start a task, by outcome", "outcome"
)
POLL_SECONDS = _histogram(
    "lycheeloom_worker_look_seconds", "Looks at workers without their wait", "outcome"
)
TASKS_ENDED = Counter("lycheeloom_tasks_ended", "Runs that ended, by how", ["how"])
LEADER_LATE_SECONDS = _histogram(
    "lycheeloom_leader_late_seconds", "Delay of the leader's planning rounds"
)
LEADER_ROUND_SECONDS = _histogram(
    "lycheeloom_leader_round_seconds", "Duration of the leader's planning rounds"
)
STORE_SECONDS = _histogram(
    "lycheeloom_store_call_seconds", "Calls to the store", "kind", "result"
)
INSTANCE_ORDERS = Counter(
    "lycheeloom_instance_orders",
    "Moves and maintenance ordered, by outcome",
    ["kind", "outcome"],
)
INSTANCES_EMPTIED = Counter(
    "lycheeloom_instances_emptied",
    "Busy instances emptied for pools below their share, by the pool that had them",
    ["pool"],
)
MAINTENANCE_CHOSEN = Counter(
    "lycheeloom_maintenance_chosen",
    "Instances chosen by gentle maintenance, by reason",
    ["reason"],
)
MAINTENANCE_ROUND_SECONDS = _histogram(
    "lycheeloom_maintenance_round_seconds",
    "Time from choosing an instance until it is back, by what it had to get rid of",
    "kind",
)
DEMAND_FORECASTS = Counter(
    "lycheeloom_demand_forecasts", "Forecasts of a pool's load, by outcome", ["outcome"]
)
UNEXPECTED_ERRORS = Counter(
    "lycheeloom_unexpected_errors", "Unexpected exceptions, by part", ["part"]
)
UNREADABLE_RECORDS = Counter(
    "lycheeloom_unreadable_records",
    "Records of other writers that were left out, by topic",
    ["topic"],
)
BAD_RATINGS = Counter(
    "lycheeloom_worker_bad_ratings",
    "Workers that became badly rated, by pool and rating",
    ["pool", "rating"],
)
EARLY_STALLS = Counter(
    "lycheeloom_early_stalls",
    "Runs stopped for lack of progress before the usual limit",
)
LEADING = Gauge("lycheeloom_leading", "1 while this process leads")
TOKEN = Gauge("lycheeloom_fencing_token", "Token of the newest leader known here")
POLICY_VERSION = Gauge("lycheeloom_policy_version", "Configuration in force here")
POLICY_AGE = Gauge(
    "lycheeloom_policy_age_seconds", "Time since that configuration was taken over"
)
TABLE_AGE = Gauge(
    "lycheeloom_table_age_seconds", "Time since the last successful read of the store"
)
JOBS = Gauge("lycheeloom_jobs", "Jobs known here, by state", ["state"])
POOL_CAPACITY = Gauge(
    "lycheeloom_pool_capacity_cores", "Cores of a pool's workers", ["pool"]
)
POOL_USED = Gauge("lycheeloom_pool_used_cores", "Cores reserved in a pool", ["pool"])
ORGANISATION_USED = Gauge(
    "lycheeloom_organisation_used_cores",
    "Cores used by an organisation",
    ["organisation"],
)
ORGANISATION_LIMIT = Gauge(
    "lycheeloom_organisation_limit_cores",
    "Upper limit of an organisation in cores; 0 is no limit",
    ["organisation"],
)
OVERLOADED_JOBS = Gauge(
    "lycheeloom_overloaded_jobs",
    "Waiting jobs of a queue whose pool is full, by how they are served",
    ["queue", "service"],
)
CLIENTS_REFUSED = Counter(
    "lycheeloom_clients_refused",
    "Requests and connections refused beyond the client limits, by reason",
    ["reason"],
)
CLIENT_CONNECTIONS = Gauge(
    "lycheeloom_client_connections", "Open connections of clients"
)
CLIENT_PENDING_BYTES = Gauge(
    "lycheeloom_client_pending_bytes", "Bytes of requests that are not answered yet"
)
LINES_DROPPED = Gauge("lycheeloom_log_lines_dropped", "Log lines dropped so far")
