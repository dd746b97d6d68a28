"""Decoding and encoding of requests and answers in the platform's protocol."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from savoryfork.forward.model import PieceFailure, Routing, Target
from savoryfork.platform import headers
from savoryfork.platform.wire import PlatformWire
from tests.odd import NASTY_JSON, values

quick = settings(derandomize=True, max_examples=200, deadline=None)

TARGET = Target("i-1", "s", "10.0.0.1:80", "z", 1, 4, False)


def request(*extra: tuple[bytes, bytes]) -> object:
    lines = [(b"Host", b"a.example"), (b"Request-Id", b"r1"), (b"Deadline-Ms", b"900"), *extra]
    return headers.decode_request("POST", "/a%2Fb?x=%20", lines)


def encoded_headers(decoded: object, **changes: object) -> dict[bytes, list[bytes]]:
    routing = Routing(TARGET, 800.0, "w", 4, (), None)._replace(**changes)
    call = PlatformWire().request_call(decoded, routing, b"body")
    fields: dict[bytes, list[bytes]] = {}
    for name, value in call.headers:
        fields.setdefault(name.lower(), []).append(value)
    return fields


class TestRequests:
    def test_hop_by_hop_headers_are_not_forwarded(self):
        decoded = request(
            (b"Connection", b"keep-alive, X-Hop"),
            (b"X-Hop", b"1"),
            (b"Transfer-Encoding", b"chunked"),
            (b"X-Own", b"a"),
            (b"X-Own", b"b"),
        )
        fields = encoded_headers(decoded)
        assert b"x-hop" not in fields and b"transfer-encoding" not in fields
        assert fields[b"x-own"] == [b"a", b"b"] and fields[b"content-length"] == [b"4"]

    def test_system_headers_replace_those_of_the_caller(self):
        """Guards against callers that reach other requests' memory or choose their workspace."""
        names = (b"Tenant", b"Hold", b"Pin-Ms", b"Kv-From", b"Kv-Backup", b"Inputs", b"Key")
        fields = encoded_headers(request(*((name, b"evil") for name in names)), inputs=("h1", "h2"))
        assert fields[b"tenant"] == [b"w"] and fields[b"inputs"] == [b"h1,h2"]
        assert fields[b"deadline-ms"] == [b"800"] and fields[b"expect-instance"] == [b"i-1"]
        for name in (b"hold", b"pin-ms", b"kv-from", b"kv-backup", b"key"):
            assert name not in fields

    def test_tenant_header_is_absent_without_a_workspace(self):
        assert b"tenant" not in encoded_headers(request((b"Tenant", b"evil")), workspace=None)

    def test_resumed_stream_sends_its_last_event_id_once(self):
        fields = encoded_headers(request((b"Last-Event-Id", b"1")), last_event_id=b"7")
        assert fields[b"last-event-id"] == [b"7"]

    def test_malformed_headers_count_as_absent(self):
        decoded = request((b"Pieces", b"1,x"), (b"Token-Usage", b"many"))
        assert decoded.prompt is None
        assert headers.decode_request("GET", "/", [(b"Deadline-Ms", b"soon")]).allowed_ms is None

    def test_malformed_numbers_of_pieces_are_not_absent(self):
        """Guards against a request that skips its stages since their pieces can't be read."""
        assert request().pieces == () and request((b"Pieces", b"")).pieces is None
        for value in (b"1,x", b"-1", b"1,,2", b"1_0", b"99999"):
            assert request((b"Pieces", value)).pieces is None
        assert request((b"Pieces", b"1"), (b"Pieces", b"2")).pieces == (1, 2)

    @pytest.mark.parametrize(
        ("lines", "key"),
        [([], None), ([b"a"], "a"), ([b" a\t"], "a"), ([b""], ""), ([b"a", b"b"], "a, b")],
    )
    def test_key_is_the_whole_of_its_headers(self, lines, key):
        """Guards against a key of which a part is not looked at, or an empty one that is absent."""
        assert request(*((b"Key", line) for line in lines)).key == key

    def test_the_path_keeps_its_escapes(self):
        assert request().path == b"/a%2Fb?x=%20"


