"""A server in a process of its own: answers each request with its call id after the time of its work.

The argument is a JSON object: `work_s` is the range of that time in seconds; `seed` is for random numbers.
"""

from __future__ import annotations

import asyncio
import json
import random
import socket
import sys
from contextlib import suppress
from time import monotonic

from stand import ok, read_request


async def main(options: dict) -> None:
    work = options["work_s"]
    random.seed(options["seed"])

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                request = await read_request(reader)
                print(f"{monotonic()} runs call={request.call_id}", flush=True)
                await asyncio.sleep(random.uniform(*work))
                writer.write(ok(request.call_id.encode()))
                await writer.drain()
        writer.close()

    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    server = await asyncio.start_server(serve, sock=listener, backlog=512)
    print(f"127.0.0.1:{listener.getsockname()[1]}", flush=True)
    await server.serve_forever()


asyncio.run(main(json.loads(sys.argv[1])))
