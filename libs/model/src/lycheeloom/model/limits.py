"""Time bounds and sizes that several libraries share."""

# A fresh entry heard the log or enough peers this recently.
FRESHNESS_S = 1.5
# A worker accepts starts on a session this long after it was last renewed.
SESSION_TTL_S = 1.5
# A worker stops a task this long after its lease was last renewed.
TASK_LEASE_S = 15.0
# Members vote to expel a peer after this silence.
SILENCE_TIMEOUT_S = 5.0
# FRESHNESS_S + SESSION_TTL_S + TASK_LEASE_S, and a margin for clock rates.
RECLAIM_WAIT_S = 20.0
HEARTBEAT_INTERVAL_S = 0.5
COMMIT_INTERVAL_S = 0.05
MAX_PAYLOAD_BYTES = 64 * 1024
MAX_ANSWER_BYTES = 64 * 1024
MAX_BATCH_BYTES = 256 * 1024
