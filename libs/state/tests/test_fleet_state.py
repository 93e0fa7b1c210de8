"""Guards against records with unmet preconditions and against uneven replay."""

import json

import pytest

from lycheeloom.model import records as r
from lycheeloom.model.records import Batch, MoveStage, VoteReason, WaveState
from lycheeloom.state import FleetState, RequestStatus

DOCUMENT = {
    "zones": {"z1": {}},
    "pools": {"p": {}, "q": {}},
    "instances": {
        "w1": {
            "pool": "p",
            "zone": "z1",
            "rack": "r1",
            "address": "127.0.0.1:1",
            "cores": 4,
            "memory_mb": 1024,
        }
    },
    "organisations": {"t": {"share": 1, "upper_limit": 10}},
    "queues": {"main": {"pool": "p", "organisations": ["t"]}},
}


class Log:
    """Applies single-record batches with consecutive offsets and sequences."""

    def __init__(self):
        self.state = FleetState()
        self.batches = []
        self.sequences = {}

    def append(self, author, record):
        sequence = self.sequences.get(author, 0) + 1
        self.sequences[author] = sequence
        return self.apply_batch(Batch(author, sequence, (record,)))

    def apply_batch(self, batch):
        self.batches.append(batch)
        applied = self.state.apply(self.state.next_offset, batch)
        return applied.effective[0]


@pytest.fixture
def log():
    log = Log()
    assert log.append("op", r.ConfigChanged(0, json.dumps(DOCUMENT), "ada"))
    for name in ("a", "b", "c"):
        assert log.append(name, r.MemberJoined(f"i-{name}", name, "127.0.0.1:1", "z1"))
    return log


# Not valid UTF-8, like most digests; snapshots with such digests failed to be
# written.
DIGEST = b"\xff\x00d"


def submit(log, request_id="q1", key=""):
    record = r.RequestSubmitted(
        request_id, "t", "main", b"x", idempotency_key=key, body_digest=DIGEST
    )
    return log.append("a", record)


def test_config_needs_expected_version(log):
    """If two operators change the same version, only the first must take effect."""
    patch = json.dumps({"name": "x"})
    assert log.append("op1", r.ConfigChanged(1, patch, "one"))
    assert not log.append("op2", r.ConfigChanged(1, patch, "two"))
    assert log.state.configuration.version == 2
    assert log.state.configuration.history[-1].operator == "one"


@pytest.mark.parametrize(
    "patch", ["{", json.dumps({"pools": {"p": None}}), json.dumps({"organisations": 3})]
)
def test_invalid_config_has_no_effect(log, patch):
    """An invalid patch, or one that removes a pool in use, must change nothing."""
    assert not log.append("op", r.ConfigChanged(1, patch))
    assert log.state.config.version == 1


def test_unknown_config_fields_are_kept(log):
    """An older program version must keep the optional fields of a newer one."""
    log.append("op", r.ConfigChanged(1, json.dumps({"zones": {"z1": {"new": 7}}})))
    restored = FleetState.load_snapshot(log.state.dump_snapshot())
    assert restored.configuration.document["zones"]["z1"]["new"] == 7


def test_repeated_batch_has_one_effect(log):
    """An append repeated after a lost answer must not grant twice."""
    batch = Batch("a", 50, (r.GrantRequested("t", 3),))
    assert log.apply_batch(batch)
    assert not log.apply_batch(batch)
    assert log.state.grants.of("t").usable("a") == 3


def test_grants_never_exceed_the_limit(log):
    """A request above the limit must wait until another holder returns slots."""
    log.append("a", r.GrantRequested("t", 7))
    log.append("b", r.GrantRequested("t", 7))
    grants = log.state.grants.of("t")
    assert (grants.usable("a"), grants.usable("b")) == (7, 3)
    log.append("a", r.GrantReturned("t", 5))
    assert (grants.usable("a"), grants.usable("b")) == (2, 7)
    assert not log.append("a", r.GrantReturned("t", 3))
    assert grants.total() <= grants.limit


