"""Implementation of the forwarding protocol interface for the platform."""

from __future__ import annotations

from savoryfork.forward.model import CallerRequest, Piece, Routing, Target
from savoryfork.forward.wire import Call
from savoryfork.platform import headers, records


class PlatformWire:
    """Implements `forward.wire.Wire`."""

    ready_path = "/api/ready"
    request_id_header = "Request-Id"

    decode_request = staticmethod(headers.decode_request)
    decode_answer = staticmethod(headers.decode_answer)
    decode_results = staticmethod(headers.decode_piece_results)
    decode_target = staticmethod(records.decode_target)
    decode_evacuation = staticmethod(records.decode_evacuation)

    def __init__(self) -> None:
        self.decode_catalog = records.CatalogDecoder().decode

    def request_call(self, request: CallerRequest, routing: Routing, body: bytes | None) -> Call:
        """Encodes a caller's request for one target; method, path and body stay unchanged."""
        length = len(body) if body is not None else None
        request_headers = headers.target_headers(request, routing, length)
        return Call(request.method, request.path, request_headers, body or b"")

    def pieces_call(self, target: Target, pieces: list[Piece]) -> Call:
        """Encodes a call that runs pieces on a target."""
        body = headers.encode_pieces(pieces)
        request_headers = headers.json_headers(target.address, len(body), target.name)
        return Call(b"POST", headers.STAGE_PATH, request_headers, body)

    def free_call(self, address: str, handles: list[str], expected: str | None) -> Call:
        """Encodes a call that frees results at an address, by the target `expected` if given."""
        body = headers.encode_free(handles)
        request_headers = headers.json_headers(address, len(body), expected)
        return Call(b"POST", headers.FREE_PATH, request_headers, body)
