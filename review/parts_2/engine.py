"""A model replica as a process of its own: `engine.py PORT NAME`.

Its streams have no length and end with their connection. Each event holds three tokens.
"""

from __future__ import annotations

import asyncio
import sys

from bed import HttpServer, Request, encode

EVENT_S = 0.04
TOKENS_AN_EVENT = 3


def events_of(usage: str) -> int:
    """Returns the number of events of a request's stream, by its `Token-Usage`."""
    return -(-int(usage.split(",")[1]) // TOKENS_AN_EVENT)


async def main(port: int, name: str) -> None:
    async def handle(request: Request, writer: asyncio.StreamWriter, state: dict) -> bytes | None:
        if request.headers.get("expect-instance") != name:
            return encode("421 Misdirected Request", {"Request-Id": request.id}, b"")
        head = [
            "HTTP/1.1 200 OK", "Content-Type: text/event-stream", f"Request-Id: {request.id}",
            f"Response-Seal: {name}.{request.id}", "Connection: close",
        ]  # fmt: skip
        writer.write("\r\n".join([*head, "", ""]).encode())
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, events_of(request.headers["token-usage"]) + 1):
            await asyncio.sleep(EVENT_S)
            writer.write(b"id: %d\ndata: %d of %s\n\n" % (number, number, request.id.encode()))
            await writer.drain()
        return None

    await HttpServer(handle).start(port)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), sys.argv[2]))