def test_lowered_limit_stops_starts_until_grants_fit(log):
    """After the limit is lowered, no task may start until the grants fit it."""
    log.append("a", r.GrantRequested("t", 6))
    patch = json.dumps({"organisations": {"t": {"upper_limit": 4}}})
    log.append("op", r.ConfigChanged(1, patch))
    grants = log.state.grants.of("t")
    assert grants.usable("a") == 0
    log.append("a", r.GrantReturned("t", 2))
    assert grants.usable("a") == 4


def test_majority_expels_and_reclaim_needs_the_offset(log):
    """A dead holder's grants must become free only after expulsion and reclaim."""
    log.append("c", r.GrantRequested("t", 10))
    log.append("a", r.MemberVote("c", VoteReason.SILENT))
    assert log.state.members.is_active("c")
    log.append("b", r.MemberVote("c", VoteReason.SILENT))
    assert not log.state.members.is_active("c")
    expelled_at = log.state.next_offset - 1
    assert log.state.grants.of("t").total() == 10
    assert not log.append("a", r.GrantsReclaimed("c", expelled_at - 1))
    assert log.append("a", r.GrantsReclaimed("c", expelled_at))
    assert log.state.grants.of("t").total() == 0


def test_refuted_votes_are_cleared(log):
    """Votes from before a member was heard again must not count later."""
    log.append("a", r.MemberVote("c", VoteReason.SILENT))
    log.append("c", r.MemberRefuted())
    log.append("b", r.MemberVote("c", VoteReason.SILENT))
    assert log.state.members.is_active("c")


def test_new_incarnation_expels_the_old_one(log):
    """After a restart the old incarnation must no longer be a member."""
    log.append("c2", r.MemberJoined("i-c", "c2", "127.0.0.1:1", "z1"))
    assert not log.state.members.is_active("c")
    assert not log.append("c", r.GrantRequested("t", 1))


def test_idempotency_key_is_taken_once(log):
    """The same key sent to another entry must not submit a second request."""
    assert submit(log, "q1", "k")
    assert not submit(log, "q2", "k")
    assert log.state.requests.find_by_key("t", "k").request_id == "q1"


def test_one_claim_for_each_attempt(log):
    """Two entries that claim one request must not both start it."""
    submit(log)
    assert log.append("a", r.RequestClaimed("q1", 1, "w1", "boot"))
    assert not log.append("b", r.RequestClaimed("q1", 1, "w1", "boot"))
    assert not log.append("b", r.RequestReleased("q1", 1))
    assert log.append("a", r.RequestReleased("q1", 1))
    assert log.append("b", r.RequestClaimed("q1", 2, "w1", "boot"))
    assert not log.append("a", r.RequestFinished("q1", 1, r.Outcome.RAN))
    assert log.append("b", r.RequestFinished("q1", 2, r.Outcome.RAN, b"ok"))
    assert log.state.requests.request_by_id["q1"].status is RequestStatus.FINISHED


def test_checkpoint_is_kept_for_the_next_attempt(log):
    """The next attempt must resume from the checkpoint, not start afresh."""
    submit(log)
    log.append("a", r.RequestClaimed("q1", 1, "w1", "boot"))
    log.append("a", r.RequestReleased("q1", 1, "half"))
    log.append("b", r.RequestClaimed("q1", 2, "w1", "boot"))
    log.append("b", r.RequestReleased("q1", 2))
    assert log.state.requests.request_by_id["q1"].checkpoint == "half"


def test_another_member_decides_only_after_reclaim(log):
    """A paused holder's claim must not be released while it may start the task."""
    submit(log)
    log.append("c", r.RequestClaimed("q1", 1, "w1", "boot"))
    log.append("a", r.MemberVote("c", VoteReason.GONE))
    expelled_at = log.state.next_offset - 1
    assert not log.append("a", r.RequestReleased("q1", 1))
    log.append("a", r.GrantsReclaimed("c", expelled_at))
    assert log.append("a", r.RequestReleased("q1", 1))


