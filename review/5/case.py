"""The store turns a starting host away for a few seconds; the host never registers afterwards."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins
from standins import BOUNDS

AWAY_S = 4.5
WORK_MS = 60000
WAITING = 6
ZONES = {"centro-a": "centro", "centro-b": "centro"}
LAST = "h-centro-a-3"


def case(deployment):
    record = deployment.record
    away = threading.Event()

    # A starting host takes a lease for its record before it writes the record.
    def on_request(link, data):
        if away.is_set() or link is not deployment.links.get(LAST) or b"/api/kv-keep" in data:
            return
        if b"PUT" in data or b"/api/kv-txn" not in data:
            return
        if standins.trouble():
            deployment.ports[LAST].turned_away_until = time.monotonic() + AWAY_S
            record.write(f"platform_down nodes busy: the store turns {LAST} away for {AWAY_S} s")
        away.set()

    deployment.write_config()
    for zone in ZONES:
        for number in range(1, 4):
            deployment.add_worker(f"w-{zone}-{number}", zone, f"r-{zone}")
    for zone, count in (("centro-a", 3), ("centro-b", 2)):
        for number in range(1, count + 1):
            deployment.add_host(f"h-{zone}-{number}", zone, ZONES, on_request)
    if not deployment.wait_until_up(shards=2) or not away.is_set():
        return None
    time.sleep(AWAY_S + BOUNDS["contactMs"] / 1000 + 2)
    record.write(f"all hosts are in touch; {LAST} is ready: {deployment.hosts[LAST].is_ready()}")
    # One job fills all workers, the others wait.
    first = "h-centro-a-1"
    spec = {"taskSpec": f"titulos {WORK_MS} 4000 0",
            "steps": [{"count": 6, "cpu": 4000, "memMb": 1024, "estRuntimeMs": WORK_MS}]}
    status, _ = deployment.call(first, "POST", f"{1:016x}", spec)
    if status != 200:
        return None
    time.sleep(2)
    spec["steps"][0]["count"] = 1
    for number in range(WAITING):
        status, _ = deployment.call(first, "POST", f"{2 + number:016x}", spec)
        if status != 200:
            return None
    time.sleep(BOUNDS["visible_ms"] / 1000 + 2 + 1)
    counts = {}
    for name in deployment.hosts:
        status, answer = deployment.call(name, "GET")
        if status != 200:
            return None
        counts[name] = answer.get("pending", 0)
    status, _ = deployment.call(LAST, "POST", f"{100:016x}", spec)
    record.write(f"{LAST} answers {status} to a submission")
    record.write(f"{WAITING} accepted jobs haven't begun; the hosts give as pending: {counts}")
    return all(count * 2 >= WAITING for count in counts.values())


standins.run_case(case)
