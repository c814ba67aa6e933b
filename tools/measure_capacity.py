#!/usr/bin/env python3
"""Measures what running daemons cost at several sizes, with small stand-ins on loopback.

For each series it prints store calls, bytes on the loopback interface, processor time and memory of the
daemons by size, and a fitted line. Bytes cover the whole interface, so nothing else may use it meanwhile.
"""

import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
import urllib.request

from ports import reserve_ports

BUILD = pathlib.Path(os.environ.get("BUILD", "build")).resolve()
WARM_UP_S = 6
MEASURED_S = 8
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


class Fleet:
    """Programs of one measurement; stopped on exit."""

    def __init__(self):
        self.folder = tempfile.TemporaryDirectory(prefix="fulmarwind-capacity-")
        self.lock, ports = reserve_ports()
        self.ports = iter(ports)
        self.processes = []
        self.store = self.address()
        self.start("standin_store", {"store": {"address": self.store}})
        self.wait_for_store()
        self.post("compare_and_swap", {"key": "dcs/a", "expected": 0,
                                       "value": json.dumps({"state": "in", "changed_by": "x"})})

    def address(self):
        return f"127.0.0.1:{next(self.ports)}"

    def start(self, program, sections):
        file = pathlib.Path(self.folder.name) / f"{len(self.processes)}.ini"
        file.write_text("".join(
            f"[{section}]\n" + "".join(f"{k} = {v}\n" for k, v in keys.items())
            for section, keys in sections.items()))
        process = subprocess.Popen([BUILD / program, "--settings", file],
                                   stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        self.processes.append(process)
        return process

    def post(self, call, arguments):
        request = urllib.request.Request(f"http://{self.store}/store/{call}",
                                         data=json.dumps(arguments).encode())
        return urllib.request.urlopen(request, timeout=5).read()

    def wait_for_store(self):
        for _ in range(200):
            try:
                urllib.request.urlopen(f"http://{self.store}/", timeout=1).read()
                return
            except OSError:
                time.sleep(0.05)
        raise RuntimeError("the store stand-in did not start")

    def calls(self):
        return json.loads(urllib.request.urlopen(f"http://{self.store}/calls").read())["calls"]

    def scheduler(self, name):
        return self.start("fulmar_scheduler", {
            "host": {"name": name, "data_centre": "a"}, "store": {"address": self.store},
            "operator": {"address": self.address()}, "heartbeats": {"address": self.address()}})

    def gate(self, name):
        return self.start("fulmar_gate", {
            "host": {"name": name, "data_centre": "a", "region": "r"},
            "store": {"address": self.store}, "callers": {"address": self.address()},
            "operator": {"address": self.address()}})

    def admin(self, name):
        token = pathlib.Path(self.folder.name) / "token"
        token.write_text("demo-token\n")
        return self.start("fulmar_admin", {
            "host": {"name": name, "data_centre": "a"}, "store": {"address": self.store},
            "admin": {"address": self.address(), "token_file": token}})

    def worker(self, index):
        return self.start("standin_worker", {
            "worker": {"id": f"w{index}", "address": self.address(), "data_centre": "a",
                       "cell": "a-1", "rack": f"rack-{index % 3}"},
            "store": {"address": self.store}})

    def stop(self):
        for process in self.processes:
            process.send_signal(signal.SIGTERM)
        for process in self.processes:
            process.wait(timeout=60)
        self.lock.close()
        self.folder.cleanup()


def loopback_bytes():
    for line in open("/proc/net/dev", encoding="ascii"):
        name, _, rest = line.partition(":")
        if name.strip() == "lo":
            return int(rest.split()[0])
    return 0


def usage(process):
    """Returns processor seconds and resident bytes of a process."""
    fields = open(f"/proc/{process.pid}/stat", encoding="ascii").read().rsplit(")", 1)[1].split()
    resident = int(open(f"/proc/{process.pid}/statm", encoding="ascii").read().split()[1]) * PAGE
    return (int(fields[11]) + int(fields[12])) / TICKS, resident


def fit(points):
    n = len(points)
    sx, sy = sum(x for x, _ in points), sum(y for _, y in points)
    sxx, sxy = sum(x * x for x, _ in points), sum(x * y for x, y in points)
    slope = (n * sxy - sx * sy) / (n * sxx - sx * sx)
    base = (sy - slope * sx) / n
    return slope, base, max(abs(y - base - slope * x) for x, y in points)


def measure(size, build):
    fleet = Fleet()
    watched = build(fleet, size)
    time.sleep(WARM_UP_S)
    calls, wire, began = fleet.calls(), loopback_bytes(), time.monotonic()
    before = [usage(process) for process in watched]
    time.sleep(MEASURED_S)
    after = [usage(process) for process in watched]
    seconds = time.monotonic() - began
    figures = {
        "store calls/s": (fleet.calls() - calls) / seconds,
        "wire bytes/s": (loopback_bytes() - wire) / seconds,
        "processor %": sum(a[0] - b[0] for a, b in zip(after, before)) / seconds * 100,
        "resident MiB": sum(a[1] for a in after) / 2**20,
    }
    fleet.stop()
    return figures


def series(title, sizes, build):
    print(title, flush=True)
    rows = [(size, measure(size, build)) for size in sizes]
    for what in rows[0][1]:
        points = [(size, figures[what]) for size, figures in rows]
        slope, base, deviation = fit(points)
        shown = " ".join(f"{x}:{y:.4g}" for x, y in points)
        print(f"  {what:14} {shown}  slope {slope:.4g}  base {base:.4g}  largest deviation "
              f"{deviation:.3g}", flush=True)


def workers_of_one_scheduler(fleet, size):
    for index in range(size):
        fleet.worker(index)
    return [fleet.scheduler("s0")]


def main():
    series("one scheduler, by idle workers", (6, 12, 24), workers_of_one_scheduler)
    series("schedulers without workers", (1, 2, 4),
           lambda fleet, size: [fleet.scheduler(f"s{i}") for i in range(size)])
    series("gates without callers", (1, 2, 4),
           lambda fleet, size: [fleet.gate(f"g{i}") for i in range(size)])
    series("administration daemons without clients", (1, 2, 4),
           lambda fleet, size: [fleet.admin(f"a{i}") for i in range(size)])


if __name__ == "__main__":
    main()
