"""Requests with many short headers, far within `max_header_bytes`."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness-2"))
from standin import *  # noqa: E402,F403

REQUESTS = 60
# Headers beside the platform's own: with and without the trouble.
MANY, FEW = 120, 60


async def main(deployment, record, trouble):
    servers = [WebServer(deployment, number) for number in range(1, 4)]
    routes = [route("page", "/page/", "idempotent"), route("book", "/book/", "non_idempotent")]
    if await deployment.put(document(1, routes), 20) is None:
        raise CannotRun("the configuration is not acknowledged")
    for server in servers:
        await server.start()

    async def send(path, more, body=b""):
        attempt = attempt_id()
        headers = [("X-Attempt-Id", attempt), ("X-Deadline-Ms", "1000")]
        headers += [(f"X-Field-{number}", "v") for number in range(more)]
        size = len(message_bytes(f"POST {path} HTTP/1.1", [("Host", HOST)] + headers))
        try:
            status, _ = await call(deployment.front(1), f"POST {path} HTTP/1.1", headers, body, 1.5)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            status = type(error).__name__
        record(f"caller: {attempt} with {len(headers)} headers in {size} bytes answered {status}")
        return status

    async def is_served():
        return await send("/page/a", 0) == 200

    await until(is_served, 20, "a request is served")
    await asyncio.sleep(4)  # more than `contact_ms` after the last start of a process
    statuses = []
    for number in range(REQUESTS):
        path = "/page/a" if number % 2 else "/book/a"
        statuses.append(await send(path, MANY if trouble else FEW, b"hello"))
        await asyncio.sleep(0.05)
    denied = sum(1 for status in statuses if status in range(300, 500) and status not in (408, 421, 429))
    bound = 5 + len(statuses) / 500
    record(f"{denied} of {len(statuses)} proper requests were ended with a 3xx or 4xx; at most {bound:.1f} may be")
    return denied <= bound


run(main)
