"""Guards against two holders of one grant and against needless refusals."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from libs.cluster.tests.world import World
from libs.log.tests.fake_log import FakeClient

from lycheeloom.clients import InstanceList, InstanceState, ListedInstance
from lycheeloom.cluster import FreshBy
from lycheeloom.log import Effective, Priority, recover
from lycheeloom.model import records as r
from lycheeloom.model.limits import FRESHNESS_S, RECLAIM_WAIT_S, SILENCE_TIMEOUT_S
from lycheeloom.wire import decode_batch

FIVE = "abcde"
STATES = (InstanceState.LIVE, InstanceState.LEAVING)


@pytest.fixture
def world():
    return World(FIVE)


def records_of(world, kind):
    return [
        record
        for data in world.log.archive
        for record in decode_batch(data).records
        if isinstance(record, kind)
    ]


def listing(names, out=()):
    return InstanceList(
        tuple(
            ListedInstance(name, "entry", name, "z1", "r1", STATES[name in out], "b")
            for name in names
        )
    )


def test_all_join_and_are_fresh(world):
    """Every new entry must become a member without help."""
    assert world.members() == set(FIVE) == world.fresh()
    assert len(records_of(world, r.MemberJoined)) == 5


def test_log_outage_with_one_entry_lost(world):
    """All live entries must go on through an outage of 30 minutes."""
    world.without_log = set(FIVE)
    world.run(60)
    world.node_by_name["a"].is_paused = True
    world.run(120, lambda: world.fresh() == set("bcde") or pytest.fail("not fresh"))
    assert world.node_by_name["b"].freshness.explain() is FreshBy.MAJORITY
    assert not records_of(world, r.MemberVote)
    world.without_log = set()
    world.run(SILENCE_TIMEOUT_S + 2)
    assert world.members() == set("bcde") == world.fresh()


@pytest.mark.parametrize(
    ("without_log", "groups", "fresh"),
    [
        ("", ["abcde"], "abcde"),
        ("a", ["abcde"], "abcde"),
        ("abcd", ["abcde"], "abcde"),
        ("a", ["a", "bcde"], "bcde"),
        ("ab", ["ab", "cde"], "cde"),
        ("abcde", ["ab", "cde"], "cde"),
        ("abcde", ["ab", "cd", "e"], ""),
        ("", ["a", "b", "c", "d", "e"], "abcde"),
    ],
)
def test_partitions(world, without_log, groups, fresh):
    """A minority without the log must stop within the freshness bound."""
    world.without_log, world.groups = set(without_log), groups
    world.run(FRESHNESS_S + 0.2)
    assert world.fresh() == set(fresh)
    world.run(1.0)
    assert world.fresh() == set(fresh)


def test_configuration_reaches_an_entry_without_the_log(world):
    """A revocation must be in force within 2 s where only peers are reachable."""
    world.without_log = {"a"}
    world.run(10)
    patch = json.dumps({"name": "new"})
    writer = world.node_by_name["b"].writer
    writer.append(r.ConfigChanged(0, patch), Priority.CONTROL)
    world.run(2.0)
    assert world.node_by_name["a"].tail.state.config.name == "new"
    assert world.node_by_name["a"].freshness.explain() is FreshBy.RELAY


def test_long_gap_is_filled_by_range_requests(world):
    """An entry far behind must catch up from a peer's ring without the log."""
    world.without_log, world.groups = {"a"}, ["a", "bcde"]
    world.run(1.0)
    writer = world.node_by_name["b"].writer
    for i in range(60):
        writer.append(r.RequestSubmitted(f"q{i}", "t", "m", b"x" * 60_000))
        world.run(0.1)
    assert world.node_by_name["a"].tail.next_offset < len(world.log.archive) - 10
    world.groups = None
    world.run(1.5)
    assert world.node_by_name["a"].tail.next_offset == len(world.log.archive)


