"""An editable copy of a configuration."""

from __future__ import annotations

import copy
import secrets
from collections.abc import Mapping
from typing import Any

from lycheeloom.model.config import ZoneState
from lycheeloom.model.keys import NewKey, create_key

from .checks import NO_USAGE, check_document
from .meanings import NOUN_BY_SECTION
from .problems import Problem, did_you_mean, join_key
from .reference_checks import Usage

DEFAULT_FILE = "draft"
RANDOM_KEY_ID_BYTES = 4


class Draft:
    """A copy of the configuration in force to edit; problems raise no exception.

    Each editing method makes one change. A change that cannot be made, such as one
    with an unknown or duplicate name, leaves the copy as it is and adds a problem to
    those that ``check`` returns. ``file`` stands for a file name in these problems.

    Example:

        draft = Draft(in_force)
        draft.set_limit("red", 40)
        draft.move_instance("w-7", "general")
        problems = draft.check()
    """

    def __init__(
        self, in_force: Mapping[str, Any] | None = None, file: str = DEFAULT_FILE
    ) -> None:
        self._in_force = copy.deepcopy(dict(in_force or {}))
        self.document = copy.deepcopy(self._in_force)
        self.file = file
        self.problems: list[Problem] = []

    def set_name(self, name: str) -> None:
        """Set the name of the fleet."""
        self.document["name"] = name

    def add_zone(self, name: str, **settings: Any) -> None:
        """Add an availability zone; settings as in ``ZoneDocument``."""
        self._add_item("zones", name, settings)

    def add_pool(self, name: str, **settings: Any) -> None:
        """Add a pool; settings as in ``PoolDocument``."""
        self._add_item("pools", name, settings)

    def add_instance(self, name: str, **settings: Any) -> None:
        """Add a worker instance; settings as in ``InstanceDocument``."""
        self._add_item("instances", name, settings)

    def add_organisation(self, name: str, **settings: Any) -> None:
        """Add an organisation; settings as in ``OrganisationDocument``."""
        self._add_item("organisations", name, settings)

    def add_queue(self, name: str, **settings: Any) -> None:
        """Add a queue; settings as in ``QueueDocument``."""
        self._add_item("queues", name, settings)

    def change(self, section: str, name: str, **settings: Any) -> None:
        """Change settings of an existing item of a section, such as ``zones``."""
        item = self._find_item(section, name)
        if item is not None:
            item.update(settings)

    def remove(self, section: str, name: str) -> None:
        """Remove an existing item of a section."""
        if self._find_item(section, name) is not None:
            del self.document[section][name]

    def set_share(self, organisation: str, share: float) -> None:
        """Set the weight with which an organisation gets a part of a full fleet."""
        self.change("organisations", organisation, share=share)

    def set_limit(self, organisation: str, upper_limit: int) -> None:
        """Set how many tasks of an organisation may run at once across the fleet."""
        self.change("organisations", organisation, upper_limit=upper_limit)

    def take_zone_out(self, zone: str) -> None:
        """Stop tasks from starting in an availability zone."""
        self.change("zones", zone, state=ZoneState.OUT.value)

    def bring_zone_in(self, zone: str) -> None:
        """Let tasks start in an availability zone again."""
        self.change("zones", zone, state=ZoneState.IN.value)

    def move_instance(self, instance: str, pool: str) -> None:
        """Set the wanted pool of an instance; the controller drains and moves it."""
        pool_exists = self._find_item("pools", pool) is not None
        item = self._find_item("instances", instance)
        if pool_exists and item is not None:
            item["pool"] = pool

    def grant_key(self, organisation: str, key_id: str = "") -> NewKey | None:
        """Create a key of an organisation and return it, or None if there is a problem.

        Without ``key_id``, the id is the name of the organisation with random digits.
        The draft holds only a hash of the key, so the token of the returned key cannot
        be read again later.
        """
        item = self._find_item("organisations", organisation)
        if item is None:
            return None
        key = create_key(
            key_id or f"{organisation}-{secrets.token_hex(RANDOM_KEY_ID_BYTES)}"
        )
        dotted_key = join_key("organisations", organisation, "keys", key.id)
        owner = self._organisation_of_key(key.id)
        if owner is not None:
            wrong = f'is a key of the organisation "{owner}" already'
            self._add_problem(dotted_key, wrong, "a key name that is not in use")
            return None
        item.setdefault("keys", {})[key.id] = key.document.model_dump()
        return key

    def withdraw_key(self, key_id: str) -> None:
        """Remove a key; every entry refuses the key within 3 s of the publication."""
        owner = self._organisation_of_key(key_id)
        if owner is None:
            known = [
                name
                for organisation in self.document.get("organisations", {}).values()
                for name in organisation.get("keys", {})
            ]
            wrong = f'there is no key "{key_id}"{did_you_mean(key_id, known)}'
            self._add_problem(
                "organisations", wrong, "the name of a key of some organisation"
            )
            return
        del self.document["organisations"][owner]["keys"][key_id]

    def check(self, usage: Usage = NO_USAGE) -> list[Problem]:
        """Return the problems of the edits and those of the edited document."""
        found = check_document(self.document, self.file, self._in_force, usage)
        return [*self.problems, *found]

    def _add_item(self, section: str, name: str, settings: Mapping[str, Any]) -> None:
        items = self.document.setdefault(section, {})
        if name in items:
            noun = NOUN_BY_SECTION[section]
            wrong, allowed = "is added a second time", f"each {noun} once"
            if section == "instances":
                pools = f'"{items[name].get("pool")}" and "{settings.get("pool")}"'
                wrong += f", to the pools {pools}"
                allowed += ", in exactly one pool"
            self._add_problem(join_key(section, name), wrong, allowed)
            return
        items[name] = dict(settings)

    def _find_item(self, section: str, name: str) -> dict[str, Any] | None:
        items = self.document.get(section, {})
        if name in items:
            return items[name]
        noun = NOUN_BY_SECTION[section]
        article = "an" if noun[0] in "aeiou" else "a"
        wrong = f'there is no {noun} "{name}"{did_you_mean(name, items)}'
        self._add_problem(
            section, wrong, f"the name of {article} {noun} under [{section}]"
        )
        return None

    def _organisation_of_key(self, key_id: str) -> str | None:
        for organisation, item in self.document.get("organisations", {}).items():
            if key_id in item.get("keys", {}):
                return organisation
        return None

    def _add_problem(self, key: str, wrong: str, allowed: str) -> None:
        self.problems.append(Problem(self.file, key, wrong, allowed))
