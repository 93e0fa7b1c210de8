"""Validation of callers' requests and the replies to them."""

import json
import re
from pathlib import Path

import pytest

from lycheeloom.entry.admission import RequestHeaders, check_request
from lycheeloom.entry.local_requests import Submission
from lycheeloom.entry.replies import (
    MAY_HAVE_RUN_STATUS,
    STATUS_BY_REASON,
    refusal_reply,
    verdict_reply,
)
from lycheeloom.model.config import FleetConfig, Organisation, Queue, parse_config
from lycheeloom.model.keys import create_key
from lycheeloom.model.verdict import MayHaveRun, NotRun, Ran, Refusal, RefusalReason

HTTP_PAGE = Path(__file__).parents[3] / "docs" / "http.md"


@pytest.fixture(scope="module")
def keys():
    return {
        organisation: create_key(f"key-{organisation}") for organisation in ("a", "b")
    }


@pytest.fixture(scope="module")
def config(keys):
    def organisation(name):
        documents = {keys[name].id: keys[name].document.model_dump()}
        return {"share": 1, "upper_limit": 5, "keys": documents}

    config = parse_config(
        {
            "pools": {"p": {}},
            "organisations": {"a": organisation("a"), "b": organisation("b")},
            "queues": {
                "closed": {"pool": "p", "organisations": ["a"], "idempotent": True},
                "open": {"pool": "p", "organisations": ["a"], "open_to_all": True},
            },
        },
        1,
    )
    assert isinstance(config, FleetConfig)
    return config


def check(config, queue="closed", token="", body=b"{}", **headers):
    authorization = f"Bearer {token}" if token else ""
    return check_request(config, queue, RequestHeaders(authorization, **headers), body)


@pytest.mark.parametrize(
    ("queue", "key", "body", "reason"),
    [
        ("none", "a", b"{}", RefusalReason.UNKNOWN_QUEUE),
        ("closed", "", b"{}", RefusalReason.KEY_MISSING),
        ("closed", "wrong", b"{}", RefusalReason.KEY_REJECTED),
        ("open", "wrong", b"{}", RefusalReason.KEY_REJECTED),
        ("closed", "b", b"{}", RefusalReason.ORGANISATION_NOT_ALLOWED),
        ("closed", "a", b"{", RefusalReason.BAD_REQUEST),
        ("closed", "a", b'{"cores": 0}', RefusalReason.BAD_REQUEST),
        ("closed", "a", b'{"unknown": 1}', RefusalReason.BAD_REQUEST),
        ("closed", "a", b'{"deadline_ms": -1}', RefusalReason.BAD_REQUEST),
        (
            "closed",
            "a",
            json.dumps({"payload": "x" * 70_000}).encode(),
            RefusalReason.TOO_LARGE,
        ),
    ],
)
def test_refused_request(config, keys, queue, key, body, reason):
    """Bad input or a wrong key must be refused with its own reason."""
    token = keys[key].token if key in keys else key and "key-a.wrong"
    result = check(config, queue, token, body)
    assert isinstance(result, Refusal)
    assert result.reason is reason


def test_work_is_accepted_for_the_organisation_of_the_key(config, keys):
    """A key must not give access in another organisation's name."""
    assert check(config, "closed", keys["a"].token).organisation == "a"
    assert check(config, "open", keys["b"].token).organisation == "b"
    assert check(config, "open").organisation == "a"


def test_revoked_key_is_rejected(config, keys):
    """A key that is no longer published must stop working."""
    without = FleetConfig(
        organisation_by_id={"a": Organisation("a", 1, 5)},
        queue_by_id={"closed": Queue("closed", "p", organisations=frozenset({"a"}))},
    )
    result = check(without, "closed", keys["a"].token)
    assert result.reason is RefusalReason.KEY_REJECTED


@pytest.mark.parametrize(
    ("body", "key", "is_recorded"),
    [
        (b"{}", "", False),
        (b'{"idempotent": false}', "", False),
        (b'{"idempotent": false}', "k", True),
        (b"{}", "k", False),
        (b'{"wait": false}', "", True),
    ],
)
def test_which_requests_are_recorded(config, keys, body, key, is_recorded):
    """A request that must survive its entry, or run at most once, is recorded."""
    submission = check(config, "closed", keys["a"].token, body, idempotency_key=key)
    assert isinstance(submission, Submission)
    assert submission.is_recorded is is_recorded


def test_every_reason_has_the_documented_status():
    """The page of refusal reasons must match what entries answer."""
    rows = re.findall(
        r"^\| `(\w+)` \| `not_run` \| (\d+) \|", HTTP_PAGE.read_text(), re.MULTILINE
    )
    documented = {reason: int(status) for reason, status in rows}
    actual = {str(reason): status for reason, status in STATUS_BY_REASON.items()}
    assert documented == actual
    assert set(STATUS_BY_REASON) == set(RefusalReason)


def test_replies_carry_the_verdict():
    """Each verdict must reach the caller with its own status."""
    refusal = Refusal(RefusalReason.QUEUE_FULL, "full", 0.2)
    reply = refusal_reply(refusal, "r")
    assert reply.headers == {"Retry-After": "1"}
    assert verdict_reply("r", NotRun(refusal)).document["verdict"] == "not_run"
    may_have_run = verdict_reply("r", MayHaveRun("why"))
    assert (may_have_run.status, may_have_run.document["verdict"]) == (
        MAY_HAVE_RUN_STATUS,
        "may_have_run",
    )
    assert verdict_reply("r", Ran(b"text")).document["answer"] == "text"
    assert verdict_reply("r", Ran(b"\xff")).document["answer_base64"] == "/w=="
