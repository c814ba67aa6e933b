"""The store, the workers and the hosts of a soak. Workers report to the checks what they see."""

import base64
import json
import re
import signal
import subprocess
import threading
import time

from faults import FaultyServer, PeerProxy, standins

BOUNDS = standins.BOUNDS


class Store(standins.Store):
    """Gives the hosts the ports of each other's proxies."""

    proxies = {}  # host -> address
    guarded = True

    def put(self, key, value, lease=0):
        if key == "op/config" and not self.guarded:
            value = value.replace('"enforcesCapacity": true', '"enforcesCapacity": false')
        super().put(key, value, lease)

    def transact(self, body):
        for row in body.get("writes") or []:
            if row["key"].startswith("meta/hosts/"):
                record = json.loads(base64.b64decode(row["value"]))
                record["address"] = self.proxies[record["name"]]
                row["value"] = base64.b64encode(json.dumps(record).encode()).decode()
        return super().transact(body)

    def kinds(self, _method, path, body):
        if path == "/api/kv-txn":
            stores_job = any(row["key"].startswith("ids/") for row in body.get("writes") or [])
            return ["store.submission", "store.txn"] if stores_job else ["store.txn"]
        names = {"kv-lease": "lease", "kv-keep": "keep", "kv-watch": "watch"}
        return ["store." + names.get(path.split("/")[2], "read")]


class Worker(standins.Worker):
    """One life of a worker, whose tasks do what `plan.make_spec` says. A worker that isn't guarded
    starts whatever it is told to start."""

    def __init__(self, play, place, port, server=None, register_after=0.0, age_s=0.0):
        self.play, self.place, self.port = play, place, port
        self.store, self.record, self.checks = play.store, play.record, play.checks
        self.name, zone, rack, cpu, self.rate = place
        self.lock = threading.Condition()
        self.born_at, self.born = time.monotonic() - age_s, int((time.time() - age_s) * 1000)
        self.fence = self.lease_until = self.last_end = 0
        self.running, self.ended, self.refused_below, self.crashed = {}, [], {}, False
        self.capacity = {"cpu": cpu, "memMb": 8000, "gpu": 0}
        self.leaves_connections, self.register_after = False, register_after
        self.server = server or FaultyServer(play, self, port, self.name)
        self.server.owner = self
        self.entry = {"service": play.SERVICE, "address": f"127.0.0.1:{port}", "zone": zone, "version": "1",
                      "slots": 8, "state": "ready", "coldRemainingMs": 0, "seqNo": 0,
                      "capacity": self.capacity, "labels": ["kind-a", rack], "born": self.born}
        for loop in (self.beat, self.work):
            threading.Thread(target=loop, daemon=True).start()

    def clock(self):
        return int((time.monotonic() - self.born_at) * 1000 * self.rate) + 1000

    def holds(self, key):
        """Returns whether a run is there now. When the lease ends, all runs end."""
        return not self.crashed and key in self.running and self.clock() < self.lease_until

    def beat(self):
        time.sleep(self.register_after)
        while not self.crashed:
            if time.monotonic() > self.server.isolated_until:
                self.entry["seqNo"] += 1
                self.store.put("servers/" + self.name, json.dumps(self.entry))
            time.sleep(standins.HEARTBEAT_S)

    def isolate(self, seconds):
        """Takes connections to the hosts and to the store away. What runs here runs on."""
        self.server.isolate(seconds)
        threading.Timer(3 * standins.HEARTBEAT_S, self.remove_entry).start()

    def crash(self, leaves_port=False):
        """The process ends. Its entry expires, unless its next life has written it. A port that it leaves
        stays open, as do the connections, for the next life."""
        with self.lock:
            self.leaves_connections, self.crashed = leaves_port, True
            self.running.clear()
            self.lock.notify_all()
        if not leaves_port:
            self.server.end()
        threading.Timer(3 * standins.HEARTBEAT_S, self.remove_entry).start()

    def remove_entry(self):
        with self.store.changed:
            item = self.store.items.get("servers/" + self.name)
            if item and json.loads(base64.b64decode(item["value"]))["born"] == self.born:
                self.store.delete("servers/" + self.name)

    def work(self):
        while not self.crashed:
            time.sleep(0.01)
            with self.lock:
                self.sweep()

    def sweep(self):
        """Ends what is over by now."""
        if lapsed := self.clock() >= self.lease_until:
            self.checks.on_lapse(self)
        for key, row in list(self.running.items()):
            if lapsed:
                self.end(key, "lapsed")
            elif row["stop_at"] and time.monotonic() >= row["stop_at"]:
                self.end(key, "stopped")
            elif not row["stop_at"] and row["done_at"] and time.monotonic() >= row["done_at"]:
                self.end(key, "done")

    def end(self, key, how):
        self.checks.on_end(self, self.last_end + 1, key[0], how)
        super().end(key, how)

    def kinds(self, _method, path, _body):
        return ["worker." + path.rsplit("/", 1)[1].removeprefix("run-")]

    def handle(self, request, method, path, query, body):
        with self.lock:
            if self.crashed:
                return None
            self.sweep()
            self.is_late = getattr(request, "is_late", False)
            reply = super().handle(request, method, path, query, body)
            if path == "/api/pace" and reply[0] == 200:
                self.running[body["task"], body["runId"]]["percent"] = body["percent"]
            if path != "/api/hold":
                reply[1].pop("born", None)  # only lists of runs tell it
            return reply

    def start(self, body, common):
        key = task, run = body["task"], body["runId"]
        if key in self.running:
            return 200, common
        if body.get("deadlineMs", 0) <= self.clock():
            return 409, dict(common, reason="late")
        self.extend(body["deadlineMs"])
        if run <= self.refused_below.get(task, 0):
            return 409, dict(common, reason="old")
        role, work_ms, cpu, memory = body["taskSpec"].split()[int(task.split(".")[2])].split(":")
        need = {"cpu": 0 if role == "fill" else int(cpu), "memMb": int(memory)}
        over = [name for name, amount in need.items()
                if sum(row[name] for row in self.running.values()) + amount > self.capacity[name]]
        if over and self.play.plan.guarded:
            return 409, dict(common, reason="room")
        began = time.monotonic()
        self.running[key] = dict(need, began=began, stop_at=None, role=role, percent=100, fails=False,
                                 done_at=None if role in ("serve", "last") else began + int(work_ms) / 1000)
        self.record.write(f"worker {self.name}: task {task} run {run} started, token {self.fence}")
        self.checks.on_start(self, key, body["taskSpec"], over)
        return 200, common

    def hold(self, body):
        # Rows of `ended` that the base is about to forget have been taken note of.
        for row in self.ended:
            if row[0] <= body.get("lastSeen", 0):
                self.checks.on_noted(self, *row[:3])
        status, reply = super().hold(body)
        # Fillers disturb the tasks that serve on the same worker, at the share that they work at.
        filling = sum(row["percent"] for row in self.running.values() if row["role"] == "fill")
        for row in reply["running"]:
            run = self.running.get((row[0], row[1]))
            if run and run["role"] == "serve":
                row[4] = 40 + filling
        return status, reply


