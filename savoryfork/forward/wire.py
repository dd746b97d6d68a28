"""What forwarding needs of the protocol that callers and targets speak."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from savoryfork.forward.model import (
    AnswerHead,
    CallerRequest,
    Catalog,
    Headers,
    Piece,
    PieceResult,
    Routing,
    Target,
)


class Call(NamedTuple):
    """One request to a target, ready to be written."""

    method: bytes
    path: bytes
    headers: Headers
    body: bytes


class Wire(Protocol):
    """Translates between the deployment's protocol and the values of `model`."""

    ready_path: str
    request_id_header: str

    def decode_request(self, method: str, path: str, headers: Headers) -> CallerRequest:
        """Reads a caller's request."""

    def request_call(self, request: CallerRequest, routing: Routing, body: bytes | None) -> Call:
        """A caller's request for one target."""

    def decode_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Reads the head of a target's answer."""

    def pieces_call(self, target: Target, pieces: list[Piece]) -> Call:
        """Asks a target for pieces."""

    def decode_results(self, body: bytes, count: int) -> list[PieceResult] | None:
        """The results of `count` pieces; None if they can't be read."""

    def free_call(self, address: str, handles: list[str]) -> Call:
        """Gives results up."""

    def decode_catalog(self, value: bytes) -> Catalog | None:
        """Reads a configuration; None if it can't be read."""

    def decode_target(self, name: str, value: bytes) -> Target | None:
        """Reads a target's entry; None for one that names no usable target."""
