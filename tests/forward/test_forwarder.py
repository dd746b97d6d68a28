"""What callers observe when targets repeat, cut off or replace their answers."""

from __future__ import annotations

import asyncio
import gzip
import json
from collections import Counter
from collections.abc import Awaitable, Callable

import pytest

from savoryfork.forward.run import NOT_EXECUTED_STATUSES
from tests.forward.deployment import Deployment, configuration, until
from tests.forward.test_connection import reset

EVENT = b"id: %d\ndata: x\n\n"
TOKENS = {"Token_Usage": "100,6", "Prefix_Hash": "aa:60,cc:10", "Model": "m"}


class Received:
    """A request as a target received it: headers, body, and its number on its connection.

    `earlier` are the answers that the script has kept of the connection, `reader` reads what comes
    after the request.
    """

    def __init__(
        self, number: int, head: bytes, earlier: list[bytes], reader: asyncio.StreamReader
    ) -> None:
        self.number = number
        self.reader = reader
        self.earlier = earlier
        lines = head.decode().split("\r\n")[1:]
        self.headers = {
            name.lower(): value
            for name, separator, value in (line.partition(": ") for line in lines)
            if separator
        }
        self.body = b""
        self.id = self.headers.get("request-id", "")


Script = Callable[[Received, asyncio.StreamWriter], Awaitable[None]]


class ScriptedTarget:
    """A target that answers by a script; the requests of a connection are numbered from 0."""

    def __init__(self, name: str, script: Script) -> None:
        self.name = name
        self.script = script
        self.runs: Counter[str] = Counter()
        self.received: list[Received] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = 0
        earlier: list[bytes] = []
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request = Received(number, head, earlier, reader)
                request.body = await reader.readexactly(
                    int(request.headers.get("content-length", 0))
                )
                self.received.append(request)
                await self.script(request, writer)
                number += 1
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def answer(status: str, request_id: str | None, body: bytes = b"", *headers: str) -> bytes:
    """Returns a framed answer."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers]
    if request_id is not None:
        lines.append(f"Request-Id: {request_id}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def stream_head(request: Received, *headers: str) -> bytes:
    lines = ["HTTP/1.1 200 OK", "Response-Seal: s", f"Request-Id: {request.id}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class Scripted:
    """A deployment whose targets of one service are replaced by scripted ones."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.servers: list[asyncio.Server] = []

    async def replace(self, service: str, *scripts: Script) -> list[ScriptedTarget]:
        deployment = self.deployment
        registry = deployment.hosts[0].follower.registry
        for replica in deployment.replicas[service]:
            deployment.store.put("keyed.servers", replica.name, None)
        targets = []
        for number, script in enumerate(scripts):
            target = ScriptedTarget(f"scripted-{number}", script)
            server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
            self.servers.append(server)
            ip, port = server.sockets[0].getsockname()
            row = {"service": service, "address": f"{ip}:{port}", "zone": "z", "state": "ready"}
            deployment.store.put("keyed.servers", target.name, {**row, "slots": 4, "born": 1})
            targets.append(target)
        names = {target.name for target in targets}
        await until(lambda: {t.name for t in registry.usable(service)} == names)
        return targets

    async def raw_call(self, path: str) -> bytes:
        """Sends a stream request; returns all bytes up to the close of the connection or 2 s."""
        ip, _, port = self.deployment.hosts[0].settings.caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        fields = {"Host": "a.example", "Request-Id": "raw", "Key": "k1", "Deadline-Ms": "3000"}
        fields |= {name.replace("_", "-"): value for name, value in TOKENS.items()}
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"POST {path} HTTP/1.1\r\n{head}Content-Length: 0\r\n\r\n".encode())
        data = bytearray()
        try:
            async with asyncio.timeout(2.0):
                while part := await reader.read(65_536):
                    data += part
                    if data.endswith(b"0\r\n\r\n"):
                        break
        except (TimeoutError, ConnectionError):
            pass  # the test checks what has arrived
        writer.close()
        return bytes(data)


@pytest.fixture
async def scripted():
    """One host, whose targets can be replaced by scripted ones."""
    async with Deployment() as deployment:
        found = Scripted(deployment)
        yield found
        for server in found.servers:
            server.close()


