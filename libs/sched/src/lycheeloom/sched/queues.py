"""The queued tasks of an entry, indexed by pool, with a strict bound per queue."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from lycheeloom.model.config import FleetConfig, QueueKind

from .subqueues import Subqueue
from .tasks import TaskRecord, TaskState

# A batch task queued for longer than this gets the priority of an interactive one.
BATCH_PROMOTION_S = 600.0


class Queues:
    """The queued tasks of this entry."""

    def __init__(self) -> None:
        self.urgent: dict[str, TaskRecord] = {}
        # Subqueues to try again, as a task of them may be able to start now.
        self.changed_subqueues: dict[tuple[str, str], Subqueue] = {}
        self.count_by_organisation: Counter[str] = Counter()
        self._count_by_queue: Counter[str] = Counter()
        self._subqueue_by_key: dict[tuple[str, str], Subqueue] = {}
        # Only subqueues with queued tasks, by pool, organisation and queue.
        self._active_by_pool: dict[str, dict[str, dict[str, Subqueue]]] = {}
        self._active_by_organisation: dict[str, dict[str, Subqueue]] = {}
        self._config = FleetConfig()
        self.has_batch = False

    def set_config(self, config: FleetConfig) -> None:
        """Apply the queues; subqueues move to the pool that now serves them."""
        self._config = config
        kinds = (queue.kind for queue in config.queue_by_id.values())
        self.has_batch = QueueKind.BATCH in kinds
        self._active_by_pool = {}
        self._active_by_organisation = {}
        for subqueue in self._subqueue_by_key.values():
            if subqueue.count:
                self._activate(subqueue)

    def has_space(self, organisation: str, queue: str) -> bool:
        """Return whether the queue accepts one more task of the organisation.

        No queue exceeds its bound. Half of the bound is reserved for the organisations
        in equal parts, so that no organisation can fill the queue against the others.
        """
        settings = self._config.queue_by_id[queue]
        total = self._count_by_queue[queue]
        if total >= settings.max_queued:
            return False
        organisations = settings.organisations
        if total < settings.max_queued // 2 or organisation not in organisations:
            return True
        reserved = settings.max_queued // (2 * len(organisations))
        if self.queued(organisation, queue) < reserved:
            return True
        unused_reserved = sum(
            max(0, reserved - self.queued(other, queue))
            for other in organisations
            if other != organisation
        )
        return total + unused_reserved < settings.max_queued

    def add(self, record: TaskRecord, first: bool = False) -> None:
        """Queue a task at the end or, with ``first``, in front."""
        task = record.task
        record.state = TaskState.QUEUED
        self.count_by_organisation[task.organisation] += 1
        self._count_by_queue[task.queue] += 1
        if task.urgent:
            self.urgent[task.id] = record
            return
        key = (task.organisation, task.queue)
        subqueue = self._subqueue_by_key.get(key)
        if subqueue is None:
            subqueue = self._subqueue_by_key[key] = Subqueue(*key)
        if first:
            subqueue.prepend(record)
            self.changed_subqueues[key] = subqueue
        elif subqueue.append(record):
            self.changed_subqueues[key] = subqueue
        if subqueue.count == 1:
            self._activate(subqueue)

    def discard(self, record: TaskRecord) -> None:
        """Remove a queued task in constant time."""
        self._uncount(record)
        if self.urgent.pop(record.task.id, None) is not None:
            record.state = TaskState.ENDED
            return
        subqueue = self._subqueue_by_key[record.task.organisation, record.task.queue]
        subqueue.remove(record)
        if not subqueue.count:
            self._deactivate(subqueue)

    def take_urgent(self, record: TaskRecord) -> None:
        """Remove an urgent task that starts."""
        self._uncount(record)
        del self.urgent[record.task.id]

    def take(self, subqueue: Subqueue, key: tuple[int, int, int]) -> TaskRecord:
        """Remove and return the oldest task of a size class, which starts."""
        record = subqueue.take(key)
        self._uncount(record)
        if not subqueue.count:
            self._deactivate(subqueue)
        return record

    def take_record(self, record: TaskRecord) -> None:
        """Remove any queued task, which starts."""
        if record.task.urgent:
            self.take_urgent(record)
            return
        self.discard(record)

    def mark_organisation_changed(self, organisation: str) -> None:
        """Have all subqueues of an organisation tried again, as it may run more now."""
        for subqueue in self._active_by_organisation.get(organisation, {}).values():
            self.changed_subqueues[organisation, subqueue.queue] = subqueue

    def active_subqueues(self) -> Iterator[Subqueue]:
        """Yield all subqueues with queued tasks."""
        for subqueues in self._active_by_organisation.values():
            yield from subqueues.values()

    def subqueues_by_organisation(self, pool: str) -> dict[str, dict[str, Subqueue]]:
        """Return the non-empty subqueues of queues that the pool serves."""
        return self._active_by_pool.get(pool, {})

    def all_subqueues_by_organisation(self) -> dict[str, dict[str, Subqueue]]:
        """Return all non-empty subqueues."""
        return self._active_by_organisation

    def home_pool(self, queue: str) -> str:
        """Return the pool that serves a queue, an empty string if the queue is gone."""
        settings = self._config.queue_by_id.get(queue)
        return settings.pool if settings is not None else ""

    def is_batch(self, queue: str) -> bool:
        """Return whether a queue is for batch work."""
        settings = self._config.queue_by_id.get(queue)
        return settings is not None and settings.kind is QueueKind.BATCH

    def has_batch_priority(self, record: TaskRecord, now: float) -> bool:
        """Return whether a task is batch work that has not been promoted by age."""
        if not self.is_batch(record.task.queue):
            return False
        return now - record.queued_at < BATCH_PROMOTION_S

    def subqueue_has_batch_priority(self, subqueue: Subqueue, now: float) -> bool:
        """Return whether a subqueue only uses capacity that interactive work leaves."""
        if not self.is_batch(subqueue.queue):
            return False
        oldest = subqueue.oldest()
        return oldest is not None and self.has_batch_priority(oldest, now)

    def queued(self, organisation: str, queue: str) -> int:
        """Return the number of queued tasks of an organisation on a queue."""
        subqueue = self._subqueue_by_key.get((organisation, queue))
        return subqueue.count if subqueue is not None else 0

    def _uncount(self, record: TaskRecord) -> None:
        self.count_by_organisation[record.task.organisation] -= 1
        self._count_by_queue[record.task.queue] -= 1

    def _activate(self, subqueue: Subqueue) -> None:
        organisations = self._active_by_pool.setdefault(
            self.home_pool(subqueue.queue), {}
        )
        organisations.setdefault(subqueue.organisation, {})[subqueue.queue] = subqueue
        self._active_by_organisation.setdefault(subqueue.organisation, {})[
            subqueue.queue
        ] = subqueue

    def _deactivate(self, subqueue: Subqueue) -> None:
        self.changed_subqueues.pop((subqueue.organisation, subqueue.queue), None)
        pool = self.home_pool(subqueue.queue)
        _remove(self._active_by_pool.get(pool, {}), subqueue)
        _remove(self._active_by_organisation, subqueue)


def _remove(
    subqueues_by_organisation: dict[str, dict[str, Subqueue]], subqueue: Subqueue
) -> None:
    subqueues = subqueues_by_organisation.get(subqueue.organisation, {})
    subqueues.pop(subqueue.queue, None)
    if not subqueues:
        subqueues_by_organisation.pop(subqueue.organisation, None)
