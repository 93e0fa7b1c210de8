"""Lets other greenlets run during a long loop."""

from __future__ import annotations

import gevent

from .clock import steady_s

# Polls and renewals of leases are late by at most about this time.
MAX_TURN_S = 0.02


class Turns:
    """Gives way to other greenlets when a loop has used the processor for a while.

    Example::

        turns = Turns()
        for record in records:
            apply(record)
            turns.give_way()
    """

    def __init__(self) -> None:
        self._began_s = steady_s()

    def give_way(self) -> None:
        """Let other greenlets run if the loop has run for ``MAX_TURN_S``."""
        if steady_s() - self._began_s < MAX_TURN_S:
            return
        # A sleep of 0 s would not let timers fire that are due.
        gevent.sleep(0.001)
        self._began_s = steady_s()
