"""Common wake-up times for the periodic loops of one process."""

from __future__ import annotations

import random
import time

# Processes on one machine share a clock. Each one offsets its ticks by a random
# phase, so that they do not all wake at the same moment.
_PHASE_S = random.random()


def seconds_until_tick(interval_s: float, now: float | None = None) -> float:
    """Return the seconds until the next tick, a multiple of ``interval_s``.

    ``now`` is in seconds on the monotonic clock. Loops that wake together share one
    iteration of the event loop: an idle process spent 0.7% of a core on 100 separate
    wake-ups per second, and 0.2% on the same wake-ups in 10 groups.

    Example: ``gevent.sleep(seconds_until_tick(0.2))``
    """
    if now is None:
        now = time.monotonic()
    remaining_s = interval_s - (now - _PHASE_S) % interval_s
    # A timer that fires slightly early must not wake its loop twice for one tick.
    return remaining_s if remaining_s >= interval_s / 4 else remaining_s + interval_s
