"""Decodes callers' requests and targets' answers, and encodes requests to targets."""

from __future__ import annotations

import logging

import msgspec

from savoryfork.forward.model import (
    AnswerHead,
    CallerRequest,
    Headers,
    Piece,
    PieceFailure,
    PieceResult,
    Prompt,
    PromptPart,
    Routing,
)
from savoryfork.util import logs

log = logging.getLogger(__name__)

# Hop-by-hop headers; those that the `Connection` header names are added to them.
HOP_BY_HOP = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"content-length",
    b"expect",
}

# Headers that only the system may set on requests to targets, and the caller's key, which no
# target may see.
SYSTEM_SET = {
    b"key",
    b"tenant",
    b"deadline-ms",
    b"expect-instance",
    b"expect-version",
    b"request-priority",
    b"pin-ms",
    b"hold",
    b"kv-backup",
    b"kv-from",
    b"kv-fetch",
    b"inputs",
}

# Range of the priority header.
MOST_URGENT = 0
LEAST_URGENT = 9

# Value of the header by which a target says that it is leaving; any other value is no mark.
LEAVING = "1"

FAILURES = {
    "late": PieceFailure.LATE,
    "gone": PieceFailure.INPUT_GONE,
    "room": PieceFailure.NO_ROOM,
    "error": PieceFailure.ERROR,
}

STAGE_PATH = b"/api/stage-run"
FREE_PATH = b"/api/stage-free"


def hop_by_hop_names(headers: Headers) -> set[bytes]:
    """Returns the lowercase names of the hop-by-hop headers."""
    named = [value for name, value in headers if name.lower() == b"connection"]
    tokens = {token.strip().lower() for value in named for token in value.split(b",")}
    return HOP_BY_HOP | tokens


def first_value(headers: Headers, name: bytes) -> str | None:
    """Returns the first value of a header, stripped; None if it is absent."""
    for header_name, value in headers:
        if header_name.lower() == name:
            return value.decode("latin-1").strip()
    return None


def parse_non_negative(value: str | None) -> float | None:
    """Parses a number from a header; None if it is absent, not a number, negative or too large."""
    try:
        number = float(value) if value is not None else -1.0
    except ValueError:
        return None
    return number if 0 <= number < 1e12 else None


def decode_prompt(tokens: str | None, parts: str | None) -> Prompt | None:
    """Parses the prompt size and its shared parts; None if absent or malformed.

    >>> decode_prompt("1460,80", "5c1e07a2:800,91bd3f06:410").parts[1].tokens
    410
    """
    if tokens is None:
        return None
    try:
        input_tokens, _, _ = tokens.partition(",")
        prompt_parts = []
        for entry in (parts or "").split(","):
            if entry:
                name, _, size = entry.strip().partition(":")
                prompt_parts.append(PromptPart(name, int(size)))
        return Prompt(int(input_tokens), tuple(prompt_parts))
    except ValueError:
        return None


def decode_pieces(value: str | None) -> tuple[int, ...]:
    """Parses the number of pieces of each stage; empty if absent or malformed.

    >>> decode_pieces("3,0,16"), decode_pieces("x"), decode_pieces("-1")
    ((3, 0, 16), (), ())
    """
    try:
        pieces = tuple(int(part) for part in (value or "").split(",") if part.strip())
    except ValueError:
        return ()
    return pieces if all(0 <= count <= 10_000 for count in pieces) else ()


def decode_request(method: str, path: str, headers: Headers) -> CallerRequest:
    """Decodes a caller's request; malformed fields count as absent."""
    dropped = hop_by_hop_names(headers) | SYSTEM_SET
    return CallerRequest(
        id=(first_value(headers, b"request-id") or "").encode("latin-1"),
        method=method.encode("ascii", "replace"),
        path=path.encode("utf-8", "surrogateescape"),
        host=first_value(headers, b"host") or "",
        headers=[(name, value) for name, value in headers if name.lower() not in dropped],
        key=first_value(headers, b"key"),
        allowed_ms=parse_non_negative(first_value(headers, b"deadline-ms")),
        prompt=decode_prompt(
            first_value(headers, b"token-usage"), first_value(headers, b"prefix-hash")
        ),
        pieces=decode_pieces(first_value(headers, b"pieces")),
        piece_key=first_value(headers, b"piece-key") or "",
    )


