"""Simulates the log, the platform and the workers of a fleet for the planner.

Time is virtual. Records go through the real replay into the real state; platform
and workers are simple fakes. The simulation counts lost tasks and drains that
exceed an availability budget. Every worker on which entries may start tasks runs
one task.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from lycheeloom.fleet import (
    ActionKind,
    ActionStatus,
    FleetView,
    Plan,
    Planner,
    PlatformAction,
)
from lycheeloom.log import ReplayedBatch
from lycheeloom.model.config import canonical_json
from lycheeloom.model.records import (
    Batch,
    ConfigChanged,
    Duty,
    DutyClaimed,
    Health,
    MoveStage,
)
from lycheeloom.state import FleetState

# Entries start no tasks on instances with these recorded healths.
EXCLUDED_HEALTHS = frozenset({Health.REBOOTING, Health.GIVEN_UP})
LEAVING_STAGES = frozenset({MoveStage.DRAINING, MoveStage.DRAINED, MoveStage.REBOOTING})


@dataclass(slots=True)
class FakeWorker:
    """The state of one worker.

    ``work_ends_at_s`` is when its tasks end if it is draining.
    """

    alive: bool = True
    draining: bool = False
    boots: int = 0
    rebooting_until_s: float | None = None
    work_ends_at_s: float = 0.0
    running: int = 1


@dataclass(slots=True)
class SimulatedFleet:
    """A fleet with its log, platform and workers on virtual time."""

    document: dict
    drain_s: float = 60.0
    reboot_s: float = 120.0
    now_s: float = 0.0
    state: FleetState = field(default_factory=FleetState)
    workers: dict[str, FakeWorker] = field(default_factory=dict)
    status_by_action: dict[str, ActionStatus] = field(default_factory=dict)
    drain_s_by_instance: dict[str, float] = field(default_factory=dict)
    drain_action_by_instance: dict[str, str] = field(default_factory=dict)
    reboot_action_by_instance: dict[str, str] = field(default_factory=dict)
    execution_counts: Counter = field(default_factory=Counter)
    lost_tasks: int = 0
    budget_violations: list[str] = field(default_factory=list)
    sequence_by_author: Counter = field(default_factory=Counter)
    replay_listeners: list[Callable[[ReplayedBatch], None]] = field(
        default_factory=list
    )

    def __post_init__(self) -> None:
        change = ConfigChanged(0, canonical_json(self.document), "operator")
        assert self.append("operator", [change]) == (True,)
        self.workers = {name: FakeWorker() for name in self.document["instances"]}

    def append(self, author: str, records: Iterable) -> tuple[bool, ...]:
        """Append and replay one batch; return which records took effect."""
        self.sequence_by_author[author] += 1
        batch = Batch(author, self.sequence_by_author[author], tuple(records))
        offset = self.state.next_offset
        applied = self.state.apply(offset, batch)
        for listener in self.replay_listeners:
            listener(ReplayedBatch(offset, batch, b"", applied))
        return applied.effective

    def claim(self, author: str) -> int:
        """Claim the maintenance duty and return its epoch."""
        held = self.state.duties.of(Duty.MAINTENANCE)
        claim = DutyClaimed(Duty.MAINTENANCE, held.epoch, held.renewed_at)
        self.append(author, [claim])
        return self.state.duties.of(Duty.MAINTENANCE).epoch

    def view(self, epoch: int, action_ids: Iterable[str] = ()) -> FleetView:
        """Return the view that a controller gets now."""
        maintenance = self.state.maintenance
        return FleetView(
            config=self.state.config,
            offset=self.state.next_offset,
            duty_epoch=epoch,
            pool_by_instance=maintenance.pool_by_instance,
            move_by_instance=maintenance.move_by_instance,
            wave_by_id=maintenance.wave_by_id,
            health_by_instance=maintenance.health_by_instance,
            unavailable=frozenset(self.unavailable_on_platform()),
            running_by_instance={
                name: worker.running
                for name, worker in self.workers.items()
                if worker.alive
            },
            status_by_action={
                key: self.status_by_action.get(key, ActionStatus.UNKNOWN)
                for key in action_ids
            },
        )

    def unavailable_on_platform(self) -> set[str]:
        """Return the instances that are draining or not running on the platform."""
        return {
            name
            for name, worker in self.workers.items()
            if worker.draining or not worker.alive
        }

    def responding_instances(self) -> list[str]:
        """Return the instances whose worker answers now."""
        return [name for name, worker in self.workers.items() if worker.alive]

    def open_moves(self) -> list[str]:
        """Return the instances whose move has not ended."""
        moves = self.state.maintenance.move_by_instance
        return [name for name, move in moves.items() if not move.is_ended()]

    def apply_plan(self, author: str, plan: Plan) -> None:
        """Append a plan's records and execute its actions."""
        if plan.records:
            self.append(author, plan.records)
        for action in plan.actions:
            self.execute(action)

    def execute(self, action: PlatformAction) -> ActionStatus:
        """Execute a platform action; a repeated action id has no further effect."""
        known_status = self.status_by_action.get(action.action_id)
        if known_status is not None:
            return known_status
        self.execution_counts[action.action_id] += 1
        worker = self.workers[action.instance]
        status = ActionStatus.DONE
        match action.kind:
            case ActionKind.DRAIN:
                # An instance that entries no longer use was unavailable already.
                if worker.alive and not self._is_excluded(action.instance):
                    self._check_budget(action.instance)
                worker.draining = True
                drain_s = self.drain_s_by_instance.get(action.instance, self.drain_s)
                worker.work_ends_at_s = self.now_s + drain_s
                self.drain_action_by_instance[action.instance] = action.action_id
                status = ActionStatus.RUNNING
            case ActionKind.UNDRAIN:
                worker.draining = False
                self._end_drain(action.instance)
            case ActionKind.REBOOT:
                self.lost_tasks += worker.running if worker.alive else 0
                worker.alive = False
                worker.running = 0
                worker.rebooting_until_s = self.now_s + self.reboot_s
                self.reboot_action_by_instance[action.instance] = action.action_id
                status = ActionStatus.RUNNING
        self.status_by_action[action.action_id] = status
        return status

    def fail(self, names: Iterable[str]) -> None:
        """Stop workers; their tasks are not counted as lost by maintenance."""
        for name in names:
            self.workers[name].alive = False
            self.workers[name].running = 0

    def repair(self, names: Iterable[str]) -> None:
        """Restart failed workers, unless a reboot is in progress."""
        for name in names:
            if self.workers[name].rebooting_until_s is None:
                self.workers[name].alive = True

    def advance(self, seconds: float) -> None:
        """Advance the time: tasks end and start, reboots finish."""
        self.now_s += seconds
        for name, worker in self.workers.items():
            if worker.rebooting_until_s is not None:
                self._finish_reboot(name, worker)
            if not worker.alive:
                continue
            if worker.draining:
                if self.now_s >= worker.work_ends_at_s:
                    worker.running = 0
                    self._end_drain(name)
                continue
            if not self._is_leaving(name) and not self._is_excluded(name):
                worker.running = 1

    def _is_leaving(self, name: str) -> bool:
        move = self.state.maintenance.move_by_instance.get(name)
        return move is not None and move.stage in LEAVING_STAGES

    def _is_excluded(self, name: str) -> bool:
        state = self.state.maintenance.health_by_instance.get(name)
        return state is not None and state.health in EXCLUDED_HEALTHS

    def _end_drain(self, name: str) -> None:
        action_id = self.drain_action_by_instance.pop(name, None)
        if action_id is not None:
            self.status_by_action[action_id] = ActionStatus.DONE

    def _finish_reboot(self, name: str, worker: FakeWorker) -> None:
        if self.now_s < worker.rebooting_until_s:
            return
        worker.rebooting_until_s = None
        worker.alive = True
        worker.boots += 1
        self.status_by_action[self.reboot_action_by_instance[name]] = ActionStatus.DONE

    def _check_budget(self, instance: str) -> None:
        """Record each budget that is exceeded when an instance begins to drain."""
        unavailable = self.unavailable_on_platform()
        for name in self.workers:
            if self._is_leaving(name) or self._is_excluded(name):
                unavailable.add(name)
        for problem in self.exceeded_budgets(instance, unavailable):
            self.budget_violations.append(f"{self.now_s:.0f} {instance} {problem}")

    def exceeded_budgets(self, instance: str, unavailable: set[str]) -> list[str]:
        """Return the budgets of an instance that ``unavailable`` exceeds."""
        config = self.state.config
        pools = self.state.maintenance.pool_by_instance
        location = config.instance_by_id[instance]
        pool_id = pools[instance]
        pool, zone = config.pool_by_id[pool_id], config.zone_by_id[location.zone]
        in_pool = [name for name in unavailable if pools[name] == pool_id]
        in_rack = [
            name
            for name in in_pool
            if (config.instance_by_id[name].zone, config.instance_by_id[name].rack)
            == (location.zone, location.rack)
        ]
        in_zone = [
            n for n in unavailable if config.instance_by_id[n].zone == location.zone
        ]
        problems = []
        if len(in_pool) > pool.max_unavailable:
            problems.append(f"pool {pool_id} {len(in_pool)}")
        if len(in_rack) > pool.max_unavailable_per_rack:
            problems.append(f"rack {location.rack} {len(in_rack)}")
        members = sum(1 for member_pool in pools.values() if member_pool == pool_id)
        if pool.spare and len(in_pool) >= members:
            problems.append(f"last spare of {pool_id}")
        if zone.max_unavailable is not None and len(in_zone) > zone.max_unavailable:
            problems.append(f"zone {location.zone} {len(in_zone)}")
        return problems


