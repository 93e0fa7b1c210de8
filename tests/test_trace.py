"""Tests that the caller's trace and the request id reach the worker."""

import json
import re

import pytest
from tests.conftest import wait_until

from lycheeloom.clients import Transport

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
CALLER_SPAN = "b7ad6b7169203331"


@pytest.fixture
def key(harness):
    """A key of organisation red."""
    return next(
        key for key, owner in harness.organisation_by_key.items() if owner == "red"
    )


def logged_spans(harness):
    """Return the spans of the trace that entry e0 has logged, by span name."""
    lines = harness.entry_by_name["e0"].log_path.read_text().splitlines()
    parsed_lines = [dict(re.findall(r'(\w+)=("[^"]*"|\S+)', line)) for line in lines]
    return {
        fields["name"]: fields
        for fields in parsed_lines
        if fields.get("event") == "span" and fields.get("trace") == TRACE_ID
    }


def test_trace_and_request_id_reach_the_worker(harness, key):
    """Guards against an entry or worker call that drops the caller's trace context."""
    work_id = harness.new_work_id()
    headers = {
        "Content-Type": "application/json",
        "Authorization": f"Bearer {harness.token_by_key[key]}",
        "traceparent": f"00-{TRACE_ID}-{CALLER_SPAN}-01",
    }
    body = json.dumps({"payload": {"call": work_id}, "idempotent": True}).encode()
    answer = Transport().call(
        harness.entry_by_name["e0"].address,
        "POST",
        "/v1/queues/lookups/requests",
        body=body,
        headers=headers,
        timeout_s=10.0,
    )
    assert answer.status == 200
    spans = wait_until(
        lambda: logged_spans(harness) if len(logged_spans(harness)) == 2 else None
    )
    request_span, task_span = spans["request"], spans["start_task"]
    assert request_span["parent"] == CALLER_SPAN
    assert task_span["parent"] == request_span["span"]
    starts = [start for start in harness.fleet.ledger() if start["call"] == work_id]
    assert [start["traceparent"] for start in starts] == [
        f"00-{TRACE_ID}-{task_span['span']}-01"
    ]
    assert starts[0]["request_id"] == json.loads(answer.body)["request_id"]