def target_headers(request: CallerRequest, routing: Routing, length: int | None) -> Headers:
    """Returns the headers of a request to a target; `length` is None without a body."""
    headers = request.headers
    if routing.last_event_id is not None:
        headers = [pair for pair in headers if pair[0].lower() != b"last-event-id"]
        headers.append((b"Last-Event-Id", routing.last_event_id))
    added: Headers = [
        (b"Deadline-Ms", str(max(1, int(routing.remaining_ms))).encode()),
        (b"Expect-Instance", routing.target.name.encode()),
    ]
    if routing.workspace is not None:
        added.append((b"Tenant", routing.workspace.encode()))
    if routing.urgency is not None:
        urgency = min(LEAST_URGENT, max(MOST_URGENT, routing.urgency))
        added.append((b"Request-Priority", str(urgency).encode()))
    if routing.inputs:
        added.append((b"Inputs", ",".join(routing.inputs).encode()))
    if length is not None:
        added.append((b"Content-Length", str(length).encode()))
    return [*headers, *added]


def decode_answer(status: int, headers: Headers) -> AnswerHead:
    """Decodes the head of a target's answer.

    A 421 is written by another incarnation than the expected one, so it does not say that that one
    is leaving. Only a 503 pushes back: other refusals concern one request. A date is not read, as
    the platform's times are seconds and the time of day differs between machines.
    """
    dropped = hop_by_hop_names(headers)
    retry_after_s = parse_non_negative(first_value(headers, b"retry-after"))
    request_id = first_value(headers, b"request-id")
    keep_alive = first_value(headers, b"keep-alive") or ""
    timeout = next((p for p in keep_alive.split(",") if p.strip().startswith("timeout=")), "")
    return AnswerHead(
        status=status,
        headers=[(name, value) for name, value in headers if name.lower() not in dropped],
        request_id=request_id.encode("latin-1") if request_id is not None else None,
        not_run=first_value(headers, b"not-executed") is not None or status == 421,
        wrong_target=status == 421,
        retry_after_s=retry_after_s,
        idle_s=parse_non_negative(timeout.strip().removeprefix("timeout=")),
        push_back_s=retry_after_s if status == 503 and retry_after_s else None,
        leaving=status != 421 and first_value(headers, b"server-leaving") == LEAVING,
    )


def json_headers(address: str, length: int, expected: str | None) -> Headers:
    """Returns the headers of a call that the system itself makes to a target."""
    headers: Headers = [
        (b"Host", address.encode()),
        (b"Content-Type", b"application/json"),
        (b"Content-Length", str(length).encode()),
    ]
    if expected is not None:
        headers.append((b"Expect-Instance", expected.encode()))
    return headers


def encode_pieces(pieces: list[Piece]) -> bytes:
    """Encodes the body of a call that runs pieces."""
    entries = []
    for piece in pieces:
        entry: dict[str, object] = {
            "id": piece.request_id,
            "stage": piece.stage,
            "piece": piece.number,
            "remaining_ms": max(1, int(piece.remaining_ms)),
        }
        if piece.inputs:
            entry["inputs"] = list(piece.inputs)
        else:
            entry["key"] = piece.key or ""
        entries.append(entry)
    return msgspec.json.encode({"entries": entries})


def decode_piece_results(body: bytes, count: int) -> list[PieceResult] | None:
    """Decodes the results of `count` pieces; None if they are malformed or incomplete."""
    try:
        entries = msgspec.json.decode(body)["entries"]
        if len(entries) != count:
            raise ValueError("the number of entries differs")
        return [
            (
                entry["handle"]
                if "handle" in entry
                else FAILURES.get(entry["reason"], FAILURES["error"])
            )
            for entry in entries
        ]
    except (msgspec.DecodeError, LookupError, TypeError, ValueError) as error:
        logs.event(log, "piece_results_unreadable", logging.WARNING, error=type(error).__name__)
        return None


def encode_free(handles: list[str]) -> bytes:
    """Encodes the body of a call that frees results."""
    return msgspec.json.encode({"handles": handles})
