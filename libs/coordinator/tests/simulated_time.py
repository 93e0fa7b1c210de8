"""Simulated time for tests: greenlets run as usual, but sleeping takes no real time."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any, Self
from unittest.mock import patch
from weakref import WeakKeyDictionary, WeakSet

import gevent

from lycheeloom.coordinator import clock

# Start of simulated time, by the monotonic clock and by Unix time.
EPOCH_S = 1_000.0
UNIX_EPOCH_S = 1_700_000_000.0


class SimulatedTime:
    """Replaces the timers of gevent's loop and the clocks of the coordinator.

    Time advances only in ``advance``, from one timer to the next, after all greenlets
    that are ready have run. The speed of the machine therefore has no influence on what
    the greenlets see.

    Takes effect within a ``with`` statement, at whose end the greenlets that were
    spawned in it are killed.
    """

    # Identifies the clock as in the module ``time``.
    CLOCK_BOOTTIME = 7

    def __init__(self) -> None:
        self.now_s = EPOCH_S
        # New greenlets begin to run this much later, as in a busy process.
        self.spawn_delay_s = 0.0
        self._hub = gevent.get_hub()
        self._real_loop = self._hub.loop
        # Time, sequence number and timer; the number keeps timers of equal time in
        # order.
        self._queue: list[tuple[float, int, _Timer]] = []
        self._sequence = itertools.count()
        self._greenlets: WeakSet[gevent.Greenlet] = WeakSet()
        # Name of the process to which a greenlet belongs, as do those that it spawns.
        self._process_by_greenlet: WeakKeyDictionary[Any, str] = WeakKeyDictionary()
        self._frozen_until_s_by_process: dict[str, float] = {}
        # The object takes the place of the module ``time``.
        self._clock_patch = patch.object(clock, "time", self)

    def __enter__(self) -> Self:
        self._hub.loop = _Loop(self._real_loop, self)
        self._clock_patch.start()
        gevent.Greenlet.add_spawn_callback(self._note_spawned)
        return self

    def __exit__(self, *exc_info: object) -> None:
        gevent.Greenlet.remove_spawn_callback(self._note_spawned)
        gevent.killall(list(self._greenlets), block=False)
        self._run_ready()
        self._clock_patch.stop()
        self._hub.loop = self._real_loop

    def clock_gettime(self, clock_id: int) -> float:
        """Return the simulated monotonic time in seconds."""
        return self.now_s

    def time_ns(self) -> int:
        """Return the simulated Unix time in nanoseconds."""
        return int((self.now_s - EPOCH_S + UNIX_EPOCH_S) * 1e9)

    def advance(self, duration_s: float) -> None:
        """Run the greenlets for a simulated time."""
        end_s = self.now_s + duration_s
        self._run_ready()
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, timer = heapq.heappop(self._queue)
            if timer.fire():
                self._run_ready()
        self.now_s = end_s

    def set_process(self, greenlet: gevent.Greenlet, process: str) -> None:
        """Let a greenlet belong to a process; an empty name stands for none."""
        self._process_by_greenlet[greenlet] = process

    def current_process(self) -> str:
        """Return the name of the process that runs now."""
        return self._process_by_greenlet.get(gevent.getcurrent(), "")

    def freeze(self, process: str, duration_s: float) -> None:
        """Let no timer of a process fire for some time.

        Greenlets that wait for something outside of their process are to sleep briefly
        afterwards, so that they do not go on meanwhile.
        """
        self._frozen_until_s_by_process[process] = self.now_s + duration_s

    def frozen_for_s(self, process: str) -> float:
        """Return for how long a process stays frozen."""
        until_s = self._frozen_until_s_by_process.get(process, 0.0)
        return max(0.0, until_s - self.now_s)

    def add_timer(self, timer: _Timer) -> int:
        """Queue a timer; return its sequence number."""
        number = next(self._sequence)
        heapq.heappush(self._queue, (self.now_s + timer.after_s, number, timer))
        return number

    def _note_spawned(self, greenlet: gevent.Greenlet) -> None:
        self._greenlets.add(greenlet)
        self.set_process(greenlet, self.current_process())

    def _run_ready(self) -> None:
        """Run greenlets until all of them wait for time to pass."""
        current = gevent.getcurrent()
        while True:
            self._real_loop.run_callback(current.switch)
            self._hub.switch()
            if not self._real_loop._callbacks:
                return


class _Loop:
    """gevent's loop with simulated timers."""

    def __init__(self, real_loop: Any, time: SimulatedTime) -> None:
        self._real_loop = real_loop
        self._time = time

    def __getattr__(self, name: str) -> Any:
        return getattr(self._real_loop, name)

    def timer(
        self,
        after: float,
        repeat: float = 0.0,
        ref: bool = True,
        priority: int | None = None,
    ) -> _Timer:
        return _Timer(self._time, self._real_loop, after)

    def run_callback(self, callback: Callable[..., object], *args: object) -> Any:
        greenlet = getattr(callback, "__self__", None)
        is_new = isinstance(greenlet, gevent.Greenlet) and not greenlet
        if not is_new or not self._time.spawn_delay_s:
            return self._real_loop.run_callback(callback, *args)
        timer = self.timer(self._time.spawn_delay_s)
        timer.start(callback, *args)
        return timer


class _Timer:
    """A timer with the interface of gevent's timers."""

    def __init__(self, time: SimulatedTime, real_loop: Any, after_s: float) -> None:
        self.after_s = max(0.0, after_s)
        self._time = time
        self._real_loop = real_loop
        self._process = time.current_process()
        self._callback: Callable[..., object] | None = None
        self._args: tuple = ()

    @property
    def active(self) -> bool:
        """Return whether the timer has been started and has not fired."""
        return self._callback is not None

    pending = active

    def start(
        self, callback: Callable[..., object], *args: object, update: bool = True
    ) -> None:
        self._callback, self._args = callback, args
        self._time.add_timer(self)

    def stop(self) -> None:
        self._callback = None

    close = stop

    def fire(self) -> bool:
        """Schedule the callback; return False if the timer was stopped.

        The timer is put off while its process is frozen.
        """
        if self._callback is None:
            return False
        if frozen_for_s := self._time.frozen_for_s(self._process):
            self.after_s = frozen_for_s
            self._time.add_timer(self)
            return False
        self._real_loop.run_callback(self._callback, *self._args)
        self._callback = None
        return True

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()
