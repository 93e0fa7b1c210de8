"""Tracing, with W3C ``traceparent`` headers between processes.

Instances have no disks, so finished spans are written to standard error as
lines of key=value pairs.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TextIO

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import Span, StatusCode, format_span_id, format_trace_id
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from .logs import format_value

_PROPAGATOR = TraceContextTextMapPropagator()
_NANOSECONDS_PER_MICROSECOND = 1000
# Ends the traceparent of a trace that the caller does not record.
_NOT_SAMPLED_SUFFIX = "-00"


class LineSpanExporter(SpanExporter):
    """Writes each finished span as one line of key=value pairs."""

    def __init__(self, stream: TextIO | None = None) -> None:
        self._stream = stream or sys.stderr

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write each span as a line and return success."""
        for span in spans:
            self._stream.write(_format_span(span))
        self._stream.flush()
        return SpanExportResult.SUCCESS


@dataclass(frozen=True, slots=True)
class ActiveSpan:
    """A span in progress, or a placeholder if the trace is not recorded.

    ``traceparent`` is the header for calls to other processes; ``span`` is None if
    the trace is not recorded.
    """

    span: Span | None
    traceparent: str

    def set(self, name: str, value: str | int | float) -> None:
        """Set an attribute of the span."""
        if self.span is not None:
            self.span.set_attribute(name, value)

    def fail(self, reason: str) -> None:
        """Set the status of the span to error."""
        if self.span is not None:
            self.span.set_status(StatusCode.ERROR, reason)


class _ForkSafeTracerProvider(TracerProvider):
    """A tracer provider that does nothing in a forked child process.

    The SDK would start threads in the child. Under gevent, this switches to the
    event loop, and the child runs the greenlets of its parent on the parent's
    connections until it executes another program.
    """

    def _handle_fork(self) -> None:
        return


class Tracer:
    """Creates the spans of one process.

    ``sample_ratio`` is the fraction, 0 to 1, of the traces starting in this process
    that are recorded. For other traces, the caller's sampling decision applies.
    """

    def __init__(
        self, process: str, sample_ratio: float, exporter: SpanExporter | None = None
    ) -> None:
        self._sample_ratio = sample_ratio
        self._provider = _ForkSafeTracerProvider(
            sampler=ParentBased(TraceIdRatioBased(sample_ratio)),
            resource=Resource({"service.name": process}),
        )
        self._provider.add_span_processor(
            SimpleSpanProcessor(exporter or LineSpanExporter())
        )
        self._tracer = self._provider.get_tracer("lycheeloom")

    @contextmanager
    def span(
        self, name: str, traceparent: str | None = None, **attributes: str | int | float
    ) -> Iterator[ActiveSpan]:
        """Run the ``with`` block in a span, as a child of ``traceparent`` if given."""
        if self._is_unrecorded(traceparent):
            # Creating unrecorded spans with the SDK took 5% of an entry's processor
            # time.
            yield ActiveSpan(None, traceparent or "")
            return
        context = None
        if traceparent:
            context = _PROPAGATOR.extract({"traceparent": traceparent})
        span = self._tracer.start_span(name, context, attributes=attributes)
        try:
            yield ActiveSpan(span, _format_traceparent(span))
        finally:
            span.end()

    def _is_unrecorded(self, traceparent: str | None) -> bool:
        if traceparent:
            return traceparent.endswith(_NOT_SAMPLED_SUFFIX)
        return self._sample_ratio == 0


def _format_traceparent(span: Span) -> str:
    context = span.get_span_context()
    trace_id = format_trace_id(context.trace_id)
    span_id = format_span_id(context.span_id)
    return f"00-{trace_id}-{span_id}-{context.trace_flags:02x}"


def _format_span(span: ReadableSpan) -> str:
    context = span.get_span_context()
    duration_us = (span.end_time - span.start_time) // _NANOSECONDS_PER_MICROSECOND
    pairs = {
        "event": "span",
        "name": span.name,
        "process": span.resource.attributes["service.name"],
        "trace": format_trace_id(context.trace_id),
        "span": format_span_id(context.span_id),
        "parent": format_span_id(span.parent.span_id) if span.parent else "-",
        "duration_us": duration_us,
        **span.attributes,
    }
    if span.status.status_code is StatusCode.ERROR:
        pairs["error"] = span.status.description
    text = " ".join(f"{name}={format_value(value)}" for name, value in pairs.items())
    return text + "\n"
