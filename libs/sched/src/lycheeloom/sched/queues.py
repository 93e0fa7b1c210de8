"""The queued tasks of an entry, and the check whether a queue accepts one more."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from lycheeloom.model.config import FleetConfig, QueueKind

from .subqueues import Subqueue
from .tasks import TaskRecord, TaskState

# A batch task queued for longer than this gets the priority of an interactive one.
BATCH_PROMOTION_S = 600.0


class Queues:
    """The queued tasks of this entry.

    Urgent tasks are kept in a mapping of their own. All others are in a subqueue for
    each organisation and queue. A subqueue is active while it has queued tasks.
    """

    def __init__(self) -> None:
        # Urgent tasks by id, in the order in which they were queued.
        self.urgent: dict[str, TaskRecord] = {}
        # Subqueues that changed since the last allocation in a way that may let one of
        # their tasks start, such as a new first task of a size class. Keyed by
        # organisation and queue, as is ``_subqueue_by_key``.
        self.changed_subqueues: dict[tuple[str, str], Subqueue] = {}
        self.count_by_organisation: Counter[str] = Counter()
        self._count_by_queue: Counter[str] = Counter()
        self._subqueue_by_key: dict[tuple[str, str], Subqueue] = {}
        # Active subqueues by pool, organisation and queue.
        self._active_by_pool: dict[str, dict[str, dict[str, Subqueue]]] = {}
        self._active_by_organisation: dict[str, dict[str, Subqueue]] = {}
        self._config = FleetConfig()
        # Whether any configured queue is for batch work.
        self.has_batch = False

    def set_config(self, config: FleetConfig) -> None:
        """Set the queues; index active subqueues by the pools that now serve them."""
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

        ``add`` does not check this, so a task that is queued again may exceed the bound
        of its queue.

        Half of the bound is reserved in equal parts for the organisations that the
        queue lists, so that none of them can keep the others out. An organisation that
        the queue does not list may fill the queue up to its bound.
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
        """Queue a task as the last or, with ``first``, as the first of its size class.

        An urgent task is always queued as the last urgent one.
        """
        task = record.task
        record.state = TaskState.QUEUED
        self.count_by_organisation[task.organisation] += 1
        self._count_by_queue[task.queue] += 1
        if task.urgent:
            self.urgent[task.id] = record
            return
        subqueue_key = (task.organisation, task.queue)
        subqueue = self._subqueue_by_key.get(subqueue_key)
        if subqueue is None:
            subqueue = self._subqueue_by_key[subqueue_key] = Subqueue(*subqueue_key)
        if first:
            subqueue.prepend(record)
            self.changed_subqueues[subqueue_key] = subqueue
        elif subqueue.append(record):
            self.changed_subqueues[subqueue_key] = subqueue
        if subqueue.count == 1:
            self._activate(subqueue)

    def discard(self, record: TaskRecord) -> None:
        """Remove a queued task in constant time, and set its state to ``ENDED``."""
        self._decrement_counts(record)
        if self.urgent.pop(record.task.id, None) is not None:
            record.state = TaskState.ENDED
            return
        subqueue = self._subqueue_by_key[record.task.organisation, record.task.queue]
        subqueue.remove(record)
        if not subqueue.count:
            self._deactivate(subqueue)

    def take_urgent(self, record: TaskRecord) -> None:
        """Remove an urgent task that is about to start."""
        self._decrement_counts(record)
        del self.urgent[record.task.id]

    def take(self, subqueue: Subqueue, size_class: tuple[int, int, int]) -> TaskRecord:
        """Remove and return the first task of a size class, which is about to start."""
        record = subqueue.take(size_class)
        self._decrement_counts(record)
        if not subqueue.count:
            self._deactivate(subqueue)
        return record

    def take_record(self, record: TaskRecord) -> None:
        """Remove a queued task, urgent or not, that is about to start.

        The caller must set the state of the record: it is now ``ENDED``, or still
        ``QUEUED`` if the task is urgent.
        """
        if record.task.urgent:
            self.take_urgent(record)
            return
        self.discard(record)

    def mark_organisation_changed(self, organisation: str) -> None:
        """Mark the active subqueues of an organisation that may now run more tasks."""
        for subqueue in self._active_by_organisation.get(organisation, {}).values():
            self.changed_subqueues[organisation, subqueue.queue] = subqueue

    def active_subqueues(self) -> Iterator[Subqueue]:
        """Yield all active subqueues."""
        for subqueues in self._active_by_organisation.values():
            yield from subqueues.values()

    def subqueues_by_organisation(self, pool: str) -> dict[str, dict[str, Subqueue]]:
        """Return the active subqueues of the queues that a pool serves.

        The result maps organisation and queue to the subqueue.
        """
        return self._active_by_pool.get(pool, {})

    def all_subqueues_by_organisation(self) -> dict[str, dict[str, Subqueue]]:
        """Return all active subqueues by organisation and queue."""
        return self._active_by_organisation

    def pool_of_queue(self, queue: str) -> str:
        """Return the pool that serves a queue, "" if the queue is not configured."""
        settings = self._config.queue_by_id.get(queue)
        return settings.pool if settings is not None else ""

    def is_batch(self, queue: str) -> bool:
        """Return whether a queue is for batch work."""
        settings = self._config.queue_by_id.get(queue)
        return settings is not None and settings.kind is QueueKind.BATCH

    def has_batch_priority(self, record: TaskRecord, now: float) -> bool:
        """Return whether a task is batch work that has not been promoted by its age."""
        if not self.is_batch(record.task.queue):
            return False
        return now - record.queued_at < BATCH_PROMOTION_S

    def subqueue_has_batch_priority(self, subqueue: Subqueue, now: float) -> bool:
        """Return whether the oldest task of a subqueue has batch priority.

        If so, the subqueue only gets capacity that interactive work leaves.
        """
        if not self.is_batch(subqueue.queue):
            return False
        oldest = subqueue.oldest()
        return oldest is not None and self.has_batch_priority(oldest, now)

    def queued(self, organisation: str, queue: str) -> int:
        """Return how many tasks of an organisation a queue has, without urgent ones."""
        subqueue = self._subqueue_by_key.get((organisation, queue))
        return subqueue.count if subqueue is not None else 0

    def _decrement_counts(self, record: TaskRecord) -> None:
        self.count_by_organisation[record.task.organisation] -= 1
        self._count_by_queue[record.task.queue] -= 1

    def _activate(self, subqueue: Subqueue) -> None:
        organisations = self._active_by_pool.setdefault(
            self.pool_of_queue(subqueue.queue), {}
        )
        organisations.setdefault(subqueue.organisation, {})[subqueue.queue] = subqueue
        self._active_by_organisation.setdefault(subqueue.organisation, {})[
            subqueue.queue
        ] = subqueue

    def _deactivate(self, subqueue: Subqueue) -> None:
        self.changed_subqueues.pop((subqueue.organisation, subqueue.queue), None)
        pool = self.pool_of_queue(subqueue.queue)
        _remove_subqueue(self._active_by_pool.get(pool, {}), subqueue)
        _remove_subqueue(self._active_by_organisation, subqueue)


def _remove_subqueue(
    subqueues_by_organisation: dict[str, dict[str, Subqueue]], subqueue: Subqueue
) -> None:
    subqueues = subqueues_by_organisation.get(subqueue.organisation, {})
    subqueues.pop(subqueue.queue, None)
    if not subqueues:
        subqueues_by_organisation.pop(subqueue.organisation, None)
