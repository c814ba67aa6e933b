"""Stand-ins for the platform of a small deployment, and the daemons beside them.

One asyncio loop serves the platform's store, the workers and the clients on loopback addresses; the
daemons are the project's own processes, started with the command and the settings template of the
deploy file. Each stand-in does what the users' pages say of it, and records what it sees.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

# Figures of the sheet of sekar-jepara.
BOUNDS = {
    "drainMs": 2500, "graceS": 6, "maxHoldMs": 6000, "stopMs": 400, "gangWaitMs": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "ackMs": 5000, "contactMs": 4000, "configApplyMs": 2500, "evacuateMs": 5000,
}
HEARTBEAT_MS = 1500
HISTORY_S = 20


def now_ms():
    return time.monotonic() * 1000


def unix_ms():
    return int(time.time() * 1000)


# ---------------------------------------------------------------------------- record


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")
        self.file.flush()


# ---------------------------------------------------------------------------- HTTP


class Drop(Exception):
    """Raised by a handler to close the connection without a response."""


async def read_message(reader):
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        row = await reader.readline()
        if row in (b"\r\n", b"\n"):
            break
        if not row:
            return None
        name, _, value = row.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += part[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return line.decode("latin-1").strip(), headers, body


REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 503: "Service Unavailable"}


class Server:
    """An HTTP/1.1 server; `handler` is a coroutine (method, path, query, headers, body) ->
    (status, object)."""

    def __init__(self, host, port, handler):
        self.host, self.port, self.handler = host, port, handler
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, backlog=512,
                                                 reuse_address=True)

    async def stop(self, reset=True):
        """Ends the process that serves: the port is closed, open connections are reset."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            if reset:
                sock = writer.get_extra_info("socket")
                if sock is not None:
                    try:
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                        b"\x01\x00\x00\x00\x00\x00\x00\x00")
                    except OSError:
                        pass
            writer.transport.abort()
        self.writers.clear()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
                status, out = await self.handler(method, unquote(url.path), query, headers, body)
                text = json.dumps(out).encode() if out is not None else b""
                writer.write(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                             f"Content-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (Drop, ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            try:
                writer.transport.abort()
            except RuntimeError:
                pass


async def http_call(host, port, method, path, headers=None, body=b"", timeout=3.0):
    """Sends one request on a connection of its own. Returns (status, object), or (None, reason)
    after no response."""

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            sent = {"Host": f"{host}:{port}", "Content-Length": str(len(body)),
                    "Content-Type": "application/json", "Connection": "close"}
            sent.update(headers or {})
            lines += [f"{k}: {v}" for k, v in sent.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None, "closed"
            status = int(message[0].split(" ")[1])
            try:
                return status, json.loads(message[2]) if message[2] else None
            except ValueError:
                return status, None
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, "timeout"
    except (ConnectionError, OSError, asyncio.IncompleteReadError) as failure:
        return None, type(failure).__name__


# ---------------------------------------------------------------------------- the store


class Store:
    """The platform's metadata store."""

    PAGE_ITEMS = 500
    PAGE_BYTES = 1 << 20

    def __init__(self, host, port):
        self.server = Server(host, port, self.handle)
        self.address = f"{host}:{port}"
        self.items = {}
        self.revision = 100
        self.events = []  # (time, event)
        self.discarded = 100
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Condition()
        # A hook of a case: coroutine (method, path, headers, body) that may delay a call, raise
        # Drop, or return a (status, object) in its place. None: serves normally.
        self.before = None

    async def start(self):
        await self.server.start()
        asyncio.ensure_future(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            ended = [lease for lease, row in self.leases.items() if row["until"] <= now]
            for lease in ended:
                await self.end_lease(lease)
            while self.events and self.events[0][0] < now - HISTORY_S:
                self.discarded = self.events.pop(0)[1]["revision"]

    async def end_lease(self, lease):
        del self.leases[lease]
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            await self.apply([], keys)

    async def apply(self, writes, deletes):
        self.revision += 1
        revision = self.revision
        for key, value, lease in writes:
            old = self.items.get(key)
            item = {"key": key, "value": value, "revision": revision,
                    "created": old["created"] if old else revision, "lease": lease}
            self.items[key] = item
            self.events.append((time.monotonic(), dict(item)))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.events.append((time.monotonic(),
                                    {"key": key, "revision": revision, "deleted": True}))
        async with self.changed:
            self.changed.notify_all()
        return revision

    async def put(self, key, value):
        """Writes a value as the operator or a worker does."""
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        await self.apply([(key, base64.b64encode(text).decode(), 0)], [])

    async def delete(self, key):
        if key in self.items:
            await self.apply([], [key])

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    async def handle(self, method, path, query, headers, body):
        if self.before is not None:
            answer = await self.before(method, path, headers, body)
            if answer is not None:
                return answer
        if path == "/api/kv-key" and method == "GET":
            item = self.items.get(query.get("key", ""))
            return (404, {"atRev": self.revision}) if item is None else \
                (200, dict(item, atRev=self.revision))
        if path == "/api/kv-range" and method == "GET":
            return 200, self.page(query.get("prefix", ""), query.get("after", ""))
        if path == "/api/kv-watch" and method == "GET":
            return await self.watch(query.get("prefix", ""), int(query.get("after", "0")),
                                    int(query.get("waitMs", "0")))
        if path == "/api/kv-txn" and method == "POST":
            return await self.transaction(json.loads(body))
        if path == "/api/kv-lease" and method == "POST":
            ttl = min(max(int(json.loads(body)["ttlMs"]), 1000), 600000)
            lease = self.next_lease
            self.next_lease += 1
            self.leases[lease] = {"ttl": ttl, "until": time.monotonic() + ttl / 1000}
            return 200, {"lease": lease, "ttlMs": ttl}
        if path.startswith("/api/kv-keep/") and method == "POST":
            row = self.leases.get(int(path.rsplit("/", 1)[1]))
            if row is None:
                return 404, None
            row["until"] = time.monotonic() + row["ttl"] / 1000
            return 200, {"ttlMs": row["ttl"]}
        if path.startswith("/api/kv-lease-end/") and method == "DELETE":
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, None
            await self.end_lease(lease)
            return 200, {}
        return 400, None

    def page(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items, size = [], 0
        for key in keys:
            item = self.items[key]
            size += len(key) + len(item["value"]) + 80
            if len(items) >= self.PAGE_ITEMS or (items and size > self.PAGE_BYTES):
                break
            items.append(item)
        return {"items": items, "hasMore": len(items) < len(keys), "atRev": self.revision}

    async def watch(self, prefix, after, wait):
        until = time.monotonic() + wait / 1000
        async with self.changed:
            while True:
                if after < self.discarded:
                    return 410, {"atRev": self.revision}
                found = [e for _, e in self.events
                         if e["revision"] > after and e["key"].startswith(prefix)]
                left = until - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "atRev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transaction(self, call):
        rows = call.get("precondition", [])
        writes = call.get("writes", [])
        deletes = call.get("deletes", [])
        if len(rows) + len(writes) + len(deletes) > 32:
            return 400, None
        touched = [w["key"] for w in writes] + list(deletes)
        if any(k.startswith("op/") or k.startswith("servers/") for k in touched):
            return 403, None
        for row in rows:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                present = [self.items.get(r["key"], {"key": r["key"], "revision": 0})
                           for r in rows]
                return 412, {"items": present, "atRev": self.revision}
        for write in writes:
            if write.get("lease", 0) and write["lease"] not in self.leases:
                return 404, None
        revision = await self.apply([(w["key"], w["value"], w.get("lease", 0)) for w in writes],
                                    deletes)
        return 200, {"revision": revision}


# ---------------------------------------------------------------------------- the workers


class Worker:
    """A worker. A task's specification is a JSON object: `ms` is how long it works (or a list with
    one for each step), `fails` how many of its first runs fail; a task that lasts works until it is
    stopped."""

    def __init__(self, world, ident, host, port, zone, rack, service, capacity, kind="a"):
        self.world, self.id, self.zone, self.rack = world, ident, zone, rack
        self.service, self.capacity, self.kind = service, capacity, kind
        self.host, self.port = host, port
        self.server = Server(host, port, self.handle)
        self.state = "ready"
        self.remaining = 0
        self.up = False
        # A hook of a case, as that of the store.
        self.before = None
        self.guards = True

    async def start(self):
        """Begins a life: the worker knows nothing of an earlier one."""
        self.born = unix_ms()
        self.begun = time.monotonic()
        self.token = 0
        self.deadline = 0
        self.runs = {}  # task -> row
        self.highest = {}  # task -> highest run that was stopped or has ended
        self.ends = []
        self.next_end = 1
        self.seen = 0
        self.seq = 0
        self.condition = asyncio.Condition()
        self.up = True
        await self.server.start()
        self.jobs = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.work())]

    async def crash(self, silent=False):
        self.up = False
        for job in self.jobs:
            job.cancel()
        await self.server.stop()
        self.world.record.write(f"worker {self.id} crashed, was running "
                                f"{sorted((t, r['run']) for t, r in self.runs.items())}")

    def clock(self):
        return int((time.monotonic() - self.begun) * 1000) + 1000

    async def beat(self):
        while True:
            await self.publish()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def publish(self):
        self.seq += 1
        entry = {"service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone,
                 "version": "1", "slots": 8, "state": self.state, "coldRemainingMs": 0,
                 "seqNo": self.seq, "capacity": self.capacity, "labels": [self.kind, self.rack],
                 "born": self.born}
        if self.state == "draining":
            entry["remainingMs"] = self.remaining
        await self.world.store.put(f"servers/{self.id}", entry)

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            now = self.clock()
            if self.runs and now >= self.deadline:
                for task in list(self.runs):
                    await self.end(task, "lapsed")
            for task, row in list(self.runs.items()):
                if row["stop_at"] is not None and now >= row["stop_at"]:
                    await self.end(task, "stopped")
                elif row["end_at"] is not None and now >= row["end_at"]:
                    await self.end(task, row["how"])

    async def end(self, task, how):
        row = self.runs.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), row["run"])
        self.ends.append([self.next_end, task, row["run"], how, ""])
        self.next_end += 1
        self.world.on_run_end(self, task, row["run"], how)
        async with self.condition:
            self.condition.notify_all()

    def used(self):
        total = {"cpu": 0, "memMb": 0, "gpu": 0}
        for task in self.runs:
            need = self.world.need_of(task)
            for name in total:
                total[name] += need.get(name, 0)
        return total

    def has_room(self, task):
        used, need = self.used(), self.world.need_of(task)
        return all(used[n] + need.get(n, 0) <= self.capacity.get(n, 0) for n in used)

    async def handle(self, method, path, query, headers, body):
        if not self.up:
            raise Drop()
        if headers.get("x-fulmarwind-target-instance", self.id) != self.id:
            return 421, {"clockMs": self.clock()}
        if self.before is not None:
            answer = await self.before(method, path, headers, body)
            if answer is not None:
                return answer
        answer = await self.carry_out(path, json.loads(body))
        if self.before is not None:  # since this call arrived
            return await self.before(method, path, headers, body) or answer
        return answer

    def answer(self, status, **fields):
        return status, dict(clockMs=self.clock(), born=self.born, **fields)

    async def carry_out(self, path, call):
        token = call.get("fencingToken", 0)
        if token < self.token:
            return self.answer(409, reason="fence")
        self.token = token
        if path == "/api/hold":
            return await self.hold(call)
        if path == "/api/run-start":
            return await self.run_start(call)
        if path == "/api/run-stop":
            task, run = call["task"], call["runId"]
            row = self.runs.get(task)
            if row is not None and row["run"] == run:
                if row["stop_at"] is None:
                    row["stop_at"] = self.clock() + BOUNDS["stopMs"] // 4
                    self.world.on_stop(self, task, run)
            else:
                self.highest[task] = max(self.highest.get(task, 0), run)
            return self.answer(200)
        if path == "/api/pace":
            return self.answer(200)
        return 400, None

    def take_lease(self, until):
        self.deadline = max(self.deadline, min(until, self.clock() + BOUNDS["maxHoldMs"]))

    async def run_start(self, call):
        task, run = call["task"], call["runId"]
        if call["deadlineMs"] <= self.clock():
            return self.answer(409, reason="late")
        row = self.runs.get(task)
        if row is not None and row["run"] == run:
            self.take_lease(call["deadlineMs"])
            return self.answer(200)
        highest = max(self.highest.get(task, 0), row["run"] if row else 0)
        if run <= highest:
            self.take_lease(call["deadlineMs"])
            return self.answer(409, reason="old")
        if row is not None or (self.guards and not self.has_room(task)):
            self.take_lease(call["deadlineMs"])
            return self.answer(409, reason="room")
        self.take_lease(call["deadlineMs"])
        spec = json.loads(call["taskSpec"])
        lasts = spec.get("lasts", False)
        ms = spec.get("ms", 0)
        if isinstance(ms, list):  # one for each step
            ms = ms[int(task.split(".")[2])]
        failing = run_count(self.world, task) < spec.get("fails", 0)
        self.runs[task] = {"run": run, "stop_at": None, "started": self.clock(),
                           "end_at": None if lasts else self.clock() + ms,
                           "ms": ms, "how": "failed" if failing else "done"}
        self.world.on_run_start(self, task, run, call)
        return self.answer(200)

    def measure(self, task):
        return self.world.need_of(task).get("cpu", 0)

    async def hold(self, call):
        if "deadlineMs" in call:
            self.take_lease(call["deadlineMs"])
        seen = call.get("lastSeen", 0)
        if seen > self.seen:
            self.seen = seen
            for end in self.ends:
                if end[0] <= seen:
                    self.world.on_end_noted(self, end)
        self.ends = [e for e in self.ends if e[0] > seen]
        until = time.monotonic() + min(call.get("waitMs", 0), 2000) / 1000
        while not self.ends and time.monotonic() < until:
            async with self.condition:
                try:
                    await asyncio.wait_for(self.condition.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    pass
        now = self.clock()
        running = []
        for task, row in self.runs.items():
            percent = 100 if row["end_at"] is None else \
                min(99, int(100 * (now - row["started"]) / max(1, row["ms"])))
            running.append([task, row["run"], "", percent, self.measure(task)])
        return self.answer(200, running=running, ended=self.ends[:500])


def run_count(world, task):
    return len([s for s in world.starts if s["task"] == task])


# ---------------------------------------------------------------------------- daemons


def render(template, fields):
    """Fills in a settings template as the platform does; the parts that ours uses."""

    def lookup(name, scopes):
        for scope in scopes:
            value = scope
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def section(match):
        rows = lookup(match.group(1), [fields])
        out = ""
        for key, value in (rows or {}).items():
            text = match.group(2).lstrip("\n")
            out += text.replace("{{@}}", key).replace("{{.}}", str(value))
        return out

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)

    def value_of(match):
        value = lookup(match.group(1), [fields])
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", value_of, text)


