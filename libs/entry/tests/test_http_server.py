"""Guards against responses that wait for delayed acknowledgements."""

from gevent import socket
from gevent.pywsgi import WSGIServer

from lycheeloom.entry.http_server import HttpServer


def test_connections_send_without_delay(monkeypatch):
    """Without TCP_NODELAY each response took about 40 ms longer."""
    served = []
    monkeypatch.setattr(WSGIServer, "handle", lambda self, sock, _: served.append(sock))
    server = HttpServer(("127.0.0.1", 0), lambda *_: [])
    with socket.socket() as sock:
        server.handle(sock, ("127.0.0.1", 1))
        assert served == [sock]
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
