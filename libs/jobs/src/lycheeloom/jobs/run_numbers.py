"""Keeps the run numbers of different leaders apart."""

from __future__ import annotations

# The numbers that each leader has to itself, of each job. Starts are not recorded, so a
# leader does not know all numbers that its predecessors have given.
RUNS_PER_LEADER = 1 << 16
# No number is skipped beyond this one. Records hold numbers up to 2**32 - 1; the other
# half remains for runs.
MAX_SKIPPED_RUN = 1 << 31
# After this many elections, the numbers of leaders begin anew.
LEADERS_PER_CYCLE = MAX_SKIPPED_RUN // RUNS_PER_LEADER


def highest_former_run(token: int, highest_known_run: int) -> int:
    """Return a number that no run of a job exceeds which a former leader has started.

    ``token`` is the fencing token of the new leader, and ``highest_known_run`` the
    highest number in the records of the job. The result holds if no former leader has
    given the job more than ``RUNS_PER_LEADER`` numbers, and all have led in the same
    cycle of elections. Otherwise, it is an estimate from the records, as the latest
    numbers may not be recorded.

    The result stays at or below ``MAX_SKIPPED_RUN`` unless that many runs are known.
    """
    # Tokens begin at 1, and with the first one there was no leader before.
    highest_run = (token - 1) % LEADERS_PER_CYCLE * RUNS_PER_LEADER
    if highest_run < highest_known_run:
        highest_run = highest_known_run + RUNS_PER_LEADER
    return max(highest_known_run, min(highest_run, MAX_SKIPPED_RUN))