class Daemon:
    def __init__(self, world, name, ip, zone):
        self.world, self.name, self.ip, self.zone = world, name, ip, zone
        self.process = None
        self.port = world.ports["frontendAddr"]

    def settings(self):
        ports = self.world.ports
        return {
            "nodeName": self.name, "zone": self.zone, "region": self.world.zones[self.zone],
            "ip": self.ip, "internalPorts": ports["internalPorts"], "zones": self.world.zones,
            "bindAddrs": {n: f"{self.ip}:{ports[n]}" for n in ("frontendAddr", "ready", "control")},
            "limits": {"cpuShare": 0.25}, "platform": {"address": self.world.store.address},
            "bounds": BOUNDS,
        }

    def start(self):
        path = os.path.join(self.world.folder, self.name + ".ini")
        with open(os.path.join(ROOT, "deploy", "settings.ini"), encoding="utf-8") as template:
            text = render(template.read(), self.settings())
        with open(path, "w", encoding="utf-8") as out:
            out.write(text)
        self.log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        import subprocess
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target", "fulmarwind"), "--settings", path], cwd=ROOT,
            stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.world.record.write(f"host {self.name} started")

    def signal(self, number):
        self.process.send_signal(number)
        self.world.record.write(f"host {self.name} got {signal.Signals(number).name}")

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
            self.world.record.write(f"host {self.name} killed")

    async def ready(self):
        status, _ = await http_call(self.ip, self.world.ports["ready"], "GET", "/api/ready",
                                    timeout=1.0)
        return status == 200


