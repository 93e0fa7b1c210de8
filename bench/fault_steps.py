"""Injects random faults into a running fleet; each is undone after some time."""

from __future__ import annotations

import random
import signal
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from gevent.lock import BoundedSemaphore

from lycheeloom.operator import NothingToChange, Operator, Published

from .fault_document import LIMIT_BY_ORGANISATION, ZONES
from .fault_fleet import FaultFleet

MAX_KEYS_PER_ORGANISATION = 3
# More failed entries at once could leave callers without a working entry.
MAX_FAILED_FRACTION = 0.5


@dataclass(slots=True)
class FaultInjector:
    """Draws steps from a seeded generator and undoes their faults later.

    A step is a fault, a change by an operator or a cancellation by a caller.
    ``faulty_components`` names stand-ins and controllers.
    """

    fault_fleet: FaultFleet
    rng: random.Random
    descriptions: list[str] = field(default_factory=list)
    zones_out_of_service: set[str] = field(default_factory=set)
    failed_entries: set[str] = field(default_factory=set)
    faulty_components: set[str] = field(default_factory=set)
    _pending: list[gevent.Greenlet] = field(default_factory=list)
    _zone_changes: BoundedSemaphore = field(default_factory=BoundedSemaphore)

    def run_step(self) -> str:
        """Carry out one random step and return its description."""
        step_by_name = self._weighted_steps()
        names = sorted(step_by_name)
        name = self.rng.choices(names, [step_by_name[item][0] for item in names])[0]
        description = step_by_name[name][1]() or f"{name}: not possible now"
        self.descriptions.append(description)
        return description

    def heal(self) -> None:
        """Wait until every fault is undone, and put every zone in service."""
        gevent.joinall(self._pending)
        for greenlet in self._pending:
            greenlet.get()
        for zone in ZONES:
            self._put_in_service(zone)
        self.zones_out_of_service.clear()

    def _weighted_steps(self) -> dict[str, tuple[int, Callable[[], str | None]]]:
        """Return a weight and a function for each step.

        The function returns a description, or None if the step is not possible now.
        """
        return {
            "pause": (4, self._pause),
            "kill": (3, self._kill),
            "shut down": (2, self._shut_down),
            "replace running": (1, self._replace_running),
            "log": (4, self._fail_log),
            "worker": (5, self._fail_worker),
            "reboot": (2, self._reboot_worker),
            "zone": (3, self._change_zone),
            "key": (3, self._change_key),
            "race": (2, self._race_operators),
            "cancel": (3, self._cancel),
            "instances": (1, self._fail_instance_list),
            "controller": (
                2 if self.fault_fleet.controller_by_name else 0,
                self._fail_controller,
            ),
        }

    # Entries.

    def _pick_entry(self) -> str | None:
        entries = list(self.fault_fleet.zone_by_entry)
        if len(self.failed_entries) >= MAX_FAILED_FRACTION * len(entries):
            return None
        name = self.rng.choice([e for e in entries if e not in self.failed_entries])
        self.failed_entries.add(name)
        return name

    def _pause(self) -> str | None:
        name = self._pick_entry()
        if name is None:
            return None
        paused_s = self.rng.choice([0.3, 0.9, 1.3, 2.0, 4.0, 7.0, 13.0, 24.0])
        program = self.fault_fleet.entry_by_name[name]
        self.fault_fleet.paused.add(name)
        program.signal(signal.SIGSTOP)

        def resume() -> None:
            program.signal(signal.SIGCONT)
            self.fault_fleet.paused.discard(name)
            self.failed_entries.discard(name)

        self._run_later(paused_s, resume)
        return f"pause {name} for {paused_s} s"

    def _kill(self) -> str | None:
        name = self._pick_entry()
        if name is None:
            return None
        downtime_s = self.rng.choice([0.0, 0.5, 3.0, 8.0])
        self.fault_fleet.serving_entries.discard(name)
        self.fault_fleet.entry_by_name[name].kill()
        self._run_later(downtime_s, lambda: self._restart_entry(name))
        return f"kill {name}, replace it after {downtime_s} s"

    def _replace_running(self) -> str | None:
        """Start a second process for a running instance, as a platform may."""
        name = self._pick_entry()
        if name is None:
            return None
        old = self.fault_fleet.entry_by_name[name]
        self._restart_entry(name)
        self._run_later(20.0, old.kill)
        return f"start a second process for {name}"

    def _shut_down(self) -> str | None:
        name = self._pick_entry()
        if name is None:
            return None

        def restart() -> None:
            self.fault_fleet.stop_entry(name)
            self._restart_entry(name)

        self._run_later(0.0, restart)
        return f"shut {name} down and replace it"

    def _restart_entry(self, name: str) -> None:
        self.fault_fleet.start_entry(name)
        self.failed_entries.discard(name)

    # Controllers.

    def _fail_controller(self) -> str | None:
        """Kill or pause a controller, so that another one takes over its duties."""
        names = [
            n
            for n in self.fault_fleet.controller_by_name
            if n not in self.faulty_components
        ]
        if not names:
            return None
        name = self.rng.choice(names)
        self.faulty_components.add(name)
        program = self.fault_fleet.controller_by_name[name]
        if self.rng.random() < 0.5:
            program.kill()
            self._run_later(
                self.rng.choice([0.5, 8.0]), lambda: self._restart_controller(name)
            )
            return f"kill controller {name} and replace it"
        paused_s = self.rng.choice([2.0, 13.0])
        program.signal(signal.SIGSTOP)

        def resume() -> None:
            program.signal(signal.SIGCONT)
            self.faulty_components.discard(name)

        self._run_later(paused_s, resume)
        return f"pause controller {name} for {paused_s} s"

    def _restart_controller(self, name: str) -> None:
        self.fault_fleet.start_controller(name)
        self.faulty_components.discard(name)

    # Log, instance list and workers.

    def _fail_log(self) -> str | None:
        if "log" in self.faulty_components:
            return None
        fault, duration_s = self.rng.choice(
            [
                ({"outage": True}, 3.0),
                ({"outage": True}, 12.0),
                ({"down": True}, 5.0),
                ({"slow_ms": 120}, 8.0),
                ({"slow_ms": 900}, 6.0),
                ({"slow_ms": 2500}, 6.0),
                ({"lose_answers": 5}, 1.0),
                ({"lose_answers": -1}, 4.0),
                ({"silent": True}, 3.0),
            ]
        )
        return self._apply_fault("log", fault, duration_s)

    def _fail_instance_list(self) -> str | None:
        if "instances" in self.faulty_components:
            return None
        fault = self.rng.choice([{"outage": True}, {"lag_ms": 8000}])
        return self._apply_fault("instances", fault, 10.0)

    def _fail_worker(self) -> str | None:
        worker = self._pick_worker()
        if worker is None:
            return None
        fault, duration_s = self.rng.choice(
            [
                ({"fail_all": True}, 4.0),
                ({"down": True}, 4.0),
                ({"down": True}, 22.0),
                ({"outage": True}, 5.0),
                ({"slow_ms": 400}, 5.0),
                ({"slow_ms": 2500}, 6.0),
                ({"lose_answers": 8}, 2.0),
                ({"lose_answers": -1}, 3.0),
                ({"silent": True}, 2.0),
                ({"lapse_leases": True}, 2.0),
            ]
        )
        return self._apply_fault(worker, fault, duration_s)

    def _pick_worker(self) -> str | None:
        workers = sorted(self.fault_fleet.fleet.platform.workers)
        healthy = [worker for worker in workers if worker not in self.faulty_components]
        if len(healthy) <= len(workers) / 2:
            return None
        return self.rng.choice(healthy)

    def _apply_fault(self, stand_in: str, fault: dict, duration_s: float) -> str:
        self.faulty_components.add(stand_in)
        self.fault_fleet.fleet.set_faults(stand_in, **fault)

        def undo() -> None:
            healthy = {name: type(value)(0) for name, value in fault.items()}
            self.fault_fleet.fleet.set_faults(stand_in, **healthy)
            self.faulty_components.discard(stand_in)

        self._run_later(duration_s, undo)
        return f"{stand_in}: {fault} for {duration_s} s"

    def _reboot_worker(self) -> str | None:
        worker = self._pick_worker()
        if worker is None:
            return None
        action = {"action": f"step-{len(self.descriptions)}"}
        fleet = self.fault_fleet.fleet
        path = f"/v1/instances/{worker}/reboot"
        fleet.call(fleet.platform.instances, "POST", path, action)
        self.faulty_components.add(worker)
        # A reboot takes 1 s on the stand-in of the platform.
        self._run_later(2.0, lambda: self.faulty_components.discard(worker))
        return f"reboot {worker}"

    # Operators and callers.

    def _change_zone(self) -> str | None:
        if self.zones_out_of_service:
            zone = sorted(self.zones_out_of_service)[0]
            self.zones_out_of_service.discard(zone)
            self._run_later(0.0, lambda: self._put_in_service(zone))
            return f"zone {zone} in"
        zone = self.rng.choice(ZONES)
        self.zones_out_of_service.add(zone)
        self._run_later(0.0, lambda: self._publish_zone("zone out", zone))
        return f"zone {zone} out"

    def _publish_zone(self, what: str, zone: str) -> bool:
        state = "out" if what == "zone out" else "in"
        # Changes are serialised, so that they take effect in the order of the steps.
        with self._zone_changes:
            result = self.fault_fleet.publish(
                what, zone, lambda draft: draft.change("zones", zone, state=state)
            )
        return isinstance(result, Published | NothingToChange)

    def _put_in_service(self, zone: str) -> None:
        while not self._publish_zone("zone in", zone):
            gevent.sleep(0.5)

    def _change_key(self) -> str | None:
        organisation = self.rng.choice(sorted(LIMIT_BY_ORGANISATION))
        own_keys = [
            k
            for k in self.fault_fleet.keys_in_force
            if self.fault_fleet.organisation_by_key[k] == organisation
        ]
        if len(own_keys) < MAX_KEYS_PER_ORGANISATION and (
            len(own_keys) < 2 or self.rng.random() < 0.5
        ):
            self._run_later(0.0, lambda: self.fault_fleet.grant_key(organisation))
            return f"grant a key to {organisation}"
        # Chosen by position, as the ids of keys differ between runs of one seed.
        self._run_later(0.0, lambda: self.fault_fleet.revoke_key(own_keys[0]))
        return f"revoke the oldest key of {organisation}"

    def _race_operators(self) -> str:
        """Let two operators publish from the same version; at most one may succeed."""
        first, second = (
            self.fault_fleet.operator("first"),
            self.fault_fleet.operator("second"),
        )
        self._run_later(0.0, lambda: _publish_concurrently(first, second))
        return "two operators publish from one version"

    def _cancel(self) -> str | None:
        batches = [
            c for c in self.fault_fleet.history.calls[-60:] if c.is_accepted_batch
        ]
        entries = sorted(self.fault_fleet.serving_entries)
        fraction = self.rng.random()
        if not batches or not entries:
            return None
        batch = batches[int(fraction * len(batches))]
        entry = entries[int(fraction * len(entries))]
        self._run_later(0.0, lambda: self.fault_fleet.cancel(batch, entry))
        return f"cancel one of the latest batch requests ({fraction:.3f})"

    def _run_later(self, delay_s: float, action: Callable[[], object]) -> None:
        self._pending.append(gevent.spawn_later(delay_s, action))


def _publish_concurrently(first: Operator, second: Operator) -> None:
    if first.refresh() is not None or second.refresh() is not None:
        return
    version = first.version
    greenlets = []
    for operator in (first, second):
        document = {**operator.document, "name": f"raced by {operator.name}"}
        greenlets.append(
            gevent.spawn(operator.publish, document, version, accept_warnings=True)
        )
    results = [greenlet.get() for greenlet in greenlets]
    if all(isinstance(result, Published) for result in results):
        raise AssertionError(f"two operators replaced version {version}: {results}")
