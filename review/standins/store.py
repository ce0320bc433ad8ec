"""Stand-in of the platform's metadata store.

Each machine reaches the store over a link of its own: a listening address that
only this machine's settings name. A link is in one of these modes:

  open    requests are answered
  cut     a silent partition: nothing passes, open connections stay open and
          new ones get no answer
"""

import base64
import json
import socket
import threading
import time
import urllib.parse

ANSWER_S = 0.004
HISTORY_S = 20.0
PAGE_ITEMS = 500


class Link:
    def __init__(self, store, name, address):
        self.store = store
        self.name = name
        self.address = address
        self.mode = "open"
        self.connections = {}
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(16)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        number = 0
        while True:
            connection, _ = self.listener.accept()
            number += 1
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections[number] = connection
            threading.Thread(target=self._serve, args=(number, connection),
                             daemon=True).start()

    def _wait_until_open(self):
        while self.mode == "cut":
            time.sleep(0.005)

    def _serve(self, number, connection):
        pending = b""
        try:
            while True:
                while b"\r\n\r\n" not in pending:
                    chunk = connection.recv(65536)
                    if not chunk:
                        return
                    pending += chunk
                head, pending = pending.split(b"\r\n\r\n", 1)
                self._wait_until_open()
                time.sleep(ANSWER_S)
                status, body = self.store.answer(
                    self, number, head.split(b" ")[1].decode())
                # An answer that is due during a cut arrives when it has
                # healed, unless the caller gave up on the connection.
                self._wait_until_open()
                text = json.dumps(body).encode()
                connection.sendall(
                    b"HTTP/1.1 %d Answer\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
        except OSError:
            pass
        finally:
            self.connections.pop(number, None)
            connection.close()


class Store:
    def __init__(self, record):
        self.record = record
        self.changed = threading.Condition()
        self.revision = 1
        self.items = {}
        self.events = []
        self.links = {}
        # Links whose machine waits in a watch, with the connection's number.
        self.watching = {}
        # When a watch of a link was answered last.
        self.answered_at = {}

    def add_link(self, name, address):
        self.links[name] = Link(self, name, address)

    def put(self, key, value):
        """Acknowledged when it returns; `value` is a table or raw bytes."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            self.revision += 1
            created = self.items.get(key, {}).get("CreatedRev", self.revision)
            item = {"Key": key, "Value": base64.b64encode(raw).decode(),
                    "Revision": self.revision, "CreatedRev": created,
                    "Lease": 0}
            self.items[key] = item
            self.events.append((time.monotonic(), item))
            self.changed.notify_all()
        self.record(f"store acknowledged {key} = {raw.decode(errors='replace')[:400]}")

    def remove(self, key):
        with self.changed:
            if self.items.pop(key, None) is None:
                return
            self.revision += 1
            self.events.append((time.monotonic(),
                                {"Key": key, "Revision": self.revision,
                                 "Removed": True}))
            self.changed.notify_all()
        self.record(f"store removed {key}")

    def answer(self, link, number, target):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/arbutusport/kv-key":
            return self._key(query.get("Key", ""))
        if url.path == "/arbutusport/kv-range":
            return self._range(query.get("Prefix", ""), query.get("after"))
        if url.path == "/arbutusport/kv-watch":
            return self._watch(link, number, query)
        return 404, {}

    def _key(self, key):
        with self.changed:
            item = self.items.get(key)
            return (200, dict(item, AsOf=self.revision)) if item else (404, {})

    def _range(self, prefix, after):
        with self.changed:
            keys = sorted(k for k in self.items if k.startswith(prefix)
                          and (after is None or k > after))
            return 200, {"items": [self.items[k] for k in keys[:PAGE_ITEMS]],
                         "HasMore": len(keys) > PAGE_ITEMS,
                         "AsOf": self.revision}

    def _watch(self, link, number, query):
        after = int(query["after"])
        prefix = query.get("Prefix", "")
        end = time.monotonic() + int(query["WaitMs"]) / 1000
        with self.changed:
            self.watching[link.name] = number
            try:
                while True:
                    found = [e for _, e in self.events if e["Revision"] > after
                             and e["Key"].startswith(prefix)]
                    left = end - time.monotonic()
                    if found or left <= 0:
                        return 200, {"events": found, "AsOf": self.revision}
                    self.changed.wait(left)
            finally:
                self.watching.pop(link.name, None)
                self.answered_at[link.name] = time.monotonic()
