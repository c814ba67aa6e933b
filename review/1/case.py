"""A job is cancelled while the host that borrows some of its tasks is partitioned from the store."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins
from standins import BOUNDS

# TROUBLE=0 runs the case without its disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

CUT_S = 0.93
JOB = "5c0e7a21d94b36f8"
WORK_MS = 40000
ZONES = {"centro-a": "centro", "centro-b": "centro"}


def case(deployment):
    record = deployment.record
    offered = threading.Event()
    cut_ended = [0.0]

    # A host that is offered tasks of a job reads the job's progress from the store first.
    def on_request(link, data):
        if offered.is_set() or b"%2Fprogress%2F" + JOB.encode() not in data:
            return
        name = next(name for name, other in deployment.links.items() if other is link)
        if TROUBLE:
            link.cut(CUT_S)
            cut_ended[0] = time.monotonic() + CUT_S
            record.write(f"core_cut: host {name} is partitioned from the store for {CUT_S} s")
        else:
            record.write(f"host {name} reads the job's progress; no disruption")
        offered.set()

    deployment.write_config()
    for zone in ZONES:
        for number in (1, 2):
            deployment.add_worker(f"w-{zone}-{number}", zone, f"r-{zone}")
        deployment.add_host(f"h-{zone}", zone, ZONES, on_request)
    if not deployment.wait_until_up(shards=2):
        return None
    time.sleep(6)  # the hosts settle and the starts are long past
    hosts = list(deployment.hosts)
    spec = {"taskSpec": f"titulos {WORK_MS} 4000 0",
            "steps": [{"count": 4, "cpu": 4000, "memMb": 1024, "estRuntimeMs": WORK_MS}]}
    status, _ = deployment.call(hosts[0], "POST", JOB, spec)
    if status != 200 or not offered.wait(5):
        return None
    time.sleep(0.05)
    status, _ = deployment.call(hosts[0], "DELETE", JOB)
    if status != 200:
        status, _ = deployment.call(hosts[1], "DELETE", JOB)
    if status not in (200, 410):
        return None
    acknowledged = time.monotonic()
    # The rule asks for the end of all runs cancel_ms and stopMs after the acknowledgement; contactMs
    # must have passed since the disruption.
    calm = max(acknowledged, cut_ended[0]) + (
        BOUNDS["contactMs"] + BOUNDS["cancel_ms"] + BOUNDS["stopMs"]) / 1000
    time.sleep(max(0.0, calm - time.monotonic()))
    left = {name: worker.tasks_of(JOB) for name, worker in deployment.workers.items()}
    left = {name: tasks for name, tasks in left.items() if tasks}
    record.write(f"{time.monotonic() - acknowledged:.2f} s after the acknowledgement run: {left}")
    for name in hosts:
        deployment.call(name, "GET", JOB)
    return not left


standins.run_case(case)
