"""Half of a shard's workers are lost for good, then its owner is killed: its tasks wait for minutes."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins
from standins import BOUNDS

# TROUBLE=0 runs the case without its disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

JOB = "0c5e7a21d94b36f8"
WORK_MS = 3000
ZONES = {"centro-a": "centro", "centro-b": "centro", "sur-a": "sur"}
RACKS = 2
WORKERS_PER_RACK = 2


def case(deployment):
    record = deployment.record
    deployment.write_config()
    for zone in ZONES:
        for rack in range(1, RACKS + 1):
            for number in range(1, WORKERS_PER_RACK + 1):
                deployment.add_worker(f"w-{zone}-{rack}-{number}", zone, f"r-{zone}-{rack}")
        for number in (1, 2):
            deployment.add_host(f"h-{zone}-{number}", zone, ZONES)
    if not deployment.wait_until_up(shards=len(ZONES)):
        return None
    time.sleep(6)
    shard, owner = next((shard, owner) for shard, owner in sorted(deployment.owners().items()))
    zone = shard.rsplit(".", 1)[0]
    record.write(f"shard {shard} is owned by {owner}")
    # Two steps of two tasks each: the second step is to start after the first one.
    spec = {"taskSpec": f"titulos {WORK_MS} 1000 0",
            "steps": [{"count": 2, "cpu": 1000, "memMb": 512, "estRuntimeMs": WORK_MS},
                      {"count": 2, "cpu": 1000, "memMb": 512, "estRuntimeMs": WORK_MS,
                       "after": [0]}]}
    status, _ = deployment.call(owner, "POST", JOB, spec)
    workers = deployment.workers
    if status != 200 or not deployment.wait_for(
            lambda: any(worker.tasks_of(JOB) for worker in workers.values()), 3):
        return None
    time.sleep(0.5)
    if TROUBLE:
        record.write(f"srv_crash rack gone: all workers of rack r-{zone}-1 are lost for good")
        for name, worker in workers.items():
            if name.startswith(f"w-{zone}-1-"):
                worker.crash()
        time.sleep(1.0)
        record.write("node_kill leader")
        deployment.hosts[owner].kill()
        time.sleep(0.5)
        deployment.hosts[owner].start()
    disrupted = time.monotonic()
    calm_from = disrupted + BOUNDS["recoveryS"] + BOUNDS["contactMs"] / 1000
    until = disrupted + BOUNDS["recoveryS"] + BOUNDS["finish_s"] + 10
    ask = next(name for name in deployment.hosts if name != owner)
    idle_since, longest, state = None, 0.0, ""
    while time.monotonic() < until:
        _, answer = deployment.call(ask, "GET", JOB)
        state = answer.get("state", "")
        if state in ("completed", "failed"):
            break
        now = time.monotonic()
        busy = any(worker.tasks_of(JOB) for worker in workers.values())
        idle_since = None if busy or now < calm_from else idle_since or now
        longest = max(longest, now - idle_since if idle_since else 0.0)
        time.sleep(0.5)
    alive = [name for name, worker in workers.items() if not worker.crashed]
    record.write(f"the job is shown as {state}; for {longest:.1f} s nothing of it ran while "
                 f"{len(alive)} workers were idle")
    return state == "completed" or longest <= 3.0


standins.run_case(case)
