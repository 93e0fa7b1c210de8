"""Tests that each problem of a configuration is reported with its exact message."""

import datetime

import pytest

from lycheeloom.model.config import merge_patch
from lycheeloom.operator import (
    Draft,
    Usage,
    check_document,
    print_config,
    read_config_text,
)

from .conftest import small_fleet

DIGEST = "ab" * 32
KEY = {"salt": "ab" * 16, "digest": DIGEST}
ABOVE_0 = "a number greater than 0"
FROM_0 = "a whole number, 0 or more"
FROM_1 = "a whole number, 1 or more"
NAME = (
    "1 to 63 letters, digits, dots, hyphens or underscores, starting with a letter or "
    "digit"
)
ONE_ORGANISATION = (
    "but work without a key on a queue that is open to all is charged to the one "
    "organisation "
    "named here; allowed: exactly one organisation, or open_to_all = false"
)

# Merge patches for ``small_fleet``, each with the one message that it causes.
BAD_CONFIGURATIONS = [
    (
        {"organisations": {"red": {"share": 0}}},
        f"organisations.red.share: is 0; allowed: {ABOVE_0}",
    ),
    (
        {"organisations": {"red": {"share": -1}}},
        f"organisations.red.share: is -1; allowed: {ABOVE_0}",
    ),
    (
        {"organisations": {"red": {"share": float("inf")}}},
        f"organisations.red.share: is inf; allowed: {ABOVE_0}",
    ),
    (
        {"organisations": {"red": {"share": "2"}}},
        f'organisations.red.share: is "2"; allowed: {ABOVE_0}',
    ),
    (
        {"organisations": {"red": {"share": None}}},
        f"organisations.red.share: is missing; allowed: {ABOVE_0}",
    ),
    (
        {"organisations": {"red": {"upper_limit": 0}}},
        f"organisations.red.upper_limit: is 0; allowed: {FROM_1}",
    ),
    (
        {"organisations": {"red": {"upper_limit": 2.5}}},
        f"organisations.red.upper_limit: is 2.5; allowed: {FROM_1}",
    ),
    (
        {"organisations": {"red": {"upper_limit": 7}}},
        "organisations.red.upper_limit: is 7, but 8 tasks of this organisation are "
        "running; "
        "allowed: 8 or more; a lower limit starts no task until enough end",
    ),
    (
        {"organisations": {"red": {"uper_limit": 7}}},
        "organisations.red.uper_limit: is not a known key (did you mean "
        '"upper_limit"?); '
        "allowed: share, upper_limit, keys",
    ),
    (
        {
            "organisations": {
                "red": {"keys": {"k1": {"salt": "ab" * 16, "digest": "secret"}}}
            }
        },
        "organisations.red.keys.k1.digest: is not the salted hash of a key; "
        "allowed: 64 hexadecimal digits, made with the command key grant",
    ),
    (
        {"organisations": {"red": {"keys": {"k1": {"salt": "xyz", "digest": DIGEST}}}}},
        'organisations.red.keys.k1.salt: is "xyz"; allowed: 16 to 32 hexadecimal '
        "digits",
    ),
    (
        {"organisations": {"red": {"keys": {"k.1": KEY}}}},
        'organisations.red.keys."k.1": "k.1" cannot be the name of a key; allowed: '
        "1 to 63 "
        "letters, digits, hyphens or underscores, starting with a letter or digit",
    ),
    (
        {
            "organisations": {
                "red": {"keys": {"k1": KEY}},
                "blue": {"keys": {"k1": KEY}},
            }
        },
        'organisations.blue.keys.k1: is a key of the organisation "red" too; '
        "allowed: key names used by one organisation only",
    ),
    (
        {"organisations": {"-red": {"share": 1, "upper_limit": 1}}},
        f'organisations.-red: "-red" cannot be the name of an organisation; '
        f"allowed: {NAME}",
    ),
    (
        {"organisations": {"green": 4}},
        "organisations.green: is 4; allowed: a table of the settings of one "
        "organisation",
    ),
    (
        {"instances": {"w1": {"pool": ["lookup", "general"]}}},
        'instances.w1.pool: puts the instance in 2 pools, ["lookup", "general"]; '
        "allowed: the name of exactly one pool under [pools]",
    ),
    (
        {"instances": {"w4": {"address": "10.0.0.1:7100"}}},
        'instances.w4.address: is the address of "w1" too (pools "lookup" and '
        '"general"); allowed: one name for each instance, in exactly one pool',
    ),
    (
        {"instances": {"w5": {"pool": "genral"}}},
        'instances.w5.pool: names the pool "genral", which is not defined (did you '
        'mean "general"?); allowed: the name of a pool under [pools]',
    ),
    (
        {"instances": {"w5": {"zone": "nort"}}},
        'instances.w5.zone: names the zone "nort", which is not defined (did you '
        'mean "north"?); allowed: the name of a zone under [zones]',
    ),
    (
        {"instances": {"w5": {"rack": "south-1"}}},
        'instances.w5.rack: is "south-1" in zone "north" and elsewhere in zone '
        '"south"; allowed: a rack whose instances are in one zone',
    ),
    (
        {"instances": {"w5": {"rack": None}}},
        "instances.w5.rack: is missing; allowed: a text in quotation marks",
    ),
    (
        {"instances": {"w5": {"address": "10.0.0.5"}}},
        'instances.w5.address: is "10.0.0.5"; allowed: host and port, such as '
        '"10.1.0.4:7100"',
    ),
    (
        {"instances": {"w5": {"cores": True}}},
        f"instances.w5.cores: is true; allowed: {ABOVE_0}",
    ),
    (
        {"instances": {"w5": {"memory_mb": 0}}},
        f"instances.w5.memory_mb: is 0; allowed: {FROM_1}",
    ),
    (
        {"instances": {"w5": {"accelerators": -1}}},
        f"instances.w5.accelerators: is -1; allowed: {FROM_0}",
    ),
    (
        {"queues": {"find": {"pool": "lokup"}}},
        'queues.find.pool: names the pool "lokup", which is not defined (did you '
        'mean "lookup"?); allowed: the name of a pool under [pools]',
    ),
    (
        {"queues": {"find": {"organisations": ["red", "bleu"]}}},
        'queues.find.organisations: names the organisation "bleu", which is not '
        "defined (did you "
        'mean "blue"?); allowed: the name of an organisation under [organisations]',
    ),
    (
        {"queues": {"find": {"organisations": ["red", "red"]}}},
        'queues.find.organisations: names the organisation "red" 2 times; allowed: '
        "each organisation once",
    ),
    (
        {"queues": {"find": {"organisations": []}}},
        "queues.find.organisations: names no organisation, so nobody can use this "
        "queue; "
        "allowed: at least one organisation",
    ),
    (
        {"queues": {"find": {"open_to_all": True}}},
        f"queues.find.organisations: names 2 organisations, {ONE_ORGANISATION}",
    ),
    (
        {"queues": {"find": {"open_to_all": True, "organisations": ["red", 3]}}},
        'queues.find.organisations: is ["red", 3]; allowed: a list of names of '
        "organisations under "
        "[organisations], each once",
    ),
    (
        {"queues": {"find": {"open_to_all": True, "organisations": []}}},
        f"queues.find.organisations: names 0 organisations, {ONE_ORGANISATION}",
    ),
    (
        {"queues": {"find": {"kind": "interactiv"}}},
        'queues.find.kind: is "interactiv"; allowed: one of "interactive", "batch"',
    ),
    (
        {"queues": {"find": {"retry_budget_percent": 101}}},
        "queues.find.retry_budget_percent: is 101; allowed: a number from 0 to 100",
    ),
    (
        {"queues": {"find": {"hedge_budget_percent": 0.5}}},
        "queues.find.hedge_budget_percent: is 0.5, but no request of this queue may "
        "run twice; allowed: 0, or idempotent = true",
    ),
    (
        {"pools": {"empty": {}}, "queues": {"find": {"pool": "empty"}}},
        'queues.find.pool: names the pool "empty", which has no instances; '
        "allowed: a pool with at least one instance",
    ),
    (
        {"pools": {"lookup": {"needed": 4}}},
        "pools.lookup.needed: is 4, but the pool has 3 instances; "
        "allowed: a whole number from 0 to 3",
    ),
    (
        {"pools": {"lookup": {"max_unavailable": 2}}},
        "pools.lookup.max_unavailable: is 2, which leaves 1 of 3 instances though 2 "
        "are needed; allowed: a whole number from 0 to 1",
    ),
    (
        {"pools": {"lookup": {"max_unavailable": 0}}},
        "pools.lookup.max_unavailable: is 0, so no instance of this pool can ever be "
        "maintained; allowed: 1 or more for maintenance",
    ),
    (
        {"pools": {"lookup": {"spare": "yes"}}},
        'pools.lookup.spare: is "yes"; allowed: true or false',
    ),
    (
        {"zones": {"north": {"state": "off"}}},
        'zones.north.state: is "off"; allowed: one of "in", "out"',
    ),
    (
        {"zones": {"north": {"state": "out"}, "south": {"state": "out"}}},
        "zones: are all out, so no task starts anywhere; "
        'allowed: at least one zone with state = "in"',
    ),
    (
        {"zone": {}},
        'zone: is not a known key (did you mean "zones"?); '
        "allowed: name, zones, pools, organisations, queues, instances",
    ),
    (
        {"queues": []},
        "queues: is []; allowed: a table with one part for each queue",
    ),
    ({"name": 3}, "name: is 3; allowed: a text in quotation marks"),
]
USAGE = Usage(running_by_organisation={"red": 8})


