"""Asks an instance where a job would go, for ``lycheeloom explain placement``."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path
from urllib.parse import urlencode

from pydantic import ValidationError

from lycheeloom.clients import CallFailed, Transport

from .exit_codes import ExitCode
from .output import Report
from .placement_text import PlacementDocument, placement_lines

# Above what instances accept by default; each of them applies its own limit.
MAX_FILE_BYTES = 16 * 1024 * 1024
DEFAULT_TIMEOUT_S = 5.0
_CODE_BY_STATUS = {
    400: ExitCode.INVALID_INPUT,
    413: ExitCode.INVALID_INPUT,
    404: ExitCode.NOT_FOUND,
}


def explain_placement(args: argparse.Namespace) -> Report:
    """Print where a submission would go now, as one instance explains it."""
    try:
        body = _read_body(args.id)
    except OSError as error:
        line = f"{args.id}: cannot be read: {error.strerror}"
        return _failure(line, ExitCode.INVALID_INPUT)
    if len(body) > MAX_FILE_BYTES:
        line = f"{args.id}: has more than {MAX_FILE_BYTES} bytes"
        return _failure(line, ExitCode.INVALID_INPUT)
    query = {"host": args.host, "path": args.path, "organisation": args.organisation}
    result = Transport().call(
        args.address,
        "POST",
        f"/v1/placement?{urlencode(query)}",
        body=body,
        timeout_s=args.timeout_s or DEFAULT_TIMEOUT_S,
    )
    if isinstance(result, CallFailed):
        line = f"{args.address} gave no answer: {result.reason}."
        return _failure(line, ExitCode.UNAVAILABLE)
    if result.status != 200:
        code = _CODE_BY_STATUS.get(result.status, ExitCode.UNAVAILABLE)
        reason = _error_of(result.body) or f"status {result.status}"
        return _failure(f"{args.address} answered: {reason}.", code)
    try:
        document = PlacementDocument.model_validate_json(result.body)
    except ValidationError:
        line = f"{args.address} gave an answer that is not understood."
        return _failure(line, ExitCode.UNAVAILABLE)
    return Report(tuple(placement_lines(document)), {"placement": document})


def _read_body(name: str) -> bytes:
    """Return the start of a file, or of standard input for ``-``."""
    if name == "-":
        return sys.stdin.buffer.read(MAX_FILE_BYTES + 1)
    with Path(name).open("rb") as file:
        return file.read(MAX_FILE_BYTES + 1)


def _error_of(body: bytes) -> str:
    """Return the reason in the answer to a refused call; empty without one."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return ""
    error = document.get("error") if isinstance(document, dict) else None
    return error if isinstance(error, str) else ""


def _failure(line: str, code: ExitCode) -> Report:
    return Report((line,), {"placement": None, "error": line}, code)
