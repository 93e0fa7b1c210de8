"""Runs stand-ins for the log, the instance list and all workers of a fleet.

``python -m demo.platform FLEET.toml`` prints the addresses as one JSON line and
serves until SIGTERM.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import signal  # noqa: E402

import gevent  # noqa: E402
from gevent.event import Event  # noqa: E402

from lycheeloom.operator import ConfigFile, read_config  # noqa: E402
from lycheeloom.standins import (  # noqa: E402
    InstancesStandIn,
    LogStandIn,
    PlatformStandIns,
    WorkerStandIn,
)
from lycheeloom.standins.log import LogLimits  # noqa: E402
from lycheeloom.standins.tasks import Amount  # noqa: E402

APPENDS_PER_S = 400
INSTANCE_LIST_LAG_MS = 1000
USAGE_LAG_MS = 1000


def main() -> None:
    """Run the stand-ins for the fleet in a configuration file until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("config")
    parser.add_argument("--reboot-s", type=float, default=1.0)
    parser.add_argument("--log-retention-s", type=float, help="default: unlimited")
    arguments = parser.parse_args()
    file = read_config(arguments.config)
    if not isinstance(file, ConfigFile):
        raise SystemExit(str(file))
    platform = build_platform(
        file.document, arguments.reboot_s, arguments.log_retention_s
    )
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    platform.start()
    print(json.dumps(addresses_of(platform)), flush=True)
    stopped.wait()
    platform.stop()


def build_platform(
    document: dict, reboot_s: float, log_retention_s: float | None = None
) -> PlatformStandIns:
    """Create the stand-ins, with a worker for each instance of the configuration."""
    workers = []
    for name, instance in document["instances"].items():
        capacity = Amount(
            instance["cores"], instance["memory_mb"], instance.get("accelerators", 0)
        )
        worker = WorkerStandIn(
            name, zone=instance["zone"], rack=instance["rack"], capacity=capacity
        )
        worker.faults.lag_ms = USAGE_LAG_MS
        workers.append(worker)
    instances = InstancesStandIn(reboot_s=reboot_s)
    instances.faults.lag_ms = INSTANCE_LIST_LAG_MS
    limits = LogLimits(appends_per_s=APPENDS_PER_S, retained_s=log_retention_s)
    log = LogStandIn(limits=limits)
    return PlatformStandIns(log=log, instances=instances, workers=workers)


def addresses_of(platform: PlatformStandIns) -> dict:
    """Return the addresses of all stand-ins."""
    return {
        "log": platform.log.address,
        "instances": platform.instances.address,
        "control": platform.control.address,
        "workers": {worker.name: worker.address for worker in platform.workers},
    }


if __name__ == "__main__":
    main()
