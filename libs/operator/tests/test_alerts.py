"""Metrics page and alert rules agree with what the daemons serve."""

import re
from pathlib import Path

import pytest

from lycheeloom.controller.metrics import ControllerMetrics
from lycheeloom.entry.metrics import EntryMetrics

ROOT = Path(__file__).parents[3]
PAGE = (ROOT / "docs/metrics.md").read_text(encoding="utf-8")
RULES = (ROOT / "ops/alerts.yml").read_text(encoding="utf-8")

# Each line that the rules file may have. Plain texts have no ": " or " #", and
# begin with a letter, so that YAML reads them as texts.
PLAIN = r"[A-Za-z](?:(?!: | #).)*(?<![ :])"
SHAPES = (
    r"#.*",
    r"groups:",
    rf"  - name: {PLAIN}",
    r"    rules:",
    r"      - alert: [A-Z]\w+",
    rf"        expr: (?:>-|{PLAIN})",
    rf"          (?:{PLAIN}|[<>]=? .*[^ ])",
    r"        for: \d+[smh]",
    r"        labels: \{severity: (?:page|warn|info)\}",
    r"        annotations:",
    rf"          summary: {PLAIN}\.",
)
# Vectors match if their labels do; scrapes add the label "instance".
OPERATOR = re.compile(r" (?:[-+*/]|[<>]=?|==|and) ")


def labels_by_metric(registry):
    """Return the label names of each metric under the name it is served with."""
    found = {}
    for collector in registry._collector_to_names:
        for family in collector.collect():
            if not family.name.startswith("lycheeloom_"):
                continue
            suffix = "_total" if family.type == "counter" else ""
            found[family.name + suffix] = set(collector._labelnames)
    return found


SERVED = {
    "Entry": labels_by_metric(EntryMetrics().registry),
    "Controller": labels_by_metric(ControllerMetrics().registry),
}
LABELS = SERVED["Entry"] | SERVED["Controller"]


def expressions():
    """Return the expression of each alert, with folded lines joined."""
    text = re.sub(r"expr: >-\n +", "expr: ", RULES)
    text = re.sub(r"\n          (?!summary)", " ", text)
    return re.findall(r"- alert: (\w+)\n +expr: (.+)", text)


@pytest.mark.parametrize("part", SERVED)
def test_page_lists_what_is_served(part):
    """Guards against a dashboard or an alert on a metric that nobody serves."""
    text = re.split(r"\n## ", PAGE.split(f"\n## {part}\n")[1])[0]
    rows = re.findall(r"^\| `(lycheeloom_\w+)` \| \w+ \| ([^|]+) \|", text, re.M)
    listed = {name: set(re.findall(r"`(\w+)`", labels)) for name, labels in rows}
    assert listed == SERVED[part]


def test_rules_are_well_formed():
    """Guards against a file that the monitoring refuses as a whole."""
    for line in RULES.splitlines():
        assert any(re.fullmatch(shape, line) for shape in SHAPES), line
    keys = re.findall(
        r"^ +(?:- )?(alert|expr|labels|annotations|summary):", RULES, re.M
    )
    assert keys == ["alert", "expr", "labels", "annotations", "summary"] * len(
        expressions()
    )


@pytest.mark.parametrize(("alert", "expression"), expressions())
def test_expression(alert, expression):
    """Guards against an alert that can never fire, or on a misspelt metric."""
    for opening, closing in ("()", "{}", "[]"):
        assert expression.count(opening) == expression.count(closing)
    names = re.findall(r"[a-z]*lycheeloom_\w+", expression)
    assert names
    assert set(names) <= set(LABELS)
    for name, selectors in re.findall(r"(lycheeloom_\w+)\{([^}]*)\}", expression):
        for selector in selectors.split(","):
            label, value = selector.split("=", 1)
            assert label in LABELS[name]
            assert re.fullmatch(r'"\w+"', value)
    sides = [labels_of(side) for side in split_operands(expression)]
    vectors = [labels for labels in sides if labels is not None]
    assert all(labels == vectors[0] for labels in vectors), vectors


def split_operands(expression):
    """Return the operands; those in parentheses stay with their function."""
    if expression.startswith("absent("):
        expression = expression[len("absent(") : -1]
    return OPERATOR.split(expression)


def labels_of(operand):
    """Return the labels of a vector, None for a number."""
    if re.fullmatch(r"[\d.]+", operand) or operand.startswith("scalar("):
        return None
    name = re.search(r"lycheeloom_\w+", operand)[0]
    aggregate = re.match(r"(?:sum|min|max)(?: by \((\w+)\) )?\(", operand)
    if aggregate is None:
        return LABELS[name] | {"instance"}
    kept = {aggregate[1]} - {None}
    assert kept <= LABELS[name] | {"instance"}
    return kept


@pytest.mark.parametrize(
    "expression",
    [
        "lycheeloom_entry_fres == 0",
        "max(lycheeloom_config_version) - lycheeloom_config_version > 0",
        'lycheeloom_members{stat="silent"} > 0',
        "max by (organisation) (lycheeloom_members) > 0",
        "max(lycheeloom_members > 0",
    ],
)
def test_wrong_expressions_are_found(expression):
    """Guards against a check of expressions that accepts anything."""
    with pytest.raises(AssertionError):
        test_expression("", expression)
