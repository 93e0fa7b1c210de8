"""The metrics page and the alert rules agree with the metrics of the daemons."""

import re
from pathlib import Path

import pytest

from lycheeloom.controller.metrics import ControllerMetrics
from lycheeloom.entry.metrics import EntryMetrics

ROOT = Path(__file__).parents[3]
PAGE = (ROOT / "docs/metrics.md").read_text(encoding="utf-8")
RULES = (ROOT / "ops/alerts.yml").read_text(encoding="utf-8")

# Each line of the rules file matches one of these patterns. A plain text has no ": "
# or " #" in it and begins with a letter, so that YAML reads it as a string.
PLAIN_TEXT = r"[A-Za-z](?:(?!: | #).)*(?<![ :])"
LINE_PATTERNS = (
    r"#.*",
    r"groups:",
    rf"  - name: {PLAIN_TEXT}",
    r"    rules:",
    r"      - alert: [A-Z]\w+",
    rf"        expr: (?:>-|{PLAIN_TEXT})",
    rf"          (?:{PLAIN_TEXT}|[<>]=? .*[^ ])",
    r"        for: \d+[smh]",
    r"        labels: \{severity: (?:page|warn|info)\}",
    r"        annotations:",
    rf"          summary: {PLAIN_TEXT}\.",
)
# PromQL matches the two operands of an operator by their labels, so the operands must
# have the same labels. Scraping adds the label "instance" to every metric.
BINARY_OPERATOR = re.compile(r" (?:[-+*/]|[<>]=?|==|and) ")


def labels_by_metric(registry):
    """Return the label names of each metric, by the name that the daemon serves."""
    found = {}
    for collector in registry._collector_to_names:
        for family in collector.collect():
            if not family.name.startswith("lycheeloom_"):
                continue
            suffix = "_total" if family.type == "counter" else ""
            found[family.name + suffix] = set(collector._labelnames)
    return found


LABELS_BY_DAEMON = {
    "Entry": labels_by_metric(EntryMetrics().registry),
    "Controller": labels_by_metric(ControllerMetrics().registry),
}
LABELS_BY_METRIC = LABELS_BY_DAEMON["Entry"] | LABELS_BY_DAEMON["Controller"]


def expressions():
    """Return name and expression of each alert; folded lines are joined."""
    text = re.sub(r"expr: >-\n +", "expr: ", RULES)
    text = re.sub(r"\n          (?!summary)", " ", text)
    return re.findall(r"- alert: (\w+)\n +expr: (.+)", text)


@pytest.mark.parametrize("daemon", LABELS_BY_DAEMON)
def test_page_lists_the_metrics_and_labels_of_the_daemon(daemon):
    """Guards against alerts and dashboards on a metric that the daemon lacks."""
    text = re.split(r"\n## ", PAGE.split(f"\n## {daemon}\n")[1])[0]
    rows = re.findall(r"^\| `(lycheeloom_\w+)` \| \w+ \| ([^|]+) \|", text, re.M)
    listed = {name: set(re.findall(r"`(\w+)`", labels)) for name, labels in rows}
    assert listed == LABELS_BY_DAEMON[daemon]


def test_rules_are_well_formed():
    """Guards against a syntax error that makes the monitoring reject the whole file."""
    for line in RULES.splitlines():
        assert any(re.fullmatch(pattern, line) for pattern in LINE_PATTERNS), line
    keys = re.findall(
        r"^ +(?:- )?(alert|expr|labels|annotations|summary):", RULES, re.M
    )
    assert keys == ["alert", "expr", "labels", "annotations", "summary"] * len(
        expressions()
    )


@pytest.mark.parametrize(("alert", "expression"), expressions())
def test_alert_expression_matches_the_metrics(alert, expression):
    """Guards against an alert that can never fire, such as one on a misspelt metric."""
    for opening, closing in ("()", "{}", "[]"):
        assert expression.count(opening) == expression.count(closing)
    names = re.findall(r"[a-z]*lycheeloom_\w+", expression)
    assert names
    assert set(names) <= set(LABELS_BY_METRIC)
    for name, selectors in re.findall(r"(lycheeloom_\w+)\{([^}]*)\}", expression):
        for selector in selectors.split(","):
            label, value = selector.split("=", 1)
            assert label in LABELS_BY_METRIC[name]
            assert re.fullmatch(r'"\w+"', value)
    sides = [labels_of(side) for side in split_operands(expression)]
    vectors = [labels for labels in sides if labels is not None]
    assert all(labels == vectors[0] for labels in vectors), vectors


def split_operands(expression):
    """Return the operands of an expression, without an ``absent()`` around it."""
    if expression.startswith("absent("):
        expression = expression[len("absent(") : -1]
    return BINARY_OPERATOR.split(expression)


def labels_of(operand):
    """Return the labels of an operand that is a vector, None for a number."""
    if re.fullmatch(r"[\d.]+", operand) or operand.startswith("scalar("):
        return None
    name = re.search(r"lycheeloom_\w+", operand)[0]
    aggregate = re.match(r"(?:sum|min|max)(?: by \((\w+)\) )?\(", operand)
    if aggregate is None:
        return LABELS_BY_METRIC[name] | {"instance"}
    kept_labels = {aggregate[1]} - {None}
    assert kept_labels <= LABELS_BY_METRIC[name] | {"instance"}
    return kept_labels


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
def test_invalid_expressions_are_rejected(expression):
    """Guards against a check of alerts that accepts invalid expressions."""
    with pytest.raises(AssertionError):
        test_alert_expression_matches_the_metrics("", expression)
