"""Checks that relate configuration fields to each other or to the running fleet."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from .problems import (
    Problem,
    Severity,
    did_you_mean,
    format_value,
    join_key,
    with_article,
)


@dataclass(frozen=True, slots=True)
class Usage:
    """What runs in the fleet: tasks of organisations, and instances in pools.

    ``running_by_organisation`` counts running tasks. ``pool_by_instance`` has the
    current pool of instances, and ``target_pool_by_instance`` the pool to which an
    instance is moving now.
    """

    running_by_organisation: Mapping[str, int] = field(default_factory=dict)
    pool_by_instance: Mapping[str, str] = field(default_factory=dict)
    target_pool_by_instance: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class DocumentTables:
    """The sections of a document, without the items that are not tables."""

    zones: Mapping[str, Mapping[str, Any]]
    pools: Mapping[str, Mapping[str, Any]]
    instances: Mapping[str, Mapping[str, Any]]
    organisations: Mapping[str, Mapping[str, Any]]
    queues: Mapping[str, Mapping[str, Any]]

    @classmethod
    def of(cls, document: Mapping[str, Any]) -> DocumentTables:
        """Return the tables of a document that may have problems in other places."""
        return cls(
            *(
                _named_tables(document.get(section))
                for section in (
                    "zones",
                    "pools",
                    "instances",
                    "organisations",
                    "queues",
                )
            )
        )

    def instance_counts(self) -> Counter[str]:
        """Return how many instances each pool has.

        An instance that names no known pool counts for every pool. Its own problem
        is reported already and must not cause further problems about pools that lack
        an instance.
        """
        # An empty name counts the instances that name no known pool.
        count_by_name = Counter(
            pool if isinstance(pool, str) and pool in self.pools else ""
            for pool in (item.get("pool") for item in self.instances.values())
        )
        return Counter(
            {pool: count_by_name[pool] + count_by_name[""] for pool in self.pools}
        )


def check_references(
    document: Mapping[str, Any], usage: Usage, file: str
) -> Iterator[Problem]:
    """Yield a problem for each contradiction between fields or with the usage."""
    tables = DocumentTables.of(document)
    yield from _check_instances(tables, file)
    yield from _check_racks(tables, file)
    yield from _check_queues(tables, file)
    yield from _check_keys(tables, file)
    yield from _check_pools(tables, file)
    yield from _check_usage(tables, usage, file)
    yield from _check_startable(tables, file)


def _check_instances(tables: DocumentTables, file: str) -> Iterator[Problem]:
    instance_by_address: dict[str, str] = {}
    for name, instance in tables.instances.items():
        for field_name, noun, known in (
            ("pool", "pool", tables.pools),
            ("zone", "zone", tables.zones),
        ):
            key = join_key("instances", name, field_name)
            yield from _check_defined(file, key, noun, instance.get(field_name), known)
        address = instance.get("address")
        if not isinstance(address, str):
            continue
        owner = instance_by_address.setdefault(address, name)
        if owner != name:
            pools = (
                format_value(tables.instances[owner].get("pool")),
                format_value(instance.get("pool")),
            )
            wrong = f'is the address of "{owner}" too (pools {pools[0]} and {pools[1]})'
            allowed = "one name for each instance, in exactly one pool"
            key = join_key("instances", name, "address")
            yield Problem(file, key, wrong, allowed)


def _check_racks(tables: DocumentTables, file: str) -> Iterator[Problem]:
    """Require that all instances of a rack are in one zone."""
    zone_by_rack: dict[str, str] = {}
    for name, instance in tables.instances.items():
        rack, zone = instance.get("rack"), instance.get("zone")
        if not isinstance(rack, str) or not isinstance(zone, str):
            continue
        if zone not in tables.zones:
            continue
        first_zone = zone_by_rack.setdefault(rack, zone)
        if first_zone != zone:
            wrong = (
                f'is {format_value(rack)} in zone "{zone}" and elsewhere in zone '
                f'"{first_zone}"'
            )
            key = join_key("instances", name, "rack")
            yield Problem(file, key, wrong, "a rack whose instances are in one zone")


def _check_queues(tables: DocumentTables, file: str) -> Iterator[Problem]:
    for name, queue in tables.queues.items():
        key = join_key("queues", name, "pool")
        yield from _check_defined(file, key, "pool", queue.get("pool"), tables.pools)
        organisations = queue.get("organisations", [])
        if not isinstance(organisations, list):
            continue
        key = join_key("queues", name, "organisations")
        names = [
            organisation
            for organisation in organisations
            if isinstance(organisation, str)
        ]
        for organisation, count in Counter(names).items():
            if count > 1:
                wrong = f'names the organisation "{organisation}" {count} times'
                yield Problem(file, key, wrong, "each organisation once")
            yield from _check_defined(
                file, key, "organisation", organisation, tables.organisations
            )
        if queue.get("open_to_all") is True:
            # An element that is not a string is reported by ``check_fields``.
            if len(names) == len(organisations):
                yield from _check_open_queue(file, key, len(set(names)))
        elif not organisations:
            wrong = "names no organisation, so nobody can use this queue"
            yield Problem(
                file, key, wrong, "at least one organisation", Severity.WARNING
            )
        hedge_budget = queue.get("hedge_budget_percent", 0)
        is_number = _is_whole_number(hedge_budget) or isinstance(hedge_budget, float)
        if is_number and hedge_budget > 0 and queue.get("idempotent") is not True:
            wrong = f"is {hedge_budget}, but no request of this queue may run twice"
            key = join_key("queues", name, "hedge_budget_percent")
            allowed = "0, or idempotent = true"
            yield Problem(file, key, wrong, allowed, Severity.WARNING)


def _check_open_queue(file: str, key: str, organisations: int) -> Iterator[Problem]:
    """Require exactly one organisation for a queue that is open to all.

    Entries charge work that comes without a key to that organisation.
    """
    if organisations == 1:
        return
    wrong = (
        f"names {organisations} organisations, but work without a key on a queue "
        f"that is open to all "
        "is charged to the one organisation named here"
    )
    yield Problem(file, key, wrong, "exactly one organisation, or open_to_all = false")


def _check_defined(
    file: str, key: str, noun: str, name: Any, known: Mapping[str, Any]
) -> Iterator[Problem]:
    """Require that ``name``, the value of ``key``, is one of the known names.

    A name that is not a string is reported by ``check_fields``.
    """
    if not isinstance(name, str) or name in known:
        return
    wrong = (
        f'names the {noun} "{name}", which is not defined{did_you_mean(name, known)}'
    )
    yield Problem(file, key, wrong, f"the name of {with_article(noun)} under [{noun}s]")


def _check_keys(tables: DocumentTables, file: str) -> Iterator[Problem]:
    """Require that no two organisations have a key with the same id."""
    organisation_by_key: dict[str, str] = {}
    for organisation, item in tables.organisations.items():
        keys = item.get("keys")
        for key_id in keys if isinstance(keys, Mapping) else ():
            owner = organisation_by_key.setdefault(key_id, organisation)
            if owner != organisation:
                wrong = f'is a key of the organisation "{owner}" too'
                dotted_key = join_key("organisations", organisation, "keys", key_id)
                yield Problem(
                    file, dotted_key, wrong, "key names used by one organisation only"
                )


def _check_pools(tables: DocumentTables, file: str) -> Iterator[Problem]:
    counts = tables.instance_counts()
    for name, pool in tables.pools.items():
        count = counts[name]
        needed = pool.get("needed", 0)
        max_unavailable = pool.get("max_unavailable", 1)
        if not _is_whole_number(needed) or not _is_whole_number(max_unavailable):
            continue
        if needed > count:
            wrong = f"is {needed}, but the pool has {count} instances"
            key = join_key("pools", name, "needed")
            yield Problem(file, key, wrong, f"a whole number from 0 to {count}")
        elif needed and count - max_unavailable < needed:
            wrong = (
                f"is {max_unavailable}, which leaves {count - max_unavailable} of "
                f"{count} instances though {needed} are needed"
            )
            key = join_key("pools", name, "max_unavailable")
            allowed = f"a whole number from 0 to {count - needed}"
            yield Problem(file, key, wrong, allowed, Severity.WARNING)
        if max_unavailable == 0 and count:
            key = join_key("pools", name, "max_unavailable")
            wrong = "is 0, so no instance of this pool can ever be maintained"
            allowed = "1 or more for maintenance"
            yield Problem(file, key, wrong, allowed, Severity.WARNING)


def _check_usage(tables: DocumentTables, usage: Usage, file: str) -> Iterator[Problem]:
    """Check that what runs fits the limits, and that nothing in use is removed."""
    for organisation, running in usage.running_by_organisation.items():
        limit = tables.organisations.get(organisation, {}).get("upper_limit")
        if _is_whole_number(limit) and 0 < limit < running:
            wrong = f"is {limit}, but {running} tasks of this organisation are running"
            allowed = (
                f"{running} or more; a lower limit starts no task until enough end"
            )
            key = join_key("organisations", organisation, "upper_limit")
            yield Problem(file, key, wrong, allowed, Severity.WARNING)
        if running and organisation not in tables.organisations:
            wrong = f"is removed, but {running} tasks of this organisation are running"
            key = join_key("organisations", organisation)
            allowed = "to remove an organisation when none of its tasks run"
            yield Problem(file, key, wrong, allowed, Severity.WARNING)
    for instance in tables.instances:
        for pool in (
            usage.pool_by_instance.get(instance),
            usage.target_pool_by_instance.get(instance),
        ):
            if pool is None or pool in tables.pools:
                continue
            wrong = (
                f'is removed, but the instance "{instance}" is in it or moving to it'
            )
            allowed = "to remove a pool when its last instance has moved away"
            yield Problem(file, join_key("pools", pool), wrong, allowed)


def _check_startable(tables: DocumentTables, file: str) -> Iterator[Problem]:
    """Warn if all zones are out, or if the pool of a queue has no instances."""
    if tables.zones and all(
        zone.get("state") == "out" for zone in tables.zones.values()
    ):
        wrong = "are all out, so no task starts anywhere"
        allowed = 'at least one zone with state = "in"'
        yield Problem(file, "zones", wrong, allowed, Severity.WARNING)
    counts = tables.instance_counts()
    for name, queue in tables.queues.items():
        pool = queue.get("pool")
        if isinstance(pool, str) and pool in tables.pools and not counts[pool]:
            wrong = f'names the pool "{pool}", which has no instances'
            allowed = "a pool with at least one instance"
            key = join_key("queues", name, "pool")
            yield Problem(file, key, wrong, allowed, Severity.WARNING)


def _is_whole_number(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _named_tables(value: Any) -> dict[str, Mapping[str, Any]]:
    if not isinstance(value, Mapping):
        return {}
    return {name: item for name, item in value.items() if isinstance(item, Mapping)}
