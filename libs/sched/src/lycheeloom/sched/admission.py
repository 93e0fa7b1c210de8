"""Decides whether a submitted task is queued, held or refused."""

from __future__ import annotations

from lycheeloom.model.resources import Resources
from lycheeloom.model.verdict import Refusal, RefusalReason

from .events import describe
from .state import SchedulerState
from .tasks import Accepted, Held, Task

RETRY_AFTER_S = 1.0


class Admission:
    """Refuses tasks that may not or cannot run, with a reason."""

    def __init__(self, state: SchedulerState) -> None:
        self._state = state

    def check(self, task: Task, now: float) -> Accepted | Held | Refusal:
        """Return whether a new task is accepted, held or refused."""
        disallowed = self.check_allowed(task)
        if disallowed is not None:
            return disallowed
        fit = self._check_size(task, self._state.queues.home_pool(task.queue))
        if isinstance(fit, Refusal):
            return fit
        late = self._check_deadline(task, now)
        if late is not None:
            return late
        if not self._state.queues.has_space(task.organisation, task.queue):
            message = (
                f"queue {task.queue!r} has no space for organisation "
                f"{task.organisation!r}"
            )
            return Refusal(RefusalReason.QUEUE_FULL, message, RETRY_AFTER_S)
        return fit

    def check_allowed(self, task: Task) -> Refusal | None:
        """Return a refusal if the organisation may not use the queue."""
        queue = self._state.config.queue_by_id.get(task.queue)
        if queue is None:
            message = f"no queue {task.queue!r}"
            return Refusal(RefusalReason.UNKNOWN_QUEUE, message)
        if not queue.open_to_all and task.organisation not in queue.organisations:
            message = (
                f"organisation {task.organisation!r} may not use queue {task.queue!r}"
            )
            return Refusal(RefusalReason.ORGANISATION_NOT_ALLOWED, message)
        return None

    def _check_size(self, task: Task, pool: str) -> Accepted | Held | Refusal:
        """Compare the size of a task with the workers it may use and with the fleet.

        A task whose declared size is too large is not refused if its corrected size
        fits.
        """
        state = self._state
        pools = [pool]
        pools += [p.id for p in state.config.pool_by_id.values() if p.spare]
        corrected = state.sizes.corrected_size(task)
        for wanted in (task.resources, corrected):
            for name in pools:
                if any(
                    wanted.fits_in(size) for size in state.workers.worker_sizes(name)
                ):
                    return Accepted()
        smallest = min(task.resources, corrected, key=lambda r: (r.cores, r.memory_mb))
        for name in state.config.pool_by_id:
            if any(smallest.fits_in(size) for size in state.workers.worker_sizes(name)):
                return Held(
                    f"no worker of pool {pool} or a spare pool has room for "
                    f"{describe(smallest)}; pool {name} has workers that could be "
                    f"moved"
                )
        return self._never_fits(task.resources)

    def _never_fits(self, wanted: Resources) -> Refusal:
        instances = self._state.config.instance_by_id.values()
        for name in ("cores", "memory_mb", "accelerators"):
            largest = max(
                instances, key=lambda i: (getattr(i.size, name), i.id), default=None
            )
            if largest is None:
                message = "the fleet has no instances"
                return Refusal(RefusalReason.NEVER_FITS, message)
            available = getattr(largest.size, name)
            if getattr(wanted, name) > available:
                message = (
                    f"the task needs {getattr(wanted, name):g} {name}, but the "
                    f"largest instance, {largest.id}, has {available:g}"
                )
                return Refusal(RefusalReason.NEVER_FITS, message)
        largest = max(instances, key=lambda i: (i.size.cores, i.size.memory_mb, i.id))
        message = (
            f"no single instance has {describe(wanted)}; the largest, "
            f"{largest.id}, has {describe(largest.size)}"
        )
        return Refusal(RefusalReason.NEVER_FITS, message)

    def _check_deadline(self, task: Task, now: float) -> Refusal | None:
        if task.deadline is None:
            return None
        if now >= task.deadline:
            return Refusal(RefusalReason.DEADLINE, "the deadline has passed")
        if task.urgent:
            return None
        state = self._state
        queued = state.queues.queued(task.organisation, task.queue)
        wait_s = state.waits.expected_wait_s(task.organisation, task.queue, queued, now)
        if wait_s is None or now + wait_s <= task.deadline:
            return None
        message = (
            f"about {wait_s:.1f} s of work is queued before the task, which must "
            f"start within {task.deadline - now:.1f} s"
        )
        return Refusal(RefusalReason.DEADLINE, message, RETRY_AFTER_S)