class TestQuarantinedRequests:
    @pytest.mark.parametrize(("status", "cleared"), [("200 OK", True), ("400 Bad Request", False)])
    async def test_only_a_success_clears_a_part(self, scripted, status, cleared):
        """Guards against taking a rejection of a request for proof that its parts are sound."""

        async def reply(request, writer):
            writer.write(answer(status, request.id))

        await scripted.replace("plain", reply)
        quarantine = scripted.deployment.hosts[0].follower.quarantine
        await scripted.deployment.call("/book/x", **TOKENS)
        assert bool(quarantine.answered_at) == cleared

    async def test_connection_is_given_up_before_its_answer_is_delivered(
        self, scripted, monkeypatch
    ):
        """Guards against aborting a pooled connection that carries another request by now."""

        async def fail(request, writer):
            writer.write(answer("500 Error", request.id, b"", "Keep-Alive: timeout=5"))

        held = []
        forwarder = scripted.deployment.hosts[0].forwarder
        deliver = forwarder.deliver

        async def record_and_deliver(run, *details):
            held.append(run.attempt.connection)
            await deliver(run, *details)

        monkeypatch.setattr(forwarder, "deliver", record_and_deliver)
        await scripted.replace("engine", fail)
        assert (await scripted.deployment.call("/ask/x", **TOKENS))[0] == 500
        assert held == [None]


def repeat_refusal(
    runs: Counter[str], refuse: Callable[[str], bytes], succeed: Callable[[Received], bytes]
) -> Script:
    """Returns a script that refuses the first request and writes that again on its connection."""
    refusals: list[bytes] = []

    async def script(request: Received, writer: asyncio.StreamWriter) -> None:
        if not refusals:
            refusals.append(refuse(request.id))
            writer.write(refusals[0])
            return
        runs[request.id] += 1
        if request.number:
            writer.write(refusals[0])
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.write(succeed(request))

    return script


class TestRepeatedRefusals:
    async def test_refusal_written_again_is_not_taken_for_the_next_answer(self, scripted):
        """Guards against "not run" for a request that runs: an old refusal without an id."""
        runs: Counter[str] = Counter()
        kept = ("Not-Executed: 1", "Keep-Alive: timeout=5")
        script = repeat_refusal(
            runs,
            lambda _: answer("503 Full", None, b"", *kept),
            lambda request: answer("200 OK", request.id, b"done", "Response-Seal: s"),
        )
        await scripted.replace("plain", script)
        call = scripted.deployment.call
        assert (await call("/book/x", Request_Id="first"))[0] in NOT_EXECUTED_STATUSES
        status, body, _ = await call("/book/x", Request_Id="second")
        assert runs["second"] == 1 and (status, body) == (200, b"done")

    async def test_refusal_of_the_same_request_written_again_is_not_taken_for_a_new_one(
        self, scripted
    ):
        """Guards against a second run: a request with a missing input is offered there again."""
        runs: Counter[str] = Counter()
        kept = ("Not-Executed: 1", "Keep-Alive: timeout=5")

        def stream(request: Received) -> bytes:
            head = stream_head(request, "Transfer-Encoding: chunked")
            return head + chunk(EVENT % 1) + chunk(b"")

        script = repeat_refusal(runs, lambda id: answer("409 Gone", id, b"", *kept), stream)
        await scripted.replace("engine", script)
        status, body, _ = await scripted.deployment.call(
            "/chat/x", Request_Id="r", Pieces="1,0", Piece_Key="k", **TOKENS
        )
        assert (status, body) == (200, EVENT % 1) and runs["r"] == 1


class TestRepeatedResults:
    @pytest.mark.parametrize("earlier", ["results", "failure"])
    async def test_results_written_again_are_not_taken_for_another_request(self, scripted, earlier):
        """Guards against inputs of another request: stage calls carry no id of their own."""

        async def repeat(request, writer):
            (entry,) = json.loads(request.body).get("entries", [{}])
            if "id" not in entry:
                writer.write(answer("200 OK", None))
                return
            made = [{"handle": f"127.0.0.1:1/{len(target.received)}"}]
            target.runs[entry["id"]] += 1
            handles[made[0]["handle"]] = entry["id"]
            first = len(target.runs) == 1 and target.runs[entry["id"]] == 1
            if first and earlier == "failure":
                made = [{"reason": "error"}]
            body = json.dumps({"entries": made}).encode()
            if request.earlier:
                writer.write(request.earlier[-1])
                await writer.drain()
                await asyncio.sleep(0.05)
            request.earlier.append(answer("200 OK", None, body, "Keep-Alive: timeout=5"))
            writer.write(request.earlier[-1])

        handles: dict[str, str] = {}
        (target,) = await scripted.replace("cave", repeat)
        engines = scripted.deployment.replicas["engine"]
        for number in range(4):
            await scripted.deployment.call(
                "/chat/x", Request_Id=f"r{number}", Pieces="1,0", Piece_Key="k", **TOKENS
            )
        served = [request["headers"] for engine in engines for request in engine.received]
        assert len(served) >= 3
        for headers in served:
            assert handles[headers["Inputs"]] == headers["Request-Id"]