class Controller:
    """A controller: a planner that holds the maintenance duty in one epoch."""

    def __init__(self, fleet: SimulatedFleet, author: str, settings=None):
        self.fleet = fleet
        self.author = author
        self.planner = Planner(settings)
        self.epoch = fleet.claim(author)

    def plan(self) -> Plan:
        """Observe the workers and plan one step without applying it."""
        self.observe_workers()
        return self.planner.step(self.view(), self.fleet.now_s)

    def observe_workers(self) -> None:
        """Report the current heartbeats and missed ones to the planner."""
        fleet = self.fleet
        for name in fleet.responding_instances():
            boot = str(fleet.workers[name].boots)
            self.planner.health.record_heartbeat(name, fleet.now_s, boot)
        for name, worker in fleet.workers.items():
            if not worker.alive:
                self.planner.health.record_miss(name, fleet.now_s)

    def view(self) -> FleetView:
        """Return this controller's view, with the statuses of its actions."""
        names = self.planner.action_ids(self.fleet.state.maintenance.move_by_instance)
        return self.fleet.view(self.epoch, names)

    def tick(self, seconds: float = 10.0) -> Plan:
        """Plan one step, apply it and advance the time."""
        plan = self.plan()
        self.fleet.apply_plan(self.author, plan)
        self.fleet.advance(seconds)
        return plan


