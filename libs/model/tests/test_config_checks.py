"""Documents that no entry may put in force."""

import json

import pytest

from lycheeloom.model.config import ConfigError, FleetConfig, parse_config

KEY = {"salt": "ab" * 16, "digest": "cd" * 32}


def team(**fields):
    return {"share": 1, "upper_limit": 1, **fields}


@pytest.mark.parametrize(
    ("teams", "message"),
    [
        (
            {"red": team(keys={"k1": KEY}), "blue": team(keys={"k1": KEY})},
            "teams.blue.keys.k1: team 'red' has this key id too",
        ),
        (
            {"red": team(keys={"k.1": KEY})},
            "teams.red.keys.k.1: a key id is not empty and has no dot",
        ),
        (
            {"red": team(share=json.loads("Infinity"))},
            "teams.red.share: Input should be a finite number",
        ),
    ],
)
def test_ambiguous_keys_and_infinite_shares_are_rejected(teams, message):
    """Guards against a key that proves another team, and shares without ratio."""
    parsed = parse_config({"teams": teams}, 1)
    assert isinstance(parsed, ConfigError)
    assert message in parsed.problems[0]


def test_one_key_for_each_team_is_accepted():
    """Guards against checks that reject what key grant makes."""
    teams = {"red": team(keys={"k1": KEY}), "blue": team(keys={"k-2": KEY})}
    assert isinstance(parse_config({"teams": teams}, 1), FleetConfig)
