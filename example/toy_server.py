"""A toy of all that a relay speaks HTTP to: two hosts of destination 1, the catalog and the platform.

    python example/toy_server.py

The first host delivers; the second refuses every other text and tells a wait. Everything is printed.
"""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

CATALOG, HOSTS = ("127.0.0.1", 8500), {"toy-1": ("127.0.0.1", 8601), "toy-2": ("127.0.0.1", 8602)}


class Toy(ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, request, client_address):
        print(f"{client_address[0]}:{client_address[1]} left", flush=True)


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def answer(self, status, body=b"", **headers):
        self.send_response_only(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        if status != 204:
            self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))


class Host(Handler):
    calls = 0

    def do_POST(self):
        text, body = self.headers.get("X-Txn"), self.body()
        Host.calls += 1
        name = next(name for name, address in HOSTS.items() if address == self.server.server_address)
        if name == "toy-2" and Host.calls % 2:
            print(f"{name} refuses {text}", flush=True)
            self.answer(429, Retry_After="0.5")
        else:
            print(f"{name} delivers {text}: {body[:60]!r}", flush=True)
            self.answer(200)


class Catalog(Handler):
    def do_GET(self):
        if "stream=1" in self.path:
            self.send_response_only(200)
            self.send_header("Transfer-Encoding", "chunked")
            self.end_headers()
            while True:  # nothing changes here: an empty line every 2 s
                self.wfile.write(b"1\r\n\n\r\n")
                time.sleep(2)
        rows = [{"name": name, "address": f"{host}:{port}", "zone": "a", "type": "portal", "group": 1,
                 "status": "active", "weight": 20.0, "since_ms": 0} for name, (host, port) in HOSTS.items()]
        self.answer(200, json.dumps({"index": 1, "snapshot": True, "endpoints": rows}).encode())

    def do_POST(self):
        print(f"notice {self.body().decode().strip()}", flush=True)
        self.answer(204)


def main():
    for server in [Toy(CATALOG, Catalog)] + [Toy(address, Host) for address in HOSTS.values()]:
        threading.Thread(target=server.serve_forever, daemon=True).start()
    print(f"catalog and platform at {CATALOG[0]}:{CATALOG[1]}, hosts {', '.join(HOSTS)}", flush=True)
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
