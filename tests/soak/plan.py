"""What a seed plays: the deployment, the jobs that clients hand in, and the faults with their times.
All of it follows from the seed alone. A shorter play is the beginning of a longer one."""

import random
from dataclasses import dataclass
from types import SimpleNamespace

HORIZON_S = 120.0  # plans are drawn up to here and cut off at the length of the play
ISOLATION_SHARE = 0.4  # of the seeds
PROMPT_SEEDS = {7, 37, 88}  # kept seeds from before isolations had late calls: they play as they did
WARM_UP_S = 2.0    # without faults, so that connections have carried calls before they break

# Each kind of call is hit in turn; calls whose effect can't be taken back are named several times.
# `store.submission` is a transaction that stores a new job.
CALLS = ["store.submission", "store.txn", "store.lease", "store.keep", "store.read", "store.watch",
         "worker.start", "worker.stop", "worker.pace", "worker.hold", "peer.submit", "peer.phase",
         "peer.cancel", "peer.loan", "peer.room", "peer.ends", "peer.witness", "peer.claims", "peer.yield",
         "peer.config", "peer.orders",
         "store.submission", "store.submission", "worker.start", "worker.start", "peer.submit"]


@dataclass
class CallFault:
    """What happens to the next call of a kind. `how` is one of
    close: carried out, no answer; lost: not carried out, no answer; late: carried out after `delay`, no
    answer; slow: answered after `delay`; kill: carried out, no answer, and the host that sent it to the
    store, or received it from another host, is killed."""
    at: float
    call: str
    how: str
    reset: bool      # the connection ends with RST instead of FIN
    refuse_s: float  # the port answers 503 for this long afterwards
    delay: float


@dataclass
class PlaceFault:
    """What happens to a process or a link, drawn by number among those that are there."""
    at: float
    what: str        # kill, term, stop: of hosts; renew, crash: of workers; cut: of a link
    number: int
    seconds: float   # until it is back; after `crash`, it never is
    link: str        # store, peer or worker, for `cut`
    way: str         # what a cut holds up: requests or answers
    same_port: bool  # of a worker's next life


@dataclass
class Isolation:
    """Workers of one data centre crash and are back under their ids at the same addresses, where they
    execute the calls that were sent before. Soon after, they lose hosts and store, and run on."""
    at: float
    zone: str
    workers: list          # their names
    before_s: float        # calls that arrive so long before the crash are executed after it
    down_s: float
    connected_s: float     # from the return to the loss of the hosts
    cut_s: float
    register_after: float  # from the return to the first entry in the store
    owner_fault: str       # what happens to the host that owns the data centre's shard: kill, term or ""
    owner_after: float     # from the return on
    owner_back: float


@dataclass
class LateCalls:
    """Before an isolation, a share of the starts and holds to its workers gets no answer. They are carried
    out 2 to 12 s later by the process that is at the address then, isolated or not."""
    at: float
    workers: list  # their names
    seconds: float
    share: float
    seed: int      # for which calls and how late

    def __post_init__(self):
        self.rng = random.Random(self.seed)

    def draw(self, call):
        """Returns the fault of a call, None for none."""
        if call in ("worker.start", "worker.hold") and self.rng.random() < self.share:
            return CallFault(self.at, call, "late", False, 0.0, self.rng.uniform(2.0, 12.0))
        return None


@dataclass
class Job:
    at: float
    id: str
    spec: dict
    hosts: list      # numbers of the hosts that its client turns to
    attempts: int    # a client that is refused or unanswered gives up after so many
    pause: float
    cancel_after: float = 0.0  # 0: never
    repeat_after: float = 0.0  # when the acknowledged request arrives once more; 0: never


def make_spec(steps, role="work"):
    """A task's payload tells workers what each step's tasks do: ROLE:WORK_MS:CPU:MEMORY by step."""
    payload = " ".join(f"{role}:{step['estRuntimeMs']}:{step['cpu']}:{step['memMb']}" for step in steps)
    return {"taskSpec": payload, "steps": steps}