def test_paused_entry_is_expelled_and_rejoins(world):
    """A paused entry must not be fresh when it wakes, nor keep its old name."""
    paused = world.node_by_name["a"]
    old = paused.keeper.incarnation
    paused.is_paused = True
    world.run(SILENCE_TIMEOUT_S + 2)
    assert world.members() == set("bcde")
    expelled_at = world.clock.now
    paused.is_paused = False
    assert not paused.is_fresh and paused.freshness.pauses == 1
    world.run(3.0)
    assert paused.is_fresh and paused.keeper.incarnation != old
    members = paused.tail.state.members.member_by_incarnation
    world.run(RECLAIM_WAIT_S - 3.0 - 2.0)
    assert old in members and not records_of(world, r.GrantsReclaimed)
    world.run(5.0)
    assert old not in paused.tail.state.members.member_by_incarnation
    assert world.clock.now - expelled_at >= RECLAIM_WAIT_S


def test_nobody_is_expelled_when_all_faults_end_at_once(world):
    """Peers that were silent during an outage must be heard before a vote."""
    world.without_log, world.groups = set(FIVE), ["ab", "cd", "e"]
    world.run(SILENCE_TIMEOUT_S + 5)
    world.without_log, world.groups = set(), None
    world.run(SILENCE_TIMEOUT_S)
    assert len(records_of(world, r.MemberJoined)) == 5
    assert world.fresh() == set(FIVE)


def test_short_pause_needs_new_evidence(world):
    """Evidence from before a pause says nothing about what happened in it."""
    node = world.node_by_name["a"]
    node.is_paused = True
    world.run(1.2)
    node.is_paused = False
    assert node.freshness.explain() is FreshBy.STALE
    world.run(0.2)
    assert node.is_fresh and world.members() == set(FIVE)


def test_entry_that_reaches_only_the_log_stays_a_member(world):
    """Its peers must not expel it every few seconds while it is alive."""
    world.groups = ["a", "bcde"]
    world.run(30)
    assert world.members() == set(FIVE) == world.fresh()
    assert len(records_of(world, r.MemberJoined)) == 5
    assert len(records_of(world, r.MemberRefuted)) <= 5 * 30 / (SILENCE_TIMEOUT_S / 2)


def test_vote_against_a_live_entry_is_refuted(world):
    """A vote that stays on record would need only few more to expel later."""
    target = world.node_by_name["c"].keeper.incarnation
    vote = r.MemberVote(target, r.VoteReason.SILENT)
    pending = world.node_by_name["b"].writer.append(vote, Priority.CONTROL)
    world.run(1.0)
    assert isinstance(pending.outcome, Effective)
    assert len(records_of(world, r.MemberRefuted)) == 1
    assert not any(m.votes for m in world.node_by_name["b"].tail.state.members.active())


def test_confirmations_stop_before_the_vote(world):
    """An entry that is voted out must not be confirmed by its voters."""
    node = world.node_by_name["b"]
    target = world.node_by_name["a"].keeper.incarnation
    withheld_at_append = []
    append = node.writer.append

    def watch(record, priority):
        if isinstance(record, r.MemberVote):
            withheld_at_append.append(set(node.mesh.withheld))
        return append(record, priority)

    node.writer.append = watch
    world.node_by_name["a"].is_paused = True
    world.run(SILENCE_TIMEOUT_S + 2)
    assert withheld_at_append == [{target}]
    world.node_by_name["a"].is_paused = False
    world.run(3.0)
    assert not node.mesh.withheld and world.members() == set(FIVE)


def test_unsent_vote_is_withdrawn_when_the_peer_is_back(world):
    """A vote that waits for the log must not withhold confirmations for long."""
    voter, target = world.node_by_name["b"], world.node_by_name["a"]
    voter.keeper._first_seen_at[target.keeper.incarnation] = world.clock.now
    voter.keeper._vote(target.keeper.incarnation, r.VoteReason.SILENT)
    voter.client.append_faults.append("down")
    world.without_log = set(FIVE)
    world.run(1.0)
    assert not voter.mesh.withheld and world.fresh() == set(FIVE)


