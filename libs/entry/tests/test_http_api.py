"""The HTTP route that hands accepted records to an entry."""

import base64
import io
import json
from types import SimpleNamespace

import pytest

from lycheeloom.entry.http_api import HttpApi
from lycheeloom.entry.metrics import EntryMetrics
from lycheeloom.log import OfferResult

TOKEN = "shared"


@pytest.fixture
def offered():
    return []


@pytest.fixture
def call(offered):
    def offer(offset, encoded):
        offered.append((offset, encoded))
        return OfferResult.APPLIED

    tail = SimpleNamespace(offer=offer, next_offset=8)
    api = HttpApi(
        None, tail, EntryMetrics(), lambda: None, lambda: True, lambda *_: None, TOKEN
    )

    def call(document, authorization=f"Bearer {TOKEN}", body=None):
        raw = body if body is not None else json.dumps(document).encode()
        statuses = []
        environ = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": "/v1/records",
            "wsgi.input": io.BytesIO(raw),
            "CONTENT_LENGTH": str(len(raw)),
            "HTTP_AUTHORIZATION": authorization,
        }
        list(
            api.app(environ, lambda status, headers, exc=None: statuses.append(status))
        )
        return int(statuses[0].split()[0])

    return call


DOCUMENT = {"offset": 7, "batches": [base64.b64encode(b"batch").decode()]}


def test_handed_over_batch_is_offered(call, offered):
    """An operator's change must reach an entry that cannot read the log."""
    assert call(DOCUMENT) == 200
    assert offered == [(7, b"batch")]


@pytest.mark.parametrize("authorization", ["", "Bearer ", "Bearer wrong", TOKEN])
def test_batch_without_the_token_is_rejected(call, offered, authorization):
    """A forged batch would change the configuration of one entry."""
    assert call(DOCUMENT, authorization) == 403
    assert offered == []


@pytest.mark.parametrize(
    "body", [b"", b"{", b"[]", b'{"offset": "x", "batches": []}', b'{"offset": 1}']
)
def test_malformed_batch_is_rejected(call, offered, body):
    """Bad input must get a clear answer and change nothing."""
    assert call(None, body=body) == 400
    assert offered == []
