"""Length-prefixed frames of peer messages on a TCP connection."""

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

# A relay message carries up to 512 KiB of batches; one batch has at most 256 KiB.
MAX_FRAME_BYTES = 1024 * 1024
# Compression shrinks usage lists to about a sixth and heartbeats without them to two
# thirds.
COMPRESSION_THRESHOLD_BYTES = 64
COMPRESSION_LEVEL = 1
_HEADER = struct.Struct(">I")
_COMPRESSED_FLAG = 1 << 31


class PeerConnectionError(Exception):
    """The connection failed, timed out or carried an invalid message."""


def encode_frame(message: PeerMessage) -> bytes:
    """Return a message as one frame, compressed if that makes it smaller."""
    body = encode_peer_message(message)
    flag = 0
    if len(body) >= COMPRESSION_THRESHOLD_BYTES:
        compressed = zlib.compress(body, COMPRESSION_LEVEL)
        if len(compressed) < len(body):
            body, flag = compressed, _COMPRESSED_FLAG
    return _HEADER.pack(len(body) | flag) + body


def decode_body(header: int, body: bytes) -> PeerMessage:
    """Decode the body of a frame; raises ``PeerConnectionError`` if invalid."""
    if header & _COMPRESSED_FLAG:
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
        raise PeerConnectionError("compressed frame is too long or truncated")
    return plain


@dataclass(slots=True)
class Traffic:
    """Total bytes sent and received in frames, over several connections."""

    sent_bytes: int = 0
    received_bytes: int = 0


class Connection:
    """A TCP connection that carries frames; every call has a time limit.

    Calls raise ``PeerConnectionError`` if the connection fails or the time is over.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.traffic = Traffic()

    def call(self, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Send a message and return its answer."""
        with gevent.Timeout(timeout_s, PeerConnectionError("no answer in time")):
            self._send(message)
            return self._receive()

    def send(self, message: PeerMessage, timeout_s: float) -> None:
        """Send a message."""
        with gevent.Timeout(timeout_s, PeerConnectionError("not sent in time")):
            self._send(message)

    def receive(self, timeout_s: float) -> PeerMessage:
        """Return the next message."""
        with gevent.Timeout(timeout_s, PeerConnectionError("no message in time")):
            return self._receive()

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    def _send(self, message: PeerMessage) -> None:
        frame = encode_frame(message)
        try:
            self._sock.sendall(frame)
        except OSError as error:
            raise PeerConnectionError(str(error)) from error
        self.traffic.sent_bytes += len(frame)

    def _receive(self) -> PeerMessage:
        (header,) = _HEADER.unpack(self._read(_HEADER.size))
        size = header & ~_COMPRESSED_FLAG
        if size > MAX_FRAME_BYTES:
            raise PeerConnectionError(f"frame of {size} bytes is too large")
        return decode_body(header, self._read(size))

    def _read(self, size: int) -> bytes:
        data = bytearray()
        while len(data) < size:
            try:
                part = self._sock.recv(min(65536, size - len(data)))
            except OSError as error:
                raise PeerConnectionError(str(error)) from error
            if not part:
                raise PeerConnectionError("connection closed by the peer")
            data += part
        self.traffic.received_bytes += size
        return bytes(data)


def connect(address: str, timeout_s: float) -> Connection:
    """Connect to ``host:port``; raises ``PeerConnectionError``."""
    host, _, port = address.rpartition(":")
    try:
        sock = socket.create_connection((host, int(port)), timeout_s)
    except (OSError, ValueError) as error:
        raise PeerConnectionError(str(error)) from error
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return Connection(sock)
