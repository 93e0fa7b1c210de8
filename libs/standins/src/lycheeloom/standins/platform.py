"""The stand-ins of one process: log, instance list, workers and control."""

from __future__ import annotations

from typing import Any

from .instances import InstancesStandIn
from .log import LogStandIn
from .server import Reply, Request, StandIn, error_reply, split_path
from .worker import WorkerStandIn


class PlatformStandIns:
    """A log, an instance list and any number of workers, found by name.

    >>> with PlatformStandIns(workers=[WorkerStandIn("w1")]) as platform:
    ...     platform.by_name["w1"].set_faults(down=True)
    """

    def __init__(
        self,
        *,
        log: LogStandIn | None = None,
        instances: InstancesStandIn | None = None,
        workers: list[WorkerStandIn] | None = None,
        control_port: int = 0,
    ) -> None:
        self.log = log or LogStandIn()
        self.instances = instances or InstancesStandIn()
        self.workers = workers or []
        named = [self.log, self.instances, *self.workers]
        self.by_name: dict[str, StandIn] = {standin.name: standin for standin in named}
        self.control = ControlStandIn(self, port=control_port)

    def start(self) -> PlatformStandIns:
        """Start all stand-ins and add the workers to the instance list."""
        for standin in [*self.by_name.values(), self.control]:
            standin.start()
        for worker in self.workers:
            self.instances.add_worker(worker)
        return self

    def stop(self) -> None:
        for standin in [*self.by_name.values(), self.control]:
            standin.stop()

    def __enter__(self) -> PlatformStandIns:
        return self.start()

    def __exit__(self, *exc_info: object) -> None:
        self.stop()


class ControlStandIn(StandIn):
    """Shows and sets the faults of the other stand-ins, including those that are down.

    Also serves the ledger of all workers.
    """

    def __init__(
        self, platform: PlatformStandIns, host: str = "127.0.0.1", port: int = 0
    ) -> None:
        super().__init__("control", host, port)
        self._platform = platform

    def handle(self, request: Request) -> Reply:
        match request.method, split_path(request.path):
            case "GET", ["standins"]:
                return Reply(200, {"standins": self._list()})
            case "GET" | "POST", ["standins", name, "faults"]:
                standin = self._platform.by_name.get(name)
                if standin is None:
                    return error_reply(404, "unknown_standin")
                return standin.handle_faults(request)
            case "GET", ["ledger"]:
                ledger = self._platform.instances.ledger_entries()
                return Reply(200, {"starts": ledger})
        return error_reply(404, "not_found")

    def _list(self) -> list[dict[str, Any]]:
        return [
            {
                "name": standin.name,
                "address": standin.address,
                "faults": standin.faults.as_dict(),
            }
            for standin in self._platform.by_name.values()
        ]