class World:
    """A deployment: the store, workers and daemons, and what the clients sent."""

    def __init__(self, record, seed=1):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="fulmar-review-")
        self.net = f"127.{80 + os.getpid() % 100}.{(os.getpid() // 100) % 200}"
        self.ports = {"frontendAddr": 8161, "ready": 8167, "control": 8166,
                      "internalPorts": [7720, 7735]}
        self.zones = {"jepara-a": "jateng", "kudus-b": "jateng", "gresik-a": "jatim"}
        self.store = Store(self.net + ".250", 8169)
        self.workers = {}
        self.daemons = []
        self.jobs = {}
        self.starts = []
        self.ended = []
        self.config = None

    # What the workers see.

    def need_of(self, task):
        job, _, step, _ = task.split(".")
        body = self.jobs.get(job)
        return body["steps"][int(step)] if body else {}

    def on_run_start(self, worker, task, run, call):
        self.starts.append({"task": task, "run": run, "worker": worker.id, "at": time.monotonic(),
                            "born": worker.born})
        self.record.write(f"start {task} run {run} on {worker.id} token {call['fencingToken']}")

    def on_run_end(self, worker, task, run, how):
        self.ended.append({"task": task, "run": run, "worker": worker.id, "how": how,
                           "at": time.monotonic()})
        self.record.write(f"end {task} run {run} on {worker.id}: {how}")

    def on_stop(self, worker, task, run):
        self.record.write(f"stop {task} run {run} on {worker.id}")

    def on_end_noted(self, worker, end):
        self.record.write(f"end noted {end[1]} run {end[2]} on {worker.id}: {end[3]}")

    # Set-up.

    async def set_config(self, config):
        self.config = config
        await self.store.put("op/config", config)

    async def begin(self, hosts, workers, config, wait=20.0):
        await self.store.start()
        await self.set_config(config)
        for worker in workers:
            self.workers[worker.id] = worker
            await worker.start()
        for daemon in hosts:
            self.daemons.append(daemon)
            daemon.start()
        until = time.monotonic() + wait
        while time.monotonic() < until:
            if all([await d.ready() for d in self.daemons]):
                break
            await asyncio.sleep(0.2)
        else:
            raise RuntimeError("the hosts did not become ready")

    def end(self, keep_logs=False):
        for daemon in self.daemons:
            daemon.kill()
        if keep_logs or os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Clients.

    async def call(self, daemon, method, path, host, body=b"", deadline=3000):
        status, out = await http_call(
            daemon.ip, daemon.port, method, path,
            {"Host": host, "X-Fulmarwind-Request-Deadline": str(deadline)}, body, deadline / 1000)
        self.record.write(f"{method} {path} at {daemon.name}: {status} {json.dumps(out)}")
        return status, out

    async def submit(self, daemon, queue, job, body, deadline=3000):
        self.jobs.setdefault(job, body)
        return await self.call(daemon, "POST", queue["prefix"] + job, queue["host"],
                               json.dumps(body).encode(), deadline)

    async def submit_until_accepted(self, queue, job, body, first=0, attempts=6):
        """Hands a job in as a client does: again, at another host, until it is accepted."""
        for attempt in range(attempts):
            daemon = self.daemons[(first + attempt) % len(self.daemons)]
            status, _ = await self.submit(daemon, queue, job, body)
            if status is not None and 200 <= status < 300:
                return True
            await asyncio.sleep(0.5)
        return False


