"""The meaning, unit and allowed values of each configuration field.

The comments of printed configurations, the messages about problems and the test of
``docs/configuration.md`` use these texts.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from pydantic import BaseModel

from lycheeloom.model.config import (
    InstanceDocument,
    KeyDocument,
    OrganisationDocument,
    PoolDocument,
    QueueDocument,
    ZoneDocument,
)

WHOLE_FROM_0 = "a whole number, 0 or more"
WHOLE_FROM_1 = "a whole number, 1 or more"
ABOVE_0 = "a number greater than 0"
PERCENT = "a number from 0 to 100"
YES_NO = "true or false"
QUOTED_TEXT = "a text in quotation marks"


@dataclass(frozen=True, slots=True)
class Meaning:
    """What one field means and which values it allows.

    ``allowed`` describes the allowed values. ``sentence`` explains a value, which
    replaces ``{value}`` in it. A field with a few fixed values has
    ``sentence_by_value`` instead.
    """

    allowed: str
    sentence: str = ""
    sentence_by_value: Mapping[Any, str] = field(default_factory=dict)

    def explain(self, value: Any) -> str:
        """Return the sentence that explains a value."""
        if isinstance(value, (str, bool)) and value in self.sentence_by_value:
            return self.sentence_by_value[value]
        return self.sentence.format(value=value)


MODEL_BY_SECTION: dict[str, type[BaseModel]] = {
    "zones": ZoneDocument,
    "pools": PoolDocument,
    "instances": InstanceDocument,
    "organisations": OrganisationDocument,
    "keys": KeyDocument,
    "queues": QueueDocument,
}
NOUN_BY_SECTION = {
    "zones": "zone",
    "pools": "pool",
    "instances": "instance",
    "organisations": "organisation",
    "keys": "key",
    "queues": "queue",
}

MEANING_BY_FIELD: dict[str, dict[str, Meaning]] = {
    "zones": {
        "region": Meaning(
            QUOTED_TEXT, "This availability zone belongs to the region {value}."
        ),
        "state": Meaning(
            'one of "in", "out"',
            sentence_by_value={
                "in": "Tasks may start in this availability zone.",
                "out": "This availability zone is out of service: "
                "no task starts in it.",
            },
        ),
        "max_unavailable": Meaning(
            WHOLE_FROM_0,
            "At most {value} of the instances in this availability zone may be "
            "unavailable at the same time.",
        ),
    },
    "pools": {
        "max_unavailable": Meaning(
            WHOLE_FROM_0,
            "At most {value} of the instances of this pool may be unavailable at "
            "the same time.",
        ),
        "max_unavailable_per_rack": Meaning(
            WHOLE_FROM_0,
            "At most {value} of the instances of this pool in any one rack may be "
            "unavailable at the same time.",
        ),
        "needed": Meaning(
            WHOLE_FROM_0,
            "At least {value} of the instances of this pool must be serving.",
        ),
        "spare": Meaning(
            YES_NO,
            sentence_by_value={
                True: "This is the spare pool: other queues borrow its workers "
                "in a surge.",
                False: "This is not the spare pool.",
            },
        ),
    },
    "instances": {
        "pool": Meaning(
            "the name of exactly one pool under [pools]",
            "This instance belongs to the pool {value}.",
        ),
        "zone": Meaning(
            "the name of a zone under [zones]",
            "This instance is in the availability zone {value}.",
        ),
        "rack": Meaning(QUOTED_TEXT, "This instance is in the rack {value}."),
        "address": Meaning(
            'host and port, such as "10.1.0.4:7100"',
            "This instance answers at the address {value}.",
        ),
        "cores": Meaning(ABOVE_0, "Processor cores of this instance: {value}."),
        "memory_mb": Meaning(WHOLE_FROM_1, "Memory of this instance, in MB: {value}."),
        "accelerators": Meaning(
            WHOLE_FROM_0, "Accelerators of this instance: {value}."
        ),
    },
    "organisations": {
        "share": Meaning(
            ABOVE_0,
            "When the fleet is full, this organisation gets {value} parts of it, "
            "compared "
            "with the parts of the other organisations that have work.",
        ),
        "upper_limit": Meaning(
            WHOLE_FROM_1,
            "At most {value} of the tasks of this organisation run at the same time, "
            "counted across the whole fleet.",
        ),
        "keys": Meaning(
            "a table of keys, made with the command key grant",
            "Each key is kept only as a salted hash; the key itself cannot be "
            "read back.",
        ),
    },
    "keys": {
        "salt": Meaning(
            "16 to 32 hexadecimal digits", "The random salt of the hash of this key."
        ),
        "digest": Meaning(
            "64 hexadecimal digits, made with the command key grant",
            "The salted hash of this key.",
        ),
    },
    "queues": {
        "pool": Meaning(
            "the name of a pool under [pools]", "The pool {value} serves this queue."
        ),
        "kind": Meaning(
            'one of "interactive", "batch"',
            sentence_by_value={
                "interactive": "A caller waits for each answer of this queue.",
                "batch": "The work of this queue may wait and is collected later.",
            },
        ),
        "open_to_all": Meaning(
            YES_NO,
            sentence_by_value={
                True: "Every caller may use this queue; work without a key is charged "
                "to the one organisation named here.",
                False: (
                    "Only the organisations named here may use this queue, with "
                    "their keys."
                ),
            },
        ),
        "organisations": Meaning(
            "a list of names of organisations under [organisations], each once",
            "These organisations may use this queue.",
        ),
        "max_queued": Meaning(
            WHOLE_FROM_1,
            "At most {value} requests wait in this queue; further ones are refused.",
        ),
        "idempotent": Meaning(
            YES_NO,
            sentence_by_value={
                True: "Unless a request says otherwise, running it twice does no "
                "harm, so it may be retried.",
                False: "Unless a request says otherwise, it runs at most once.",
            },
        ),
        "answer_retention_s": Meaning(
            WHOLE_FROM_1,
            "An answer waits to be collected for {value} seconds.",
        ),
        "retry_budget_percent": Meaning(
            PERCENT,
            "Retries may add at most {value} percent to the requests of this queue.",
        ),
        "hedge_budget_percent": Meaning(
            PERCENT,
            "Second copies of slow requests may add at most {value} percent to the "
            "requests of this queue.",
        ),
    },
}


def default_of(section: str, name: str) -> Any:
    """Return the default of a field, or None if the field has none.

    The default of a field with an enum is the value of the member.
    """
    info = MODEL_BY_SECTION[section].model_fields[name]
    if info.is_required():
        return None
    return getattr(info.default, "value", info.default)
