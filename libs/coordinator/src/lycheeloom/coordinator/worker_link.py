"""Polls a worker, which renews the worker's lease and returns its lists of runs."""

from __future__ import annotations

import math
from collections.abc import Callable

import gevent

from lycheeloom.jobs.model import Worker
from lycheeloom.telemetry import log_event

from . import metrics
from .clock import steady_s
from .ports import CallReply, Renewal, TaskLists, WorkerPort
from .worker_clock import WorkerClock
from .writer import Commit

# Duration of the lease of all runs on a worker; the worker ends them when it expires.
# Longer than a change of leader takes.
WORKER_LEASE_S = 4.0
# Workers shorten longer leases to this duration, unless the settings name another.
LONGEST_LEASE_S = 10.0
# Factor by which a worker's clock may run slower than the leader's, so that the worker
# ends its runs later.
CLOCK_RATE_MARGIN = 1.02
# Allowance for the time that a call takes to reach the worker.
LEASE_MARGIN_S = 0.3
# Long-poll timeout: how long a worker waits for a run to end before it answers.
POLL_WAIT_MS = 900
# Long-poll timeout while a run on the worker needs frequent polls.
SHORT_POLL_WAIT_MS = 300
# Pause after a failed poll.
FAILURE_PAUSE_S = 0.25
# A poll is delayed at most this long until earlier ends are recorded; it then leaves
# them unacknowledged.
MAX_COMMIT_WAIT_S = 0.5
# Pause while this instance may not act as leader.
IDLE_PAUSE_S = 0.1


