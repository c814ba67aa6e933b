#!/usr/bin/env python3
"""Measures the gate on loopback: added latency, requests per core, memory per connection, and tail
latency with a slow and with a killed endpoint at 1x, 2x and 3x load. Starts its own processes on free
ports and stops them."""

import argparse
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

from ports import reserve_ports

SERVICE = "load"
ENDPOINTS = 10
GATES = 2
# 10 endpoints with 4 slots and 20 ms per request serve 2,000 requests/s; 1x is a quarter of that.
SLOTS = 4
SERVICE_MS = 20
SLOW_MS = 200
BASE_RATE = 500
IDLE_CONNECTIONS = 500


class Installation:
    """A store, endpoints and gates; close() stops them."""

    def __init__(self, build, gate_settings, service_ms=0, kind="fixed", slow_ms=None, slots=SLOTS):
        self.build = pathlib.Path(build)
        self.directory = tempfile.TemporaryDirectory()
        self.processes = {}
        try:
            self.start_all(gate_settings, service_ms, kind, slow_ms, slots)
        except BaseException:
            self.close()
            raise

    def start_all(self, gate_settings, service_ms, kind, slow_ms, slots):
        self.lock, ports = reserve_ports()
        store = f"127.0.0.1:{ports.pop()}"
        self.endpoints = [f"127.0.0.1:{ports.pop()}" for _ in range(ENDPOINTS)]
        self.gates = [f"127.0.0.1:{ports.pop()}" for _ in range(GATES)]
        operators = [f"127.0.0.1:{ports.pop()}" for _ in range(GATES)]
        self.start("standin_store", "store", {"store": {"address": store}})
        for i, address in enumerate(self.endpoints):
            mean = slow_ms if slow_ms is not None and i == 0 else service_ms
            self.start("standin_endpoint", f"endpoint-{i}", {
                "endpoint": {"id": f"endpoint-{i}", "service": SERVICE, "address": address,
                             "data_centre": "jepara-a", "region": "jateng", "slots": slots,
                             "queue": 1000, "service_time": f"{mean} ms",
                             "service_time_kind": kind, "seed": i + 1, "grace": "0 ms"},
                "store": {"address": store}})
        for i, address in enumerate(self.gates):
            sections = {"host": {"name": f"gate-{i}", "data_centre": "jepara-a",
                                 "region": "jateng"},
                        "callers": {"address": address}, "operator": {"address": operators[i]},
                        "store": {"address": store}}
            for section, key, value in gate_settings:
                sections.setdefault(section, {})[key] = value
            self.start("fulmar_gate", f"gate-{i}", sections)
        for address in self.gates:
            self.wait_until_answering(address)

    def start(self, program, name, sections):
        path = pathlib.Path(self.directory.name) / f"{name}.ini"
        path.write_text("".join(
            f"[{section}]\n" + "".join(f"{key} = {value}\n" for key, value in keys.items())
            for section, keys in sections.items()))
        log = open(path.with_suffix(".log"), "w")
        self.processes[name] = subprocess.Popen(
            [self.build / program, "--settings", path], stdout=log, stderr=log)

    def wait_until_answering(self, gate):
        """Waits until the gate has found all endpoints.

        This is taken to be so after twice as many successful requests in a row as there are endpoints.
        """
        answered = 0
        for _ in range(600):
            try:
                url = f"http://{gate}/{SERVICE}/probe/probe"
                urllib.request.urlopen(url, timeout=5).read()
                answered += 1
            except OSError:
                answered = 0
            if answered >= 2 * ENDPOINTS:
                return
            time.sleep(0.05)
        raise RuntimeError(f"gate {gate} does not answer")

    def pid(self, name):
        return self.processes[name].pid

    def kill(self, name):
        self.processes[name].kill()

    def close(self):
        for process in self.processes.values():
            process.terminate()
        for process in self.processes.values():
            try:
                process.wait(timeout=40)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.directory.cleanup()
        self.lock.close()

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.close()


def start_load(build, addresses, rate, seconds, **options):
    command = [pathlib.Path(build) / "fulmarwind-load", "--gates", ",".join(addresses), "--path",
               f"/{SERVICE}/preview", "--rate", str(rate), "--count", str(int(rate * seconds)),
               "--seconds", str(seconds)]
    for name, value in options.items():
        command += [f"--{name.replace('_', '-')}", str(value)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def collect_load_results(process):
    """Waits for fulmarwind-load and parses the results that it printed."""
    text, _ = process.communicate(timeout=300)
    results = {"exit": process.returncode, "text": text}
    answered = re.search(r"answered: (\d+) requests, p50 (\d+) us, p99 (\d+) us, p99.9 (\d+) us",
                         text)
    names = ("answered", "p50", "p99", "p999")
    results.update(zip(names, map(int, answered.groups())))
    results["goodput"] = float(re.search(r"goodput ([\d.]+)/s", text).group(1))
    results["outcomes"] = dict(re.findall(r"outcome (.+): (\d+)", text))
    results["violations"] = re.findall(r"check failed: (.+)", text)
    return results


def load(build, addresses, rate, seconds, **options):
    return collect_load_results(start_load(build, addresses, rate, seconds, **options))


def processor_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_kib(pid):
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+) kB", status).group(1))


