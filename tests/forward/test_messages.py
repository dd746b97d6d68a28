"""Messages of other hosts that can't be decoded: declared errors on both sides of a call."""

from __future__ import annotations

import contextlib
import random
import zlib
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from savoryfork.forward.messages import (
    COMPRESSED,
    PLAIN,
    Done,
    ForwardService,
    ForwardStub,
    FreeRequest,
    MessageCodec,
    SyncReply,
    SyncRequest,
    WorkReply,
    WorkRequest,
)
from savoryfork.peers import PeerClient, PeerServer, PeerUnavailable
from savoryfork.util.untrusted import UndecodableError
from standins.ports import Ports

TYPES = [SyncRequest, SyncReply, WorkRequest, WorkReply, FreeRequest]
BOMB = zlib.compress(b"\x00" * 64_000_000)
ODD_MESSAGES = {
    "nothing": b"",
    "one byte": PLAIN,
    "not compressed": COMPRESSED + b"x" * 40,
    "compressed and cut": COMPRESSED + zlib.compress(b"\x90" * 9_000)[:20],
    "a bomb": COMPRESSED + BOMB,
    "nested": PLAIN + b"\x91" * 100_000,
    "a huge array": PLAIN + b"\xdd\xff\xff\xff\xff",
    "another type": PLAIN + msgspec.msgpack.encode(["x", 1]),
    "a newer form": PLAIN + msgspec.msgpack.encode([True, 1, 2, [3]]),
}
quick = settings(derandomize=True, max_examples=200, deadline=None)


def test_work_of_a_host_that_sends_no_fingerprint_is_decoded():
    """Guards against refusing stage work while hosts of two versions run side by side."""
    request = WorkRequest("r", (), (), "k", 1, 2_000.0, 1_000.0, None)
    data = PLAIN + msgspec.msgpack.encode(tuple(request)[:-2])
    assert MessageCodec().decode(data, WorkRequest) == request


def test_work_of_a_host_that_sends_no_workspace_is_decoded():
    """Guards against refusing stage work while hosts of two versions run side by side."""
    request = WorkRequest("r", (), (), "k", 1, 2_000.0, 1_000.0, None, fingerprint=7)
    data = PLAIN + msgspec.msgpack.encode(tuple(request)[:-1])
    assert MessageCodec().decode(data, WorkRequest) == request


class JunkCodec(MessageCodec):
    """Sends `data` instead of each message."""

    data = b""

    def encode(self, message: Any, message_type: Any) -> bytes:
        return self.data


def check_declared(data: bytes) -> None:
    """Checks that decoding raises nothing but UndecodableError."""
    for message_type in TYPES:
        with pytest.raises(UndecodableError):
            MessageCodec().decode(data, message_type)


class TestAnyBytes:
    """Guards against a message that ends the task that received it."""

    @pytest.mark.parametrize("data", ODD_MESSAGES.values(), ids=ODD_MESSAGES)
    def test_odd_messages(self, data):
        check_declared(data)

    @quick
    @given(st.sampled_from([PLAIN, COMPRESSED, b""]), st.binary(max_size=200))
    def test_any_bytes(self, form, data):
        for message_type in TYPES:
            with contextlib.suppress(UndecodableError):
                MessageCodec().decode(form + data, message_type)


class TestCalls:
    @pytest.fixture
    async def address(self):
        """The address of a host that answers with `JunkCodec.data`."""

        async def free(request: FreeRequest) -> Done:
            return Done()

        ports = Ports(random.Random())
        address = ports.address()
        server = PeerServer(address, (), ForwardService({"Free": free}), JunkCodec())
        await server.start()
        yield address
        await server.stop()
        ports.release()

    @pytest.mark.parametrize("data", ODD_MESSAGES.values(), ids=ODD_MESSAGES)
    async def test_odd_reply_is_no_answer(self, address, data):
        """Guards against a reply that ends the task that asked, and so the host."""
        JunkCodec.data = data
        client = PeerClient(None, ForwardStub, MessageCodec())
        try:
            with pytest.raises(PeerUnavailable):
                await client.call(address, "Free", FreeRequest("s", []), 2_000)
        finally:
            client.close()

    @pytest.mark.parametrize("data", ODD_MESSAGES.values(), ids=ODD_MESSAGES)
    async def test_server_outlives_an_odd_request(self, address, data):
        JunkCodec.data = data
        odd = PeerClient(None, ForwardStub, JunkCodec())
        client = PeerClient(None, ForwardStub, MessageCodec())
        try:
            with pytest.raises(PeerUnavailable):
                await odd.call(address, "Free", FreeRequest("s", []), 2_000)
            JunkCodec.data = PLAIN + msgspec.msgpack.encode(Done())
            assert await client.call(address, "Free", FreeRequest("s", []), 2_000) == Done()
        finally:
            odd.close()
            client.close()

    @pytest.mark.parametrize("address", ["x", "127.0.0.1:x", "127.0.0.1:70000", "127.0.0.1:", ""])
    async def test_odd_address_is_no_answer(self, address):
        """Guards against a host list with an address that can't be called."""
        client = PeerClient(None, ForwardStub, MessageCodec())
        with pytest.raises(PeerUnavailable):
            await client.call(address, "Free", FreeRequest("s", []), 500)
        client.close()