def make_queue(name, prefix, service, host="nony24.example", priority=0, attempts=2):
    return {"name": name, "host": host, "prefix": prefix, "service": service, "priority": priority,
            "maxAttempts": attempts, "stretchFactor": 1.5, "latencySloMs": 400, "timeoutMs": 3000}


def make_config(version, queues, services, guards=True):
    return {"version": version, "routes": queues,
            "services": [{"name": s, "enforcesCapacity": guards} for s in services],
            "limits": {"maxBodyBytes": 262144}}


def job_id(number):
    return f"{0x5C0E7A2100000000 + number:016x}"


def run_case(case, folder, trouble, limit=110):
    """Runs a case: a coroutine (world, trouble) -> list of breaches. Exits with 1 if there are any, with
    0 if not, and with 2 if the case couldn't run."""
    record = Record(os.path.join(folder, "record.txt"))
    world = World(record)

    async def bounded():
        return await asyncio.wait_for(case(world, trouble), limit)

    code = 2
    loop = asyncio.new_event_loop()
    try:
        breaches = loop.run_until_complete(bounded())
        for line in breaches:
            record.write(f"BROKEN {line}")
            print("BROKEN", line)
        code = 1 if breaches else 0
        record.write(f"result: {'broken' if breaches else 'held'}, trouble={int(trouble)}")
        print("broken" if breaches else "held")
    except Exception as failure:  # the case couldn't run
        record.write(f"could not run: {type(failure).__name__}: {failure}")
        print("could not run:", type(failure).__name__, failure, file=sys.stderr)
    finally:
        world.end()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)  # the stand-ins that still serve end with the process