class TestAnswers:
    def test_markers_of_requests_that_did_not_run(self):
        full = headers.decode_answer(503, [(b"Not-Executed", b"1"), (b"Retry-After", b"0.5")])
        assert full.not_run and not full.wrong_target and full.retry_after_s == 0.5
        assert headers.decode_answer(421, []).wrong_target
        assert not headers.decode_answer(503, []).not_run

    def test_idle_timeout_is_decoded(self):
        assert headers.decode_answer(200, [(b"Keep-Alive", b"max=9, timeout=3")]).idle_s == 3
        assert headers.decode_answer(200, []).idle_s is None


class TestPieces:
    def test_answer_with_wrong_number_of_entries_is_rejected(self):
        """Guards against assigning results to the wrong request when an entry is missing."""
        assert headers.decode_piece_results(b'{"entries":[{"handle":"h"}]}', 2) is None
        assert headers.decode_piece_results(b"nonsense", 1) is None

    def test_results_and_failures(self):
        body = b'{"entries":[{"handle":"h"},{"reason":"room"},{"reason":"new"}]}'
        results = headers.decode_piece_results(body, 3)
        assert results == ["h", PieceFailure.NO_ROOM, PieceFailure.ERROR]

    @pytest.mark.parametrize(
        "entry",
        [
            {"handle": 7},
            {"handle": ["h"]},
            {"handle": ""},
            {"handle": "x" * 100_000},
            {"handle": "a,b"},
            {"handle": "a\r\nX: y"},
            {"handle": "\uff18"},
            {"reason": ["late"]},
            {"reason": 10**23},
            {},
            [],
            None,
            "h",
            10**400,
        ],
    )
    def test_odd_entry_is_an_error_of_its_piece(self, entry):
        """Guards against a handle that breaks the header that lists it, or all other pieces."""
        body = msgspec.json.encode({"entries": [{"handle": "h"}, entry]})
        assert headers.decode_piece_results(body, 2) == ["h", PieceFailure.ERROR]


class TestOddInput:
    """Guards against headers and answers that raise out of a decoder."""

    @pytest.mark.parametrize("data", NASTY_JSON.values(), ids=NASTY_JSON)
    def test_nasty_piece_results(self, data):
        assert headers.decode_piece_results(data, 1) is None
        headers.decode_piece_results(b'{"entries":[' + data + b"]}", 1)

    @quick
    @given(st.binary(max_size=100), values)
    def test_any_piece_results(self, data, value):
        assert headers.decode_piece_results(data, 1) is None
        body = msgspec.json.encode({"entries": [value]})
        for result in headers.decode_piece_results(body, 1):
            assert isinstance(result, str | PieceFailure)

    @quick
    @given(
        st.sampled_from(["Token-Usage", "Prefix-Hash", "Pieces", "Deadline-Ms", "Retry-After"]),
        st.text(st.characters(max_codepoint=255), max_size=40)
        | st.integers().map(str)
        | st.sampled_from(["1" * 5_000, "1e999", "nan", "inf", "+1", "1_0", "-0", "1,,2", "a:9,b"]),
    )
    def test_any_number_in_a_header(self, name, value):
        lines = [(b"Token-Usage", b"10,5"), (name.encode(), value.encode("latin-1"))]
        decoded = headers.decode_request("GET", "/", lines[::-1])
        headers.decode_answer(200, lines)
        if decoded.prompt is not None:
            assert 0 <= decoded.prompt.input_tokens <= headers.MAX_PROMPT_TOKENS
            assert all(0 <= p.tokens <= headers.MAX_PROMPT_TOKENS for p in decoded.prompt.parts)
        assert decoded.allowed_ms is None or 0 <= decoded.allowed_ms < 1e12

    @pytest.mark.parametrize("value", ["1" + "0" * 23, "1" * 5_000, "+1", "1_0", "-1", "\xb2", ""])
    def test_odd_numbers_count_as_absent(self, value):
        """Guards against a prompt size whose sum with others fits into no message."""
        line = value.encode("latin-1")
        assert request((b"Token-Usage", line + b",80")).prompt is None
        parts = (b"Prefix-Hash", b"aa:" + line)
        assert request((b"Token-Usage", b"10,80"), parts).prompt is None
        assert request((b"Pieces", b"1," + line)).pieces is None
        decoded = headers.decode_request("GET", "/", [(b"Deadline-Ms", line)])
        assert decoded.allowed_ms is None
