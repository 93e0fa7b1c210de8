"""Random faults against a running fleet, each undone after a random time."""

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
# More failed entries at once than this would leave no caller an entry.
MAX_FAILED_PART = 0.5


@dataclass(slots=True)
class Steps:
    """Draws faults from a seeded generator and keeps what is to be undone."""

    world: FaultFleet
    rng: random.Random
    done: list[str] = field(default_factory=list)
    zones_out: set[str] = field(default_factory=set)
    busy_entries: set[str] = field(default_factory=set)
    faulty: set[str] = field(default_factory=set)
    _undoing: list[gevent.Greenlet] = field(default_factory=list)
    _zone_changes: BoundedSemaphore = field(default_factory=BoundedSemaphore)

    def run_one(self) -> str:
        """Apply one fault that is possible now and return its description."""
        steps = self._weighted()
        names = sorted(steps)
        name = self.rng.choices(names, [steps[item][0] for item in names])[0]
        description = steps[name][1]() or f"{name}: not possible now"
        self.done.append(description)
        return description

    def heal(self) -> None:
        """Wait until every fault is undone and every zone is in service."""
        gevent.joinall(self._undoing)
        for greenlet in self._undoing:
            greenlet.get()
        for zone in ZONES:
            self._bring_in(zone)
        self.zones_out.clear()

    def _weighted(self) -> dict[str, tuple[int, Callable[[], str | None]]]:
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
            "instances": (1, self._fail_instances),
            "controller": (
                2 if self.world.controller_by_name else 0,
                self._fail_controller,
            ),
        }

    # Entries.

    def _pick_entry(self) -> str | None:
        entries = list(self.world.zone_by_entry)
        if len(self.busy_entries) >= MAX_FAILED_PART * len(entries):
            return None
        name = self.rng.choice([e for e in entries if e not in self.busy_entries])
        self.busy_entries.add(name)
        return name

    def _pause(self) -> str | None:
        name = self._pick_entry()
        if name is None:
            return None
        paused_s = self.rng.choice([0.3, 0.9, 1.3, 2.0, 4.0, 7.0, 13.0, 24.0])
        program = self.world.entry_by_name[name]
        self.world.paused.add(name)
        program.signal(signal.SIGSTOP)

        def resume() -> None:
            program.signal(signal.SIGCONT)
            self.world.paused.discard(name)
            self.busy_entries.discard(name)

        self._later(paused_s, resume)
        return f"pause {name} for {paused_s} s"

    def _kill(self) -> str | None:
        name = self._pick_entry()
        if name is None:
            return None
        absent_s = self.rng.choice([0.0, 0.5, 3.0, 8.0])
        self.world.serving_entries.discard(name)
        self.world.entry_by_name[name].kill()
        self._later(absent_s, lambda: self._replace(name))
        return f"kill {name}, replace it after {absent_s} s"

    def _replace_running(self) -> str | None:
        """Start a second process for an instance, as a platform may."""
        name = self._pick_entry()
        if name is None:
            return None
        old = self.world.entry_by_name[name]
        self._replace(name)
        self._later(20.0, old.kill)
        return f"start a second process for {name}"

    def _shut_down(self) -> str | None:
        name = self._pick_entry()
        if name is None:
            return None

        def restart() -> None:
            self.world.stop_entry(name)
            self._replace(name)

        self._later(0.0, restart)
        return f"shut {name} down and replace it"

    def _replace(self, name: str) -> None:
        self.world.start_entry(name)
        self.busy_entries.discard(name)

    # Controllers.

    def _fail_controller(self) -> str | None:
        """Kill or pause a controller; another one takes its duties over."""
        names = [n for n in self.world.controller_by_name if n not in self.faulty]
        if not names:
            return None
        name = self.rng.choice(names)
        self.faulty.add(name)
        program = self.world.controller_by_name[name]
        if self.rng.random() < 0.5:
            program.kill()
            self._later(self.rng.choice([0.5, 8.0]), lambda: self._bring_back(name))
            return f"kill controller {name} and replace it"
        paused_s = self.rng.choice([2.0, 13.0])
        program.signal(signal.SIGSTOP)

        def resume() -> None:
            program.signal(signal.SIGCONT)
            self.faulty.discard(name)

        self._later(paused_s, resume)
        return f"pause controller {name} for {paused_s} s"

    def _bring_back(self, name: str) -> None:
        self.world.start_controller(name)
        self.faulty.discard(name)

    # Log, instance list and workers.

    def _fail_log(self) -> str | None:
        if "log" in self.faulty:
            return None
        fault, lasts_s = self.rng.choice(
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
        return self._fault("log", fault, lasts_s)

    def _fail_instances(self) -> str | None:
        if "instances" in self.faulty:
            return None
        fault = self.rng.choice([{"outage": True}, {"lag_ms": 8000}])
        return self._fault("instances", fault, 10.0)

    def _fail_worker(self) -> str | None:
        worker = self._pick_worker()
        if worker is None:
            return None
        fault, lasts_s = self.rng.choice(
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
        return self._fault(worker, fault, lasts_s)

    def _pick_worker(self) -> str | None:
        workers = sorted(self.world.fleet.platform.workers)
        healthy = [worker for worker in workers if worker not in self.faulty]
        if len(healthy) <= len(workers) / 2:
            return None
        return self.rng.choice(healthy)

    def _fault(self, standin: str, fault: dict, lasts_s: float) -> str:
        self.faulty.add(standin)
        self.world.fleet.set_faults(standin, **fault)

        def undo() -> None:
            healthy = {name: type(value)(0) for name, value in fault.items()}
            self.world.fleet.set_faults(standin, **healthy)
            self.faulty.discard(standin)

        self._later(lasts_s, undo)
        return f"{standin}: {fault} for {lasts_s} s"

    def _reboot_worker(self) -> str | None:
        worker = self._pick_worker()
        if worker is None:
            return None
        action = {"action": f"step-{len(self.done)}"}
        fleet = self.world.fleet
        path = f"/v1/instances/{worker}/reboot"
        fleet.call(fleet.platform.instances, "POST", path, action)
        self.faulty.add(worker)
        # The stand-in of the platform takes 1 s for a reboot.
        self._later(2.0, lambda: self.faulty.discard(worker))
        return f"reboot {worker}"

    # Operators and callers.

    def _change_zone(self) -> str | None:
        if self.zones_out:
            zone = sorted(self.zones_out)[0]
            self.zones_out.discard(zone)
            self._later(0.0, lambda: self._bring_in(zone))
            return f"zone {zone} in"
        zone = self.rng.choice(ZONES)
        self.zones_out.add(zone)
        self._later(0.0, lambda: self._publish_zone("zone out", zone))
        return f"zone {zone} out"

    def _publish_zone(self, what: str, zone: str) -> bool:
        state = "out" if what == "zone out" else "in"
        # One change at a time, so that they take effect in the order of the steps.
        with self._zone_changes:
            result = self.world.publish(
                what, zone, lambda draft: draft.change("zones", zone, state=state)
            )
        return isinstance(result, Published | NothingToChange)

    def _bring_in(self, zone: str) -> None:
        while not self._publish_zone("zone in", zone):
            gevent.sleep(0.5)

    def _change_key(self) -> str | None:
        organisation = self.rng.choice(sorted(LIMIT_BY_ORGANISATION))
        own = [
            k
            for k in self.world.keys_in_force
            if self.world.organisation_by_key[k] == organisation
        ]
        if len(own) < MAX_KEYS_PER_ORGANISATION and (
            len(own) < 2 or self.rng.random() < 0.5
        ):
            self._later(0.0, lambda: self.world.grant_key(organisation))
            return f"grant a key to {organisation}"
        # Chosen by position, as the names of keys are random in each run.
        self._later(0.0, lambda: self.world.revoke_key(own[0]))
        return f"revoke the oldest key of {organisation}"

    def _race_operators(self) -> str:
        """Let two operators publish from the same version; one may win."""
        first, second = self.world.operator("first"), self.world.operator("second")
        self._later(0.0, lambda: _race(first, second))
        return "two operators publish from one version"

    def _cancel(self) -> str | None:
        batches = [c for c in self.world.history.calls[-60:] if c.is_accepted_batch]
        entries = sorted(self.world.serving_entries)
        choice = self.rng.random()
        if not batches or not entries:
            return None
        batch = batches[int(choice * len(batches))]
        entry = entries[int(choice * len(entries))]
        self._later(0.0, lambda: self.world.cancel(batch, entry))
        return f"cancel one of the latest batch requests ({choice:.3f})"

    def _later(self, delay_s: float, undo: Callable[[], object]) -> None:
        self._undoing.append(gevent.spawn_later(delay_s, undo))


def _race(first: Operator, second: Operator) -> None:
    if first.refresh() is not None or second.refresh() is not None:
        return
    version = first.version
    racing = []
    for operator in (first, second):
        document = {**operator.document, "name": f"raced by {operator.name}"}
        racing.append(
            gevent.spawn(operator.publish, document, version, accept_warnings=True)
        )
    results = [greenlet.get() for greenlet in racing]
    if all(isinstance(result, Published) for result in results):
        raise AssertionError(f"two operators won version {version}: {results}")
