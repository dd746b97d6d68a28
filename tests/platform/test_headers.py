"""Requests and answers are read and written as the platform has them, byte for byte."""

from savoryfork.forward.model import PieceFailure, Routing, Target
from savoryfork.platform import headers
from savoryfork.platform.wire import PlatformWire

TARGET = Target("i-1", "s", "10.0.0.1:80", "z", 1, 4, False)


def request(*extra: tuple[bytes, bytes]) -> object:
    lines = [(b"Host", b"a.example"), (b"Request-Id", b"r1"), (b"Deadline-Ms", b"900"), *extra]
    return headers.decode_request("POST", "/a%2Fb?x=%20", lines)


def sent(decoded: object, **changes: object) -> dict[bytes, list[bytes]]:
    routing = Routing(TARGET, 800.0, "w", 4, (), None)._replace(**changes)
    call = PlatformWire().request_call(decoded, routing, b"body")
    found: dict[bytes, list[bytes]] = {}
    for name, value in call.headers:
        found.setdefault(name.lower(), []).append(value)
    return found


class TestRequests:
    def test_what_concerns_one_connection_is_not_passed_on(self):
        decoded = request(
            (b"Connection", b"keep-alive, X-Hop"),
            (b"X-Hop", b"1"),
            (b"Transfer-Encoding", b"chunked"),
            (b"X-Own", b"a"),
            (b"X-Own", b"b"),
        )
        found = sent(decoded)
        assert b"x-hop" not in found and b"transfer-encoding" not in found
        assert found[b"x-own"] == [b"a", b"b"] and found[b"content-length"] == [b"4"]

    def test_what_the_system_sets_replaces_what_the_caller_sent(self):
        """A caller must not reach the memory of another request, nor choose its workspace."""
        names = (b"Tenant", b"Hold", b"Pin-Ms", b"Kv-From", b"Kv-Backup", b"Inputs", b"Key")
        found = sent(request(*((name, b"evil") for name in names)), inputs=("h1", "h2"))
        assert found[b"tenant"] == [b"w"] and found[b"inputs"] == [b"h1,h2"]
        assert found[b"deadline-ms"] == [b"800"] and found[b"expect-instance"] == [b"i-1"]
        for name in (b"hold", b"pin-ms", b"kv-from", b"kv-backup", b"key"):
            assert name not in found

    def test_without_a_workspace_none_is_claimed(self):
        assert b"tenant" not in sent(request((b"Tenant", b"evil")), workspace=None)

    def test_a_resumed_stream_names_its_last_event_once(self):
        found = sent(request((b"Last-Event-Id", b"1")), last_event_id=b"7")
        assert found[b"last-event-id"] == [b"7"]

    def test_malformed_fields_count_as_absent(self):
        decoded = request((b"Pieces", b"1,x"), (b"Token-Usage", b"many"))
        assert decoded.pieces == () and decoded.prompt is None
        assert headers.decode_request("GET", "/", [(b"Deadline-Ms", b"soon")]).allowed_ms is None

    def test_the_path_keeps_its_escapes(self):
        assert request().path == b"/a%2Fb?x=%20"


class TestAnswers:
    def test_what_says_that_nothing_ran(self):
        full = headers.decode_answer(503, [(b"Not-Executed", b"1"), (b"Retry-After", b"0.5")])
        assert full.not_run and not full.wrong_target and full.retry_after_s == 0.5
        assert headers.decode_answer(421, []).wrong_target
        assert not headers.decode_answer(503, []).not_run

    def test_the_idle_time_is_read(self):
        assert headers.decode_answer(200, [(b"Keep-Alive", b"max=9, timeout=3")]).idle_s == 3
        assert headers.decode_answer(200, []).idle_s is None


class TestPieces:
    def test_an_answer_for_other_pieces_is_not_taken(self):
        """One entry too few would give a request the results of another."""
        assert headers.decode_piece_results(b'{"entries":[{"handle":"h"}]}', 2) is None
        assert headers.decode_piece_results(b"nonsense", 1) is None

    def test_results_and_failures(self):
        body = b'{"entries":[{"handle":"h"},{"reason":"room"},{"reason":"new"}]}'
        found = headers.decode_piece_results(body, 3)
        assert found == ["h", PieceFailure.NO_ROOM, PieceFailure.ERROR]
