"""Setting, counting and logging the verdicts of requests."""

from __future__ import annotations

from lycheeloom.model.verdict import MayHaveRun, NotRun, Ran, Verdict
from lycheeloom.telemetry import log_event

from .local_requests import LocalRequest, LocalRequestTable
from .metrics import EntryMetrics


class VerdictReporter:
    """Sets the verdict of a request once and reports it to metrics and log."""

    def __init__(
        self, local_requests: LocalRequestTable, metrics: EntryMetrics
    ) -> None:
        self._local_requests = local_requests
        self._metrics = metrics

    def settle(self, request: LocalRequest, verdict: Verdict) -> bool:
        """Set the verdict unless there is one; return whether it was set.

        For a request that may have started, "not run" becomes "may have run".
        """
        if isinstance(verdict, NotRun) and request.may_have_started:
            message = f"an earlier attempt had started; {verdict.refusal.message}"
            verdict = MayHaveRun(message)
        if not request.settle(verdict):
            return False
        self._report(request, verdict)
        self._local_requests.expire_later(request)
        return True

    def _report(self, request: LocalRequest, verdict: Verdict) -> None:
        submission = request.submission
        name = _verdict_name(verdict)
        elapsed_s = max(0.0, request.settled_at - submission.submitted_at)
        self._metrics.requests.labels(submission.queue, name).inc()
        self._metrics.latency_s.labels(submission.queue).observe(elapsed_s)
        if isinstance(verdict, NotRun):
            self._metrics.refusals.labels(verdict.refusal.reason).inc()
        log_event(
            "request_settled",
            "DEBUG",
            request=request.id,
            organisation=submission.organisation,
            queue=submission.queue,
            verdict=name,
            seconds=elapsed_s,
        )


def _verdict_name(verdict: Verdict) -> str:
    match verdict:
        case NotRun():
            return "not_run"
        case MayHaveRun():
            return "may_have_run"
        case Ran():
            return "ran"