def test_duty_takeover_needs_the_last_renewal(log):
    """A holder that has renewed in time must not lose its duty."""
    duty = r.Duty.MAINTENANCE
    assert log.append("x", r.DutyClaimed(duty, 0, 0))
    seen = log.state.duties.of(duty).renewed_at
    assert log.append("x", r.DutyClaimed(duty, 1))
    assert not log.append("y", r.DutyClaimed(duty, 1, seen))
    seen = log.state.duties.of(duty).renewed_at
    assert log.append("y", r.DutyClaimed(duty, 1, seen))
    assert log.state.duties.of(duty).epoch == 2
    assert not log.append("x", r.DutyClaimed(duty, 1))


def test_move_changes_the_pool_once_at_the_end(log):
    """An instance must stay in its old pool until the last stage of its move."""
    log.append("x", r.DutyClaimed(r.Duty.MAINTENANCE, 0))
    pools = log.state.maintenance.pool_by_instance

    def step(stage, epoch=1, move_id="m"):
        return log.append("x", r.MoveStep("w1", move_id, stage, epoch, "q"))

    assert not step(MoveStage.DRAINING)
    assert step(MoveStage.PLANNED)
    assert not step(MoveStage.PLANNED, move_id="other")
    assert not step(MoveStage.DRAINING, epoch=0)
    assert step(MoveStage.DRAINING)
    assert step(MoveStage.DRAINED)
    assert pools == {"w1": "p"}
    assert step(MoveStage.JOINED)
    assert pools == {"w1": "q"}
    assert not step(MoveStage.JOINED)


def test_wave_command_needs_the_expected_state(log):
    """An operator who has not seen a pause must not resume or abort the wave."""
    start = r.WaveCommand("w", WaveState.ABSENT, WaveState.RUNNING)
    assert log.append("op", start)
    assert not log.append("op", start)
    pause = r.WaveCommand("w", WaveState.RUNNING, WaveState.PAUSED)
    assert log.append("op", pause)
    assert not log.append("op", pause)


def test_expired_answers_free_their_key(log):
    """Expiry must drop answers of the given queue only and free their keys."""
    submit(log, "q1", "k")
    log.append("a", r.RequestCancelled("q1"))
    through = log.state.next_offset
    assert not log.append("x", r.AnswersExpired(through))
    log.append("x", r.DutyClaimed(r.Duty.HOUSEKEEPING, 0))
    log.append("x", r.AnswersExpired(through, "other"))
    assert "q1" in log.state.requests.request_by_id
    log.append("x", r.AnswersExpired(through, "main"))
    assert log.state.requests.request_by_id == {}
    assert submit(log, "q2", "k")


def test_snapshot_equals_replay(log):
    """A state restored from a snapshot must equal one replayed from the log."""
    submit(log, "q1", "k")
    log.append("b", r.GrantRequested("t", 3))
    snapshot = log.state.dump_snapshot()
    restored = FleetState.load_snapshot(snapshot)
    batch = Batch("a", 99, (r.RequestClaimed("q1", 1, "w1", "boot"),))
    for state in (log.state, restored):
        state.apply(state.next_offset, batch)
    assert restored.dump_snapshot() == log.state.dump_snapshot()
    assert restored.requests.request_by_id["q1"].body_digest == DIGEST


def test_damaged_snapshot_is_rejected(log):
    """A damaged snapshot must not be loaded."""
    with pytest.raises(ValueError):
        FleetState.load_snapshot(log.state.dump_snapshot()[:-9])


def test_offsets_must_follow(log):
    """A skipped offset would make two readers differ."""
    with pytest.raises(ValueError, match="is not"):
        log.state.apply(log.state.next_offset + 1, Batch("a", 99, ()))
