"""Recovery of requests whose entry was lost."""

from types import SimpleNamespace

import gevent
import pytest

from lycheeloom.clients import (
    AppendRefusal,
    AppendRefused,
    AppendUnknown,
    TaskReport,
    TaskStatus,
)
from lycheeloom.entry import recovery
from lycheeloom.entry.recovery import ClaimRecovery, decide
from lycheeloom.log import LogTail, LogWriter
from lycheeloom.model.records import Outcome, RequestFinished, RequestReleased
from lycheeloom.model.resources import NO_RESOURCES
from lycheeloom.state import FleetState, RecordedRequest

RELEASED = RequestReleased("r", 2)
MAY_HAVE_RUN = Outcome.MAY_HAVE_RUN


def request(idempotent):
    return RecordedRequest(
        request_id="r",
        organisation="t",
        queue="q",
        idempotent=idempotent,
        idempotency_key="",
        body_digest=b"",
        resources=NO_RESOURCES,
        run_ms=0,
        urgent=False,
        body_offset=0,
        submitted_at=0,
        attempt=2,
        worker="w",
        worker_boot="boot",
    )


def report(status, boot="boot", answer=b"", checkpoint=""):
    return TaskReport("r.2", status, boot, NO_RESOURCES, answer, checkpoint)


@pytest.mark.parametrize(
    ("found", "non_idempotent", "idempotent"),
    [
        (report(TaskStatus.UNKNOWN), RELEASED, RELEASED),
        (report(TaskStatus.UNKNOWN, boot="other"), MAY_HAVE_RUN, RELEASED),
        (report(TaskStatus.STOPPED), MAY_HAVE_RUN, RELEASED),
        (report(TaskStatus.FAILED), MAY_HAVE_RUN, RELEASED),
        (
            report(TaskStatus.CHECKPOINTED, checkpoint="half"),
            RequestReleased("r", 2, "half"),
            RequestReleased("r", 2, "half"),
        ),
        (None, MAY_HAVE_RUN, RELEASED),
    ],
)
def test_decision_about_a_lost_attempt(found, non_idempotent, idempotent):
    """A non-idempotent request may start again only if it certainly did not run."""
    for expected, is_idempotent in ((non_idempotent, False), (idempotent, True)):
        record = decide(request(is_idempotent), 2, found)
        if isinstance(expected, Outcome):
            assert (type(record), record.outcome) == (RequestFinished, expected)
            continue
        assert record == expected


@pytest.mark.parametrize("is_idempotent", [True, False])
def test_answer_that_the_worker_kept_is_collected(is_idempotent):
    """A finished task must be answered, not run again."""
    found = report(TaskStatus.DONE, answer=b"whole")
    record = decide(request(is_idempotent), 2, found)
    assert record == RequestFinished("r", 2, Outcome.RAN, b"whole")


WAIT_S = 0.01


class SlowLog:
    """A log that answers later than the recovery waits for an outcome."""

    def __init__(self, answer):
        self.answer = answer

    def append(self, batch):
        gevent.sleep(3 * WAIT_S)
        return self.answer


@pytest.mark.parametrize(
    "answer", [AppendRefused(AppendRefusal.DOWN), AppendUnknown("no answer in time")]
)
def test_claim_has_one_record_in_flight_in_an_outage(monkeypatch, answer):
    """Guards against one more record from each scan while the first has no outcome."""
    monkeypatch.setattr(recovery, "COMMIT_TIMEOUT_S", WAIT_S)
    lost = request(True)
    lost.holder = "gone"
    state = SimpleNamespace(
        members=SimpleNamespace(
            active=lambda: [SimpleNamespace(incarnation="a")],
            member_by_incarnation={"a": None},
        ),
        requests=SimpleNamespace(claimed=["r"], request_by_id={"r": lost}),
        config=SimpleNamespace(instance_by_id={}),
    )
    log = SlowLog(answer)
    writer = LogWriter(log, "a", LogTail(log, FleetState()))
    appended, append = [], writer.append
    writer.append = lambda record: appended.append(append(record)) or appended[-1]
    claims = ClaimRecovery(
        SimpleNamespace(state=state), writer, None, lambda: "a", lambda: True
    )
    for _ in range(10):
        claims.scan()
        gevent.sleep(0)
        writer.step()
        assert sum(pending.outcome is None for pending in appended) <= 1
    assert appended
