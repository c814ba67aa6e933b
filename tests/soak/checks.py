"""The users' rules, checked from what clients and workers see."""

import collections
import threading
import time

from faults import standins

BOUNDS = standins.BOUNDS
CONTACT_S = BOUNDS["contactMs"] / 1000
CANCEL_S = BOUNDS["cancel_ms"] / 1000
GONE_S = CANCEL_S + BOUNDS["stopMs"] / 1000
VISIBLE_S = BOUNDS["visible_ms"] / 1000
# From rule LOST: how long nothing of a job may run, and for tasks that last, from when after their last
# run, and for how long all must have been calm before.
IDLE_S, LASTING_S, LASTING_CALM_S = 3.0, 6.0, 4.0
REJECTIONS = (404, 429, 503)


class JobRow:
    def __init__(self, job):
        self.id, self.spec = job.id, job.spec
        self.lasts = "longRunning" in job.spec["steps"][0]
        self.tasks = [f"{job.id}.0.{number}.{index}" for number, step in enumerate(job.spec["steps"])
                      for index in range(step["count"])]
        self.attempts = []  # answers to the attempts to hand the job in; None: not answered yet
        self.accepted_at = self.cancel_sent = self.cancel_acked = self.completed_at = None
        self.starts = collections.defaultdict(list)  # task -> times
        self.done, self.noted = set(), {}  # tasks that ended `done`, and by what their ends were taken note of
        self.last_run = {}  # task -> when it was last seen at work
        self.idle_since = None

    def is_owed(self):
        return self.accepted_at is not None and self.cancel_sent is None