def draw_hosts(rng):
    return [rng.randrange(1000) for _ in range(40)]


def draw_step(rng, **more):
    return dict({"count": rng.choice((1, 1, 2, 3, 4)), "cpu": rng.choice((500, 1000, 1500)), "memMb": 256,
                 "estRuntimeMs": rng.choice((250, 500, 900, 1800, 2500))}, **more)


def draw_job(rng, seed, number, at):
    two_steps = rng.random() < 0.35
    steps = [draw_step(rng)] + ([draw_step(rng, after=[0])] if two_steps else [])
    cancel = rng.uniform(0.1, 3.0) if rng.random() < 0.12 else 0.0
    return Job(at, f"{seed:08x}{number:08x}", make_spec(steps), draw_hosts(rng), rng.choice((1, 1, 2, 4)),
               rng.uniform(0.1, 0.8), cancel, rng.uniform(0.5, 4.0) if rng.random() < 0.1 else 0.0)


def draw_jobs(rng, seed):
    common = {"count": 2, "cpu": 500, "memMb": 256, "estRuntimeMs": 1000}
    lasting = dict(common, longRunning=True)
    serving = dict(lasting, image="serve", targetMs=100)
    filling = dict(common, count=3, fillRatio=True, image="fill", estRuntimeMs=4000)
    first = ((0.1, serving, "serve"), (0.2, filling, "fill"), (0.3, lasting, "last"), (3.0, filling, "fill"),
             (6.0, filling, "fill"))
    jobs = [Job(at, f"{seed:08x}ff{number:06x}", make_spec([step], role), draw_hosts(rng), 8, 0.3)
            for number, (at, step, role) in enumerate(first)]
    jobs[2].cancel_after = rng.uniform(3.0, 9.0)
    at, number = 0.4, 0
    while at < HORIZON_S:
        for _ in range(rng.choice((1, 1, 2, 6))):  # those that come at once share a transaction
            jobs.append(draw_job(rng, seed, number, at))
            number += 1
        at += rng.uniform(0.2, 0.7)
    return jobs


def draw_call_faults(rng):
    faults, turn, at = [], [], WARM_UP_S
    while at < HORIZON_S:
        turn = turn or rng.sample(CALLS, len(CALLS))
        how = rng.choice(("close", "close", "close", "close", "lost", "late", "slow", "kill"))
        refuse = rng.uniform(0.2, 2.0) if how in ("close", "lost") and rng.random() < 0.6 else 0.0
        delay = rng.uniform(0.2, 3.0 if how == "late" else 2.0)
        faults.append(CallFault(at, turn.pop(), how, rng.random() < 0.4, refuse, delay))
        at += rng.uniform(0.1, 0.5)
    return faults


def draw_place_faults(rng):
    faults, at = [], WARM_UP_S + 0.5
    kinds = ["kill", "kill", "term", "stop", "stop", "renew", "renew", "crash", "cut", "cut"]
    while at < HORIZON_S:
        what = rng.choice(kinds)
        if what == "crash":  # one worker is lost for good, at most
            kinds[kinds.index("crash")] = "renew"
        faults.append(PlaceFault(at, what, rng.randrange(1000), rng.uniform(0.3, 5.0),
                                 rng.choice(("store", "peer", "worker")),
                                 rng.choice(("requests", "answers")), rng.random() < 0.5))
        at += rng.uniform(0.6, 3.0)
    return faults


