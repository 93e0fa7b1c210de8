"""Tests publication with an expected version, log faults and competing operators."""

from collections import deque

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheeloom.log.snapshot import split_snapshot
from lycheeloom.model.config import canonical_json, merge_patch
from lycheeloom.model.records import Batch, ConfigChanged, WaveState
from lycheeloom.operator import (
    Entries,
    InForce,
    LogUnavailable,
    LostRace,
    NotAccepted,
    NothingToChange,
    NotYetInForce,
    Operator,
    OutcomeUnknown,
    PartlyPublished,
    Published,
    Rejected,
    WaveChanged,
    WaveRefused,
)
from lycheeloom.operator.output import report_result
from lycheeloom.operator.problems import errors_in
from lycheeloom.wire import encode_batch

from .conftest import FakeClock, FakeEntry, FakeLog, small_fleet


def snapshot_batch(state):
    """Return an encoded batch with all chunks of a snapshot of the state."""
    covers = state.next_offset - 1
    chunks = split_snapshot("s1", covers, state.dump_snapshot())
    return encode_batch(Batch("writer", 1, tuple(chunks)))


def test_published_configuration_is_in_force_on_each_entry(make_operator, fleet):
    """Guards against an accepted change that is not sent to the entries directly."""
    entries = [FakeEntry("a"), FakeEntry("b")]
    operator = make_operator("aoife", *entries)
    result = operator.publish(fleet, 0)
    assert isinstance(result, Published)
    assert result.version == 1
    assert result.not_handed == {}
    assert operator.wait_in_force(1) == InForce(1)
    assert entries[1].state.configuration.document == fleet
    assert operator.publish(fleet, 1) == NothingToChange(1)


def test_an_entry_without_the_version_is_named(make_operator, fleet):
    """Guards against reporting a version as in force that some entries lack."""
    lagging = FakeEntry("b")
    lagging.state.skip(0)
    silent = FakeEntry("c", reachable=False)
    operator = make_operator("aoife", FakeEntry("a"), lagging, silent)
    result = operator.publish(fleet, 0)
    assert result.not_handed == {"c": "no answer in time"}
    assert operator.wait_in_force(1, timeout_s=1) == NotYetInForce(
        1, {"b": "has version 0", "c": "no answer: no answer in time"}
    )


@pytest.mark.parametrize(
    "faults",
    [
        ["lost"],
        ["dropped"],
        ["delayed"],
        ["late"],
        ["down", "lost"],
        ["late", "lost"],
        ["late", "delayed", "late"],
    ],
)
def test_a_lost_append_answer_is_resolved(make_operator, log, fleet, faults):
    """Guards against a change that takes effect twice, or is reported as failed."""
    log.faults.extend(faults)
    operator = make_operator("aoife")
    result = operator.publish(fleet, 0)
    assert isinstance(result, Published)
    assert operator.version == 1
    assert make_operator("reader").refresh() is None
    assert len(operator.history()) == 1


def test_an_unresolved_append_has_an_unknown_outcome(make_operator, log, fleet):
    """Guards against reporting a change as failed that may still take effect."""
    log.faults.extend(["dropped"] * 100)
    operator = make_operator("aoife")
    result = operator.publish(fleet, 0, timeout_s=3)
    assert isinstance(result, OutcomeUnknown)
    # The retry is refused, but the first append may still arrive.
    log.faults = type(log.faults)(["dropped", "large"])
    assert isinstance(operator.publish(fleet, 0), OutcomeUnknown)


@pytest.mark.parametrize("faults", [["large"], ["down"] * 100])
def test_a_refused_append_changed_nothing(make_operator, log, fleet, faults):
    """Guards against an unknown outcome for an append that the log refused."""
    log.faults.extend(faults)
    result = make_operator("aoife").publish(fleet, 0, timeout_s=3)
    assert isinstance(result, NotAccepted)
    assert log.batches == []


def test_an_unreadable_log_publishes_nothing(make_operator, log, fleet):
    """Guards against publishing without knowing what is in force."""
    log.failing_reads = 1
    result = make_operator("aoife").publish(fleet, 0)
    assert result == LogUnavailable(
        "the log at 10.0.0.9:7000 cannot be read (http status 503)"
    )


