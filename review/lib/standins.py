"""Stand-ins for the platform of a small deployment: its store, its workers, its clients, and links
that can be cut. They follow PROTOCOL.md and DEPLOY.md; all addresses are on the loopback network."""

import base64
import http.client
import json
import os
import re
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# The bounds of the site aglaa-despeje, from SYSTEM.md.
BOUNDS = {
    "contactMs": 4000, "ackMs": 5000, "drainMs": 2500, "graceS": 6, "configApplyMs": 2500,
    "maxHoldMs": 10000, "stopMs": 900, "gangWaitMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "finish_s": 14, "status_s": 120, "checkpointS": 2, "restoreMs": 600, "recoveryS": 12,
}
HEARTBEAT_S = 1.5  # heartbeatMs of the settings


class Record:
    """Lines with the time since the start of the case, for record.txt and for the check."""

    def __init__(self, path):
        self.lock = threading.Lock()
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def free_port_for_both():
    """Returns a port that is free for TCP and for UDP."""
    while True:
        port = free_port()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class JsonHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *_):
        pass

    def answer(self):
        if getattr(self.server.owner, "crashed", False):
            self.close_connection = True
            return
        length = int(self.headers.get("Content-Length") or 0)
        raw = self.rfile.read(length) if length else b""
        body = json.loads(raw) if raw else {}
        parts = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        if self.server.turned_away_until > time.monotonic():
            reply = 503, {}
        else:
            reply = self.server.owner.handle(self, self.command, parts.path, query, body)
        if reply is None:
            self.close_connection = True  # no answer
            return
        status, out = reply
        data = json.dumps(out).encode() if out is not None else b""
        try:
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)
            self.wfile.flush()
        except OSError:
            self.close_connection = True

    do_GET = do_POST = do_DELETE = answer


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, owner, port):
        self.owner = owner
        self.connections = []
        self.turned_away_until = 0.0  # all calls on this port get 503 until then
        super().__init__(("127.0.0.1", port), JsonHandler)
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def process_request(self, request, client_address):
        self.connections.append(request)
        super().process_request(request, client_address)

    def end(self):
        """Ends the server like the end of its process: its connections are reset."""
        self.shutdown()
        self.server_close()
        for connection in self.connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def handle_error(self, request, client_address):
        pass  # a peer that closes its connection isn't an error


class Store:
    """The platform's metadata store: a linearizable key-value store with leases and watches."""

    def __init__(self):
        self.changed = threading.Condition()
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 1
        threading.Thread(target=self.expire, daemon=True).start()

    def expire(self):
        while True:
            time.sleep(0.1)
            with self.changed:
                now = time.monotonic()
                for lease in [one for one, (_, until) in self.leases.items() if until < now]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        gone = [key for key, item in self.items.items() if item["lease"] == lease]
        if gone:
            self.revision += 1
            for key in gone:
                self.remove(key)
            self.changed.notify_all()

    def remove(self, key):
        if self.items.pop(key, None):
            self.history.append({"key": key, "revision": self.revision, "deleted": True})

    def put(self, key, value, lease=0):
        """Writes a key, as the operator and the workers do. The caller passes text."""
        with self.changed:
            self.revision += 1
            self.set(key, base64.b64encode(value.encode()).decode(), lease)
            self.changed.notify_all()

    def delete(self, key):
        with self.changed:
            if key in self.items:
                self.revision += 1
                self.remove(key)
                self.changed.notify_all()

    def set(self, key, value, lease):
        known = self.items.get(key)
        item = {"key": key, "value": value, "revision": self.revision,
                "created": known["created"] if known else self.revision, "lease": lease}
        self.items[key] = item
        self.history.append(item)

    def handle(self, _, method, path, query, body):
        if method == "GET" and path == "/api/kv-key":
            with self.changed:
                item = self.items.get(query["key"])
                return (200, dict(item, atRev=self.revision)) if item else (
                    404, {"atRev": self.revision})
        if method == "GET" and path == "/api/kv-range":
            with self.changed:
                keys = sorted(key for key in self.items
                              if key.startswith(query.get("prefix", ""))
                              and key > query.get("after", ""))
                return 200, {"items": [self.items[key] for key in keys[:500]],
                             "hasMore": len(keys) > 500, "atRev": self.revision}
        if method == "GET" and path == "/api/kv-watch":
            return self.watch(query)
        if method == "POST" and path == "/api/kv-txn":
            return self.transact(body)
        if method == "POST" and path == "/api/kv-lease":
            with self.changed:
                lease = self.next_lease
                self.next_lease += 1
                ttl = max(1000, body["ttlMs"])
                self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
                return 200, {"lease": lease, "ttlMs": ttl}
        keep = re.fullmatch(r"/api/kv-(keep|lease-end)/(\d+)", path)
        if keep:
            with self.changed:
                lease = int(keep[2])
                if lease not in self.leases:
                    return 404, {}
                if keep[1] == "keep":
                    ttl = self.leases[lease][0]
                    self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
                else:
                    self.end_lease(lease)
                return 200, {}
        return 404, {}

    def watch(self, query):
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        after = int(query["after"])
        with self.changed:
            while True:
                events = [event for event in self.history
                          if event["revision"] > after and event["key"].startswith(query["prefix"])]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "atRev": self.revision}
                self.changed.wait(left)

    def transact(self, body):
        conditions = body.get("precondition") or []
        writes = body.get("writes") or []
        deletes = body.get("deletes") or []
        if len(conditions) + len(writes) + len(deletes) > 32:
            return 400, {}
        for row in writes:
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
        with self.changed:
            current = [self.items.get(row["key"]) for row in conditions]
            if any((item["revision"] if item else 0) != row["revision"]
                   for item, row in zip(current, conditions)):
                return 412, {"items": [item or {"key": row["key"], "revision": 0}
                                       for item, row in zip(current, conditions)]}
            if any(row.get("lease") and row["lease"] not in self.leases for row in writes):
                return 404, {}
            self.revision += 1
            for row in writes:
                self.set(row["key"], row.get("value", ""), row.get("lease", 0))
            for key in deletes:
                self.remove(key)
            self.changed.notify_all()
            return 200, {"revision": self.revision}