@pytest.mark.parametrize(("patch", "message"), BAD_CONFIGURATIONS)
def test_each_problem_has_one_exact_message(patch, message):
    """Guards against a problem that is missed, reported twice or worded differently."""
    document = merge_patch(small_fleet(), patch)
    problems = check_document(document, "fleet.toml", small_fleet(), USAGE)
    assert [str(problem) for problem in problems] == [f"fleet.toml: {message}"]


def test_a_valid_configuration_passes():
    """Guards against messages about a valid configuration."""
    assert check_document(small_fleet(), "fleet.toml", {}, USAGE) == []


def test_a_queue_open_to_all_with_one_organisation_passes():
    """Guards against a check that rejects every queue that is open to all."""
    patch = {"queues": {"find": {"open_to_all": True, "organisations": ["blue"]}}}
    document = merge_patch(small_fleet(), patch)
    assert check_document(document, "fleet.toml", small_fleet(), USAGE) == []


def test_all_problems_are_reported_together():
    """Guards against a check that stops at the first problem."""
    patch = {"organisations": {"red": {"share": 0}}, "instances": {"w5": {"pool": "x"}}}
    document = merge_patch(small_fleet(), patch)
    document["queues"]["find"]["organisations"] = ["rad"]
    keys = {problem.key for problem in check_document(document, "fleet.toml")}
    assert keys == {
        "organisations.red.share",
        "instances.w5.pool",
        "queues.find.organisations",
    }