def test_a_lost_race_names_the_winner(make_operator, log, fleet):
    """Guards against overwriting the change of another operator."""
    first, second = make_operator("aoife"), make_operator("brendan")
    assert isinstance(first.publish(fleet, 0), Published)
    raised = merge_patch(fleet, {"organisations": {"red": {"upper_limit": 20}}})
    lowered = merge_patch(fleet, {"organisations": {"red": {"upper_limit": 6}}})
    log.before_append = lambda: second.publish(lowered, 1)
    result = first.publish(raised, 1)
    assert isinstance(result, LostRace)
    assert (result.expected_version, result.version) == (1, 2)
    (winner,) = result.winners
    assert winner.operator == "brendan"
    assert winner.sentences == ("Organisation red: upper_limit changes from 10 to 6",)
    assert first.document == lowered
    # The result is the same if the race was lost before the append.
    assert first.publish(raised, 1) == result


FAULT_LISTS = st.lists(
    st.sampled_from(["", "lost", "dropped", "delayed", "late", "down"]), max_size=4
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(st.tuples(st.integers(0, 2), st.booleans(), FAULT_LISTS), max_size=6))
def test_results_match_the_log(publications):
    """Guards against results that contradict the log.

    Three operators set the same limit, each time to a new value, while the log has
    faults. A publication is the number of the operator, whether another operator
    publishes between its read and its append, and the faults of the log.
    """
    log = FakeLog()
    operators = [
        Operator(log, Entries([]), str(number), clock=FakeClock().clock())
        for number in range(3)
    ]
    assert isinstance(operators[0].publish(small_fleet(), 0), Published)
    results = {}

    def publish(operator, value):
        patch = {"organisations": {"red": {"upper_limit": value}}}
        document = merge_patch(operator.document, patch)
        version = operator.version
        results[value] = operator.publish(document, version, timeout_s=1)

    for value, (number, is_between, faults) in enumerate(publications, start=100):
        operator = operators[number]
        operator.refresh()
        if is_between:
            rival = operators[number - 1]
            rival.refresh()
            # There are at most 6 publications, so adding 100 gives a new value.
            log.before_append = lambda rival=rival, value=value: publish(
                rival, value + 100
            )
        log.faults = deque(faults)
        publish(operator, value)
    log.faults.clear()
    # With this batch, batches that are still delayed or late get into the log.
    log.append(encode_batch(Batch("end", 1, ())))
    reader = Operator(log, Entries([]), "reader")
    reader.refresh()
    in_history = [
        change.patch["organisations"]["red"]["upper_limit"]
        for change in reader.history()[1:]
    ]
    assert len(in_history) == len(set(in_history))
    for value, result in results.items():
        if isinstance(result, Published):
            assert value in in_history
        elif not isinstance(result, OutcomeUnknown):
            assert isinstance(result, LostRace | NotAccepted)
            assert value not in in_history


def test_unrelated_changes_of_two_operators_both_take_effect(make_operator, log, fleet):
    """Guards against an emergency change that fails because of an unrelated one."""
    first, second = make_operator("aoife"), make_operator("brendan")
    first.publish(fleet, 0)
    log.before_append = lambda: second.change(lambda draft: draft.set_limit("red", 9))
    result = first.change(lambda draft: draft.take_zone_out("north"))
    assert isinstance(result, Published)
    assert result.version == 3
    assert first.document["organisations"]["red"]["upper_limit"] == 9
    assert first.document["zones"]["north"]["state"] == "out"


def test_the_later_change_of_the_same_setting_loses_the_race(make_operator, log, fleet):
    """Guards against overwriting a setting that another operator has just changed."""
    first, second = make_operator("aoife"), make_operator("brendan")
    first.publish(fleet, 0)
    log.before_append = lambda: second.change(lambda draft: draft.set_limit("red", 9))
    result = first.change(lambda draft: draft.set_limit("red", 11))
    assert isinstance(result, LostRace)
    assert first.document["organisations"]["red"]["upper_limit"] == 9


def test_an_expired_log_is_read_from_a_snapshot(make_operator, log, fleet):
    """Guards against a command that fails after offset 0 of the log has expired."""
    first = make_operator("aoife")
    first.publish(fleet, 0)
    first.change(lambda draft: draft.set_limit("red", 9))
    snapshot = snapshot_batch(first.view.state)
    log.batches.append(snapshot)
    log.oldest = 1
    second = make_operator("brendan")
    assert isinstance(
        second.change(lambda draft: draft.take_zone_out("north")), Published
    )
    assert second.version == 3
    assert [change.sentences for change in second.history()][1:] == [
        ("Organisation red: upper_limit is set to 9",),
        ('Zone north: state changes from "in" (the default) to "out"',),
    ]


