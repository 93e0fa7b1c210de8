"""A simulated newer version of the entry, run as ``python -m tests.newer_entry``.

The program is the current entry, with schemas that are extended when they are loaded.
It writes optional fields and a kind of record that the current version does not know.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402
import tempfile  # noqa: E402
from dataclasses import dataclass  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import Any  # noqa: E402

import capnp  # noqa: E402
import gevent  # noqa: E402

from lycheeloom.entry import main as entry_main  # noqa: E402
from lycheeloom.entry import service  # noqa: E402
from lycheeloom.model.records import (  # noqa: E402
    RequestFinished,
    RequestSubmitted,
)
from lycheeloom.wire import Heartbeat, batches, peers  # noqa: E402

VERSION = "99.0.0"
COST_CENTRE = "north-7"
NOTE_INTERVAL_S = 0.3

# By line of a schema, the text to insert after the line. As in a real later version,
# fields and union members are added after the last existing one.
_RECORD_ADDITIONS = {
    "    snapshotChunk @19 :SnapshotChunk;\n": "    entryNote @20 :EntryNote;\n",
    "  checkpointable @10 :Bool;\n": "  costCentre @11 :Text;\n",
    "  outcome @2 :Text;\n  answer @3 :Data;\n": "  costCentre @4 :Text;\n",
    "struct Empty {}\n": "struct EntryNote {\n  text @0 :Text;\n}\n",
}
_PEER_ADDITIONS = {
    "  reservedWorkers @7 :List(Text);\n": "  buildLabel @8 :Text;\n",
}


@dataclass(frozen=True, slots=True)
class EntryNote:
    """A record kind that only this version knows; it has no effect."""

    text: str


class NewerEntry(service.EntryService):
    """An entry service that also appends an EntryNote at a fixed interval."""

    def _start(self) -> None:
        super()._start()
        self._greenlets.append(gevent.spawn(self._append_notes))

    def _append_notes(self) -> None:
        while True:
            self.writer.append(EntryNote(f"from {self.settings.instance}"))
            gevent.sleep(NOTE_INTERVAL_S)


def load_newer_records() -> Any:
    """Return the schema of log records with the additions of the newer version."""
    return _load_extended("records.capnp", _RECORD_ADDITIONS)


def load_newer_peers() -> Any:
    """Return the schema of peer messages with the additions of the newer version."""
    return _load_extended("peers.capnp", _PEER_ADDITIONS)


def _load_extended(name: str, addition_by_line: dict[str, str]) -> Any:
    """Load a schema file of ``lycheeloom.wire`` with additions."""
    text = Path(batches.__file__).with_name(name).read_text()
    for line, addition in addition_by_line.items():
        if text.count(line) != 1:
            raise ValueError(f"{name} does not contain {line!r} exactly once")
        text = text.replace(line, line + addition)
    # The process loads both versions of the schema, so the extended one needs another
    # file id. It gets the id on the first line with the last bit inverted.
    file_id, _, rest = text.partition(";")
    text = f"{file_id[:-1]}{int(file_id[-1], 16) ^ 1:x};{rest}"
    with tempfile.TemporaryDirectory(prefix="lycheeloom-") as folder:
        path = Path(folder) / name
        path.write_text(text)
        return capnp.load(str(path))


def _patch_in_newer_version() -> None:
    """Replace schemas, version and service of the entry by those of this version."""
    batches._SCHEMA = load_newer_records()
    batches._KIND_BY_TAG["entryNote"] = EntryNote
    batches._TAG_BY_KIND[EntryNote] = "entryNote"
    peers._SCHEMA = load_newer_peers()
    to_fields = batches.to_fields

    def to_newer_fields(value: Any) -> dict[str, Any]:
        fields = to_fields(value)
        match value:
            case RequestSubmitted() | RequestFinished():
                fields["costCentre"] = COST_CENTRE
            case Heartbeat():
                fields["buildLabel"] = VERSION
        return fields

    batches.to_fields = peers.to_fields = to_newer_fields
    service.PROGRAM_VERSION = entry_main.PROGRAM_VERSION = VERSION
    entry_main.EntryService = NewerEntry


if __name__ == "__main__":
    _patch_in_newer_version()
    sys.exit(entry_main.main())
