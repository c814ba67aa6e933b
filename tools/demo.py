#!/usr/bin/env python3
"""Starts the programs of two data centres on loopback and checks the main functions end to end.

Prints every step and its checks. The exit code is 0 only if every check passed.
"""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

from ports import reserve_ports

BUILD = pathlib.Path(os.environ.get("BUILD", "build")).resolve()
DATA_CENTRES = ("jepara-a", "kudus-b")
REGION = "jateng"
SERVICE = "meja-pesanan"
WORKERS_PER_DATA_CENTRE = 3
STEP_TIMEOUT_S = 60  # long enough that a loaded machine gives the same result


class StepFailure(Exception):
    """A check of a step failed or timed out."""


class Installation:
    """The running programs with their settings files, logs and addresses."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.processes = {}
        self.addresses = {}
        self.lock, ports = reserve_ports()
        self.ports = iter(ports)

    def address(self, name):
        """Returns the address with this name, assigning a free port at the first call."""
        if name not in self.addresses:
            self.addresses[name] = f"127.0.0.1:{next(self.ports)}"
        return self.addresses[name]

    def start(self, program, name, sections):
        settings = self.folder / f"{name}.ini"
        lines = []
        for section, keys in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in keys.items()]
        settings.write_text("\n".join(lines) + "\n")
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [BUILD / program, "--settings", settings], stdout=log, stderr=log
        )

    def start_all(self):
        store = {"address": self.address("store")}
        self.start("standin_store", "store", {"store": store})
        wait_for("the store answers", lambda: get(self.address("store"), "/")[0] == 200)
        for data_centre in DATA_CENTRES:
            host = {"name": f"entry-{data_centre}", "data_centre": data_centre}
            for index in range(WORKERS_PER_DATA_CENTRE):
                name = f"worker-{data_centre}-{index}"
                self.start("standin_worker", name, {
                    "worker": {"id": name, "address": self.address(name),
                               "data_centre": data_centre, "cell": f"{data_centre}-1",
                               "rack": f"rack-{index}"},
                    "store": store,
                })
            name = f"endpoint-{data_centre}"
            self.start("standin_endpoint", name, {
                "endpoint": {"id": name, "service": SERVICE, "address": self.address(name),
                             "data_centre": data_centre, "region": REGION},
                "store": store,
            })
            for name in (f"scheduler-{data_centre}", f"scheduler2-{data_centre}"):
                self.start("fulmar_scheduler", name, {
                    "host": {**host, "name": name}, "store": store,
                    "operator": {"address": self.address(name)},
                    "heartbeats": {"address": self.address(f"{name}-heartbeats")},
                })
            self.start("fulmar_gate", f"gate-{data_centre}", {
                "host": {**host, "region": REGION}, "store": store,
                "callers": {"address": self.address(f"gate-{data_centre}")},
                "operator": {"address": self.address(f"gate-operator-{data_centre}")},
            })
        token = self.folder / "token"
        token.write_text("demo-token\n")
        self.start("fulmar_admin", "admin", {
            "host": {"name": "entry-admin", "data_centre": DATA_CENTRES[0]},
            "admin": {"address": self.address("admin"), "token_file": token}, "store": store,
        })

    def run_fulmarctl(self, *arguments):
        """Runs fulmarctl; returns its exit code and its output, or its errors without output."""
        done = subprocess.run(
            [BUILD / "fulmarctl", "--server", self.address("admin"), "--token-file",
             self.folder / "token", *arguments],
            capture_output=True, text=True, check=False,
        )
        return done.returncode, done.stdout or done.stderr

    def owner(self, data_centre):
        """Returns the name of the running scheduler that has claimed the data centre's cell."""
        for name in (f"scheduler-{data_centre}", f"scheduler2-{data_centre}"):
            if name in self.processes:
                status, body = get(self.address(name), "/status")[:2]
                cell = json.loads(body)["cells"].get(f"{data_centre}-1", {}) if status == 200 else {}
                if cell.get("claimed"):
                    return name
        return None

    def status(self, data_centre):
        owner = self.owner(data_centre)
        return json.loads(get(self.address(owner), "/status")[1]) if owner else {"cells": {}}

    def restart(self, name):
        """Kills a program and starts it again with the same settings."""
        program = self.processes[name].args[0]
        self.kill(name)
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [program, "--settings", self.folder / f"{name}.ini"], stdout=log, stderr=log
        )

    def kill(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def worker_starts(self, data_centre):
        """Returns how many task starts the workers of a data centre have counted."""
        total = 0
        for index in range(WORKERS_PER_DATA_CENTRE):
            total += json.loads(get(self.address(f"worker-{data_centre}-{index}"), "/state")[1])["starts"]
        return total

    def stop_all(self):
        """Stops every program with SIGTERM; returns those that did not stop with exit code 0."""
        for process in self.processes.values():
            process.send_signal(signal.SIGTERM)
        not_stopped = []
        for name, process in self.processes.items():
            try:
                if process.wait(timeout=STEP_TIMEOUT_S) != 0:
                    not_stopped.append(f"{name} (exit code {process.returncode})")
            except subprocess.TimeoutExpired:
                not_stopped.append(f"{name} (did not stop)")
                process.kill()
        return not_stopped


def get(address, path, body=None):
    """Makes a GET, or a POST if there is a body; returns status, body and headers.

    The status is 0 if there was no response. The gate accepts a POST only with an idempotency key or with
    a header that marks it as idempotent.
    """
    headers = {"Fulmar-Idempotent": "yes"} if body is not None else {}
    request = urllib.request.Request(f"http://{address}{path}", data=body, headers=headers)
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            return response.status, response.read().decode(), dict(response.headers)
    except urllib.error.HTTPError as failure:
        return failure.code, failure.read().decode(), dict(failure.headers)
    except OSError:
        return 0, "", {}


def wait_for(what, condition):
    """Polls until the condition holds; raises StepFailure after STEP_TIMEOUT_S."""
    deadline = time.monotonic() + STEP_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            if condition():
                print(f"  ok: {what}", flush=True)
                return
        except (ValueError, KeyError):
            pass
        time.sleep(0.05)
    raise StepFailure(what)


def check(what, holds):
    if not holds:
        raise StepFailure(what)
    print(f"  ok: {what}", flush=True)


def submit(installation, name, cell, tasks, run_ms, **extra):
    job = {"kind": "batch", "team": "renders", "cell": cell, "tasks": tasks, "run_ms": run_ms,
           "task_class": "pattern-render", "need": {"processors": 2000, "memory": 1000,
                                                    "accelerators": 0}, **extra}
    file = installation.folder / f"{name}.json"
    file.write_text(json.dumps(job))
    code, text = installation.run_fulmarctl("--file", str(file), "submit", name)
    check(f"job {name} is accepted: {text.strip()}", code == 0)


def finished_tasks(installation, name):
    """Returns the number of finished tasks of a job, or -1 if it can't be read."""
    code, text = installation.run_fulmarctl("get", name)
    return json.loads(text)["finished"] if code == 0 else -1


def run(installation):
    first, second = DATA_CENTRES
    print("1. start the programs")
    installation.start_all()
    wait_for("the administration API answers",
             lambda: get(installation.address("admin"), "/readyz")[0] == 200)
    for data_centre in DATA_CENTRES:
        wait_for(f"data centre {data_centre} is brought into service",
                 lambda dc=data_centre: installation.run_fulmarctl("resume", dc)[0] == 0)
        wait_for(f"the scheduler of {data_centre} owns its cell", lambda dc=data_centre:
                 installation.status(dc)["cells"][f"{dc}-1"]["claimed"])

    print("2. a request to the gate is answered")
    gate = installation.address(f"gate-{first}")
    wait_for("the gate has found an endpoint",
             lambda: get(gate, f"/{SERVICE}/preview", b"glaze 7")[0] == 200)
    status, body, headers = get(gate, f"/{SERVICE}/preview", b"glaze 42")
    check(f"answer to this request: {body}", status == 200
          and json.loads(body)["echo"] == "glaze 42" and headers["Fulmar-Outcome"] == "answered")
    check("the nearest endpoint answered", json.loads(body)["endpoint"] == f"endpoint-{first}")
    status, body, headers = get(gate, "/no-such-service/x")
    check(f"an unknown service is refused: {headers.get('Fulmar-Reason')}",
          status == 503 and headers["Fulmar-Outcome"] == "not_run")

    print("3. a batch job runs to its end")
    submit(installation, "renders-1", f"{first}-1", 20, 200)
    wait_for("all 20 tasks finished", lambda: finished_tasks(installation, "renders-1") == 20)
    check("each task started once", installation.worker_starts(first) == 20)
    submit(installation, "order-1", f"{first}-1", 3, 100, idempotent=False)
    wait_for("a non-idempotent job finished", lambda: finished_tasks(installation, "order-1") == 3)
    check("each of its tasks started once", installation.worker_starts(first) == 23)

    print("4. a data centre is taken out and brought back")
    submit(installation, "renders-2", f"{second}-1", 5, 6000)
    wait_for("all 5 tasks run there", lambda:
             installation.status(second)["cells"][f"{second}-1"]["tasks"].get("running") == 5)
    code, _ = installation.run_fulmarctl("drain", second)
    check(f"{second} is being drained", code == 0)
    wait_for("the tasks were checkpointed, moved and finished elsewhere",
             lambda: finished_tasks(installation, "renders-2") == 5)
    check(f"each was resumed once in {first}", installation.worker_starts(first) == 23 + 5)
    check(f"nothing more started in {second}", installation.worker_starts(second) == 5)
    check(f"{second} is brought back", installation.run_fulmarctl("resume", second)[0] == 0)


    print("5. a scheduler is killed while tasks run")
    submit(installation, "renders-3", f"{first}-1", 4, 12000)
    wait_for("all 4 tasks run", lambda:
             installation.status(first)["cells"][f"{first}-1"]["tasks"].get("running") == 4)
    before = installation.owner(first)
    installation.kill(before)
    wait_for(f"{before} was killed, its peer owns the cell", lambda:
             installation.owner(first) not in (None, before))
    submit(installation, "renders-4", f"{first}-1", 5, 100)
    wait_for("a new job finished under the new owner",
             lambda: finished_tasks(installation, "renders-4") == 5)
    wait_for("the tasks of the killed owner finished",
             lambda: finished_tasks(installation, "renders-3") == 4)
    check("no task started twice", installation.worker_starts(first) == 28 + 4 + 5)

    print("6. the store is unavailable while tasks run and the gates answer")
    submit(installation, "renders-5", f"{second}-1", 3, 8000)
    wait_for("all 3 tasks run", lambda:
             installation.status(second)["cells"][f"{second}-1"]["tasks"].get("running") == 3)
    get(installation.address("store"), "/faults", b'{"unavailable": true}')
    file = installation.folder / "renders-5.json"
    refused = installation.run_fulmarctl("--file", str(file), "submit", "renders-6")
    check(f"a new job is not accepted: {refused[1].strip()}", refused[0] != 0)
    time.sleep(14)  # longer than the member lease and the worker lease
    check("a request to the gate is answered", get(gate, f"/{SERVICE}/preview", b"glaze 7")[0] == 200)
    get(installation.address("store"), "/faults", b"{}")
    wait_for("the tasks' ends are recorded once the store answers",
             lambda: finished_tasks(installation, "renders-5") == 3)
    check("no task started twice", installation.worker_starts(second) == 5 + 3)

    print("7. a configuration change reaches every daemon and is not reverted")
    check_rollout(installation, 1, 20)
    installation.restart(f"gate-{second}")
    check_rollout(installation, 2, 30)
    invalid_config = installation.folder / "bad-config.json"
    invalid_config.write_text('{"retry_budget_percent": 99}')
    code, text = installation.run_fulmarctl("--file", str(invalid_config), "config", "set")
    check(f"an invalid configuration is refused: {text.strip()}", code != 0)
    check("the last valid configuration stays in force", rollout(installation)["generation"] == 2)


def rollout(installation):
    code, text = installation.run_fulmarctl("--output", "json", "rollout", "status")
    return json.loads(text) if code == 0 else {}


def check_rollout(installation, generation, percent):
    """Changes the configuration and waits until all running daemons report it in force."""
    file = installation.folder / "config.json"
    file.write_text(json.dumps({"retry_budget_percent": percent}))
    code, text = installation.run_fulmarctl("--file", str(file), "config", "set")
    check(f"configuration {generation} is accepted", code == 0)
    began = time.monotonic()
    daemons = [name for name in installation.processes if name.startswith(("sch", "gate", "adm"))]

    def is_in_force():
        status = rollout(installation)
        rows = [row for row in status["members"] if row["state"] == "in_force"]
        return status["generation"] == generation and len(rows) == len(daemons)

    wait_for(f"all {len(daemons)} daemons have it in force", is_in_force)
    print(f"  (after {time.monotonic() - began:.1f} s; the target is 17 s)", flush=True)


def main():
    with tempfile.TemporaryDirectory(prefix="fulmarwind-demo-") as folder:
        installation = Installation(folder)
        problem = None
        try:
            run(installation)
        except (StepFailure, OSError, ValueError, KeyError) as failure:
            problem = str(failure) or repr(failure)
        print("8. stop everything with SIGTERM")
        not_stopped = installation.stop_all()
        if not not_stopped:
            print("  ok: every program ended with exit code 0")
        elif problem is None:
            problem = "not stopped cleanly: " + ", ".join(not_stopped)
        if problem is None:
            print("demo: passed")
            return 0
        print(f"demo: FAILED: {problem}")
        for log in sorted(pathlib.Path(folder).glob("*.log")):
            print(f"--- {log.name}")
            print("\n".join(log.read_text().splitlines()[-5:]))
        return 1


if __name__ == "__main__":
    sys.exit(main())
