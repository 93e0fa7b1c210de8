"""Client of the service that keeps the append-only log."""

from __future__ import annotations

from base64 import b64decode
from dataclasses import dataclass
from enum import StrEnum

from .results import (
    PARSE_ERRORS,
    Unavailable,
    parse_object,
    read_reason,
    to_unavailable,
)
from .transport import BASE_HEADERS, CallFailed, Transport

APPEND_TIMEOUT_S = 2.0
# Added to the wait time of a long poll to get the timeout of the call.
READ_MARGIN_S = 2.0
READ_LIMIT = 1000
# An offset beyond the end of any log. A read from there returns the end.
_OFFSET_BEYOND_END = 2**62


class AppendRefusal(StrEnum):
    """Why the log certainly did not append a batch."""

    TOO_LARGE = "too_large"
    BUSY = "busy"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Appended:
    """The batch is in the log at ``offset``."""

    offset: int


@dataclass(frozen=True, slots=True)
class AppendUnknown:
    """The batch may be in the log.

    Append it again with the same sequence number, so that it takes effect once.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class AppendRefused:
    """The batch is not in the log."""

    reason: AppendRefusal


@dataclass(frozen=True, slots=True)
class ReadBatches:
    """Batches from offset ``first`` on; ``next`` is the offset to read from next.

    A read beyond the end of the log returns no batches, and the end as ``next``.
    """

    first: int
    next: int
    batches: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Expired:
    """The offset is no longer retained; ``oldest`` is the first that still is."""

    oldest: int


_REFUSAL_BY_STATUS = {
    413: AppendRefusal.TOO_LARGE,
    429: AppendRefusal.BUSY,
    503: AppendRefusal.DOWN,
}


class LogClient:
    """Appends to and reads from the log at ``address`` (``"127.0.0.1:7000"``).

    An append takes at most ``append_timeout_s``, a read at most its wait time plus
    ``read_margin_s``. Both can be overridden for a single call.
    """

    def __init__(
        self,
        address: str,
        transport: Transport | None = None,
        *,
        append_timeout_s: float = APPEND_TIMEOUT_S,
        read_margin_s: float = READ_MARGIN_S,
    ) -> None:
        self.address = address
        self._transport = transport or Transport()
        self._append_timeout_s = append_timeout_s
        self._read_margin_s = read_margin_s

    def append(
        self,
        batch: bytes,
        *,
        timeout_s: float | None = None,
        traceparent: str = "",
    ) -> Appended | AppendUnknown | AppendRefused:
        """Append one batch without retrying; the caller decides whether to repeat."""
        headers = {**BASE_HEADERS, "Content-Type": "application/octet-stream"}
        if traceparent:
            headers["traceparent"] = traceparent
        response = self._transport.call(
            self.address,
            "POST",
            "/v1/append",
            body=batch,
            headers=headers,
            timeout_s=self._append_timeout_s if timeout_s is None else timeout_s,
        )
        if isinstance(response, CallFailed):
            if response.sent:
                return AppendUnknown(response.reason)
            return AppendRefused(AppendRefusal.DOWN)
        if response.status in _REFUSAL_BY_STATUS:
            return AppendRefused(_REFUSAL_BY_STATUS[response.status])
        offset = parse_object(response).get("offset")
        if response.status != 200 or not isinstance(offset, int):
            return AppendUnknown(read_reason(response))
        return Appended(offset)

    def read(
        self,
        first_offset: int,
        limit: int = READ_LIMIT,
        wait_s: float = 0.0,
        *,
        margin_s: float | None = None,
    ) -> ReadBatches | Expired | Unavailable:
        """Read up to ``limit`` batches; wait up to ``wait_s`` if there is none yet."""
        if margin_s is None:
            margin_s = self._read_margin_s
        wait_ms = round(wait_s * 1000)
        response = self._transport.call(
            self.address,
            "GET",
            f"/v1/read?from={first_offset}&limit={limit}&wait_ms={wait_ms}",
            timeout_s=wait_s + margin_s,
        )
        if isinstance(response, CallFailed):
            return to_unavailable(response)
        document = parse_object(response)
        try:
            if response.status == 410:
                return Expired(int(document["oldest"]))
            if response.status == 200:
                batches = tuple(b64decode(batch) for batch in document["batches"])
                return ReadBatches(document["first"], document["next"], batches)
        except PARSE_ERRORS:
            return Unavailable("malformed answer")
        return Unavailable(read_reason(response))

    def end(self) -> int | Unavailable:
        """Return the end of the log, which is the offset of the next append."""
        result = self.read(_OFFSET_BEYOND_END, 0)
        match result:
            case ReadBatches():
                return result.next
            case Expired():
                return Unavailable("malformed answer")
        return result

    def close(self) -> None:
        """Close all idle connections."""
        self._transport.close()
