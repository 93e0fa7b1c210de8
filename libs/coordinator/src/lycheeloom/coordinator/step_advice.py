"""What the advice service has answered for one step."""

from __future__ import annotations

from collections.abc import Collection, Sequence

from lycheeloom.jobs.model import Worker


class StepAdvice:
    """Remembers which workers may run a step, and chooses those to ask about next.

    A call names only some workers of a large pool. Workers about which the service has
    not been asked come first, so that calls reach all of them in turn, then the
    eligible workers that need a new ticket. Whether a worker is eligible does not
    change, so the others are asked about again only if no eligible one is known, and
    not before ``repeat_s``.

    An answer is for one incarnation of a worker. ::

        advice = StepAdvice(steady_s())
        workers = advice.choose(workers_without_ticket, pool_workers, steady_s(), 30)
        # ... call the service about these workers ...
        advice.note(workers, eligible_ids)
    """

    def __init__(self, now_s: float) -> None:
        # Earliest time of the next call, by the monotonic clock.
        self.due_s = now_s
        # Earliest time at which ineligible workers are asked about again.
        self.repeat_s = now_s
        # When the step could last start tasks.
        self.startable_s = now_s
        # Whether each worker may run the step, by id and start time, in the order of
        # the answers.
        self._is_eligible_by_worker: dict[tuple[str, int], bool] = {}

    @property
    def has_eligible(self) -> bool:
        """Return whether any worker is known that may run the step."""
        return any(self._is_eligible_by_worker.values())

    def has_unasked(self, workers: Collection[Worker]) -> bool:
        """Return whether the service has not been asked about one of the workers."""
        known = self._is_eligible_by_worker
        return any(_key_of(worker) not in known for worker in workers)

    def choose(
        self,
        candidates: Sequence[Worker],
        pool: Collection[Worker],
        now_s: float,
        limit: int,
    ) -> list[Worker]:
        """Return up to ``limit`` of the candidates for the next call.

        ``pool`` contains all workers of the pool; what is known of others is discarded.
        ``now_s`` is the monotonic clock.
        """
        pool_keys = {_key_of(worker) for worker in pool}
        for key in self._is_eligible_by_worker.keys() - pool_keys:
            del self._is_eligible_by_worker[key]
        candidate_by_key = {_key_of(worker): worker for worker in candidates}
        chosen = [
            worker
            for key, worker in candidate_by_key.items()
            if key not in self._is_eligible_by_worker
        ]
        has_eligible = self.has_eligible
        if has_eligible or (not chosen and now_s >= self.repeat_s):
            chosen += [
                candidate_by_key[key]
                for key, is_eligible in self._is_eligible_by_worker.items()
                if key in candidate_by_key and is_eligible is has_eligible
            ]
        return chosen[:limit]

    def note(self, asked: Collection[Worker], eligible_ids: Collection[str]) -> None:
        """Note the answer to a call that named the workers ``asked``."""
        for worker in asked:
            key = _key_of(worker)
            self._is_eligible_by_worker.pop(key, None)
            self._is_eligible_by_worker[key] = worker.worker_id in eligible_ids


def _key_of(worker: Worker) -> tuple[str, int]:
    return worker.worker_id, worker.started_ms
