"""Grants: running slots of each organisation, divided among entry incarnations.

A granted slot lets its holder, an entry incarnation, run one task of the organisation.
New grants never raise the sum of an organisation's grants above its upper limit. After
the limit is lowered, the sum may exceed it; then nothing is granted and no task of the
organisation starts until enough slots are returned.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class OrganisationGrants:
    """Granted slots of one organisation, and requested slots that are not granted yet.

    ``unmet_by_holder`` is ordered by the age of the requests, oldest first.
    """

    limit: int = 0
    count_by_holder: dict[str, int] = field(default_factory=dict)
    unmet_by_holder: dict[str, int] = field(default_factory=dict)

    def total(self) -> int:
        """Return the number of slots granted to all holders."""
        return sum(self.count_by_holder.values())

    def usable(self, holder: str) -> int:
        """Return how many tasks ``holder`` may run at the same time.

        The number is 0 for all holders while the granted slots exceed the limit.
        """
        if self.total() > self.limit:
            return 0
        return self.count_by_holder.get(holder, 0)

    def request(self, holder: str, count: int) -> None:
        """Replace a holder's unmet request, then grant free slots.

        A ``count`` of 0 or less withdraws the unmet request.
        """
        self.unmet_by_holder.pop(holder, None)
        if count > 0:
            self.unmet_by_holder[holder] = count
        self.distribute()

    def give_back(self, holder: str, count: int) -> bool:
        """Return ``count`` slots of a holder to the organisation.

        Has no effect and returns False if the holder has fewer slots.
        """
        held_count = self.count_by_holder.get(holder, 0)
        if count <= 0 or held_count < count:
            return False
        self._set_count(holder, held_count - count)
        # A holder that returns slots needs no more of them. If its unmet request were
        # kept, it could be granted the returned slots again at once.
        self.unmet_by_holder.pop(holder, None)
        self.distribute()
        return True

    def release_all(self, holder: str) -> None:
        """Free every slot of a holder that has left or was reclaimed."""
        self.count_by_holder.pop(holder, None)
        self.unmet_by_holder.pop(holder, None)
        self.distribute()

    def drop_unmet_requests(self, holder: str) -> None:
        """Drop the unmet request of an expelled holder."""
        self.unmet_by_holder.pop(holder, None)

    def distribute(self) -> None:
        """Grant free slots to unmet requests, the oldest request first."""
        free_slots = self.limit - self.total()
        for holder, unmet_count in list(self.unmet_by_holder.items()):
            if free_slots <= 0:
                return
            new_slots = min(free_slots, unmet_count)
            self._set_count(holder, self.count_by_holder.get(holder, 0) + new_slots)
            free_slots -= new_slots
            if new_slots == unmet_count:
                del self.unmet_by_holder[holder]
                continue
            self.unmet_by_holder[holder] = unmet_count - new_slots

    def _set_count(self, holder: str, count: int) -> None:
        if count:
            self.count_by_holder[holder] = count
            return
        self.count_by_holder.pop(holder, None)


@dataclass(slots=True)
class Grants:
    """Grants of all organisations."""

    grants_by_organisation: dict[str, OrganisationGrants] = field(default_factory=dict)

    def of(self, organisation: str) -> OrganisationGrants:
        """Return the grants of an organisation; empty, with limit 0, if unknown."""
        return self.grants_by_organisation.get(organisation) or OrganisationGrants()

    def set_limits(self, limit_by_organisation: dict[str, int]) -> None:
        """Adopt the limits of a new configuration.

        An organisation that the configuration no longer has keeps its granted slots,
        with limit 0, until they are returned.
        """
        for organisation, grants in list(self.grants_by_organisation.items()):
            grants.limit = limit_by_organisation.get(organisation, 0)
            if organisation not in limit_by_organisation and not grants.count_by_holder:
                del self.grants_by_organisation[organisation]
        for organisation, limit in limit_by_organisation.items():
            grants = self.grants_by_organisation.setdefault(
                organisation, OrganisationGrants()
            )
            grants.limit = limit
            grants.distribute()

    def request(self, holder: str, organisation: str, count: int) -> bool:
        """Request slots; has no effect for an unknown organisation."""
        grants = self.grants_by_organisation.get(organisation)
        if grants is None:
            return False
        grants.request(holder, count)
        return True

    def give_back(self, holder: str, organisation: str, count: int) -> bool:
        """Return slots of a holder; has no effect if the holder has fewer."""
        grants = self.grants_by_organisation.get(organisation)
        return grants is not None and grants.give_back(holder, count)

    def release_all(self, holder: str) -> None:
        """Free every slot of a holder that has left or was reclaimed."""
        for grants in self.grants_by_organisation.values():
            grants.release_all(holder)

    def drop_unmet_requests(self, holder: str) -> None:
        """Drop the unmet requests of an expelled holder."""
        for grants in self.grants_by_organisation.values():
            grants.drop_unmet_requests(holder)