def test_a_pool_that_holds_an_instance_cannot_be_removed():
    """Guards against publishing a change that would have no effect when replayed."""
    document = merge_patch(small_fleet(), {"pools": {"old": None}})
    usage = Usage(pool_by_instance={"w1": "old"})
    problems = check_document(document, "fleet.toml", {}, usage)
    assert [str(problem) for problem in problems] == [
        'fleet.toml: pools.old: is removed, but the instance "w1" is in it or moving '
        "to it; allowed: to remove a pool when its last instance has moved away"
    ]


def test_unknown_fields_are_accepted_if_they_are_in_force():
    """Guards against rejecting fields that a newer program version published."""
    document = merge_patch(small_fleet(), {"organisations": {"red": {"burst": 3}}})
    assert check_document(document, "fleet.toml", in_force=document) == []
    assert len(check_document(document, "fleet.toml", in_force=small_fleet())) == 1


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (
            "[instances]\na = {}\na = {}\n",
            "instances.a: is defined a second time in line 3; "
            "allowed: each instance once, in exactly one pool",
        ),
        (
            "[instances.a]\n[instances.a]\n",
            "instances.a: is defined a second time in line 2; "
            "allowed: each instance once, in exactly one pool",
        ),
        (
            "[organisations.red]\nshare = 1\nshare = 2\n",
            "organisations.red.share: is defined a second time in line 3; "
            "allowed: each key once",
        ),
        (
            "[organisations\n",
            "line 1: expected ']' at the end of a table declaration; "
            "allowed: valid TOML",
        ),
        (
            "printed_from_version = -1\n",
            "printed_from_version: is -1; "
            "allowed: the version that config show printed, 0 or more",
        ),
    ],
)
def test_toml_problems_name_the_key_or_line(text, message):
    """Guards against parser messages that name neither key nor line."""
    assert str(read_config_text(text, "fleet.toml")) == f"fleet.toml: {message}"


def test_dates_are_rejected():
    """Guards against values that a published document, which is JSON, cannot have."""
    file = read_config_text(print_config(small_fleet()) + "\n", "fleet.toml")
    file.document["organisations"]["red"]["since"] = datetime.date(2026, 1, 2)
    problems = check_document(file.document, "fleet.toml", file.document)
    assert [str(problem) for problem in problems] == [
        "fleet.toml: organisations.red.since: is the date or time 2026-01-02; "
        "allowed: texts, finite numbers, true, false, lists and tables"
    ]


def test_a_draft_collects_its_problems():
    """Guards against a draft that stops at the first problem."""
    draft = Draft(small_fleet())
    draft.add_instance("w1", pool="general")
    draft.move_instance("w2", "genral")
    draft.set_limit("rad", 3)
    draft.withdraw_key("k9")
    assert [str(problem) for problem in draft.check()] == [
        'draft: instances.w1: is added a second time, to the pools "lookup" and '
        '"general"; allowed: each instance once, in exactly one pool',
        'draft: pools: there is no pool "genral" (did you mean "general"?); '
        "allowed: the name of a pool under [pools]",
        'draft: organisations: there is no organisation "rad" (did you mean "red"?); '
        "allowed: the name of an organisation under [organisations]",
        'draft: organisations: there is no key "k9"; allowed: the name of a key of '
        "some organisation",
    ]
