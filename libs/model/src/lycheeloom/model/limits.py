"""Time and size limits that several libraries share."""

# Maximum age of the last evidence, from the log or from peers, that the replayed
# state of a process is current. The process is stale once it is older.
FRESHNESS_S = 1.5
# A worker accepts starts on a session for this long after its last renewal.
SESSION_TTL_S = 1.5
# A worker stops a task when its lease has not been renewed for this long.
TASK_LEASE_S = 15.0
# Members vote to expel a peer from which nothing has arrived for this long.
SILENCE_TIMEOUT_S = 5.0
# Time between the expulsion of a member and the reuse of its grants. The tasks of
# the member have stopped by then: the sum of FRESHNESS_S, SESSION_TTL_S and
# TASK_LEASE_S, with a margin for differing clock rates.
RECLAIM_WAIT_S = 20.0
HEARTBEAT_INTERVAL_S = 0.5
COMMIT_INTERVAL_S = 0.05
MAX_PAYLOAD_BYTES = 64 * 1024
MAX_ANSWER_BYTES = 64 * 1024
MAX_BATCH_BYTES = 256 * 1024
