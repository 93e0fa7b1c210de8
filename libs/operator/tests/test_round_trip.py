"""Tests that printing and reading, or patching, gives back the same document."""

from hypothesis import given, settings
from hypothesis import strategies as st

from lycheeloom.model.config import canonical_json, merge_patch
from lycheeloom.operator import (
    ConfigFile,
    compare,
    make_patch,
    print_config,
    read_config_text,
)
from lycheeloom.operator.meanings import MEANING_BY_FIELD
from lycheeloom.operator.splitting import patch_text, split_patch
from lycheeloom.operator.toml_reader import VERSION_KEY

from .conftest import small_fleet

TEXT = st.text(max_size=12)
SCALAR_VALUES = (
    st.booleans()
    | st.integers(-(2**63), 2**63 - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | TEXT
)
ANY_VALUES = st.recursive(
    SCALAR_VALUES,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(TEXT, inner, max_size=3)
    ),
    max_leaves=6,
)
# Items of a section: known fields with any value, and unknown fields, as a newer
# program version may have published.
ITEMS_BY_SECTION = {
    section: st.dictionaries(
        st.sampled_from(sorted(set(fields) - {"keys"})) | TEXT.filter("keys".__ne__),
        ANY_VALUES,
        max_size=5,
    )
    for section, fields in MEANING_BY_FIELD.items()
}
ORGANISATIONS = st.builds(
    lambda item, keys: item | keys,
    ITEMS_BY_SECTION["organisations"],
    st.just({})
    | st.fixed_dictionaries(
        {"keys": st.dictionaries(TEXT, ITEMS_BY_SECTION["keys"], max_size=2)}
    ),
)
TABLES_BY_SECTION = {
    section: st.dictionaries(
        TEXT, ORGANISATIONS if section == "organisations" else item, max_size=3
    )
    for section, item in ITEMS_BY_SECTION.items()
    if section != "keys"
}
UNKNOWN_TOP_LEVEL_FIELDS = st.dictionaries(
    TEXT.filter(lambda name: name not in {*TABLES_BY_SECTION, "name", VERSION_KEY}),
    ANY_VALUES,
    max_size=2,
)
DOCUMENTS = st.builds(
    lambda known, extra: known | extra,
    st.fixed_dictionaries({}, optional={"name": TEXT, **TABLES_BY_SECTION}),
    UNKNOWN_TOP_LEVEL_FIELDS,
)
DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=300)


@DETERMINISTIC
@given(DOCUMENTS, st.none() | st.integers(0, 10**6))
def test_printed_configuration_reads_back_exactly(document, version):
    """Guards against a printed file that is published as a different document."""
    text = print_config(document, version)
    file = read_config_text(text, "printed")
    assert isinstance(file, ConfigFile), f"{file}\n{text}"
    assert canonical_json(file.document) == canonical_json(document)
    assert file.version == version


@DETERMINISTIC
@given(DOCUMENTS, DOCUMENTS)
def test_patch_rebuilds_the_document(before, after):
    """Guards against differences that ``make_patch`` or ``compare`` misses."""
    patch = make_patch(before, after)
    assert canonical_json(merge_patch(before, patch)) == canonical_json(after)
    assert bool(patch) == bool(compare(before, after))


@DETERMINISTIC
@given(DOCUMENTS, DOCUMENTS)
def test_split_patch_leads_to_the_same_document(before, after):
    """Guards against a large change whose parts omit some of its items."""
    document = before
    for part in split_patch(make_patch(before, after), max_bytes=60):
        document = merge_patch(document, part)
    assert canonical_json(document) == canonical_json(after)


def test_printed_values_and_defaults_are_explained():
    """Guards against printed values without an explanation of meaning and unit."""
    text = print_config(small_fleet(), 3)
    for line in (
        "printed_from_version = 3  # It can be published while this version is in "
        "force.",
        "upper_limit = 10  # At most 10 of the tasks of this organisation run at "
        "the same "
        "time, counted across the whole fleet.",
        "needed = 2  # At least 2 of the instances of this pool must be serving.",
        "# max_unavailable is 1 unless this pool sets it. At most 1 of the instances "
        "of this pool may be unavailable at the same time.",
        "# Worker w1 of pool lookup is in zone north, rack north-1; cores: 16, "
        "memory: 65536 MB, accelerators: 0.",
    ):
        assert line in text.splitlines()


def test_large_change_is_split_below_the_limit():
    """Guards against a fleet of 5,100 workers that cannot be published.

    The configuration of such a fleet is larger than the largest batch.
    """
    worker = small_fleet()["instances"]["w1"]
    after = {"instances": {f"worker-{number}": worker for number in range(5100)}}
    parts = split_patch(after)
    assert 1 < len(parts) < 8
    assert all(len(patch_text(part)) <= 256 * 1024 for part in parts)