def draw_isolations(rng, seed, workers, hosts):
    """Returns isolations, and jobs around them whose tasks run for long."""
    faults, jobs, at = [], [], WARM_UP_S + rng.uniform(0.0, 3.0)
    while at < HORIZON_S:
        zone = rng.choice(sorted({worker[1] for worker in workers}))
        names = [worker[0] for worker in workers if worker[1] == zone]
        # Owners notice a restart by the next hold that is answered, mostly within a second.
        connected_s = rng.uniform(0.02, rng.choice((0.8, 2.5)))
        fault = Isolation(at, zone, rng.sample(names, rng.randint(2, len(names) - 1)), rng.uniform(0.0, 0.1),
                          rng.uniform(0.005, 0.7), connected_s, rng.uniform(12.0, 14.0),
                          rng.uniform(0.0, 1.5), rng.choice(("", "", "kill", "term")),
                          rng.uniform(0.0, 3.0), rng.uniform(0.3, 5.0))
        faults.append(fault)
        near = [number for number, host in enumerate(hosts) if host[1] == zone]
        for number in range(rng.randint(5, 9)):
            step = {"count": rng.randint(1, 4), "cpu": 250, "memMb": 128,
                    "estRuntimeMs": rng.randrange(8000, 15000)}
            lasts = number == 0
            steps = [dict(step, count=2, longRunning=True) if lasts else step]
            jobs.append(Job(at + rng.uniform(-0.2, fault.down_s + min(1.0, connected_s)),
                            f"{seed:08x}ee{len(jobs):06x}", make_spec(steps, "last" if lasts else "work"),
                            [rng.choice(near)] + draw_hosts(rng), 4, 0.3))
        at += rng.uniform(25.0, 30.0)
    return faults, jobs


def draw_late_calls(rng, isolation):
    """Returns late calls from up to 2 s before the crash until the isolation."""
    lead = rng.uniform(0.5, 2.0)
    return LateCalls(isolation.at + isolation.before_s - lead, isolation.workers,
                     lead + isolation.down_s + isolation.connected_s, rng.choice((0.3, 0.3, 0.5)),
                     rng.randrange(2**32))


def make_plan(seed, seconds):
    rng = random.Random(seed)
    names = ["centro-a", "centro-b", "sur-a"][:rng.choice((2, 2, 3))]
    hosts_each = rng.choice((1, 2)) if len(names) == 3 else rng.choice((1, 2, 3))
    workers_each = rng.choice((3, 4))
    # Name, zone, rack, processors, and how fast its clock runs.
    workers = [(f"w-{zone}-{n}", zone, f"r-{zone}-{n % 2}", 4000, rng.uniform(0.98, 1.0))
               for zone in names for n in range(workers_each)]
    guarded = rng.random() < 0.5  # workers reject what exceeds their capacity
    # Generators of their own, so that the length of one part doesn't change the others.
    parts = [random.Random(rng.random()) for _ in range(4)]
    hosts = [(f"h-{zone}-{n}", zone) for zone in names for n in range(hosts_each)]
    faults = draw_call_faults(parts[1]) + draw_place_faults(parts[2])
    jobs = draw_jobs(parts[0], seed)
    longest_lease_ms, worker_age_s = 10000, 0.0
    if rng.random() < ISOLATION_SHARE:
        longest_lease_ms = parts[3].choice((6000, 10000))
        isolations, long_jobs = draw_isolations(parts[3], seed, workers, hosts)
        # Others only before, so that in most of these seeds the shard's owner sees the whole course.
        faults = [fault for fault in faults if fault.at < isolations[0].at - 1.0] + isolations
        jobs += long_jobs
        if seed not in PROMPT_SEEDS:
            late = random.Random(f"late calls of {seed}")
            # What was meant for a process that is old by now lies in the future of the next one's clock.
            worker_age_s = late.uniform(0.0, 60.0)
            faults += [draw_late_calls(late, isolation) for isolation in isolations]
    end = WARM_UP_S + seconds
    return SimpleNamespace(
        zones={name: name.split("-")[0] for name in names}, workers=workers, guarded=guarded,
        hosts=hosts, longest_lease_ms=longest_lease_ms, worker_age_s=worker_age_s,
        jobs=[job for job in jobs if job.at < end],
        faults=[fault for fault in faults if fault.at < end])
