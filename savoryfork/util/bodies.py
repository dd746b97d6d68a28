"""Bodies of responses, read up to a limit."""

from __future__ import annotations

import logging

import aiohttp

from savoryfork.util import logs

log = logging.getLogger(__name__)


class BodyTooLarge(aiohttp.ClientPayloadError):
    """The other side sent more than it may. Its connection is closed."""


async def read_body(response: aiohttp.ClientResponse, limit_bytes: int) -> bytes:
    """Returns the body of a response; raises BodyTooLarge beyond the limit.

    A body without end would fill the memory of the host before its time-out.
    """
    body = bytearray()
    while part := await response.content.readany():
        body += part
        if len(body) > limit_bytes:
            response.close()
            logs.event(
                log,
                "body_too_large",
                logging.WARNING,
                address=f"{response.url.host}:{response.url.port}",
                path=response.url.path,
                limit_bytes=limit_bytes,
            )
            raise BodyTooLarge(f"body exceeds {limit_bytes} bytes")
    return bytes(body)