def large_fleet():
    """Return a fleet whose configuration needs several batches."""
    fleet = small_fleet()
    worker = fleet["instances"]["w1"]
    for number in range(7, 2500):
        address = f"10.1.{number // 250}.{number % 250}:7100"
        fleet["instances"][f"w{number}"] = worker | {"address": address}
    return fleet


def test_a_large_configuration_is_published_in_parts(make_operator, log):
    """Guards against a fleet that is too large for one batch of the log."""
    entry = FakeEntry("a")
    operator = make_operator("aoife", entry)
    result = operator.publish(large_fleet(), 0)
    assert isinstance(result, Published)
    assert result.version > 1
    assert operator.wait_in_force(result.version) == InForce(result.version)
    assert entry.state.configuration.document == large_fleet()


def test_a_failed_part_is_reported(make_operator, log):
    """Guards against reporting a partly published change as not published."""
    log.faults.extend(["", "large"])
    operator = make_operator("aoife")
    result = operator.publish(large_fleet(), 0)
    assert isinstance(result, PartlyPublished)
    assert (result.version, result.parts) == (1, 1)
    assert isinstance(result.stopped_by, NotAccepted)
    lines = report_result(result).lines
    assert lines[0].startswith("Only 1 of ")
    assert lines[0].endswith(
        "parts of the change are published; version 1 is in force."
    )
    assert lines[1:] == (
        "The next part was not published: the log at 10.0.0.9:7000 refused the change "
        "because it is too large.",
        "Compare with lycheeloom config diff, then publish again.",
    )
    assert isinstance(operator.publish(large_fleet(), 1), Published)


def test_warnings_must_be_accepted(make_operator, fleet):
    """Guards against an upper limit below the running tasks, set by mistake."""
    operator = make_operator("aoife", FakeEntry("a", running={"red": 8}))
    operator.publish(fleet, 0)
    lower = merge_patch(fleet, {"organisations": {"red": {"upper_limit": 3}}})
    assert isinstance(operator.publish(lower, 1), Rejected)
    assert isinstance(operator.publish(lower, 1, accept_warnings=True), Published)
    # The warning now concerns the configuration in force and blocks no other change.
    result = operator.change(lambda draft: draft.take_zone_out("north"))
    assert isinstance(result, Published)


def test_an_error_in_force_does_not_prevent_other_changes(make_operator, log, fleet):
    """Guards against a newly added check that prevents taking a zone out."""
    fleet["queues"]["find"]["open_to_all"] = True
    older = ConfigChanged(0, canonical_json(fleet), "aoife")
    log.batches.append(encode_batch(Batch("older-program", 1, (older,))))
    operator = make_operator("aoife")
    operator.refresh()
    assert errors_in(operator.check(fleet, "fleet.toml")) != []
    out = merge_patch(fleet, {"zones": {"north": {"state": "out"}}})
    assert isinstance(operator.publish(out, 1), Published)


def test_errors_cannot_be_accepted(make_operator, fleet):
    """Guards against publishing a configuration that every entry would ignore."""
    operator = make_operator("aoife")
    fleet["organisations"]["red"]["share"] = 0
    assert isinstance(operator.publish(fleet, 0, accept_warnings=True), Rejected)


def test_a_wave_command_needs_a_suitable_state_of_the_wave(make_operator, log, fleet):
    """Guards against a command to a wave whose state another operator has changed."""
    first, second = make_operator("aoife"), make_operator("brendan")
    first.publish(fleet, 0)
    assert first.command_wave("spring", WaveState.RUNNING) == WaveChanged()
    log.before_append = lambda: second.command_wave("spring", WaveState.PAUSED)
    assert first.command_wave("spring", WaveState.ABORTED) == WaveRefused(
        'the wave "spring" is now "paused"; another operator was first'
    )
    assert second.command_wave("autumn", WaveState.PAUSED) == WaveRefused(
        'there is no wave "autumn"'
    )
    assert second.command_wave("spring", WaveState.RUNNING) == WaveChanged()


def test_a_key_is_published_only_as_a_hash(make_operator, log, fleet):
    """Guards against writing the secret of a key to the log."""
    operator = make_operator("aoife")
    operator.publish(fleet, 0)
    created_keys = []
    operator.change(lambda draft: created_keys.append(draft.grant_key("red", "laptop")))
    secret = created_keys[-1].token.partition(".")[2]
    assert not any(secret.encode() in batch for batch in log.batches)
    assert operator.view.state.config.key_by_id["laptop"].organisation == "red"
    operator.change(lambda draft: draft.withdraw_key("laptop"))
    assert operator.view.state.config.key_by_id == {}
