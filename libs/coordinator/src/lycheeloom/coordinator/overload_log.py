"""Shows in the log and in metrics how the jobs of full pools are served."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping

from lycheeloom.jobs.overload import Service
from lycheeloom.telemetry import log_event

from . import metrics

# A line about a queue is written at most this often while its pool is full.
LOG_INTERVAL_S = 1.0


class OverloadLog:
    """Reports the queues whose pools have no room for all waiting jobs."""

    def __init__(self) -> None:
        self._logged_s_by_queue: dict[str, float] = {}

    def note(
        self, count_by_queue: Mapping[str, Counter[Service]], now_s: float
    ) -> None:
        """Report how many jobs of each queue are served in which way.

        ``count_by_queue`` contains only queues whose pools are full.
        """
        for queue, counts in count_by_queue.items():
            if now_s - self._logged_s_by_queue.get(queue, -math.inf) < LOG_INTERVAL_S:
                continue
            self._logged_s_by_queue[queue] = now_s
            self._show(queue, counts)
            log_event(
                "queue_contended",
                queue=queue,
                **{service.name.lower(): counts[service] for service in Service},
            )
        for queue in list(self._logged_s_by_queue):
            is_over = now_s - self._logged_s_by_queue[queue] >= LOG_INTERVAL_S
            if queue in count_by_queue or not is_over:
                continue
            del self._logged_s_by_queue[queue]
            self._show(queue, Counter())
            log_event("queue_uncontended", queue=queue)

    @staticmethod
    def _show(queue: str, counts: Counter[Service]) -> None:
        for service in Service:
            gauge = metrics.OVERLOADED_JOBS.labels(queue, service.name.lower())
            gauge.set(counts[service])