class Worker:
    """A worker that guards its capacity. A task's payload tells how long it works, in milliseconds."""

    def __init__(self, store, record, name, service, zone, rack, cpu=4000, gpu=0, kind="kind-a"):
        self.store, self.record, self.name = store, record, name
        self.lock = threading.Condition()
        self.born_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.lease_until = 0
        self.running = {}  # (task, run) -> row
        self.ended = []
        self.last_end = 0
        self.refused_below = {}
        self.failing = False  # all runs that start meanwhile end `failed`
        self.crashed = False
        self.capacity = {"cpu": cpu, "memMb": 16000, "gpu": gpu}
        self.server = Server(self, 0)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        self.entry = {"service": service, "address": self.address, "zone": zone, "version": "1",
                      "slots": 8, "state": "ready", "coldRemainingMs": 0, "seqNo": 0,
                      "capacity": self.capacity, "labels": [kind, rack], "born": self.born}
        threading.Thread(target=self.beat, daemon=True).start()
        threading.Thread(target=self.work, daemon=True).start()

    def clock(self):
        return int((time.monotonic() - self.born_at) * 1000) + 1000

    def crash(self):
        """The process ends for good. The platform removes its entry after three heartbeats."""
        with self.lock:
            self.crashed = True
            self.record.write(f"worker {self.name}: crashes with "
                              f"{sorted(key[0] for key in self.running)}")
            self.running.clear()
        threading.Thread(target=self.server.end, daemon=True).start()
        threading.Timer(3 * HEARTBEAT_S, self.store.delete, ("servers/" + self.name,)).start()

    def beat(self):
        while not self.crashed:
            self.entry["seqNo"] += 1
            self.store.put("servers/" + self.name, json.dumps(self.entry))
            time.sleep(HEARTBEAT_S)

    def end(self, key, how):
        row = self.running.pop(key)
        self.last_end += 1
        self.ended.append([self.last_end, key[0], key[1], how, ""])
        task = key[0]
        self.refused_below[task] = max(self.refused_below.get(task, 0), key[1])
        self.record.write(f"worker {self.name}: task {task} run {key[1]} ended {how} after "
                          f"{time.monotonic() - row['began']:.3f} s")
        self.lock.notify_all()

    def work(self):
        while True:
            time.sleep(0.01)
            with self.lock:
                now = time.monotonic()
                for key, row in list(self.running.items()):
                    if self.clock() >= self.lease_until:
                        self.end(key, "lapsed")
                    elif row["stop_at"] and now >= row["stop_at"]:
                        self.end(key, "stopped")
                    elif not row["stop_at"] and now >= row["done_at"]:
                        self.end(key, "failed" if row["fails"] else "done")

    def extend(self, deadline):
        if deadline:
            limit = self.clock() + BOUNDS["maxHoldMs"]
            self.lease_until = max(self.lease_until, min(deadline, limit))

    def handle(self, request, _method, path, _query, body):
        with self.lock:
            if request.headers.get("X-Fulmarwind-Target-Instance", self.name) != self.name:
                return 421, {}
            common = {"clockMs": self.clock(), "born": self.born}
            if body.get("fencingToken", 0) < self.fence:
                return 409, dict(common, reason="fence")
            self.fence = body.get("fencingToken", 0)
            if path == "/api/run-start":
                return self.start(body, common)
            if path == "/api/run-stop":
                return self.stop(body, common)
            if path == "/api/pace":
                return (200, common) if (body["task"], body["runId"]) in self.running else (
                    409, dict(common, reason="old"))
            if path == "/api/hold":
                return self.hold(body)
        return 404, {}

    def start(self, body, common):
        key = (body["task"], body["runId"])
        if key in self.running:
            return 200, common
        if body.get("deadlineMs", 0) <= self.clock():
            return 409, dict(common, reason="late")
        self.extend(body.get("deadlineMs"))
        if body["runId"] <= self.refused_below.get(body["task"], 0):
            return 409, dict(common, reason="old")
        # A client's payload is "NAME WORK_MS CPU GPU".
        work_ms, cpu, gpu = (int(word) for word in body["taskSpec"].split()[1:])
        if any(sum(row[name] for row in self.running.values()) + need > self.capacity[name]
               for name, need in (("cpu", cpu), ("gpu", gpu))):
            return 409, dict(common, reason="room")
        began = time.monotonic()
        self.running[key] = {"began": began, "done_at": began + work_ms / 1000, "stop_at": None,
                             "cpu": cpu, "gpu": gpu, "fails": self.failing}
        self.record.write(f"worker {self.name}: task {key[0]} run {key[1]} started, token "
                          f"{body.get('fencingToken', 0)}")
        return 200, common

    def stop(self, body, common):
        task, run = body["task"], body["runId"]
        self.refused_below[task] = max(self.refused_below.get(task, 0), run)
        row = self.running.get((task, run))
        if row and not row["stop_at"]:
            row["stop_at"] = time.monotonic() + 0.05
            self.record.write(f"worker {self.name}: task {task} run {run} is told to stop")
        return 200, common

    def hold(self, body):
        self.extend(body.get("deadlineMs"))
        seen = body.get("lastSeen", 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        until = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            self.lock.wait(until - time.monotonic())
        return 200, {"clockMs": self.clock(), "born": self.born,
                     "running": [[key[0], key[1], "", 100, row["cpu"]]
                                 for key, row in self.running.items()],
                     "ended": self.ended[:500]}

    def tasks_of(self, job):
        with self.lock:
            return sorted(key for key in self.running if key[0].startswith(job + "."))


class Link:
    """A TCP link to a server. While it is cut, bytes are held up in both directions, as by a
    partition, and arrive afterwards."""

    def __init__(self, port, on_request=None):
        self.target = port
        self.on_request = on_request
        self.open = threading.Event()
        self.open.set()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def cut(self, seconds):
        self.open.clear()
        threading.Timer(seconds, self.open.set).start()

    def accept(self):
        while True:
            client, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(client,), daemon=True).start()

    def serve(self, client):
        self.open.wait()
        try:
            server = socket.create_connection(("127.0.0.1", self.target))
        except OSError:
            client.close()
            return
        for end in (client, server):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self.pump, args=(server, client, False), daemon=True).start()
        self.pump(client, server, True)

    def pump(self, source, target, from_client):
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    break
                self.open.wait()
                if from_client and self.on_request:
                    # The request passes; a cut that begins here holds up its answer.
                    self.on_request(self, data)
                    target.sendall(data)
                    continue
                target.sendall(data)
        except OSError:
            pass
        for end in (source, target):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def render_settings(fields):
    """Fills in the template of the deploy file, as far as it uses the template language."""
    text = open(os.path.join(ROOT, "deploy", "settings.ini"), encoding="utf-8").read()

    def section(found):
        table = lookup(found[1])
        return "".join(found[2].replace("{{@}}", key).replace("{{.}}", value)
                       for key, value in table.items())

    def lookup(path):
        value = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    text = re.sub(r"\{\{#(\w+)\}\}\n(.*?)\{\{/\1\}\}\n", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda found: str(lookup(found[1])), text)