@pytest.mark.parametrize(
    ("lists", "expelled"),
    [
        ([FIVE, "bcde"], True),
        (["bcde", "bcde"], False),
        ([FIVE, "bcde", FIVE], False),
        ([FIVE, FIVE], False),
    ],
)
def test_gone_needs_an_earlier_listing(world, lists, expelled):
    """A new entry that the lagging list lacks must not be expelled."""
    world.node_by_name["a"].is_paused = True
    voter = world.node_by_name["b"].keeper
    for names in lists:
        voter.observe_instances(listing(names))
    world.run(3.0)
    assert ("a" not in world.members()) == expelled


def test_listed_as_gone_but_heard(world):
    """A wrong list must not expel an entry whose heartbeats arrive."""
    for node in world.node_by_name.values():
        node.keeper.observe_instances(listing(FIVE))
        node.keeper.observe_instances(listing("bcde", out="b"))
    world.run(10)
    assert world.members() == set(FIVE)
    assert world.node_by_name["b"].keeper.is_leaving
    assert not world.node_by_name["c"].keeper.is_leaving


def test_new_process_on_the_instance_replaces_the_old(world):
    """Two processes of one instance must not expel each other forever."""
    old = world.node_by_name["a"]
    old.is_paused = True
    new = world.add("a")
    world.run(3.0)
    world.node_by_name["old"] = old
    old.is_paused = False
    world.run(10)
    assert old.keeper.is_replaced and not old.is_fresh
    assert new.keeper.is_member and len(records_of(world, r.MemberJoined)) == 6


def test_leaving_member_does_not_rejoin(world):
    """Graceful shutdown must end the membership."""
    node = world.node_by_name["a"]
    node.keeper._has_left = True
    pending = node.writer.append(r.MemberLeft(), Priority.CONTROL)
    world.run(2.0)
    assert isinstance(pending.outcome, Effective)
    assert world.members() == set("bcde") and not node.is_fresh


def test_newer_members_do_not_vote_out_those_that_never_knew_them():
    """Entries cut off with a majority of an older membership stay fresh, so they
    must stay members too.
    """
    world = World("abc")
    world.without_log, world.groups = set("ab"), ["ab", "cde"]
    world.add("d")
    world.add("e")
    world.run(60)
    assert world.fresh() == set("abcde") == world.members()
    world.groups, world.without_log = None, set()
    world.run(2.0)
    world.without_log, world.groups = {"a"}, ["a", "bcde"]
    world.run(SILENCE_TIMEOUT_S + 2)
    assert world.members() == set("bcde") == world.fresh()


GROUPS = st.lists(st.integers(0, 2), min_size=6, max_size=6)
FAULT = st.tuples(
    GROUPS,
    st.sets(st.sampled_from("abcdef")),
    st.sets(st.sampled_from("abcdef"), max_size=2),
    st.sampled_from([0.5, 1.3, 4.0, 7.0]),
)


@settings(max_examples=40, derandomize=True, deadline=None)
@given(st.lists(FAULT, min_size=1, max_size=8))
def test_an_expelled_entry_is_soon_not_fresh(faults):
    """Reclaimed grants are given again, so no expelled entry may start tasks."""
    world = World("abcd")
    expelled_at = {}
    oracle = recover(FakeClient(world.log))

    def check():
        for data in world.log.archive[oracle.next_offset :]:
            oracle.apply(oracle.next_offset, decode_batch(data))
        for node in world.node_by_name.values():
            name = node.keeper.incarnation
            if oracle.members.is_active(name):
                expelled_at.pop(name, None)
                continue
            since = expelled_at.setdefault(name, world.clock.now)
            if world.clock.now - since > FRESHNESS_S:
                assert node.is_paused or not node.is_fresh

    for step, (groups, without_log, paused, seconds) in enumerate(faults):
        if step == 2:
            world.add("e")
            world.add("f")
        names = "abcdef"
        world.groups = [
            {n for n, g in zip(names, groups, strict=True) if g == group}
            for group in range(3)
        ]
        world.without_log = without_log
        for name, node in world.node_by_name.items():
            node.is_paused = name in paused
        world.run(seconds, check)
    world.groups, world.without_log = None, set()
    for node in world.node_by_name.values():
        node.is_paused = False
    world.run(SILENCE_TIMEOUT_S + 10, check)
    assert world.fresh() == set(world.node_by_name)
