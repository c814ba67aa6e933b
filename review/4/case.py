"""A task fails once on the only worker that may run it, and is never started again."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins
from standins import BOUNDS

# TROUBLE=0 runs the case without its disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

GREY_S = 3.0
JOB = "7a21d94b36f85c0e"
WORK_MS = 600
ZONES = {"centro-a": "centro", "centro-b": "centro"}
SPECIAL = "w-centro-a-1"


def case(deployment):
    record = deployment.record
    deployment.write_config()
    for zone in ZONES:
        for number in range(1, 7):
            name = f"w-{zone}-{number}"
            deployment.add_worker(name, zone, f"r-{zone}",
                                  kind="kind-b" if name == SPECIAL else "kind-a")
        deployment.add_host(f"h-{zone}", zone, ZONES)
    if not deployment.wait_until_up(shards=2):
        return None
    time.sleep(6)
    special = deployment.workers[SPECIAL]
    if TROUBLE:
        special.failing = True
        record.write(f"srv_grey errors: {SPECIAL} fails what it starts for {GREY_S} s")
    hosts = list(deployment.hosts)
    spec = {"taskSpec": f"titulos {WORK_MS} 1000 0",
            "steps": [{"count": 1, "cpu": 1000, "memMb": 512, "estRuntimeMs": WORK_MS,
                       "requiredLabel": "kind-b"}]}
    status, _ = deployment.call(hosts[0], "POST", JOB, spec)
    if status != 200:
        return None
    time.sleep(GREY_S)
    special.failing = False
    ended = time.monotonic()
    record.write(f"{SPECIAL} works again; nothing else is handed in")
    # The job is asked for finish_s after the end of the traffic, from contactMs after the disruption.
    until = ended + BOUNDS["contactMs"] / 1000 + BOUNDS["finish_s"]
    idle_since = None
    longest = 0.0
    state = ""
    while time.monotonic() < until:
        _, answer = deployment.call(hosts[0], "GET", JOB)
        state = answer.get("state", "")
        if state in ("completed", "failed"):
            break
        now = time.monotonic()
        calm = now > ended + BOUNDS["contactMs"] / 1000
        busy = any(worker.tasks_of(JOB) for worker in deployment.workers.values())
        idle_since = None if busy or not calm else idle_since or now
        longest = max(longest, now - idle_since if idle_since else 0.0)
        time.sleep(0.5)
    record.write(f"the job is shown as {state}; for {longest:.1f} s nothing of it ran while "
                 f"{SPECIAL} had room for it four times over and nothing else was to be done")
    return state == "completed" or longest <= 3.0


standins.run_case(case)
