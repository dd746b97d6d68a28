"""Decodes callers' requests and targets' answers, and encodes requests to targets."""

from __future__ import annotations

import logging
import re

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
from savoryfork.util.untrusted import UndecodableError, decode_json, parse_whole

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

# Bounds of numbers in callers' headers, far above any use. A prompt's size goes into sums and
# messages between hosts, which can't hold every integer.
MAX_PROMPT_TOKENS = 1_000_000_000
MAX_PIECES = 10_000

# Unlike `float`, takes neither signs, exponents, underscores nor NaN.
DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")

# A handle is the address of its maker and an id, some 40 characters. A comma would split it where
# handles are listed in a header.
MAX_HANDLE = 1_024
HANDLE = re.compile(r"[!-+\--~]+")

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


def combined_value(headers: Headers, name: bytes) -> str | None:
    """Returns all values of a header as one, joined as RFC 9110 (5.3) says; None if it is absent.

    For a header that must hold one value, of which no part may be ignored.

    >>> combined_value([(b"Key", b"a"), (b"key", b" b")], b"key"), combined_value([], b"key")
    ('a, b', None)
    """
    values = [value for header_name, value in headers if header_name.lower() == name]
    if not values:
        return None
    return ", ".join(value.decode("latin-1").strip(" \t") for value in values)


def parse_non_negative(value: str | None) -> float | None:
    """Parses a decimal number from a header; None if it is absent, malformed or too large.

    >>> parse_non_negative("0.5"), parse_non_negative("1_0"), parse_non_negative("nan")
    (0.5, None, None)
    """
    if value is None or not DECIMAL.fullmatch(value):
        return None
    return float(value)


def decode_prompt(tokens: str | None, parts: str | None) -> Prompt | None:
    """Parses the prompt size and its shared parts; None if absent or malformed.

    >>> decode_prompt("1460,80", "5c1e07a2:800,91bd3f06:410").parts[1].tokens
    410
    >>> decode_prompt("1" + "0" * 23 + ",80", "") is None
    True
    >>> decode_prompt("1460,80", "").output_tokens, decode_prompt("1460,x", "").output_tokens
    (80, None)
    """
    if tokens is None:
        return None
    try:
        input_tokens, _, output_tokens = tokens.partition(",")
        prompt_parts = []
        for entry in (parts or "").split(","):
            if entry:
                name, _, size = entry.strip().partition(":")
                prompt_parts.append(PromptPart(name, parse_whole(size, MAX_PROMPT_TOKENS)))
        return Prompt(
            parse_whole(input_tokens.strip(), MAX_PROMPT_TOKENS),
            tuple(prompt_parts),
            decode_output_tokens(output_tokens.strip()),
        )
    except UndecodableError:
        return None


def decode_output_tokens(value: str) -> int | None:
    """Parses the maximum number of tokens to generate; None if absent or malformed."""
    try:
        return parse_whole(value, MAX_PROMPT_TOKENS)
    except UndecodableError:
        return None


def decode_pieces(value: str | None) -> tuple[int, ...] | None:
    """Parses the number of pieces of each stage; empty if absent, None if malformed.

    >>> decode_pieces("3,0, 16"), decode_pieces(None), decode_pieces("3,,16"), decode_pieces("-1")
    ((3, 0, 16), (), None, None)
    """
    if value is None:
        return ()
    try:
        return tuple(parse_whole(part.strip(), MAX_PIECES) for part in value.split(","))
    except UndecodableError:
        return None


def decode_request(method: str, path: str, headers: Headers) -> CallerRequest:
    """Decodes a caller's request.

    Malformed fields count as absent where the request can do without them, which is not so for its
    key and its pieces.
    """
    dropped = hop_by_hop_names(headers) | SYSTEM_SET
    return CallerRequest(
        id=(first_value(headers, b"request-id") or "").encode("latin-1"),
        method=method.encode("ascii", "replace"),
        path=path.encode("utf-8", "surrogateescape"),
        host=first_value(headers, b"host") or "",
        headers=[(name, value) for name, value in headers if name.lower() not in dropped],
        key=combined_value(headers, b"key"),
        allowed_ms=parse_non_negative(first_value(headers, b"deadline-ms")),
        prompt=decode_prompt(
            first_value(headers, b"token-usage"), first_value(headers, b"prefix-hash")
        ),
        pieces=decode_pieces(combined_value(headers, b"pieces")),
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
    is leaving or cold. Only a 503 pushes back: other refusals concern one request. A date is not
    read, as the platform's times are seconds and the time of day differs between machines.
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
        cold_ms=parse_non_negative(first_value(headers, b"cold-ms")) if status != 421 else None,
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


def decode_piece_result(entry: object) -> str | PieceFailure:
    """Decodes the result of one piece; one that names no usable handle is an error."""
    if not isinstance(entry, dict):
        return PieceFailure.ERROR
    handle, reason = entry.get("handle"), entry.get("reason")
    if isinstance(handle, str) and len(handle) <= MAX_HANDLE and HANDLE.fullmatch(handle):
        return handle
    failed = "handle" not in entry and isinstance(reason, str)
    return FAILURES.get(str(reason), PieceFailure.ERROR) if failed else PieceFailure.ERROR


def decode_piece_results(body: bytes, count: int) -> list[PieceResult] | None:
    """Decodes the results of `count` pieces; None if they are malformed or incomplete.

    >>> decode_piece_results(b'{"entries":[{"handle":"10.1.64.7:80/1e"},{"handle":7}]}', 2)
    ['10.1.64.7:80/1e', <PieceFailure.ERROR: 'error'>]
    """
    try:
        entries = decode_json(body)["entries"]
        if not isinstance(entries, list) or len(entries) != count:
            raise UndecodableError("the number of entries differs")
        return [decode_piece_result(entry) for entry in entries]
    except (LookupError, TypeError, ValueError) as error:
        logs.event(log, "piece_results_unreadable", logging.WARNING, error=type(error).__name__)
        return None


def encode_free(handles: list[str]) -> bytes:
    """Encodes the body of a call that frees results."""
    return msgspec.json.encode({"handles": handles})