class Host:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, folder, record, name, zone, zones, store_port):
        self.record, self.name = record, name
        self.frontend, self.ready_port = free_port(), free_port()
        fields = {
            "nodeName": name, "zone": zone, "region": zones[zone], "zones": zones, "ip": "127.0.0.1",
            "internalPorts": [free_port_for_both(), free_port()],
            "bindAddrs": {"frontendAddr": f"127.0.0.1:{self.frontend}",
                          "ready": f"127.0.0.1:{self.ready_port}"},
            "limits": {"cpuShare": 0.1}, "bounds": BOUNDS,
            "platform": {"address": f"127.0.0.1:{store_port}"},
        }
        self.settings = os.path.join(folder, name + ".ini")
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(render_settings(fields))
        self.log = open(os.path.join(folder, name + ".log"), "ab")
        self.process = None

    def start(self):
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target", "fulmarwind"), "--settings", self.settings], cwd=ROOT,
            stdout=self.log, stderr=self.log, stdin=subprocess.DEVNULL)
        self.record.write(f"host {self.name}: started")

    def signal(self, number):
        self.record.write(f"host {self.name}: gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection("127.0.0.1", self.ready_port, timeout=1)
            connection.request("GET", "/api/ready")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except OSError:
            return False


class Deployment:
    """A small deployment. Ends all processes that it started when it is left."""

    ROUTE, SERVICE, DOMAIN = "/titulos/", "mesa", "despeje.example"

    def __init__(self, case_folder):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.hosts, self.links, self.ports, self.workers = {}, {}, {}, {}
        self.version = 0

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for host in self.hosts.values():
            if host.process and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
            host.log.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def write_config(self):
        self.version += 7
        self.store.put("op/config", json.dumps({
            "version": self.version,
            "routes": [{"name": "titulos", "host": self.DOMAIN, "prefix": self.ROUTE,
                        "service": self.SERVICE, "priority": 0, "maxAttempts": 4,
                        "stretchFactor": 2.0, "latencySloMs": 1000, "timeoutMs": 3000}],
            "services": [{"name": self.SERVICE, "enforcesCapacity": True}],
            "limits": {"maxBodyBytes": 262144}}))

    def add_host(self, name, zone, zones, on_request=None):
        # Each host has a port of its own at the store, so that the store can turn one host away.
        port = self.ports[name] = Server(self.store, 0)
        link = self.links[name] = Link(port.server_address[1], on_request)
        self.hosts[name] = Host(self.folder, self.record, name, zone, zones, link.port)
        self.hosts[name].start()

    def add_worker(self, name, zone, rack, **options):
        self.workers[name] = Worker(self.store, self.record, name, self.SERVICE, zone, rack,
                                    **options)

    def call(self, host, method, job="", body=None, timeout=3.0):
        """One request of a client. Returns the status, or None without an answer, and the body."""
        self.record.write(f"client: {method} {job or 'queue'} to {host}")
        try:
            connection = http.client.HTTPConnection("127.0.0.1", self.hosts[host].frontend,
                                                    timeout=timeout)
            connection.request(method, self.ROUTE + job, json.dumps(body) if body else None,
                               {"Host": self.DOMAIN, "Content-Type": "application/json",
                                "X-Fulmarwind-Request-Deadline": str(int(timeout * 1000))})
            response = connection.getresponse()
            data = response.read()
            connection.close()
            self.record.write(f"client: {method} {job or 'queue'} to {host} answered "
                              f"{response.status} {data.decode(errors='replace')}")
            return response.status, json.loads(data) if data else {}
        except (OSError, http.client.HTTPException, ValueError) as failure:
            self.record.write(f"client: {method} {job or 'queue'} to {host} unanswered: {failure!r}")
            return None, {}

    def wait_for(self, condition, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if condition():
                return True
            time.sleep(0.02)
        return False

    def owners(self):
        """Returns the shards with their owners, as the claims in the store name them."""
        with self.store.changed:
            return {key.rsplit("/", 1)[1]:
                    json.loads(base64.b64decode(item["value"]))["owner"].split("/")[0]
                    for key, item in self.store.items.items() if key.startswith("meta/claims/")}

    def wait_until_up(self, shards, seconds=20):
        """Waits until all hosts are ready and own the given number of shards between them."""
        return self.wait_for(lambda: all(host.is_ready() for host in self.hosts.values()) and
                             len(self.owners()) >= shards, seconds)


def run_case(case):
    """Runs a case: 1 if it returns False (the rule was broken), 0 if True, 2 if it couldn't run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))

    def stop(*_):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, stop)  # of run.sh, when the time is over
    try:
        with Deployment(folder) as deployment:
            kept = case(deployment)
            verdict = {True: "the rule held", False: "the rule was broken",
                       None: "the case could not run"}[kept]
            deployment.record.write("verdict: " + verdict)
            print(verdict)
    except Exception as failure:  # noqa: BLE001
        print(f"the case could not run: {failure!r}")
        raise SystemExit(2) from failure
    raise SystemExit({True: 0, False: 1, None: 2}[kept])