ERRORS = {
    "error": ("500 Internal Server Error", ()),
    "refusal": ("503 Full", ("Not-Executed: 1",)),
    "bad request": ("400 Bad Request", ()),
    "other success": ("202 Accepted", ()),
}


class TestBrokenStreams:
    @pytest.mark.parametrize("kind", ERRORS)
    async def test_error_after_a_broken_stream_does_not_reach_its_caller(self, scripted, kind):
        """Guards against an error's text or head in a stream, and against a stream that seems
        complete because its continuation failed."""
        status, headers = ERRORS[kind]

        async def break_then_fail(request, writer):
            if "last-event-id" in request.headers:
                writer.write(answer(status, request.id, b"SECRET", *headers))
                return
            writer.write(stream_head(request, "Transfer-Encoding: chunked"))
            writer.write(chunk(EVENT % 1) + chunk(EVENT % 2 + b"id: 3\nda"))
            await writer.drain()
            reset(writer)

        await scripted.replace("engine", break_then_fail, break_then_fail, break_then_fail)
        data = await scripted.raw_call("/chat/x")
        head, _, body = data.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        assert b"id: 2" in body and b"id: 3" not in body
        assert b"SECRET" not in body and b"HTTP/1.1" not in body
        assert not body.endswith(b"0\r\n\r\n")


CUT_HEADS = [
    b"HTTP/1.1 200",
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Le",
    b"HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: 4",
    b"HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: 0\r\n",
    b"HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: 0\r\n\r",
    b"HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: 4\r\n\r\ndo",
]


class TestCutAnswers:
    @pytest.mark.parametrize("path", ["/book/x", "/view/x", "/ask/x", "/chat/x"])
    @pytest.mark.parametrize("head", CUT_HEADS)
    @pytest.mark.parametrize("how", ["close", "reset"])
    async def test_answer_cut_in_its_head_is_not_a_success(self, scripted, path, head, how):
        """Guards against a 200 with an empty or short body that is framed as complete."""

        async def cut(request, writer):
            writer.write(head)
            await writer.drain()
            if how == "reset":
                await asyncio.sleep(0.02)
                reset(writer)
            else:
                writer.close()

        service = "engine" if path in ("/ask/x", "/chat/x") else "plain"
        await scripted.replace(service, cut, cut)
        headers = TOKENS if service == "engine" else {}
        status, _, answer_headers = await scripted.deployment.call(path, **headers)
        assert status == 502 and "Response-Seal" not in answer_headers


class TestComments:
    async def test_comments_prove_nothing(self, scripted):
        """Guards against a prompt that crashes its engine and counts as answered by comments."""
        host = scripted.deployment.hosts[0]
        recorded = []
        host.crashes.record_events = recorded.append

        async def crash_after_comments(request, writer):
            writer.write(stream_head(request, "Transfer-Encoding: chunked"))
            for _ in range(3):
                writer.write(chunk(b": still here\n\n"))
                await writer.drain()
                await asyncio.sleep(0.02)
            reset(writer)

        await scripted.replace("engine", crash_after_comments)
        await scripted.raw_call("/ask/x")
        assert not recorded and not host.entry.inflight


class TestRevokedKeys:
    async def test_refusal_after_a_broken_attempt_does_not_claim_that_nothing_ran(self, scripted):
        """Guards against "did not run" for a request whose key is revoked between two attempts."""
        deployment = scripted.deployment
        follower = deployment.hosts[0].follower

        async def revoke_and_reset(request, writer):
            deployment.store.put("keyed.op", "config", configuration(2, keys=("k2",)))
            await until(lambda: follower.catalog.version == 2)
            reset(writer)

        await scripted.replace("plain", revoke_and_reset, revoke_and_reset)
        status, body, _ = await deployment.call("/view/x")
        assert status == 401 and json.loads(body)["error"]["ran"] == "unknown"


