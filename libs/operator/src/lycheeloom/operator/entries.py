"""HTTP calls to entries and controllers: status, explanations, accepted batches."""

from __future__ import annotations

import base64
import json
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

from pydantic import ValidationError

from lycheeloom.clients import Transport
from lycheeloom.model.status import StatusDocument

ENTRY_TIMEOUT_S = 2.0
JSON_HEADERS = {"Content-Type": "application/json"}
MAX_PARALLEL_CALLS = 32


@dataclass(frozen=True, slots=True)
class EntryUnavailable:
    """The entry gave no usable answer."""

    reason: str


@dataclass(frozen=True, slots=True)
class Explanation:
    """Sentences that explain the decisions on one object, such as an instance."""

    sentences: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ExplanationNotFound:
    """The entry has no record of the object asked about."""


class EntryClient:
    """Calls one entry or controller; not for use by several threads at once.

    ``handover_token`` is the bearer token for ``hand_over``; entries refuse the
    batches without it.
    """

    def __init__(
        self,
        address: str,
        timeout_s: float = ENTRY_TIMEOUT_S,
        handover_token: str = "",
    ) -> None:
        self.address = address
        self._timeout_s = timeout_s
        self._handover_token = handover_token
        self._transport = Transport()

    def status(self) -> StatusDocument | EntryUnavailable:
        """Return the status document of the entry."""
        answer = self._call("GET", "/v1/status")
        if isinstance(answer, EntryUnavailable):
            return answer
        status, body = answer
        if status != 200:
            return EntryUnavailable(f"http status {status}")
        try:
            return StatusDocument.model_validate_json(body)
        except ValidationError:
            return EntryUnavailable("the answer is not a status document")

    def hand_over(
        self, offset: int, batches: Sequence[bytes]
    ) -> EntryUnavailable | None:
        """Send batches of the log to the entry and return the failure, if any.

        ``offset`` is the log offset of the first batch. The entry need not wait until
        it reads the batches from the log, so a change is in force sooner.
        """
        encoded = [base64.b64encode(batch).decode() for batch in batches]
        body = json.dumps({"offset": offset, "batches": encoded}).encode()
        headers = dict(JSON_HEADERS)
        if self._handover_token:
            headers["Authorization"] = f"Bearer {self._handover_token}"
        answer = self._call("POST", "/v1/records", body, headers)
        if isinstance(answer, EntryUnavailable):
            return answer
        status, _ = answer
        if status // 100 != 2:
            return EntryUnavailable(f"http status {status}")
        return None

    def explain(
        self, kind: str, name: str
    ) -> Explanation | ExplanationNotFound | EntryUnavailable:
        """Ask for the decisions on a request, instance, pool, organisation or fleet."""
        path = f"/v1/explain/{quote(kind, safe='')}/{quote(name, safe='')}"
        answer = self._call("GET", path)
        if isinstance(answer, EntryUnavailable):
            return answer
        status, body = answer
        if status == 404:
            return ExplanationNotFound()
        if status != 200:
            return EntryUnavailable(f"http status {status}")
        return _parse_explanation(body)

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] = JSON_HEADERS,
    ) -> tuple[int, bytes] | EntryUnavailable:
        response = self._transport.call(
            self.address,
            method,
            path,
            body=body,
            headers=headers,
            timeout_s=self._timeout_s,
        )
        # A call that failed has a reason and no status.
        status = getattr(response, "status", None)
        if status is None:
            return EntryUnavailable(response.reason)
        return status, response.body


class Entries:
    """Calls all entries of a fleet, or all its controllers, in parallel."""

    def __init__(self, clients: Sequence[EntryClient]) -> None:
        self._clients = tuple(clients)

    @classmethod
    def at(cls, addresses: Sequence[str], handover_token: str = "") -> Entries:
        """Return the entries, or controllers, at these addresses."""
        return cls(
            [
                EntryClient(address, handover_token=handover_token)
                for address in addresses
            ]
        )

    def statuses(self) -> dict[str, StatusDocument | EntryUnavailable]:
        """Return the status of each entry by address."""
        return self._call_each(lambda client: client.status())

    def hand_over(self, offset: int, batches: Sequence[bytes]) -> dict[str, str]:
        """Send batches to each entry; return the reason of each failure by address."""
        results = self._call_each(lambda client: client.hand_over(offset, batches))
        return {
            address: result.reason
            for address, result in results.items()
            if result is not None
        }

    def explain(
        self, kind: str, name: str
    ) -> dict[str, Explanation | ExplanationNotFound | EntryUnavailable]:
        """Ask each entry for the decisions on an object; return the answers by address.

        All are asked, since a request may be known to one entry only.
        """
        return self._call_each(lambda client: client.explain(kind, name))

    def _call_each(self, call: Callable[[EntryClient], Any]) -> dict[str, Any]:
        if not self._clients:
            return {}
        workers = min(len(self._clients), MAX_PARALLEL_CALLS)
        with ThreadPoolExecutor(workers) as executor:
            results = executor.map(call, self._clients)
            return {
                client.address: result
                for client, result in zip(self._clients, results, strict=True)
            }


def newest_status(
    statuses: Mapping[str, StatusDocument | EntryUnavailable],
) -> StatusDocument | None:
    """Return the status of the entry that has read the log furthest.

    The result is None if no entry answered.
    """
    found = [item for item in statuses.values() if isinstance(item, StatusDocument)]
    if not found:
        return None
    return max(found, key=lambda item: (item.next_offset, item.fresh))


def _parse_explanation(body: bytes) -> Explanation | EntryUnavailable:
    try:
        document = json.loads(body)
        sentences = tuple(str(item["sentence"]) for item in document["events"])
    except (ValueError, KeyError, TypeError):
        return EntryUnavailable("the answer is not an explanation")
    return Explanation(sentences)
