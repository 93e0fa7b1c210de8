"""Tests calls to entries over HTTP, with valid, invalid and missing answers."""

import base64
import json
import threading
from wsgiref.simple_server import WSGIRequestHandler, make_server

import pytest

from lycheeloom.operator import Entries, EntryClient, EntryUnavailable, Explanation
from lycheeloom.operator.entries import ExplanationNotFound


class _QuietHandler(WSGIRequestHandler):
    """A request handler that logs nothing."""

    def log_message(self, format, *args):
        pass


@pytest.fixture
def serve():
    """Return a function that starts a server with one fixed answer.

    It returns the address of the server and the list of calls that it receives.
    """
    servers = []

    def start(status, body):
        calls = []

        def application(environ, start_response):
            length = int(environ.get("CONTENT_LENGTH") or 0)
            received = environ["wsgi.input"].read(length)
            calls.append((environ["REQUEST_METHOD"], environ["PATH_INFO"], received))
            start_response(status, [("Content-Length", str(len(body)))])
            return [body]

        server = make_server("127.0.0.1", 0, application, handler_class=_QuietHandler)
        threading.Thread(target=server.serve_forever, args=(0.01,), daemon=True).start()
        servers.append(server)
        return f"127.0.0.1:{server.server_port}", calls

    yield start
    for server in servers:
        server.shutdown()
        server.server_close()


def test_batches_are_sent_to_an_entry(serve):
    """Guards against a request body in a format that entries do not accept."""
    address, calls = serve("204 No Content", b"")
    assert Entries.at([address]).hand_over(7, [b"\x00one"]) == {}
    ((method, path, body),) = calls
    assert (method, path) == ("POST", "/v1/records")
    encoded = base64.b64encode(b"\x00one").decode()
    assert json.loads(body) == {"offset": 7, "batches": [encoded]}


@pytest.mark.parametrize(
    ("status", "body", "reason"),
    [
        ("503 Service Unavailable", b"", "http status 503"),
        ("200 OK", b"not json", "the answer is not a status document"),
        ("200 OK", b'{"config_version": "x"}', "the answer is not a status document"),
    ],
)
def test_unusable_status_answer_is_unavailable(serve, status, body, reason):
    """Guards against an exception when an entry gives an invalid answer."""
    address, _ = serve(status, body)
    assert EntryClient(address).status() == EntryUnavailable(reason)


def test_unreachable_entry_leaves_the_status_of_others(serve):
    """Guards against an unreachable entry hiding the status of the others."""
    alive, _ = serve("200 OK", b'{"config_version": 4, "newer_field": 1}')
    statuses = Entries.at([alive, "127.0.0.1:1"]).statuses()
    assert statuses[alive].config_version == 4
    assert isinstance(statuses["127.0.0.1:1"], EntryUnavailable)


@pytest.mark.parametrize(
    ("status", "body", "answer"),
    [
        ("200 OK", b'{"events": [{"sentence": "Moved."}]}', Explanation(("Moved.",))),
        ("200 OK", b"{}", EntryUnavailable("the answer is not an explanation")),
        ("404 Not Found", b"", ExplanationNotFound()),
        ("500 Error", b"", EntryUnavailable("http status 500")),
    ],
)
def test_explanation_answers(serve, status, body, answer):
    """Guards against reporting an object as unknown when the entry failed."""
    address, calls = serve(status, body)
    assert EntryClient(address).explain("request", "a/b") == answer
    assert calls[0][1] == "/v1/explain/request/a/b"
