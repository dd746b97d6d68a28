"""HTTP responses."""

from __future__ import annotations

from typing import Any

import msgspec
from aiohttp import web


def json_response(body: Any, status: int = 200) -> web.Response:
    """Returns a JSON response, encoded with msgspec."""
    return web.Response(
        body=msgspec.json.encode(body), status=status, content_type="application/json"
    )
