"""Follows one trace and one request id from the caller to the worker."""

import json
import re

import pytest
from tests.conftest import wait_until

from lycheeloom.clients import Transport

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
CALLER_SPAN = "b7ad6b7169203331"


@pytest.fixture
def key(world):
    return next(
        key
        for key, organisation in world.organisation_by_key.items()
        if organisation == "red"
    )


def spans_of(world):
    """Return the spans of the trace that entries have written, by name."""
    lines = world.entry_by_name["e0"].log_path.read_text().splitlines()
    pairs = [dict(re.findall(r'(\w+)=("[^"]*"|\S+)', line)) for line in lines]
    return {
        pair["name"]: pair
        for pair in pairs
        if pair.get("event") == "span" and pair.get("trace") == TRACE_ID
    }


def test_trace_is_followed_from_caller_to_worker(world, key):
    """Guards against a hop that drops the caller's trace."""
    work = world.new_work_id()
    headers = {
        "Content-Type": "application/json",
        "Authorization": f"Bearer {world.token_by_key[key]}",
        "traceparent": f"00-{TRACE_ID}-{CALLER_SPAN}-01",
    }
    body = json.dumps({"payload": {"call": work}, "idempotent": True}).encode()
    answer = Transport().call(
        world.entry_by_name["e0"].address,
        "POST",
        "/v1/queues/lookups/requests",
        body=body,
        headers=headers,
        timeout_s=10.0,
    )
    assert answer.status == 200
    spans = wait_until(lambda: spans_of(world) if len(spans_of(world)) == 2 else None)
    request, start = spans["request"], spans["start_task"]
    assert request["parent"] == CALLER_SPAN
    assert start["parent"] == request["span"]
    begun = [item for item in world.fleet.ledger() if item["call"] == work]
    assert [item["traceparent"] for item in begun] == [
        f"00-{TRACE_ID}-{start['span']}-01"
    ]
    assert begun[0]["request_id"] == json.loads(answer.body)["request_id"]
