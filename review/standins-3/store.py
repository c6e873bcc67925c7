"""Stand-in of the platform's metadata store, as PROTOCOL.md tells it.

    python3 store.py HOST PORT

It keeps all objects in memory. Entries of runners (kind `servers`) lapse after
three heartbeats of silence. Calls at `/x/...` belong to the test and not to the
protocol.
"""

import asyncio
import json
import sys
import time
from urllib.parse import parse_qs, unquote, urlsplit

from httpmini import encode_response, serve

HEARTBEAT_SECONDS = 1.2
PAGE_ITEMS = 500


class Store:
    """Objects by kind and name, with one revision counter and a history."""

    def __init__(self):
        self.objects = {}
        self.revision = 100
        self.history = []
        self.changed = asyncio.Event()
        self.beat_at = {}

    def change(self, kind, item, deleted):
        self.history.append((self.revision, kind, item, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, kind, name, spec):
        key = (kind, name)
        known = self.objects.get(key)
        if kind == "servers":
            self.beat_at[name] = time.monotonic()
        if known is not None and known["Spec"] == spec:
            return known
        self.revision += 1
        created = known["Metadata"]["Created"] if known else self.revision
        item = {
            "Metadata": {
                "Name": name,
                "Revision": self.revision,
                "Created": created,
                "Finalizers": [],
                "Deleting": False,
            },
            "Spec": spec,
            "Status": None,
        }
        self.objects[key] = item
        self.change(kind, item, False)
        return item

    def remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self.change(kind, item, True)
        return item

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            oldest = time.monotonic() - 3 * HEARTBEAT_SECONDS
            for kind, name in list(self.objects):
                if kind == "servers" and self.beat_at[name] < oldest:
                    self.remove(kind, name)

    def events(self, kind, since):
        return [
            {"Object": item, "Deleted": deleted}
            for revision, k, item, deleted in self.history
            if k == kind and revision > since
        ]

    async def handle(self, message, _reader, writer):
        method, target, _ = message.start.split()
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        path = [unquote(p) for p in parts.path.split("/") if p]
        body = json.loads(message.body) if message.body else {}
        status, value = await self.answer(method, path, query, body)
        headers = {"content-type": "application/json", "store-era": "1"}
        writer.write(encode_response(status, headers, json.dumps(value).encode()))
        await writer.drain()
        return message.get("connection") != "close"

    async def answer(self, method, path, query, body):
        await asyncio.sleep(0.004)
        if path[:1] == ["x"]:
            # The test: the time of an acknowledgement is taken here.
            _, action, kind, name = path
            if action == "write":
                self.write(kind, name, body)
            else:
                self.remove(kind, name)
            return 200, {"at": time.monotonic()}
        kind = path[2]
        name = path[3] if len(path) > 3 else body.get("Metadata", {}).get("Name", "")
        if method == "GET" and len(path) > 3:
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {"At": self.revision})
        if method == "GET" and "Watch" in query:
            return await self.watch(kind, query)
        if method == "GET":
            after = query.get("After", "")
            items = [
                v
                for (k, n), v in sorted(self.objects.items())
                if k == kind and n > after
            ]
            return 200, {
                "Items": items[:PAGE_ITEMS],
                "HasMore": len(items) > PAGE_ITEMS,
                "At": self.revision,
            }
        known = self.objects.get((kind, name))
        if method == "POST" and known is not None:
            return 409, known
        if method == "PUT" and known is None:
            return 404, {}
        expected = body.get("Metadata", {}).get("Revision") or query.get("Revision")
        if expected and known and int(expected) != known["Metadata"]["Revision"]:
            return 409, known
        if method == "DELETE":
            return (200, known) if self.remove(kind, name) else (404, {})
        return 200, self.write(kind, name, body.get("Spec"))

    async def watch(self, kind, query):
        since = int(query["Watch"])
        if since > self.revision:
            return 410, {}
        ends_at = time.monotonic() + int(query.get("WaitMs", "30000")) / 1000
        while not self.events(kind, since):
            left = ends_at - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                break
        return 200, {"events": self.events(kind, since), "At": self.revision}


async def main():
    store = Store()
    server = await serve(sys.argv[1], int(sys.argv[2]), store.handle)
    async with server:
        await store.expire()


if __name__ == "__main__":
    asyncio.run(main())
