"""Time and size limits that several libraries share."""

# A process is stale if its last evidence that its replayed state is current is older
# than this. The evidence comes from the log or from peers.
FRESHNESS_S = 1.5
# A worker accepts starts in a session for this long after the last renewal of the
# session.
SESSION_TTL_S = 1.5
# A worker stops a task when its lease has not been renewed for this long.
TASK_LEASE_S = 15.0
# Members vote to expel a peer from which nothing has arrived for this long.
SILENCE_TIMEOUT_S = 5.0
# Time between the expulsion of a member and the reuse of its grants. The tasks of
# the member have stopped by then: the sum of FRESHNESS_S, SESSION_TTL_S and
# TASK_LEASE_S, with a margin for differing clock rates.
RECLAIM_WAIT_S = 20.0
# Time between heartbeats from one entry to another.
HEARTBEAT_INTERVAL_S = 0.5
# Minimum time between the starts of two appends of one process to the log.
COMMIT_INTERVAL_S = 0.05
# Largest payload of a request.
MAX_PAYLOAD_BYTES = 64 * 1024
# Largest answer of a recorded request that is kept in the log.
MAX_ANSWER_BYTES = 64 * 1024
# Largest encoded batch of log records.
MAX_BATCH_BYTES = 256 * 1024