class TestEncodedBodies:
    @pytest.mark.parametrize("body", [b"body", gzip.compress(b"body")], ids=["invalid", "valid"])
    async def test_body_with_an_encoding_is_forwarded_as_it_is(self, scripted, body):
        """Guards against a body that the host decodes, or refuses since it can't be decoded."""

        async def succeed(request, writer):
            writer.write(answer("200 OK", request.id, b"done", "Response-Seal: s"))

        (target,) = await scripted.replace("plain", succeed)
        deployment = scripted.deployment
        headers = {"Host": "a.example", "Request-Id": "r", "Key": "k1", "Content-Encoding": "gzip"}
        async with deployment.session.post(
            deployment.url("/book/x"), headers=headers, data=body
        ) as response:
            assert response.status == 200
        (received,) = target.received
        assert received.body == body and received.headers["content-encoding"] == "gzip"


class TestUnsendableHeads:
    """Guards against a closed connection instead of an answer: aiohttp refuses to send such a head,
    which h11 accepts, and the answer counted as begun by then."""

    @pytest.mark.parametrize("path", ["/book/x", "/view/x", "/ask/x", "/chat/x"])
    @pytest.mark.parametrize("value", [b"a\x01b", b"a\x7fb"])
    async def test_control_character_in_a_header_is_a_faulty_answer(self, scripted, path, value):
        async def write_control_character(request, writer):
            head = stream_head(request, "Transfer-Encoding: chunked", "X-Own: v")
            writer.write(head.replace(b"X-Own: v", b"X-Own: " + value))
            writer.write(chunk(EVENT % 1) + chunk(b""))

        service = "engine" if path in ("/ask/x", "/chat/x") else "plain"
        await scripted.replace(service, write_control_character, write_control_character)
        headers = TOKENS if service == "engine" else {}
        status, body, answer_headers = await scripted.deployment.call(path, **headers)
        assert status == 502 and json.loads(body)["error"]["kind"] == "answer_incomplete"
        assert "Response-Seal" not in answer_headers


class TestUnframedStreams:
    """A stream without a length or chunks ends with its connection."""

    async def call(self, scripted: Scripted, data: bytes, how: str = "close") -> bytes:
        async def write_unframed(request, writer):
            writer.write(stream_head(request) + data)
            await writer.drain()
            if how == "reset":
                await asyncio.sleep(0.05)
                reset(writer)
            else:
                writer.close()

        await scripted.replace("engine", write_unframed)
        return await scripted.raw_call("/ask/x")

    async def test_stream_that_ends_with_its_connection_is_complete(self, scripted):
        data = await self.call(scripted, EVENT % 1 + EVENT % 2)
        assert b"id: 2" in data and data.endswith(b"0\r\n\r\n")

    @pytest.mark.parametrize("rest", [b"id: 3\nda", b"id: 3\ndata: x\n", b"\n"])
    async def test_stream_that_ends_inside_an_event_is_broken_off(self, scripted, rest):
        data = await self.call(scripted, EVENT % 1 + EVENT % 2 + rest)
        assert b"id: 2" in data and not data.endswith(b"0\r\n\r\n")

    async def test_stream_that_is_reset_is_broken_off(self, scripted):
        data = await self.call(scripted, EVENT % 1 + EVENT % 2, how="reset")
        assert b"id: 2" in data and not data.endswith(b"0\r\n\r\n")

    async def test_stream_that_ends_before_its_first_event_is_broken_off(self, scripted):
        """Guards against an empty success from an engine that crashed as it began to write."""
        data = await self.call(scripted, b"")
        assert data.startswith(b"HTTP/1.1 502")


class TestUnusedConnections:
    @pytest.mark.parametrize("change", ["push-back", "key"])
    async def test_connection_of_a_request_that_is_not_sent_is_closed(self, change, monkeypatch):
        """Guards against connections that stay open since their request was stopped before the
        send.

        They were neither closed nor pooled, so they lasted until their target closed them.
        """
        async with Deployment(replicas=1) as deployment:
            host, opened = deployment.hosts[0], []
            open_connection = host.connections.open

            async def open_and_change(*args, **options):
                connection = await open_connection(*args, **options)
                opened.append(connection)
                registry = host.follower.registry
                if change == "push-back":
                    (target,) = registry.usable("engine")
                    registry.push_backs.record(target, 5.0, host.follower.now())
                else:
                    host.follower.catalog = host.follower.catalog._replace(keys={})
                return connection

            monkeypatch.setattr(host.connections, "open", open_and_change)
            status, _, _ = await deployment.call("/chat/x", **TOKENS)
            assert status == (429 if change == "push-back" else 401)
            assert [connection.closed for connection in opened] == [True]
