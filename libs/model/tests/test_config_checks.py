"""Validation of configuration documents."""

import json

import pytest

from lycheeloom.model.config import ConfigError, FleetConfig, parse_config

KEY = {"salt": "ab" * 16, "digest": "cd" * 32}


def organisation(**fields):
    return {"share": 1, "upper_limit": 1, **fields}


@pytest.mark.parametrize(
    ("organisations", "message"),
    [
        (
            {
                "red": organisation(keys={"k1": KEY}),
                "blue": organisation(keys={"k1": KEY}),
            },
            "organisations.blue.keys.k1: organisation 'red' has this key id too",
        ),
        (
            {"red": organisation(keys={"k.1": KEY})},
            "organisations.red.keys.k.1: a key id is not empty and has no dot",
        ),
        (
            {"red": organisation(share=json.loads("Infinity"))},
            "organisations.red.share: Input should be a finite number",
        ),
    ],
)
def test_ambiguous_keys_and_infinite_shares_are_rejected(organisations, message):
    """Guards against a key that authenticates the wrong organisation.

    Shares are divided by each other, so an infinite one is rejected too.
    """
    parsed = parse_config({"organisations": organisations}, 1)
    assert isinstance(parsed, ConfigError)
    assert message in parsed.problems[0]


def test_one_key_for_each_organisation_is_accepted():
    """Guards against rejecting the keys that the command ``key grant`` creates."""
    organisations = {
        "red": organisation(keys={"k1": KEY}),
        "blue": organisation(keys={"k-2": KEY}),
    }
    assert isinstance(parse_config({"organisations": organisations}, 1), FleetConfig)
