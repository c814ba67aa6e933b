#!/usr/bin/env python3
"""Measures the resource use of running daemons at several sizes, with stand-ins on loopback.

For each series it prints store calls, bytes on the loopback interface, processor time and memory of the
daemons by size, and a fitted line. The bytes are those of the whole loopback interface, so no other program
may use it during a measurement.
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
    """The programs of one measurement; stop() ends them."""

    def __init__(self):
        self.folder = tempfile.TemporaryDirectory(prefix="fulmarwind-capacity-")
        self.lock, ports = reserve_ports()
        self.ports = iter(ports)
        self.processes = []
        self.store = self.address()
        self.start("standin_store", {"store": {"address": self.store}})
        self.wait_for_store()
        self.call_store("compare_and_swap", {"key": "dcs/a", "expected": 0,
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

    def call_store(self, call, arguments):
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

    def store_calls(self):
        """Returns the number of calls that the store stand-in has received."""
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
    """Returns the bytes received on the loopback interface since boot."""
    for line in open("/proc/net/dev", encoding="ascii"):
        name, _, rest = line.partition(":")
        if name.strip() == "lo":
            return int(rest.split()[0])
    return 0


def usage(process):
    """Returns the processor seconds and the resident bytes of a process."""
    fields = open(f"/proc/{process.pid}/stat", encoding="ascii").read().rsplit(")", 1)[1].split()
    resident = int(open(f"/proc/{process.pid}/statm", encoding="ascii").read().split()[1]) * PAGE
    return (int(fields[11]) + int(fields[12])) / TICKS, resident


def fit_line(points):
    """Fits a line by least squares; returns slope, intercept and the largest absolute deviation."""
    n = len(points)
    sx, sy = sum(x for x, _ in points), sum(y for _, y in points)
    sxx, sxy = sum(x * x for x, _ in points), sum(x * y for x, y in points)
    slope = (n * sxy - sx * sy) / (n * sxx - sx * sx)
    base = (sy - slope * sx) / n
    return slope, base, max(abs(y - base - slope * x) for x, y in points)


def measure(size, build):
    """Measures the daemons that build(fleet, size) starts and returns."""
    fleet = Fleet()
    daemons = build(fleet, size)
    time.sleep(WARM_UP_S)
    calls, received, started_at = fleet.store_calls(), loopback_bytes(), time.monotonic()
    before = [usage(process) for process in daemons]
    time.sleep(MEASURED_S)
    after = [usage(process) for process in daemons]
    seconds = time.monotonic() - started_at
    measurements = {
        "store calls/s": (fleet.store_calls() - calls) / seconds,
        "wire bytes/s": (loopback_bytes() - received) / seconds,
        "processor %": sum(a[0] - b[0] for a, b in zip(after, before)) / seconds * 100,
        "resident MiB": sum(a[1] for a in after) / 2**20,
    }
    fleet.stop()
    return measurements


def measure_series(title, sizes, build):
    """Measures all sizes and prints each quantity by size with its fitted line."""
    print(title, flush=True)
    rows = [(size, measure(size, build)) for size in sizes]
    for quantity in rows[0][1]:
        points = [(size, measurements[quantity]) for size, measurements in rows]
        slope, base, deviation = fit_line(points)
        shown = " ".join(f"{x}:{y:.4g}" for x, y in points)
        print(f"  {quantity:14} {shown}  slope {slope:.4g}  base {base:.4g}  largest deviation "
              f"{deviation:.3g}", flush=True)


def workers_of_one_scheduler(fleet, size):
    for index in range(size):
        fleet.worker(index)
    return [fleet.scheduler("s0")]


def main():
    measure_series("one scheduler, by idle workers", (6, 12, 24), workers_of_one_scheduler)
    measure_series("schedulers without workers", (1, 2, 4),
                   lambda fleet, size: [fleet.scheduler(f"s{i}") for i in range(size)])
    measure_series("gates without callers", (1, 2, 4),
                   lambda fleet, size: [fleet.gate(f"g{i}") for i in range(size)])
    measure_series("administration daemons without clients", (1, 2, 4),
                   lambda fleet, size: [fleet.admin(f"a{i}") for i in range(size)])


if __name__ == "__main__":
    main()