def print_results(label, results):
    """Prints the results of one load run as one line."""
    outcomes = ", ".join(f"{name} {count}" for name, count in sorted(results["outcomes"].items()))
    checks = "hold" if results["exit"] == 0 else f"failed: {results['violations'][:2]}"
    print(f"{label}: p50 {results['p50']} us, p99 {results['p99']} us, p99.9 {results['p999']} us, "
          f"goodput {results['goodput']:.0f}/s; {outcomes}; checks {checks}", flush=True)


def measure_latency(args):
    """Measures the latency that the gate adds.

    Direct and forwarded rounds alternate in one run, so that both see the same load of the machine.
    """
    with Installation(args.build, args.gate) as installation:
        rounds = []
        for _ in range(3):
            for addresses in (installation.endpoints, installation.gates[:1]):
                rounds.append(load(args.build, addresses, 200, args.seconds))
        for name in ("p50", "p99"):
            direct = sorted(results[name] for results in rounds[0::2])[1]
            through = sorted(results[name] for results in rounds[1::2])[1]
            print(f"added latency {name}: {through - direct} us (direct {direct} us, through the "
                  f"gate {through} us; medians of 3 rounds at 200/s)", flush=True)


def measure_cost(args):
    """Measures the requests per processor second of a gate, by share of non-idempotent requests."""
    with Installation(args.build, args.gate) as installation:
        gate = installation.pid("gate-0")
        for percent in (0, 100):
            before = processor_seconds(gate)
            results = load(args.build, installation.gates[:1], args.cost_rate, args.seconds,
                           non_idempotent=percent, threads=4)
            used = processor_seconds(gate) - before
            print_results(f"cost at {args.cost_rate}/s, {percent}% non-idempotent", results)
            print(f"requests per core: {results['answered'] / used:.0f}/s ({results['answered']} "
                  f"answered in {used:.2f} processor seconds of the gate)", flush=True)


def measure_memory(args):
    """Measures the growth of the gate's resident memory per idle connection."""
    with Installation(args.build, args.gate) as installation:
        host, port = installation.gates[0].split(":")
        gate = installation.pid("gate-0")
        load(args.build, installation.gates[:1], 200, 2)
        before = resident_kib(gate)
        connections = []
        for i in range(IDLE_CONNECTIONS):
            connection = socket.create_connection((host, int(port)))
            request = f"GET /{SERVICE}/idle/idle-{i} HTTP/1.1\r\nHost: gate\r\n\r\n"
            connection.sendall(request.encode())
            connection.recv(4096)
            connections.append(connection)
        used = resident_kib(gate) - before
        for connection in connections:
            connection.close()
        print(f"memory per connection: {used / IDLE_CONNECTIONS:.1f} KiB ({IDLE_CONNECTIONS} idle "
              f"callers, gate grew by {used} KiB from {before} KiB)", flush=True)


def measure_tail(args):
    """Measures latency and outcomes with all endpoints, with a slow one and with a killed one."""
    for scenario in ("all well", "one of ten slow", "one of ten killed"):
        for factor in (1, 2, 3):
            slow = SLOW_MS if scenario == "one of ten slow" else None
            with Installation(args.build, args.gate, SERVICE_MS, "exponential", slow) as installation:
                verify = installation.endpoints
                if scenario == "one of ten killed":
                    verify = verify[1:]
                process = start_load(args.build, installation.gates, BASE_RATE * factor, args.seconds,
                                     non_idempotent=args.non_idempotent, retries=args.retries,
                                     verify=",".join(verify), threads=4)
                if scenario == "one of ten killed":
                    time.sleep(args.seconds / 2)
                    installation.kill("endpoint-0")
                print_results(f"{scenario}, {factor}x ({BASE_RATE * factor}/s)",
                              collect_load_results(process))


def parse_setting(text):
    match = re.fullmatch(r"(\w+)\.(\w+)=(.+)", text)
    if not match:
        raise argparse.ArgumentTypeError("expected SECTION.KEY=VALUE")
    return match.groups()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=os.environ.get("BUILD", "build"))
    parser.add_argument("--seconds", type=int, default=5, help="length of each round")
    parser.add_argument("--cost-rate", type=int, default=3000, help="rate of the cost round")
    parser.add_argument("--non-idempotent", type=int, default=1, help="percent, in the tail rounds")
    parser.add_argument("--retries", type=int, default=0, help="attempts of callers after the first")
    parser.add_argument("--gate", type=parse_setting, action="append", default=[],
                        metavar="SECTION.KEY=VALUE", help="setting of the gates, such as a routing "
                        "policy; may be given several times")
    parts = {"latency": measure_latency, "cost": measure_cost, "memory": measure_memory,
             "tail": measure_tail}
    parser.add_argument("parts", nargs="*", help="latency, cost, memory, tail (default: all)")
    args = parser.parse_args()
    unknown = set(args.parts) - set(parts)
    if unknown:
        parser.error(f"unknown part: {', '.join(sorted(unknown))}")
    signal.signal(signal.SIGTERM, lambda *unused: sys.exit(1))
    print(f"settings of the gates: {args.gate or 'defaults'}", flush=True)
    for name in args.parts or parts:
        parts[name](args)


if __name__ == "__main__":
    main()