class Checks:
    def __init__(self, record, faults, jobs):
        self.record, self.faults, self.lock = record, faults, threading.RLock()
        self.jobs = {job.id: JobRow(job) for job in jobs}
        self.workers, self.hosts = {}, {}
        self.ends = {}           # (worker, life, N) -> when a run ended `done`
        self.violations = {}     # (rule, ids) -> text and the events around it
        self.finish_at = None    # from then on, accepted jobs may not stand still

    def fail(self, rule, ids, text):
        if (rule, ids) in self.violations:
            return
        self.record.write(f"VIOLATION {rule}: {ids}: {text}")
        job = ids.split(".")[0]
        with open(self.record.file.name, encoding="utf-8") as events:
            lines = events.read().splitlines()
        first = next(n for n, line in enumerate(lines) if job in line)
        around = [line for line in lines[max(0, first - 5):]
                  if job in line or " fault: " in line or " host " in line]
        self.violations[rule, ids] = text, around[-40:]

    # What clients see.

    def on_submitted(self, row, attempt, status):
        with self.lock:
            row.attempts[attempt] = status or "no answer"
            if status and status < 300:
                row.accepted_at = row.accepted_at or time.monotonic()
            self.check_refused(row)

    def check_refused(self, row):
        if row.starts and all(status in REJECTIONS for status in row.attempts):
            self.fail("REFUSED", row.id, f"{sorted(row.starts)} started, all attempts: {row.attempts}")

    def on_state(self, row, sent, status, state, host):
        """An answer to a question for the state of a job. None of the workers lets a task fail."""
        with self.lock:
            calm = self.faults.calm_for() > CONTACT_S
            if status == 410 and row.is_owed() and sent - row.accepted_at > VISIBLE_S and calm:
                self.fail("LOST", row.id, f"{host} answers 410 for an accepted job")
            if state == "failed" or (state == "cancelled" and row.cancel_sent is None):
                self.fail("LOST", row.id, f"{host} shows the job as {state}")
            if state == "completed":
                row.completed_at = row.completed_at or time.monotonic()
                if missing := set(row.tasks) - row.done:
                    self.fail("MIXED", row.id, f"{host} shows it as completed without {missing}")

    # What workers see. They call these with their own lock held.

    def on_start(self, worker, key, payload, over):
        task, run = key
        where = f"run {run} on {worker.name}"
        with self.lock:
            now, row = time.monotonic(), self.jobs.get(task.split(".")[0])
            calm = self.faults.calm_for() > CONTACT_S
            if row is None or task not in row.tasks or payload != row.spec["taskSpec"] or not row.attempts:
                self.fail("UNASKED", task, f"{where} was not handed in like that")
                return
            for other in list(self.workers.values()):
                for there in list(other.running):
                    if there[0] == task and (other, there) != (worker, key) and other.holds(there):
                        self.fail("TWICE", task, f"{where} beside run {there[1]} on {other.name}")
            if task in row.noted:
                self.fail("TWICE", task, f"{where} starts after its end `done` was taken note of "
                          f"{row.noted[task]}")
            if row.completed_at and now - row.completed_at > 1 and calm:
                self.fail("TWICE", task, f"{where} starts after the job was shown as completed")
            if over:
                self.fail("LIMIT", task, f"{where} brings the worker over its capacity of {over}")
            for before in row.spec["steps"][int(task.split(".")[2])].get("after", []):
                if any(one.split(".")[2] == str(before) for one in set(row.tasks) - row.done):
                    self.fail("ORDER", task, f"{where} starts before step {before} is done")
            if row.cancel_acked and now - row.cancel_acked > CANCEL_S and calm:
                self.fail("UNASKED", task, f"{where} starts after the job's cancelling")
            row.starts[task].append(now)
            self.check_refused(row)

    def on_end(self, worker, number, task, how):
        if how == "done" and task.split(".")[0] in self.jobs:
            with self.lock:
                self.jobs[task.split(".")[0]].done.add(task)
                self.ends[worker.name, worker.born, number] = time.monotonic()

    def on_lapse(self, worker):
        """Ends that haven't been taken note of when the lease lapses don't count, for good."""
        with self.lock:
            for row in worker.ended:
                self.ends.pop((worker.name, worker.born, row[0]), None)

    def on_noted(self, worker, number, task, run):
        with self.lock:
            ended = self.ends.get((worker.name, worker.born, number))
            if ended is None:
                return
            row = self.jobs[task.split(".")[0]]
            how = row.noted.setdefault(task, "by a late hold" if worker.is_late else "by a hold")
            if any(start > ended for start in row.starts[task]):
                self.fail("TWICE", task, f"started again after the end `done` of run {run} on "
                          f"{worker.name}, which is taken note of {how}")

    # What needs time. Called all the while.

    def poll(self):
        with self.lock:
            now, calm_for = time.monotonic(), self.faults.calm_for()
            for host in self.hosts.values():
                if host.meant_to_run and host.process.poll() is not None:
                    self.fail("FAULT", host.name, f"the process ended by itself: {host.process.poll()}")
            running = {}  # task -> processors in use
            for worker in list(self.workers.values()):
                running.update({key[0]: run["cpu"] for key, run in list(worker.running.items())
                                if worker.holds(key)})
            capacity = sum(worker.capacity["cpu"] for worker in self.workers.values() if not worker.crashed)
            has_room = sum(running.values()) < capacity / 2
            for row in self.jobs.values():
                at_work = [task for task in row.tasks if task in running]
                row.last_run.update(dict.fromkeys(at_work, now))
                if at_work and row.cancel_acked and (
                        min(now - row.cancel_acked, calm_for - CONTACT_S) > GONE_S):
                    self.fail("UNASKED", at_work[0], "runs on after the job's cancelling")
                if row.is_owed() and row.lasts:
                    for task in set(row.tasks) - set(running):
                        idle = now - row.last_run.get(task, row.accepted_at)
                        if min(idle - LASTING_S, calm_for - LASTING_CALM_S) > IDLE_S:
                            self.fail("LOST", task, f"lasts, and hasn't run for {idle:.1f} s")
                elif row.is_owed() and not row.completed_at and self.finish_at and now > self.finish_at:
                    row.idle_since = None if at_work or not has_room else row.idle_since or now
                    if now > self.finish_at + BOUNDS["finish_s"] or (
                            row.idle_since and now - row.idle_since > IDLE_S):
                        self.fail("LOST", row.id, f"isn't completed, without {set(row.tasks) - row.done}")

    def unfinished(self):
        return [row for row in self.jobs.values()
                if row.is_owed() and not row.lasts and not row.completed_at]