class WorkerLink:
    """Maintains the lease of one incarnation of a worker and polls its runs.

    A worker numbers the ends of its runs and lists each end until the leader
    acknowledges it. The leader does so only when it has recorded the end, so that the
    next leader does not miss it. The end of a lease is a time by the worker's clock,
    which starts anew with each incarnation. Both are sent only over the connection of
    the last lists, so that no other incarnation with the same id gets them. If that
    connection is closed, a poll only lists the runs, and the next one follows at once
    and renews the lease.

    Where connections do not show the incarnation, a lease that was meant for this one
    may last up to ``longest_lease_s`` if another one gets it. When the clock in an
    answer is behind the time to be expected, another incarnation may have answered; no
    lease is granted from then on until lists show who answers.

    ``on_lists`` processes the lists requested at a given time. It returns the commit
    that must be durable before the worker may forget the ended runs, or None if there
    is nothing to wait for. ``on_reply`` is called when a poll fails.
    """

    def __init__(
        self,
        worker: Worker,
        port: WorkerPort,
        token: int,
        may_act: Callable[[], bool],
        on_lists: Callable[[WorkerLink, TaskLists, float], Commit | None],
        on_reply: Callable[[WorkerLink, CallReply], None],
        needs_frequent_polls: Callable[[WorkerLink], bool],
        longest_lease_s: float = LONGEST_LEASE_S,
    ) -> None:
        self.worker = worker
        self.created_s = steady_s()
        # Number of the latest end that was processed.
        self.newest_end = 0
        # The last lists did not contain all ends.
        self._has_more_ends = False
        # True until the lists of the first successful poll have been processed.
        self.is_first_poll = True
        # When the worker last answered a poll.
        self.reached_s = -math.inf
        # No lease granted to the worker by this leader or its predecessors lasts beyond
        # this time of the leader's monotonic clock.
        self.granted_until_s = steady_s() + max_lease_duration_s(WORKER_LEASE_S)
        # True while another incarnation may have taken the place of this one.
        self.is_in_doubt = False
        self._port = port
        self._token = token
        self._may_act = may_act
        self._on_lists = on_lists
        self._on_reply = on_reply
        self._needs_frequent_polls = needs_frequent_polls
        # Number of the latest end that was processed and recorded.
        self._newest_durable_end = 0
        # Connection of the last lists; None before them, after a failed poll, and if
        # another incarnation has answered.
        self._lists_connection_id: int | None = None
        # Becomes durable when all ends processed so far are recorded.
        self._commit: Commit | None = None
        self._longest_lease_s = longest_lease_s
        self._clock = WorkerClock()
        self._in_doubt_since_s = -math.inf
        self._failing_since_s: float | None = None
        self.is_stopped = False

    @property
    def is_reachable(self) -> bool:
        """Return whether the worker answered the last poll."""
        return self._failing_since_s is None and not self.is_first_poll

    @property
    def failing_for_s(self) -> float:
        """Return for how many seconds polls have failed; 0 if the last succeeded."""
        if self._failing_since_s is None:
            return 0.0
        return steady_s() - self._failing_since_s

    @property
    def is_lease_expired(self) -> bool:
        """Return whether all granted leases have definitely expired."""
        return steady_s() > self.granted_until_s

    @property
    def is_lost(self) -> bool:
        """Return whether the worker does not respond and its lease has expired."""
        return self.failing_for_s > 0 and self.is_lease_expired

    def grant_lease(self) -> int | None:
        """Grant a new lease; return its end in ms by the worker's clock.

        Returns None if the worker's clock is not known yet, or in doubt.
        """
        now_s = steady_s()
        clock_ms = self._clock.estimate_ms(now_s)
        if clock_ms is None or self.is_in_doubt:
            return None
        self._extend_granted(WORKER_LEASE_S)
        return int(clock_ms + WORKER_LEASE_S * 1000)

    def expect_longest_lease(self) -> None:
        """Take into account that the worker may hold the longest possible lease."""
        self._extend_granted(self._longest_lease_s)

    def note_clock(self, clock_ms: int | None, sent_s: float) -> None:
        """Process the time of the worker's clock, in ms, in an answer.

        The answer belongs to a call that was sent at ``sent_s``.
        """
        if clock_ms is None or self.is_in_doubt or self.is_stopped:
            return
        if self._clock.note(clock_ms, sent_s):
            return
        log_event(
            "worker_clock_doubted",
            level="WARNING",
            worker=self.worker.worker_id,
            clock_ms=clock_ms,
            expected_ms=self._clock.estimate_ms(steady_s()),
        )
        self.is_in_doubt, self._in_doubt_since_s = True, steady_s()
        self.expect_longest_lease()

    def _extend_granted(self, lease_s: float) -> None:
        until_s = steady_s() + max_lease_duration_s(lease_s)
        self.granted_until_s = max(self.granted_until_s, until_s)

    def run(self) -> None:
        """Poll the worker until the link is stopped."""
        while not self.is_stopped:
            if not self._may_act():
                gevent.sleep(IDLE_PAUSE_S)
                continue
            self._poll()

    def _poll(self) -> None:
        is_frequent = self.is_first_poll or self._needs_frequent_polls(self)
        wait_ms = SHORT_POLL_WAIT_MS if is_frequent else POLL_WAIT_MS
        # The worker is to answer immediately if its lists are not known or outdated, or
        # if ends remain to be acknowledged or listed.
        if self.is_first_poll or self._newest_durable_end < self.newest_end:
            wait_ms = 0
        if self._has_more_ends:
            wait_ms = 0
        if self._failing_since_s is not None or self.is_lease_expired:
            wait_ms = 0
        began_s = steady_s()
        result = self._port.renew_and_list(
            self.worker, self._token, self._make_renewal(), wait_ms
        )
        if self.is_stopped:
            return
        outcome = "done"
        if isinstance(result, CallReply):
            outcome = result.outcome.value
        took_s = max(0.0, steady_s() - began_s - wait_ms / 1000)
        metrics.POLL_SECONDS.labels(outcome).observe(took_s)
        if isinstance(result, CallReply):
            self._note_failure(result, began_s)
            return
        self._note_success(result, began_s)
        self._has_more_ends = result.has_more_ends
        commit = self._on_lists(self, result, began_s)
        self.is_first_poll = False
        if self.is_stopped:
            return
        if result.is_from_other_incarnation(self.worker):
            # Its start time is lower than the known one, so this link remains.
            gevent.sleep(FAILURE_PAUSE_S)
        if commit is not None:
            self._commit = commit
        if self._newest_durable_end == self.newest_end:
            return
        # Without a new commit, the ends processed so far wait for an earlier one.
        if self._commit is None or self._commit.wait(MAX_COMMIT_WAIT_S):
            self._newest_durable_end = self.newest_end

    def _make_renewal(self) -> Renewal | None:
        """Grant a lease and acknowledge ends, unless the worker may have restarted.

        A worker that does not respond gets no new lease: its current lease must expire
        before its tasks may start elsewhere.
        """
        if self._lists_connection_id is None:
            return None
        return Renewal(
            self._lists_connection_id, self.grant_lease(), self._newest_durable_end
        )

    def _note_success(self, lists: TaskLists, sent_s: float) -> None:
        self.reached_s = steady_s()
        is_other = lists.is_from_other_incarnation(self.worker)
        self._lists_connection_id = None if is_other else lists.connection_id
        if not is_other and sent_s >= self._in_doubt_since_s:
            # The lists show that the clock is that of this incarnation.
            self._clock, self.is_in_doubt = WorkerClock(), False
        self.note_clock(lists.clock_ms, sent_s)
        if self._failing_since_s is not None:
            log_event(
                "worker_regained",
                worker=self.worker.worker_id,
                after_s=self.failing_for_s,
            )
            self._failing_since_s = None

    def _note_failure(self, reply: CallReply, sent_s: float) -> None:
        self._lists_connection_id = None
        if self._failing_since_s is None:
            self._failing_since_s = steady_s()
            log_event(
                "worker_lost",
                level="WARNING",
                worker=self.worker.worker_id,
                outcome=reply.outcome.value,
                reason=reply.reason,
            )
        self.note_clock(reply.clock_ms, sent_s)
        self._on_reply(self, reply)
        gevent.sleep(FAILURE_PAUSE_S)


def max_lease_duration_s(lease_s: float) -> float:
    """Return the maximum duration of a lease, by the leader's clock."""
    return lease_s * CLOCK_RATE_MARGIN + LEASE_MARGIN_S
