"""Interface to the protocol of callers and targets."""

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
    """An encoded request to a target."""

    method: bytes
    path: bytes
    headers: Headers
    body: bytes


class Wire(Protocol):
    """Translates between the deployment's protocol and the types of `model`."""

    ready_path: str
    request_id_header: str

    def decode_request(self, method: str, path: str, headers: Headers) -> CallerRequest:
        """Decodes a caller's request."""

    def request_call(self, request: CallerRequest, routing: Routing, body: bytes | None) -> Call:
        """Encodes a caller's request for one target."""

    def decode_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Decodes the head of a target's answer."""

    def pieces_call(self, target: Target, pieces: list[Piece]) -> Call:
        """Encodes a call that runs pieces on a target."""

    def decode_results(self, body: bytes, count: int) -> list[PieceResult] | None:
        """Decodes the results of `count` pieces; None if they are malformed."""

    def free_call(self, address: str, handles: list[str], expected: str | None) -> Call:
        """Encodes a call that frees results at an address, by the target `expected` if given."""

    def decode_catalog(self, value: bytes) -> Catalog | None:
        """Decodes a configuration; None if it is malformed."""

    def decode_evacuation(self, key: str) -> str | None:
        """Returns the zone that the entry of a key in the configuration's topic evacuates."""

    def decode_target(self, name: str, value: bytes) -> Target | None:
        """Decodes a target's entry; None if it describes no usable target."""
