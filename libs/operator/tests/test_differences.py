"""Sentences that describe changes of a configuration."""

import pytest

from lycheeloom.operator.difference import compare

WITH_KEY = {"keys": {"red-1": {"salt": "00", "digest": "00"}}}


@pytest.mark.parametrize(
    ("section", "before", "after", "sentence"),
    [
        (
            "zones",
            {},
            {"state": "out"},
            'Zone a: state changes from "in" (the default) to "out"',
        ),
        (
            "zones",
            {"state": "out"},
            {},
            'Zone a: state changes from "out" to "in" (the default)',
        ),
        (
            "zones",
            {"state": "out"},
            {"state": "in"},
            'Zone a: state changes from "out" to "in"',
        ),
        (
            "zones",
            {},
            {"state": "in"},
            'Zone a: state is now set to "in", which was the default already',
        ),
        (
            "zones",
            {"state": "in"},
            {},
            'Zone a: state stays "in", which is the default',
        ),
        ("instances", {}, {"rack": "r1"}, 'Instance a: rack is added: "r1"'),
        (
            "organisations",
            {},
            WITH_KEY,
            "Organisation a: key red-1 is added: a salted hash",
        ),
        (
            "organisations",
            WITH_KEY,
            {"keys": {}},
            "Organisation a: key red-1 is removed",
        ),
    ],
)
def test_change_is_described_by_one_sentence(section, before, after, sentence):
    """Guards against "added" or "removed" for a field that has a default value."""
    changes = compare({section: {"a": before}}, {section: {"a": after}})
    assert [change.describe() for change in changes] == [sentence]