class Host(standins.Host):
    """A process of the system behind its proxy."""

    def __init__(self, play, name, zone):
        # A port of its own at the store, so that the store can turn it away alone.
        self.store_port = FaultyServer(play, play.store, 0, "store@" + name, name)
        super().__init__(play.folder, play.record, name, zone, play.plan.zones,
                         self.store_port.server_address[1])
        self.daemon, self.faults = play.daemon, play.faults
        self.lock = threading.Lock()  # held by the one fault that this process has at a time
        self.meant_to_run = False
        with open(self.settings, encoding="utf-8") as text:
            target = re.search(r"\[peers\]\s+address = [\d.]+:(\d+)", text.read())
        self.proxy = PeerProxy(play, name, int(target[1]), play.ports.pop())
        play.store.proxies[name] = self.proxy.address

    def start(self):
        self.process = subprocess.Popen([self.daemon, "--settings", self.settings], stdout=self.log,
                                        stderr=self.log, stdin=subprocess.DEVNULL)
        self.meant_to_run = True
        self.record.write(f"host {self.name}: started")

    def suffer(self, what, seconds):
        """Kills, stops or suspends the process and starts or continues it after `seconds`."""
        if not self.lock.acquire(blocking=False):
            return
        self.faults.disturb(seconds)
        if what == "stop":
            self.signal(signal.SIGSTOP)
            time.sleep(seconds)
            self.signal(signal.SIGCONT)
        else:
            self.meant_to_run = False
            self.signal(signal.SIGKILL if what == "kill" else signal.SIGTERM)
            try:
                self.process.wait(BOUNDS["graceS"])
            except subprocess.TimeoutExpired:
                self.kill()
            time.sleep(seconds)
            self.start()
        self.faults.disturb()
        self.lock.release()
