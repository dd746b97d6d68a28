"""HTTP responses."""

from __future__ import annotations

from typing import Any

import msgspec
from aiohttp import web


def json_response(body: Any, status: int = 200) -> web.Response:
    """A JSON response; raw and typed values are encoded as msgspec does."""
    return web.Response(
        body=msgspec.json.encode(body), status=status, content_type="application/json"
    )
