"""The documentation and the examples agree with the code."""

import json
import re
from pathlib import Path

import pytest

from lycheeloom.model.verdict import RefusalReason
from lycheeloom.operator import check_document, print_config, read_config
from lycheeloom.operator.exit_codes import MEANING_BY_EXIT_CODE
from lycheeloom.operator.meanings import (
    MEANING_BY_FIELD,
    MODEL_BY_SECTION,
    default_of,
)
from lycheeloom.operator.settings import KNOWN_KEYS, Settings, load_settings

ROOT = Path(__file__).parents[3]


def read_file(name):
    """Return the text of a file of the repository."""
    return (ROOT / name).read_text(encoding="utf-8")


def rows_of(text):
    """Return the cells of each table row in a text."""
    return [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in text.splitlines()
        if line.startswith("| ")
    ]


def documented_default(section, name):
    """Return the default of a field as the page writes it."""
    if MODEL_BY_SECTION[section].model_fields[name].is_required():
        return "required"
    default = default_of(section, name)
    return "none" if default in (None, [], {}) else f"`{json.dumps(default)}`"


@pytest.mark.parametrize("section", MEANING_BY_FIELD)
def test_configuration_page_describes_each_field(section):
    """Guards against a field or default that is missing or wrong on the page."""
    page = read_file("docs/configuration.md")
    part = re.split(r"\n##", page.split(f"\n### `{section}`\n")[1])[0]
    described = [tuple(row[:3]) for row in rows_of(part)[1:]]
    assert list(MEANING_BY_FIELD[section]) == list(
        MODEL_BY_SECTION[section].model_fields
    )
    assert described == [
        (f"`{name}`", documented_default(section, name), meaning.allowed)
        for name, meaning in MEANING_BY_FIELD[section].items()
    ]


def test_http_page_lists_each_refusal():
    """Guards against a refusal reason that the page lacks."""
    part = read_file("docs/http.md").split("\n## Refusals\n")[1]
    reasons = {row[0].strip("`"): row[1:3] for row in rows_of(part)[1:]}
    assert set(reasons) == {str(reason) for reason in RefusalReason}
    for verdict, status in reasons.values():
        assert verdict == "`not_run`"
        assert 400 <= int(status) < 600


def test_pages_explain_each_alert_and_list_its_metrics():
    """Guards against alerts that operators cannot look up in the guide."""
    rules = read_file("ops/alerts.yml")
    alerts = re.findall(r"- alert: (\w+)", rules)
    assert len(alerts) == len(set(alerts)) > 10
    headings = re.findall(r"^### (\w+)$", read_file("docs/operators-guide.md"), re.M)
    assert headings == alerts
    used = set(re.findall(r"lycheeloom_[a-z_]+", rules))
    listed = set(
        re.findall(r"^\| `(lycheeloom_\w+)`", read_file("docs/metrics.md"), re.M)
    )
    assert used <= listed


def test_guide_lists_each_exit_code():
    """Guards against an exit code that the guide lacks."""
    rows = rows_of(read_file("docs/operators-guide.md"))
    listed = [int(row[0]) for row in rows if row[0].isdigit()]
    assert listed == [code.value for code in MEANING_BY_EXIT_CODE]


@pytest.mark.parametrize(
    ("name", "fleet"), [("user-a", "fachverband"), ("user-b", "suantrai")]
)
def test_examples_are_complete_and_valid(name, fleet):
    """Guards against an example that cannot be published without changes."""
    file = read_config(str(ROOT / f"examples/{name}.toml"))
    document = file.document
    assert check_document(document, file.source) == []
    assert print_config(document) == read_file(f"examples/{name}.toml")
    assert document["name"] == fleet
    sizes = {part: len(document[part]) for part in MEANING_BY_FIELD if part != "keys"}
    assert sizes == {
        "zones": 3,
        "pools": 5,
        "instances": 30,
        "organisations": 6,
        "queues": 6,
    }
    pools = [item["pool"] for item in document["instances"].values()]
    assert {pools.count(pool) for pool in document["pools"]} == {6}
    racks = [item["rack"] for item in document["instances"].values()]
    assert max(racks.count(rack) for rack in racks) == 4


def test_configuration_page_describes_the_settings():
    """Guards against a setting of the command that the page lacks."""
    page = read_file("docs/configuration.md")
    rows = rows_of(page.split("\n## Settings of the command\n")[1])[1:]
    assert [row[0].strip("`") for row in rows] == list(KNOWN_KEYS)


def test_example_settings_are_valid():
    """Guards against example settings that cannot be loaded."""
    path = str(ROOT / "examples/lycheeloom.toml")
    assert isinstance(load_settings(path), Settings)
