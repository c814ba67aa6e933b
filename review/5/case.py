"""A worker with accelerators is lost; its tasks never run on the other one that is free."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins
from standins import BOUNDS

# TROUBLE=0 runs the case without its disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

JOB = "d94b36f85c0e7a21"
WORK_MS = 3000
ZONES = {"centro-a": "centro", "centro-b": "centro"}
WORKERS_PER_ZONE = 7


def case(deployment):
    record = deployment.record
    deployment.write_config()
    for zone in ZONES:
        for number in range(1, WORKERS_PER_ZONE + 1):
            # The first worker of each zone has accelerators, the others more processors.
            options = {"cpu": 4000, "gpu": 2} if number == 1 else {"cpu": 8000}
            deployment.add_worker(f"w-{zone}-{number}", zone, f"r-{zone}", **options)
        deployment.add_host(f"h-{zone}", zone, ZONES)
    if not deployment.wait_until_up(shards=2):
        return None
    time.sleep(6)
    hosts = list(deployment.hosts)
    spec = {"taskSpec": f"titulos {WORK_MS} 1000 1",
            "steps": [{"count": 1, "cpu": 1000, "memMb": 512, "gpu": 1, "estRuntimeMs": WORK_MS}]}
    status, _ = deployment.call(hosts[0], "POST", JOB, spec)
    workers = deployment.workers
    if status != 200 or not deployment.wait_for(
            lambda: any(worker.tasks_of(JOB) for worker in workers.values()), 3):
        return None
    time.sleep(0.5)
    home = next(name for name, worker in workers.items() if worker.tasks_of(JOB))
    other = next(name for name, worker in workers.items()
                 if worker.capacity["gpu"] and name != home)
    if TROUBLE:
        record.write(f"srv_crash gone: {home} is lost for good")
        workers[home].crash()
    # The lease of the lost worker ends, and contactMs pass after the disruption.
    lost = time.monotonic()
    calm_from = lost + (BOUNDS["maxHoldMs"] + BOUNDS["contactMs"]) / 1000
    until = lost + BOUNDS["maxHoldMs"] / 1000 + BOUNDS["finish_s"]
    idle_since, longest, state = None, 0.0, ""
    while time.monotonic() < until:
        _, answer = deployment.call(hosts[0], "GET", JOB)
        state = answer.get("state", "")
        if state in ("completed", "failed"):
            break
        now = time.monotonic()
        busy = any(worker.tasks_of(JOB) for worker in workers.values())
        idle_since = None if busy or now < calm_from else idle_since or now
        longest = max(longest, now - idle_since if idle_since else 0.0)
        time.sleep(0.5)
    record.write(f"the job is shown as {state}; for {longest:.1f} s nothing of it ran while {other} "
                 "was idle and had room for it twice over")
    control, _ = deployment.call(hosts[1], "POST", JOB[::-1], spec)
    ran = deployment.wait_for(lambda: workers[other].tasks_of(JOB[::-1]), 3)
    record.write(f"control: an equal job handed in to the other host: {control}, runs there: {ran}")
    return state == "completed" or longest <= 3.0


standins.run_case(case)
