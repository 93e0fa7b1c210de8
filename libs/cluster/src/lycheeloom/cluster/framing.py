"""Length-prefixed peer messages on a TCP connection."""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass

import gevent
from gevent import socket

from lycheeloom.wire import (
    BadPeerMessage,
    PeerMessage,
    decode_peer_message,
    encode_peer_message,
)

# A relay carries up to 512 KiB of batches, or one batch of at most 256 KiB.
MAX_FRAME_BYTES = 1024 * 1024
# Usage lists shrink to about a sixth and plain heartbeats to two thirds.
COMPRESS_FROM_BYTES = 64
COMPRESSION_LEVEL = 1
_HEADER = struct.Struct(">I")
_COMPRESSED = 1 << 31


class PeerConnectionError(Exception):
    """The connection ended, stayed silent or carried something unreadable."""


def pack_frame(message: PeerMessage) -> bytes:
    """Return a message as one frame, compressed if that pays."""
    body = encode_peer_message(message)
    flag = 0
    if len(body) >= COMPRESS_FROM_BYTES:
        packed = zlib.compress(body, COMPRESSION_LEVEL)
        if len(packed) < len(body):
            body, flag = packed, _COMPRESSED
    return _HEADER.pack(len(body) | flag) + body


def unpack_body(header: int, body: bytes) -> PeerMessage:
    """Decode the body of a frame; raises ``PeerConnectionError``."""
    if header & _COMPRESSED:
        body = _decompress(body)
    message = decode_peer_message(body)
    if isinstance(message, BadPeerMessage):
        raise PeerConnectionError(message.reason)
    return message


def _decompress(body: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(body, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise PeerConnectionError(str(error)) from error
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise PeerConnectionError("compressed frame is too long or cut off")
    return plain


@dataclass(slots=True)
class Traffic:
    """Bytes of frames, added up over connections."""

    sent_bytes: int = 0
    received_bytes: int = 0


class Connection:
    """One TCP connection that carries frames; each wait is bounded."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.traffic = Traffic()

    def call(self, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Send a message and return its answer; raises ``PeerConnectionError``."""
        with gevent.Timeout(timeout_s, PeerConnectionError("no answer in time")):
            self._send(message)
            return self._receive()

    def send(self, message: PeerMessage, timeout_s: float) -> None:
        """Send a message; raises ``PeerConnectionError``."""
        with gevent.Timeout(timeout_s, PeerConnectionError("not sent in time")):
            self._send(message)

    def receive(self, timeout_s: float) -> PeerMessage:
        """Return the next message; raises ``PeerConnectionError``."""
        with gevent.Timeout(timeout_s, PeerConnectionError("silent")):
            return self._receive()

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    def _send(self, message: PeerMessage) -> None:
        frame = pack_frame(message)
        try:
            self._sock.sendall(frame)
        except OSError as error:
            raise PeerConnectionError(str(error)) from error
        self.traffic.sent_bytes += len(frame)

    def _receive(self) -> PeerMessage:
        (header,) = _HEADER.unpack(self._read(_HEADER.size))
        size = header & ~_COMPRESSED
        if size > MAX_FRAME_BYTES:
            raise PeerConnectionError(f"frame of {size} bytes")
        return unpack_body(header, self._read(size))

    def _read(self, size: int) -> bytes:
        data = bytearray()
        while len(data) < size:
            try:
                part = self._sock.recv(min(65536, size - len(data)))
            except OSError as error:
                raise PeerConnectionError(str(error)) from error
            if not part:
                raise PeerConnectionError("closed by the peer")
            data += part
        self.traffic.received_bytes += size
        return bytes(data)


def connect(address: str, timeout_s: float) -> Connection:
    """Open a connection to ``host:port``; raises ``PeerConnectionError``."""
    host, _, port = address.rpartition(":")
    try:
        sock = socket.create_connection((host, int(port)), timeout_s)
    except (OSError, ValueError) as error:
        raise PeerConnectionError(str(error)) from error
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return Connection(sock)
