"""Incremental updates of the configuration give the result of a full parse."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheeloom.model.config import (
    ConfigError,
    FleetConfig,
    change_config,
    merge_patch,
    parse_config,
)

KEY = {"salt": "0" * 32, "digest": "0" * 64}
BASE = {
    "zones": {"z1": {}, "z2": {"state": "out"}},
    "pools": {"p1": {}, "p2": {"needed": 1}},
    "instances": {
        "w1": {
            "pool": "p1",
            "zone": "z1",
            "rack": "r",
            "address": "a:1",
            "cores": 1,
            "memory_mb": 1,
        }
    },
    "organisations": {
        "t1": {"share": 1, "upper_limit": 1, "keys": {"k1": KEY}},
        "t2": {"share": 2, "upper_limit": 2},
    },
    "queues": {"q1": {"pool": "p1", "organisations": ["t1"]}},
}
names = st.sampled_from(["z1", "p1", "p2", "t1", "t2", "w1", "w2", "q1", "new"])
key_ids = st.sampled_from(["k1", "k2", "a.b", ""])
values = st.one_of(st.none(), st.integers(-1, 3), names, st.lists(names, max_size=2))
items = st.one_of(
    st.none(),
    st.just(BASE["instances"]["w1"]),
    st.just({"share": 1, "upper_limit": 3}),
    st.builds(lambda keys: {"keys": keys}, st.dictionaries(key_ids, st.just(KEY))),
    st.builds(
        lambda keys: {"keys": keys}, st.dictionaries(key_ids, st.none(), max_size=2)
    ),
    st.dictionaries(
        st.sampled_from(
            [
                "pool",
                "zone",
                "share",
                "upper_limit",
                "organisations",
                "state",
                "needed",
                "keys",
            ]
        ),
        values,
        max_size=2,
    ),
)
patches = st.dictionaries(
    st.sampled_from(["zones", "pools", "instances", "organisations", "queues", "name"]),
    st.one_of(st.dictionaries(names, items, max_size=3), values),
    max_size=3,
)


@settings(max_examples=1500, derandomize=True, deadline=None)
@given(patches)
def test_change_equals_parsing_the_whole_document(patch):
    """Processes replaying one record must all get the same configuration.

    Some of them parse the whole document and some only update it.
    """
    previous = parse_config(BASE, 1)
    document = merge_patch(BASE, patch)
    assert change_config(previous, document, patch, 2) == parse_config(document, 2)


@pytest.mark.parametrize(
    "patch",
    [
        {"organisations": {"t2": {"keys": {"k1": KEY}}}},
        {"organisations": {"t1": {"keys": {"k9": KEY}}, "t2": {"keys": {"k9": KEY}}}},
        {"queues": {"q1": {"pool": "absent"}}},
        {"instances": {"w1": {"zone": "absent"}}},
        {"pools": {"p1": None}},
    ],
)
def test_incremental_change_detects_errors(patch):
    """Guards against accepting a key id of two organisations or an unknown name."""
    previous = parse_config(BASE, 1)
    result = change_config(previous, merge_patch(BASE, patch), patch, 2)
    assert isinstance(result, ConfigError)


def test_change_reuses_unchanged_indexes():
    """A change of one key must not rebuild the index of all instances."""
    previous = parse_config(BASE, 1)
    patch = {"organisations": {"t1": {"keys": {"k1": None}}}}
    changed = change_config(previous, merge_patch(BASE, patch), patch, 2)
    assert isinstance(changed, FleetConfig)
    assert changed.instance_by_id is previous.instance_by_id
    assert changed.key_by_id == {}
