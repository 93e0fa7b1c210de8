"""Tests the message of each problem in the settings of the command."""

import pytest

from lycheeloom.operator.settings import load_settings

ADDRESS = 'host and port, such as "10.1.0.4:7100"'
GOOD_SETTINGS = 'log = "127.0.0.1:1"\nentries = ["127.0.0.1:2"]\n'


@pytest.mark.parametrize(
    ("text", "messages"),
    [
        (
            "",
            [
                f"log: is missing; allowed: {ADDRESS}",
                "entries: is missing; allowed: a list of one or more distinct "
                f"addresses, each {ADDRESS}",
            ],
        ),
        (
            'log = "here"\nentries = []\n',
            [
                f'log: is "here"; allowed: {ADDRESS}',
                "entries: is []; allowed: a list of one or more distinct addresses, "
                f"each {ADDRESS}",
            ],
        ),
        (
            'log = "a:1"\nentries = ["a:2", "a:2", "a:70000"]\n',
            [
                'entries: contains "a:2" twice; allowed: a list of one or more '
                f"distinct addresses, each {ADDRESS}",
                'entries: contains "a:70000"; allowed: a list of one or more '
                f"distinct addresses, each {ADDRESS}",
            ],
        ),
        (
            GOOD_SETTINGS + "timeout_s = 0\noperater = 'x'\n",
            [
                'operater: is not a known key (did you mean "operator"?); '
                "allowed: log, entries, controllers, operator, timeout_s, "
                "handover_token",
                "timeout_s: is 0; allowed: a number of seconds above 0, at most 3600",
            ],
        ),
        (
            GOOD_SETTINGS + 'operator = 4\ncontrollers = ["here"]\n',
            [
                'controllers: contains "here"; allowed: a list of one or more '
                f"distinct addresses, each {ADDRESS}",
                "operator: is 4; allowed: your name in quotation marks",
            ],
        ),
    ],
)
def test_invalid_settings_are_reported(tmp_path, text, messages):
    """Guards against invalid settings that pass the check and cause failures later."""
    path = tmp_path / "lycheeloom.toml"
    path.write_text(text)
    problems = load_settings(str(path))
    assert [str(item) for item in problems] == [f"{path}: {text}" for text in messages]


def test_missing_settings_file(tmp_path):
    """Guards against a traceback when the settings file does not exist."""
    path = str(tmp_path / "none.toml")
    assert [str(item) for item in load_settings(path)] == [
        f"{path}: file: No such file or directory; allowed: a readable file"
    ]
