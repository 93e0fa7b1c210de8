"""Grants: running slots of each organisation, divided among entry incarnations.

The sum of an organisation's grants never grows beyond its upper limit. After the limit
is lowered the sum may exceed it; then nothing is granted and no task of the
organisation starts until enough slots are returned.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class OrganisationGrants:
    """Granted slots and unmet requests of one organisation, by incarnation."""

    limit: int = 0
    count_by_holder: dict[str, int] = field(default_factory=dict)
    unmet_by_holder: dict[str, int] = field(default_factory=dict)

    def total(self) -> int:
        """Return the number of slots granted to all holders."""
        return sum(self.count_by_holder.values())

    def usable(self, holder: str) -> int:
        """Return how many tasks ``holder`` may run at once."""
        if self.total() > self.limit:
            return 0
        return self.count_by_holder.get(holder, 0)

    def request(self, holder: str, count: int) -> None:
        """Replace a holder's unmet request and grant free slots."""
        self.unmet_by_holder.pop(holder, None)
        if count > 0:
            self.unmet_by_holder[holder] = count
        self.distribute()

    def give_back(self, holder: str, count: int) -> bool:
        """Return ``count`` slots of a holder; has no effect if it has fewer."""
        held = self.count_by_holder.get(holder, 0)
        if count <= 0 or held < count:
            return False
        self._set_count(holder, held - count)
        # A holder that returns slots needs no more; with its request kept, the
        # slots could be granted to it again at once.
        self.unmet_by_holder.pop(holder, None)
        self.distribute()
        return True

    def release_all(self, holder: str) -> None:
        """Free every slot of a holder that is gone."""
        self.count_by_holder.pop(holder, None)
        self.unmet_by_holder.pop(holder, None)
        self.distribute()

    def drop_unmet_requests(self, holder: str) -> None:
        """Drop the unmet request of an expelled holder."""
        self.unmet_by_holder.pop(holder, None)

    def distribute(self) -> None:
        """Grant free slots to unmet requests, oldest first."""
        free = self.limit - self.total()
        for holder, wanted in list(self.unmet_by_holder.items()):
            if free <= 0:
                return
            given = min(free, wanted)
            self._set_count(holder, self.count_by_holder.get(holder, 0) + given)
            free -= given
            if given == wanted:
                del self.unmet_by_holder[holder]
                continue
            self.unmet_by_holder[holder] = wanted - given

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
        """Adopt the limits of a new configuration."""
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
        """Return slots; has no effect if the holder has fewer."""
        grants = self.grants_by_organisation.get(organisation)
        return grants is not None and grants.give_back(holder, count)

    def release_all(self, holder: str) -> None:
        """Free every slot of a holder that is gone."""
        for grants in self.grants_by_organisation.values():
            grants.release_all(holder)

    def drop_unmet_requests(self, holder: str) -> None:
        """Drop the unmet requests of an expelled holder."""
        for grants in self.grants_by_organisation.values():
            grants.drop_unmet_requests(holder)
