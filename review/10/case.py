"""A worker loses its power for good and its shard's owner is killed; the tasks that last and that had
just begun there stand still although there is room."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import world as w  # noqa: E402

SERVICE = "meja-pesanan"
QUEUE = w.make_queue("jaga-tungku", "/jaga/", SERVICE, attempts=4)
CAPACITY = {"cpu": 64000, "memMb": 256000, "gpu": 0}
TASKS = 4
LOSS_AFTER_S = 0.4
KILL_AFTER_S = 0.2
RESTART_AFTER_S = 0.5
# LOST: a task that lasts, from 6 s after its last run, if 3 s and the 4 s before them are calm.
GRACE_S = 6
CALM_S = 7
WATCH_S = 16


def make_workers(world):
    zones = ["jepara-a"] * 4 + ["kudus-b"] * 2 + ["gresik-a"] * 2
    return [w.Worker(world, f"i-{n:08x}", f"{world.net}.{100 + n}", 8200 + n, zone,
                     f"r-{zone}-1", SERVICE, CAPACITY) for n, zone in enumerate(zones)]


def body():
    return {"taskSpec": '{"lasts": true}',
            "steps": [{"count": TASKS, "cpu": 13000, "memMb": 26000, "estRuntimeMs": 320,
                       "longRunning": True, "antiAffinity": 1}]}


async def case(world, trouble):
    hosts = [w.Daemon(world, f"entry-{n}", f"{world.net}.{10 + n}", zone)
             for n, zone in enumerate(world.zones)]
    await world.begin(hosts, make_workers(world), w.make_config(3, [QUEUE], [SERVICE]))
    await asyncio.sleep(8)
    job = w.job_id(1)
    assert await world.submit_until_accepted(QUEUE, job, body())
    until = time.monotonic() + 10
    while len(world.starts) < TASKS and time.monotonic() < until:
        await asyncio.sleep(0.01)
    assert len(world.starts) == TASKS, f"{len(world.starts)} tasks started"
    await asyncio.sleep(LOSS_AFTER_S)
    lost = world.workers[world.starts[0]["worker"]]
    owner = next(host for host in hosts if host.zone == lost.zone)
    gone = list(lost.runs)
    if trouble:
        async def dark(*_):
            await asyncio.sleep(100)
            raise w.Drop()

        lost.before = dark  # takes what arrives and never answers
        for part in lost.jobs:
            part.cancel()
        lost.runs = {}
        world.record.write(f"worker {lost.id} has lost power for good, was running {gone}")
    last_run = time.monotonic()
    if trouble:
        await asyncio.sleep(KILL_AFTER_S)
        owner.kill()
        await asyncio.sleep(RESTART_AFTER_S)
        owner.start()
    calm = time.monotonic()
    stood = {}
    while time.monotonic() < calm + WATCH_S:
        await asyncio.sleep(0.05)
        running = {task for worker in world.workers.values() for task in worker.runs}
        for task in gone:
            if task not in running and time.monotonic() > max(calm + CALM_S, last_run + GRACE_S):
                stood.setdefault(task, 0)
                stood[task] = time.monotonic() - last_run
    return [f"LOST: {task} is to last and stood still for {after:.1f} s after its worker was lost, "
            f"with six workers idle or nearly so" for task, after in stood.items()]


w.run_case(case, HERE, os.environ.get("TROUBLE", "1") != "0")