def fleet_document(
    pools: dict[str, dict], instances: Iterable[dict], zones: dict[str, dict]
) -> dict:
    """Return a configuration document.

    Each instance is a mapping with ``id``, ``pool``, ``zone`` and ``rack``, and
    optionally ``cores`` and ``memory_mb``.
    """
    return {
        "zones": zones,
        "pools": pools,
        "instances": {
            item["id"]: {
                "pool": item["pool"],
                "zone": item["zone"],
                "rack": item["rack"],
                "address": f"127.0.0.1:{number + 1}",
                "cores": item.get("cores", 64),
                "memory_mb": item.get("memory_mb", 262144),
            }
            for number, item in enumerate(instances)
        },
    }


def user_fleet(cores: int, memory_mb: int, needed: int = 4) -> dict:
    """Return the fleet of users A and B: five pools of 6 workers in three zones.

    The pool ``general`` is the spare pool. A rack has at most 4 workers.
    """
    names = ["north", "south", "east", "west", "general"]
    pools = {name: {"needed": needed, "max_unavailable": 1} for name in names[:4]}
    pools["general"] = {"spare": True, "max_unavailable": 1}
    instances = []
    for number in range(30):
        zone = number % 3
        instances.append(
            {
                "id": f"w{number:02}",
                "pool": names[number // 6],
                "zone": f"z{zone}",
                "rack": f"r{number // 3 // 4}",
                "cores": cores,
                "memory_mb": memory_mb,
            }
        )
    return fleet_document(pools, instances, {f"z{n}": {} for n in range(3)})


def large_fleet(
    seed: int, workers: int = 5100, pools: int = 139, zones: int = 10, rack: int = 20
) -> dict:
    """Return a fleet with a spare pool, by default of the design size.

    ``rack`` is the number of workers in a rack.
    """
    rng = random.Random(seed)
    names = [f"p{number:03}" for number in range(pools - 1)]
    spares = workers // 8
    sizes = Counter(rng.choice(names) for _ in range(workers - spares))
    assigned = [name for name in names for _ in range(sizes[name])] + ["spare"] * spares
    rng.shuffle(assigned)
    budget = {name: max(1, sizes[name] // 10) for name in names}
    documents = {
        name: {
            "needed": int(sizes[name] * 0.95),
            "max_unavailable": budget[name],
            "max_unavailable_per_rack": 1,
        }
        for name in names
    }
    documents["spare"] = {
        "spare": True,
        "max_unavailable": max(1, spares // 10),
        "max_unavailable_per_rack": 2,
    }
    instances = [
        {
            "id": f"w{number:04}",
            "pool": pool,
            "zone": f"z{number % zones}",
            "rack": f"r{number // zones // rack}",
        }
        for number, pool in enumerate(assigned)
    ]
    return fleet_document(documents, instances, {f"z{n}": {} for n in range(zones)})
